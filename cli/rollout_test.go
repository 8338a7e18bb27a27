// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/internal/golden"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file runs the rollout commands against fakes of directory replicas.

const fleetKey = "a key that all nodes share"

// fakeReplica answers orders with its answers in turn and repeats the last one.
type fakeReplica struct {
	address string
	mu      sync.Mutex
	answers []protocol.Message
	orders  []protocol.RolloutOrder
	links   int // number of links that were attempted
}

// newFakeReplica starts a replica that gives these answers.
func newFakeReplica(t *testing.T, answers ...protocol.Message) *fakeReplica {
	t.Helper()
	f := &fakeReplica{answers: answers}
	mux := http.NewServeMux()
	mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.links++
		f.mu.Unlock()
		l, err := link.Accept(w, r, link.Identity{Name: "replica", Key: []byte(fleetKey)}, nil)
		if err != nil {
			return
		}
		defer l.Close()
		if m, err := l.Receive(r.Context()); err == nil {
			_ = l.Send(r.Context(), f.next(m)) // the command may have ended
		}
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	f.address = strings.TrimPrefix(s.URL, "http://")
	return f
}

func (f *fakeReplica) next(m protocol.Message) protocol.Message {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o, ok := m.(protocol.RolloutOrder); ok {
		f.orders = append(f.orders, o)
	}
	answer := f.answers[0]
	if len(f.answers) > 1 {
		f.answers = f.answers[1:]
	}
	return answer
}

// orderCount returns the number of rollout orders received.
func (f *fakeReplica) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// runRolloutCommand runs a rollout command against a replica, with a fleet key.
func runRolloutCommand(t *testing.T, f *fakeReplica, key string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	return runCommand(t, f, key, append([]string{"rollout"}, args...)...)
}

// runCommand runs a command line against a replica, with a fleet key.
func runCommand(t *testing.T, f *fakeReplica, key string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.key")
	is.New(t).NoErr(os.WriteFile(path, []byte(key+"\n"), 0o600))
	var out, errs bytes.Buffer
	env := map[string]string{"BADGERSPOKE_FLEET": f.address, "BADGERSPOKE_FLEET_KEY_FILE": path}
	code = Run(context.Background(), args, func(k string) string { return env[k] }, &out, &errs)
	return code, out.String(), errs.String()
}

var underWay = protocol.RolloutAnswer{Outcome: protocol.OrderDone, Newest: &protocol.RolloutStatus{
	Target: "v8", State: 1, Attempt: 3, Duration: 20 * time.Minute, Elapsed: 90 * time.Second, Barred: []string{"v5", "v6"}, Replaced: []string{"v4"},
}}

func TestRolloutCommands(t *testing.T) {
	refused := protocol.RolloutAnswer{Outcome: protocol.OrderRefused, Reason: "no pool is called llm"}
	ordered := protocol.RolloutOrder{Action: protocol.OrderStart, Pool: "llm", Target: "v8", Duration: defaultWithin}
	conflict := protocol.RolloutAnswer{Outcome: protocol.OrderConflict, Reason: "v7 is under way"}
	for _, tt := range []struct {
		name   string
		args   []string
		answer protocol.Message
		code   int
		text   string
		order  protocol.RolloutOrder // expected order
	}{
		{
			"start", []string{"start", "llm", "v8", "-within", "20m"}, underWay, ExitOK, "under way",
			protocol.RolloutOrder{Action: protocol.OrderStart, Pool: "llm", Target: "v8", Duration: 20 * time.Minute},
		},
		{
			"start without a time", []string{"start", "llm", "v8"}, underWay, ExitOK, "under way", ordered,
		},
		{"status", []string{"status", "llm"}, underWay, ExitOK, "under way", protocol.RolloutOrder{Action: protocol.OrderStatus, Pool: "llm"}},
		{"status as JSON", []string{"status", "llm", "-json"}, underWay, ExitOK, `"elapsedSeconds": 90`, protocol.RolloutOrder{Action: protocol.OrderStatus, Pool: "llm"}},
		{"start without a status in the answer", []string{"start", "llm", "v8"}, protocol.RolloutAnswer{Outcome: protocol.OrderDone}, ExitOK, "done", ordered},
		{"refused", []string{"status", "llm"}, refused, ExitRefused, "no pool is called llm", protocol.RolloutOrder{Action: protocol.OrderStatus, Pool: "llm"}},
		{"conflict", []string{"start", "llm", "v8"}, conflict, ExitConflict, "v7 is under way", ordered},
		{"too few arguments", []string{"start", "llm"}, nil, ExitUsage, "requires POOL VERSION", protocol.RolloutOrder{}},
		{"flag first", []string{"status", "-json", "llm"}, nil, ExitUsage, "unexpected argument", protocol.RolloutOrder{}},
		{"no such command", []string{"explode"}, nil, ExitUsage, "badgerspoke manages a router fleet", protocol.RolloutOrder{}},
		{"no command", nil, nil, ExitUsage, "badgerspoke manages a router fleet", protocol.RolloutOrder{}},
		{"help", []string{"start", "-h"}, nil, ExitOK, "badgerspoke rollout start llm v8", protocol.RolloutOrder{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeReplica(t, tt.answer)
			code, stdout, stderr := runRolloutCommand(t, f, fleetKey, tt.args...)
			is.Equal(code, tt.code)
			is.True(strings.Contains(stdout+stderr, tt.text))
			if tt.answer == nil {
				is.Equal(len(f.orders), 0)
			} else {
				is.Equal(f.orders, []protocol.RolloutOrder{tt.order})
			}
		})
	}
}

