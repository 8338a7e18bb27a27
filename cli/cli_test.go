// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/protocol/operator/v1/operatorv1connect"
)

// This file runs commands against a fake of the operators' interface.

// fakeService implements MarkServer with the test's function and GetStatus with a fixed answer.
// It records the tokens and change identifiers of the calls.
type fakeService struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	mark   func(*operatorv1.MarkServerRequest) error
	tokens []string
	ids    []string
}

func (f *fakeService) MarkServer(_ context.Context, r *connect.Request[operatorv1.MarkServerRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	f.tokens = append(f.tokens, r.Header().Get("Authorization"))
	f.ids = append(f.ids, r.Msg.GetChange().GetId())
	if err := f.mark(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.ChangeResponse{Revision: 8}), nil
}

func (f *fakeService) GetStatus(context.Context, *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	return connect.NewResponse(&operatorv1.GetStatusResponse{
		Revision: 7, Epoch: 3, Leader: "c1",
		Replicas:  []*operatorv1.ReplicaStatus{{Name: "c1", Voter: true}, {Name: "c2"}},
		Routers:   []*operatorv1.RouterStatus{{Name: "r1", Linked: true, Revision: 7, SlotsHeld: 4, LeaseMillis: 2900}},
		Servers:   []*operatorv1.ServerStatus{{Name: "e1", Pool: "llm", Mark: operatorv1.Mark_MARK_LEAVING, Slots: 8, Granted: 1}},
		Standings: []*operatorv1.Standing{{Pool: "llm", Account: "hotel", Share: 3, NormalisedService: 1234.5, Waiting: 2}},
	}), nil
}

// run runs a command line against f.
func run(t *testing.T, f *fakeService, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(f))
	s := httptest.NewServer(mux)
	defer s.Close()
	var out, errs bytes.Buffer
	env := map[string]string{"BADGERSPOKE_SERVER": strings.TrimPrefix(s.URL, "http://"), "BADGERSPOKE_TOKEN": "secret"}
	code = Run(context.Background(), args, func(k string) string { return env[k] }, &out, &errs)
	return code, out.String(), errs.String()
}

func TestExitCodes(t *testing.T) {
	conflict := connect.NewError(connect.CodeAborted, errors.New("lost"))
	d, _ := connect.NewErrorDetail(&operatorv1.Conflict{BaseRevision: 6, CurrentRevision: 9, WinnerId: "ada", WinnerSubjects: []string{"server e1"}})
	conflict.AddDetail(d)
	invalid := connect.NewError(connect.CodeInvalidArgument, errors.New("bad"))
	d, _ = connect.NewErrorDetail(&operatorv1.Invalid{Mistakes: []*operatorv1.Mistake{{Subject: "server e1", Field: "mark", Reason: "must be better"}}})
	invalid.AddDetail(d)
	tests := []struct {
		name string
		args []string
		err  error
		code int
		text string
	}{
		{"done", []string{"server", "mark", "e1", "leaving"}, nil, ExitOK, "revision 8"},
		{"json", []string{"server", "mark", "e1", "leaving", "-json"}, nil, ExitOK, `"revision":`},
		{"conflict", []string{"server", "mark", "e1", "leaving", "-base", "6"}, conflict, ExitConflict, `conflict: change "ada" created revision 7 (it changed server e1); the current revision is 9`},
		{"refused", []string{"server", "mark", "e1", "up"}, invalid, ExitRefused, "server e1: mark must be better"},
		{"too few arguments", []string{"server", "mark", "e1"}, nil, ExitUsage, "requires NAME joining|serving|leaving"},
		{"flag first", []string{"server", "mark", "-json", "e1", "leaving"}, nil, ExitUsage, "unexpected argument"},
		{"unknown command", []string{"server", "explode"}, nil, ExitUsage, "badgerspoke manages a router fleet"},
		{"help", []string{"server", "mark", "-h"}, nil, ExitOK, "badgerspoke server mark engine-7 leaving"},
		{"overall help", []string{"help"}, nil, ExitOK, "Exit codes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeService{mark: func(*operatorv1.MarkServerRequest) error { return tt.err }}
			code, stdout, stderr := run(t, f, tt.args...)
			is.Equal(code, tt.code)
			is.True(strings.Contains(stdout+stderr, tt.text))
			for _, token := range f.tokens {
				is.Equal(token, "Bearer secret")
			}
		})
	}
}

func TestRetriesReuseChangeID(t *testing.T) {
	is := is.New(t)
	attempts := 0
	f := &fakeService{mark: func(*operatorv1.MarkServerRequest) error {
		if attempts++; attempts < 3 {
			return connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
		}
		return nil
	}}
	code, _, _ := run(t, f, "server", "mark", "e1", "leaving")
	is.Equal(code, ExitOK)
	is.Equal(len(f.ids), 3)
	is.Equal(f.ids[0], f.ids[2])
}

func TestStatusTable(t *testing.T) {
	is := is.New(t)
	code, got, _ := run(t, &fakeService{}, "status")
	is.Equal(code, ExitOK)
	path := filepath.Join("testdata", "status.txt")
	if golden.Update() {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got, string(want))
}

func TestExplainFromFiles(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "gateway.log")
	line := `{"time":"2026-09-26T04:20:43.9Z","level":"WARN","msg":"refused","request":"r1","cause":"stopping","status":503}`
	is.NoErr(os.WriteFile(path, []byte(line+"\n"), 0o600))
	run := func(args ...string) (int, string) {
		var out, errs strings.Builder
		code := Run(t.Context(), append([]string{"explain"}, args...), func(string) string { return "" }, &out, &errs)
		return code, out.String() + errs.String()
	}
	code, text := run("r1", path)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(text, "stopping: the gateway was being stopped"))
	code, text = run("r2", path)
	is.Equal(code, ExitRefused)
	is.True(strings.Contains(text, `no log lines for request "r2"`))
	code, _ = run("r1", path+".missing")
	is.Equal(code, ExitRefused)
	code, _ = run()
	is.Equal(code, ExitUsage)
}
