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
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests which requests a gateway sends to a backend server that refused one and asked for
// backoff.

// refusesWithBackoff refuses every call, asks for backoff, and counts the calls.
func refusesWithBackoff(backoff time.Duration, calls *atomic.Int64) behaviour {
	return func(_ context.Context, call forward.Call) (*forward.Response, error) {
		calls.Add(1)
		h := http.Header{"Id": call.Header["Id"], "Backoff": {backoff.String()}}
		return nil, forward.NotRun{Refused: true, Status: http.StatusServiceUnavailable, Header: h, Err: io.EOF}
	}
}

// TestServerInBackoffGetsNoRequests checks that neither first attempts, nor retries, nor
// resumed streams go to a server during its backoff, and that it gets requests again afterwards.
func TestServerInBackoffGetsNoRequests(t *testing.T) {
	const backoff = 3 * time.Second
	whole := streams(piece{event(1) + event(2), 0, io.EOF})
	for _, tt := range []struct {
		name  string
		pool  string
		path  string
		other behaviour // of the other servers
	}{
		{"first attempts that may run once", "plain", "/once/1", answers(200, "ok", time.Millisecond)},
		{"first attempts that may be repeated", "plain", "/again/1", answers(200, "ok", time.Millisecond)},
		{"first attempts of streams on engines", "engines", "/engine/1", whole},
		{"retry after a failure", "plain", "/again/1", answers(500, "broken", time.Millisecond)},
		{"retry after a refusal", "plain", "/once/1", refuses(503)},
		{"retry after a lost answer", "engines", "/engine/1", fails(forward.MayHaveRun{Err: errReset})},
		{"resumed stream", "plain", "/resume/1", streams(piece{event(1), 0, errReset})},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				var calls atomic.Int64
				x.announceServers(tt.pool, refusesWithBackoff(backoff, &calls), tt.other, tt.other)
				for calls.Load() == 0 {
					x.request(tt.path, "Patience", "2000")
					time.Sleep(time.Millisecond)
				}
				backoffStart := x.g.now()
				for x.g.now() < backoffStart+backoff-300*time.Millisecond { // a request takes less than 300 ms
					x.request(tt.path, "Patience", "2000")
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(calls.Load(), int64(1)) // during the backoff
				time.Sleep(backoffStart + backoff - x.g.now())
				for range 40 {
					x.request(tt.path, "Patience", "2000")
				}
				is.True(calls.Load() > 1) // after the backoff
			})
		})
	}
}

// TestRequestIsRefusedIfAllServersAreInBackoff checks that a request is refused at once, as not
// run, while all servers are in backoff. Retry-After is the time until the first server accepts
// requests again.
func TestRequestIsRefusedIfAllServersAreInBackoff(t *testing.T) {
	for _, pool := range []string{"plain", "engines"} {
		t.Run(pool, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				path := map[string]string{"plain": "/once/1", "engines": "/engine/1"}[pool]
				var calls atomic.Int64
				x.announceServers(pool, refusesWithBackoff(2*time.Second, &calls), refusesWithBackoff(3*time.Second, &calls))
				for range 10 {
					x.request(path, "Patience", "9000")
				}
				is.Equal(calls.Load(), int64(2))
				r := x.request(path, "Patience", "9000")
				is.Equal(r.status, 503)
				is.Equal(r.body, "{\"error\":\"backing-off\"}\n")
				is.Equal(r.took, time.Duration(0))
				is.Equal(r.header.Get("Retry-After"), "2.000")
				time.Sleep(2 * time.Second)
				x.request(path, "Patience", "9000")
				is.Equal(calls.Load(), int64(3))
			})
		})
	}
}

// TestWaitingRequestsAreRefusedIfOnlyServerBacksOff checks that waiting requests are refused at
// once when the only server asks for backoff.
func TestWaitingRequestsAreRefusedIfOnlyServerBacksOff(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		refusal := refusesWithBackoff(3*time.Second, &calls)
		x.announceServers("plain", func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return refusal(ctx, call)
		})
		done := make(chan reply, 20)
		for range 20 {
			go func() { done <- x.request("/once/1", "Patience", "2000") }()
		}
		for range 20 {
			r := <-done
			is.Equal(r.status, 503)
			is.True(r.took <= 100*time.Millisecond)
		}
		is.Equal(calls.Load(), int64(8)) // the requests it had room for
	})
}

