// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests what a gateway sends to a backend server that has turned it away and asked
// for rest.

// askingForRest refuses every call, asks for rest, and counts.
func askingForRest(rest time.Duration, calls *int) behaviour {
	return func(_ context.Context, call forward.Call) (*forward.Answer, error) {
		*calls++
		h := http.Header{"Id": call.Header["Id"], "Rest": {rest.String()}}
		return nil, forward.NotRun{Refused: true, Status: http.StatusServiceUnavailable, Header: h, Err: io.EOF}
	}
}

// TestServerAskingForRestGetsNothing: neither a first attempt, nor another one, nor a stream that is
// taken up goes to a server in the time that it asked for, and it gets requests again after it.
func TestServerAskingForRestGetsNothing(t *testing.T) {
	const rest = 3 * time.Second
	whole := streams(piece{event(1) + event(2), 0, io.EOF})
	for _, tt := range []struct {
		name  string
		pool  string
		path  string
		other behaviour // of the other servers
	}{
		{"first attempts of what may run once", "plain", "/once/1", answers(200, "ok", time.Millisecond)},
		{"first attempts of what may run again", "plain", "/again/1", answers(200, "ok", time.Millisecond)},
		{"first attempts of streams at engines", "engines", "/engine/1", whole},
		{"another attempt after a failure", "plain", "/again/1", answers(500, "broken", time.Millisecond)},
		{"another attempt after a refusal", "plain", "/once/1", refuses(503)},
		{"another attempt after a lost answer", "engines", "/engine/1", fails(forward.Unknown{Err: errReset})},
		{"a stream that is taken up", "plain", "/resume/1", streams(piece{event(1), 0, errReset})},
	} {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				is := is.New(x.t)
				calls := 0
				x.serversOf(tt.pool, askingForRest(rest, &calls), tt.other, tt.other)
				for calls == 0 {
					x.ask(tt.path, "Patience", "2000")
					time.Sleep(time.Millisecond)
				}
				asked := x.g.now()
				for x.g.now() < asked+rest-20*time.Millisecond {
					x.ask(tt.path, "Patience", "2000")
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(calls, 1) // within the time that it asked for
				time.Sleep(20 * time.Millisecond)
				for range 40 {
					x.ask(tt.path, "Patience", "2000")
				}
				is.True(calls > 1) // after it
			})
		})
	}
}

// TestWaitingRequestsGoToNoServerAtRest: what waited for room when the server asked is not given to it
// as the other servers fill up.
func TestWaitingRequestsGoToNoServerAtRest(t *testing.T) {
	bubble(t, func(x *fixture) {
		is := is.New(x.t)
		calls := 0
		x.serversOf("plain", askingForRest(3*time.Second, &calls), answers(200, "ok", 300*time.Millisecond))
		done := make(chan reply, 100)
		for i := range 100 {
			go func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				done <- x.ask("/once/1", "Patience", "2000")
			}()
		}
		for range 100 {
			<-done
		}
		is.Equal(calls, 1)
	})
}
