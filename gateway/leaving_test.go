// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests what a gateway sends to a backend server that has said in an answer that it leaves.

// leaving does what a behaviour does, says that it leaves, and counts.
func leaving(does behaviour, calls *atomic.Int64) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
		calls.Add(1)
		answer, err := does(ctx, call)
		if answer != nil {
			answer.Header.Set("Leaving", "yes")
		}
		if not, ok := err.(forward.NotRun); ok {
			not.Header.Set("Leaving", "yes")
		}
		return answer, err
	}
}

// TestServerSaidThatItLeaves: from the head of any answer that says so it gets nothing more: neither a
// first attempt, nor another one, nor a stream that is taken up.
func TestServerSaidThatItLeaves(t *testing.T) {
	ok := answers(200, "ok", time.Millisecond)
	whole := streams(piece{event(1) + event(2), 0, io.EOF})
	for _, tt := range []struct {
		name     string
		pool     string
		path     string
		leaves   behaviour
		other    behaviour // of the other servers
		attempts bool      // more than one for each request
	}{
		{"with a success", "plain", "/once/1", ok, ok, false},
		{"with a failure of its own", "plain", "/again/1", answers(500, "broken", 0), ok, true},
		{"with a client error", "plain", "/once/1", answers(404, "nothing", 0), ok, false},
		{"with a refusal", "plain", "/once/1", refuses(503), ok, true},
		{"with a refusal for another reason", "engines", "/engine/1", refuses(429), whole, true},
		{"with a stream", "engines", "/engine/1", whole, whole, false},
		{"with a stream that breaks", "plain", "/resume/1", streams(piece{event(1), 0, errReset}), whole, true},
		{"while the others fail", "plain", "/again/1", ok, answers(500, "broken", 0), true},
		{"while the others break off", "plain", "/resume/1", whole, streams(piece{event(1), 0, errReset}), true},
		{"while answers of the others are lost", "engines", "/engine/1", whole, fails(forward.Unknown{Err: errReset}), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				is := is.New(x.t)
				var calls atomic.Int64
				x.serversOf(tt.pool, leaving(tt.leaves, &calls), tt.other, tt.other)
				for calls.Load() == 0 {
					x.ask(tt.path, "Patience", "2000")
				}
				for range 100 {
					x.ask(tt.path, "Patience", "2000")
					time.Sleep(50 * time.Millisecond)
				}
				is.Equal(calls.Load(), int64(1))
			})
		})
	}
}

// TestWaitingRequestsGoToNoLeavingServer: what waited for room when the server said that it leaves is not
// given to it, though a stream of it goes on.
func TestWaitingRequestsGoToNoLeavingServer(t *testing.T) {
	bubble(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		long := streams(piece{event(1), 0, nil}, piece{event(2), 40 * time.Millisecond, nil}, piece{event(3), 40 * time.Millisecond, io.EOF})
		x.serversOf("engines", leaving(long, &calls))
		done := make(chan reply, 20)
		for range 20 {
			go func() { done <- x.ask("/engine/1", "Patience", "2000") }()
		}
		served := 0
		for range 20 {
			if r := <-done; r.status == http.StatusOK {
				is.Equal(r.body, event(1)+event(2)+event(3))
				served++
			}
		}
		is.Equal(int64(served), calls.Load()) // what ran there ends in peace
		is.True(served <= 5) // what it had room for before it said so
	})
}