// TestRequestThatMayHaveRunWaitsForShortBackoff checks that a request that may have run waits for
// the end of a backoff if that comes early enough. It cannot be refused as not run.
func TestRequestThatMayHaveRunWaitsForShortBackoff(t *testing.T) {
	for backoff, status := range map[time.Duration]int{300 * time.Millisecond: 200, 2 * time.Second: 502} {
		t.Run(backoff.String(), func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				var calls atomic.Int64
				x.announceServers("plain", fails(forward.MayHaveRun{Err: errReset}), refusesWithBackoff(backoff, &calls))
				for calls.Load() == 0 {
					x.request("/once/1", "Patience", "2000")
				}
				x.servers.behaviours["10.0.5.1:80"] = answers(200, "ok", time.Millisecond)
				ended := time.AfterFunc(backoff+time.Millisecond, x.g.grantAll)
				defer ended.Stop()
				r := x.request("/again/1", "Patience", "2900")
				is.Equal(r.status, status)
				is.True(r.took < time.Second)
			})
		})
	}
}

// TestCallIsNotSentIfBackoffBeginsWhileConnecting checks that a call still waiting for its
// connection when the server asks for backoff is not sent, and goes to another server.
func TestCallIsNotSentIfBackoffBeginsWhileConnecting(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls, sent atomic.Int64
		refusal := refusesWithBackoff(3*time.Second, &calls)
		x.announceServers("plain", func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			if sent.Add(1) == 1 {
				return refusal(ctx, call)
			}
			time.Sleep(50 * time.Millisecond) // time to open a connection
			if call.Abandoned() {
				return nil, forward.NotRun{Err: errors.WithStack(forward.ErrAbandoned)}
			}
			calls.Add(1)
			return refusal(ctx, call)
		}, answers(200, "ok", time.Millisecond))
		done := make(chan reply, 6)
		for range 6 {
			go func() { done <- x.request("/once/1", "Patience", "2000") }()
		}
		for range 6 {
			is.Equal((<-done).status, 200)
		}
		is.Equal(calls.Load(), int64(1))
	})
}

// TestBackoffLastsUntilServerProcessEnds checks that a backoff lasts until the server process ends,
// even if the directory removes the server from its list and adds it again.
func TestBackoffLastsUntilServerProcessEnds(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		x.announceServers("plain", refusesWithBackoff(3*time.Second, &calls))
		request := func() int64 {
			x.request("/once/1", "Patience", "2000")
			return calls.Load()
		}
		is.Equal(request(), int64(1))
		listed := x.g.table.servers["p0"].Server
		x.g.table.update(protocol.Servers{Term: 1, Removed: []string{"p0"}})
		x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{listed}})
		is.Equal(request(), int64(1))
		x.g.table.update(protocol.Servers{Term: 2, Whole: true, Complete: true, Set: []protocol.Server{listed}})
		is.Equal(request(), int64(1))
		listed.ID = "p0-again"
		x.g.table.update(protocol.Servers{Term: 2, Set: []protocol.Server{listed}})
		is.Equal(request(), int64(2))
		time.Sleep(4 * time.Second)
		is.Equal(request(), int64(3))
		x.g.table.update(protocol.Servers{Term: 2, Removed: []string{"p0-again"}})
		is.Equal(len(x.g.table.unlistedNotices), 1) // the expired notice is dropped
	})
}

// TestBackoffDoesNotReenableOldVersion checks that after a rollout has switched all requests to a
// version, they are refused while all servers of that version are in backoff, rather than sent to
// the old version.
func TestBackoffDoesNotReenableOldVersion(t *testing.T) {
	var calls atomic.Int64
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
		x.renewShares()
		x.request("/once/1", "Patience", "800")
		is.Equal(calls.Load(), int64(1))
		x.renewShares()
		is.Equal(x.request("/once/1", "Patience", "800").status, 503)
		is.Equal(calls.Load(), int64(1))
		is.Equal(x.servers.count(), 1)
	}, answers(200, "old", time.Millisecond), refusesWithBackoff(3*time.Second, &calls))
}

// TestBackoffAppliesIfRequestRan checks that the backoff in a 503 answer applies even if the
// request has run.
func TestBackoffAppliesIfRequestRan(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		x.announceServers("plain", func(_ context.Context, call forward.Call) (*forward.Response, error) {
			calls.Add(1)
			h := answerHeader(call)
			h.Set("Backoff", "3s")
			return &forward.Response{Status: 503, Header: h, Length: 0, Body: http.NoBody}, nil
		}, answers(200, "ok", time.Millisecond))
		for range 40 {
			x.request("/again/1", "Patience", "2000")
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(calls.Load(), int64(1))
	})
}

// TestWaitingRequestsAvoidServerInBackoff checks that requests waiting for capacity are not
// assigned to a server in backoff when the other servers fill up.
func TestWaitingRequestsAvoidServerInBackoff(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		x.announceServers("plain", refusesWithBackoff(3*time.Second, &calls), answers(200, "ok", 300*time.Millisecond))
		done := make(chan reply, 100)
		for i := range 100 {
			go func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				done <- x.request("/once/1", "Patience", "2000")
			}()
		}
		for range 100 {
			<-done
		}
		is.Equal(calls.Load(), int64(1))
	})
}
