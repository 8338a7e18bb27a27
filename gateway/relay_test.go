// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file checks whose fault it is that an answer did not reach its caller.

// brokenCaller is a caller whose connection takes some writes and then fails, unnoticed
// by the request's context.
type brokenCaller struct {
	*httptest.ResponseRecorder
	takes int // writes
}

func (b *brokenCaller) Write(p []byte) (int, error) {
	if b.takes == 0 {
		return 0, errReset
	}
	b.takes--
	return b.ResponseRecorder.Write(p)
}

// askFrom sends a request whose answer goes to w.
func (x *fixture) askFrom(path string, w http.ResponseWriter) {
	r := httptest.NewRequestWithContext(x.t.Context(), http.MethodPost, path, strings.NewReader("a body"))
	r.Host = "host"
	r.Header.Set("Id", "request-1")
	r.Header.Set("Key", "key")
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	x.g.ServeHTTP(w, r)
}

// TestFailedRelayNamesItsCause: a write that fails is the caller's, and no server is
// ejected for it; an event that is too large is the server's.
func TestFailedRelayNamesItsCause(t *testing.T) {
	large := answers(200, strings.Repeat("x", 2*maxHeldAnswer), 0)
	for _, tt := range []struct {
		name, path, cause string
		takes             int
		does              behaviour
		ejects            bool
	}{
		{"large answer, first part", "/again/x", "caller gone", 0, large, false},
		{"large answer, the rest", "/again/x", "caller gone", 1, large, false},
		{"large answer, cut off", "/again/x", "cut off", 9, cutOff(large), true},
		{"event", "/stream/x", "caller gone", 0, streams(piece{text: event(1)}), false},
		{"end of a stream", "/stream/x", "caller gone", 0, streams(piece{text: "data: half"}), false},
		{"event too large", "/stream/x", "stream broken", 9, endlessEvent, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				for range 5 { // enough to eject a server
					x.askFrom(tt.path, &brokenCaller{ResponseRecorder: httptest.NewRecorder(), takes: tt.takes})
				}
				failed := func(cause string) uint64 {
					name := fmt.Sprintf("badgerspoke_gateway_attempts_failed_total{cause=%q}", cause)
					return x.g.stats.metricSet.GetOrCreateCounter(name).Get()
				}
				is.True(failed(tt.cause) > 0)
				is.Equal(failed(""), uint64(0))
				ejected := x.g.stats.metricSet.GetOrCreateCounter(`badgerspoke_gateway_suspected_total{pool="plain"}`).Get() > 0
				is.Equal(ejected, tt.ejects)
			}, tt.does)
		})
	}
}

// cutOff answers as another behaviour does, but the body breaks at its end.
func cutOff(does behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
		a, err := does(ctx, call)
		if err == nil {
			a.Body = io.NopCloser(io.MultiReader(a.Body, iotest.ErrReader(errReset)))
		}
		return a, err
	}
}

// endlessEvent streams an event that never ends.
func endlessEvent(_ context.Context, call forward.Call) (*forward.Answer, error) {
	body := io.NopCloser(strings.NewReader(strings.Repeat("x", 2*maxEvent)))
	return &forward.Answer{Status: http.StatusOK, Header: answerHeader(call), Length: -1, Body: body}, nil
}