// TestAbortNamesNewestAttempt checks that abort reads which attempt is the newest and names it
// in every abort order, including repeats.
func TestAbortNamesNewestAttempt(t *testing.T) {
	is := is.New(t)
	unknown := protocol.RolloutAnswer{Outcome: protocol.OrderUnknown, Reason: "no leader"}
	rolledBack := protocol.RolloutAnswer{Outcome: protocol.OrderDone, Newest: &protocol.RolloutStatus{Target: "v8", State: 3, Attempt: 3}}
	f := newFakeReplica(t, underWay, unknown, rolledBack)
	code, stdout, _ := runRolloutCommand(t, f, fleetKey, "abort", "llm")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(stdout, "rolled back"))
	abort := protocol.RolloutOrder{Action: protocol.OrderAbort, Pool: "llm", Attempt: 3}
	is.Equal(f.orders, []protocol.RolloutOrder{{Action: protocol.OrderStatus, Pool: "llm"}, abort, abort})

	f = newFakeReplica(t, protocol.RolloutAnswer{Outcome: protocol.OrderRefused, Reason: "no rollout of llm"})
	code, _, _ = runRolloutCommand(t, f, fleetKey, "abort", "llm")
	is.Equal(code, ExitRefused)
	is.Equal(len(f.orders), 1)
	f = newFakeReplica(t, protocol.RolloutAnswer{Outcome: protocol.OrderDone}) // does not contain the newest rollout
	code, _, _ = runRolloutCommand(t, f, fleetKey, "abort", "llm")
	is.Equal(code, ExitUnavailable)
	is.Equal(len(f.orders), 1)
}

// TestRolloutOrderIsRedirected checks that an order is redirected to the leader that a replica
// names, and that the same order is sent again while there is no leader.
func TestRolloutOrderIsRedirected(t *testing.T) {
	is := is.New(t)
	leader := newFakeReplica(t, protocol.RolloutAnswer{Outcome: protocol.OrderUnknown, Reason: "no leader"}, underWay)
	follower := newFakeReplica(t, protocol.RolloutAnswer{Outcome: protocol.OrderNotLeader, Leader: leader.address})
	code, _, _ := runRolloutCommand(t, follower, fleetKey, "start", "llm", "v8")
	is.Equal(code, ExitOK)
	is.Equal(len(follower.orders), 2)
	is.Equal(len(leader.orders), 2)
	is.Equal(leader.orders[0], leader.orders[1])
}

func TestRolloutRequiresAddressAndKey(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	emptyEnv := func(string) string { return "" }
	is.Equal(Run(t.Context(), []string{"rollout", "status", "llm"}, emptyEnv, &out, &out), ExitUsage)
	is.True(strings.Contains(out.String(), "-fleet-key-file"))
	missing := []string{"rollout", "status", "llm", "-fleet", "127.0.0.1:1", "-fleet-key-file", filepath.Join(t.TempDir(), "missing")}
	is.Equal(Run(t.Context(), missing, emptyEnv, &out, &out), ExitUsage)
}

// TestWrongFleetKey checks that a wrong key fails at once: a retry cannot succeed.
func TestWrongFleetKey(t *testing.T) {
	is := is.New(t)
	f := newFakeReplica(t, underWay)
	code, _, stderr := runRolloutCommand(t, f, "a key of another fleet", "status", "llm")
	is.Equal(code, ExitRefused)
	is.True(strings.Contains(stderr, "key"))
	is.Equal(len(f.orders), 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(f.links, 1)
}

// TestUnknownOutcomeExitCode checks that an order whose outcome is still unknown at the timeout
// exits with the code for trying again.
func TestUnknownOutcomeExitCode(t *testing.T) {
	is := is.New(t)
	f := newFakeReplica(t, protocol.RolloutAnswer{Outcome: protocol.OrderUnknown, Reason: "no leader"})
	in := &rolloutInput{fleetFlags: fleetFlags{fleet: f.address, key: []byte(fleetKey)}, order: protocol.RolloutOrder{Action: protocol.OrderStatus, Pool: "llm"}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go func() { // ends the command once an answer has arrived, regardless of how long that takes
		for ctx.Err() == nil && f.orderCount() < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	answer, err := sendRolloutOrder(ctx, in)
	is.NoErr(err)
	is.Equal(orderExitCode(answer.Outcome), ExitUnavailable)
	is.Equal(orderExitCode(protocol.OrderNotLeader), ExitUnavailable)
	is.True(rolloutTimeout <= rollout.MinWindow) // later repeats would count as new orders
}

// TestRolloutTable pins the printed tables and JSON.
func TestRolloutTable(t *testing.T) {
	var got strings.Builder
	printRollout(&got, &rolloutInput{order: protocol.RolloutOrder{Pool: "llm"}}, underWay.Newest)
	printRollout(&got, &rolloutInput{fleetFlags: fleetFlags{json: true}, order: protocol.RolloutOrder{Pool: "llm"}}, underWay.Newest)
	printRollout(&got, &rolloutInput{order: protocol.RolloutOrder{Pool: "web"}}, &protocol.RolloutStatus{Target: "v2", State: 3, Attempt: 1, Duration: time.Minute})
	golden.Text(t, "rollout.txt", got.String())
}
