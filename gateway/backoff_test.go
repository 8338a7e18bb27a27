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

// This file tests what a gateway sends to a backend server that has turned it away and asked
// for backoff.

// askingForBackoff refuses every call, asks for backoff, and counts.
func askingForBackoff(backoff time.Duration, calls *atomic.Int64) behaviour {
	return func(_ context.Context, call forward.Call) (*forward.Answer, error) {
		calls.Add(1)
		h := http.Header{"Id": call.Header["Id"], "Backoff": {backoff.String()}}
		return nil, forward.NotRun{Refused: true, Status: http.StatusServiceUnavailable, Header: h, Err: io.EOF}
	}
}

// TestServerAskingForBackoffGetsNothing: neither a first attempt, nor another one, nor a stream that is
// taken up goes to a server in the time that it asked for, and it gets requests again after it.
func TestServerAskingForBackoffGetsNothing(t *testing.T) {
	const backoff = 3 * time.Second
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
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				var calls atomic.Int64
				x.announceServers(tt.pool, askingForBackoff(backoff, &calls), tt.other, tt.other)
				for calls.Load() == 0 {
					x.request(tt.path, "Patience", "2000")
					time.Sleep(time.Millisecond)
				}
				asked := x.g.now()
				for x.g.now() < asked+backoff-300*time.Millisecond { // longer than any of them takes
					x.request(tt.path, "Patience", "2000")
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(calls.Load(), int64(1)) // within the time that it asked for
				time.Sleep(asked + backoff - x.g.now())
				for range 40 {
					x.request(tt.path, "Patience", "2000")
				}
				is.True(calls.Load() > 1) // after it
			})
		})
	}
}

// TestAllServersBackedOff: what nothing serves for now is refused at once, as not run, and comes back when
// the first server takes requests again.
func TestAllServersBackedOff(t *testing.T) {
	for _, pool := range []string{"plain", "engines"} {
		t.Run(pool, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				path := map[string]string{"plain": "/once/1", "engines": "/engine/1"}[pool]
				var calls atomic.Int64
				x.announceServers(pool, askingForBackoff(2*time.Second, &calls), askingForBackoff(3*time.Second, &calls))
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

// TestLastServerAsksForBackoffWhileOthersWait: what waits is refused at once as well.
func TestLastServerAsksForBackoffWhileOthersWait(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		refusal := askingForBackoff(3*time.Second, &calls)
		x.announceServers("plain", func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
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
		is.Equal(calls.Load(), int64(8)) // what it had room for when it asked
	})
}

// TestMayHaveRunOutlastsAShortBackoff: what cannot be told that it has not run waits for a server while
// there is hope.
func TestMayHaveRunOutlastsAShortBackoff(t *testing.T) {
	for backoff, status := range map[time.Duration]int{300 * time.Millisecond: 200, 2 * time.Second: 502} {
		t.Run(backoff.String(), func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				var calls atomic.Int64
				x.announceServers("plain", fails(forward.Unknown{Err: errReset}), askingForBackoff(backoff, &calls))
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

// TestConnectionThatOpensAfterTheRefusal: a call that waited for its connection when the server asked for
// backoff is not sent, and goes elsewhere.
func TestConnectionThatOpensAfterTheRefusal(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls, sent atomic.Int64
		refusal := askingForBackoff(3*time.Second, &calls)
		x.announceServers("plain", func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
			if sent.Add(1) == 1 {
				return refusal(ctx, call)
			}
			time.Sleep(50 * time.Millisecond) // opens a connection
			if call.Unwanted() {
				return nil, forward.NotRun{Err: errors.WithStack(forward.ErrUnwanted)}
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

// TestBackoffOfAnotherLife: it ends with the server, not with what the directory lists.
func TestBackoffOfAnotherLife(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		x.announceServers("plain", askingForBackoff(3*time.Second, &calls))
		ask := func() int64 {
			x.request("/once/1", "Patience", "2000")
			return calls.Load()
		}
		is.Equal(ask(), int64(1))
		listed := x.g.table.servers["p0"].Server
		x.g.table.update(protocol.Servers{Term: 1, Gone: []string{"p0"}})
		x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{listed}})
		is.Equal(ask(), int64(1))
		x.g.table.update(protocol.Servers{Term: 2, Whole: true, Complete: true, Set: []protocol.Server{listed}})
		is.Equal(ask(), int64(1))
		listed.ID = "p0-again"
		x.g.table.update(protocol.Servers{Term: 2, Set: []protocol.Server{listed}})
		is.Equal(ask(), int64(2))
		time.Sleep(4 * time.Second)
		is.Equal(ask(), int64(3))
		x.g.table.update(protocol.Servers{Term: 2, Gone: []string{"p0-again"}})
		is.Equal(len(x.g.table.unlistedNotices), 1) // what is over is not kept
	})
}

// TestBackoffBringsNoOldVersionBack: what a rollout has moved to another version is refused while all
// servers of that version backoff.
func TestBackoffBringsNoOldVersionBack(t *testing.T) {
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
	}, answers(200, "old", time.Millisecond), askingForBackoff(3*time.Second, &calls))
}

// TestBackoffOfAnAnswerThatRan: a 503 asks for backoff whether it has run the request or not.
func TestBackoffOfAnAnswerThatRan(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		x.announceServers("plain", func(_ context.Context, call forward.Call) (*forward.Answer, error) {
			calls.Add(1)
			h := answerHeader(call)
			h.Set("Backoff", "3s")
			return &forward.Answer{Status: 503, Header: h, Length: 0, Body: http.NoBody}, nil
		}, answers(200, "ok", time.Millisecond))
		for range 40 {
			x.request("/again/1", "Patience", "2000")
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(calls.Load(), int64(1))
	})
}

// TestWaitingRequestsGoToNoBackedOffServer: what waited for room when the server asked is not given to it
// as the other servers fill up.
func TestWaitingRequestsGoToNoBackedOffServer(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		x.announceServers("plain", askingForBackoff(3*time.Second, &calls), answers(200, "ok", 300*time.Millisecond))
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
