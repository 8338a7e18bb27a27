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

	"github.com/badgerspoke/badgerspoke/coordination/backpressure"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests which requests a gateway sends to a backend server that has announced in an
// answer that it is leaving.

// leaving wraps a behaviour, announces in each answer that the server is leaving, and counts the
// calls.
func leaving(inner behaviour, calls *atomic.Int64) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		calls.Add(1)
		answer, err := inner(ctx, call)
		if answer != nil {
			answer.Header.Set("Leaving", "yes")
		}
		if not, ok := err.(forward.NotRun); ok {
			not.Header.Set("Leaving", "yes")
		}
		return answer, err
	}
}

// TestLeavingServerGetsNoRequests checks that a server gets no more requests once the head of any
// answer has announced that it is leaving: no first attempts, no retries and no resumed streams.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	ok := answers(200, "ok", time.Millisecond)
	whole := streams(piece{event(1) + event(2), 0, io.EOF})
	for _, tt := range []struct {
		name     string
		pool     string
		path     string
		leaves   behaviour
		other    behaviour // of the other servers
		attempts bool      // more than one attempt per request
	}{
		{"with a success", "plain", "/once/1", ok, ok, false},
		{"with its own failure", "plain", "/again/1", answers(500, "broken", 0), ok, true},
		{"with a client error", "plain", "/once/1", answers(404, "nothing", 0), ok, false},
		{"with a refusal", "plain", "/once/1", refuses(503), ok, true},
		{"with a refusal for another reason", "engines", "/engine/1", refuses(429), whole, true},
		{"with a stream", "engines", "/engine/1", whole, whole, false},
		{"with a stream that breaks", "plain", "/resume/1", streams(piece{event(1), 0, errReset}), whole, true},
		{"while the others fail", "plain", "/again/1", ok, answers(500, "broken", 0), true},
		{"while streams of the others break", "plain", "/resume/1", whole, streams(piece{event(1), 0, errReset}), true},
		{"while answers of the others are lost", "engines", "/engine/1", whole, fails(forward.MayHaveRun{Err: errReset}), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				var calls atomic.Int64
				x.announceServers(tt.pool, leaving(tt.leaves, &calls), tt.other, tt.other)
				for calls.Load() == 0 {
					x.request(tt.path, "Patience", "2000")
				}
				for range 100 {
					x.request(tt.path, "Patience", "2000")
					time.Sleep(50 * time.Millisecond)
				}
				is.Equal(calls.Load(), int64(1))
			})
		})
	}
}

// TestWaitingRequestsAvoidLeavingServer checks that requests waiting for capacity are not assigned
// to a server that is leaving, even while streams on it continue.
func TestWaitingRequestsAvoidLeavingServer(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		long := streams(piece{event(1), 0, nil}, piece{event(2), 40 * time.Millisecond, nil}, piece{event(3), 40 * time.Millisecond, io.EOF})
		x.announceServers("engines", leaving(long, &calls))
		done := make(chan reply, 20)
		for range 20 {
			go func() { done <- x.request("/engine/1", "Patience", "2000") }()
		}
		served := 0
		for range 20 {
			if r := <-done; r.status == http.StatusOK {
				is.Equal(r.body, event(1)+event(2)+event(3))
				served++
			}
		}
		is.Equal(int64(served), calls.Load()) // requests running there are completed
		is.True(served <= 5)                  // the requests it had room for before the announcement
	})
}

// TestLeavingNoticeOutlastsRelisting checks that the announcement holds until the server process
// ends, whatever the directory lists, and does not apply to its successor.
func TestLeavingNoticeOutlastsRelisting(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		x.announceServers("plain", leaving(answers(200, "ok", time.Millisecond), &calls))
		request := func() int64 {
			x.request("/once/1", "Patience", "500")
			return calls.Load()
		}
		is.Equal(request(), int64(1))
		listed := x.g.table.servers["p0"].Server
		for _, m := range []protocol.Servers{
			{Term: 1, Set: []protocol.Server{listed}},
			{Term: 1, Removed: []string{"p0"}},
			{Term: 1, Set: []protocol.Server{listed}},
			{Term: 2, Whole: true, Complete: true, Set: []protocol.Server{listed}},
		} {
			x.g.table.update(m)
			time.Sleep(5 * time.Second)
			is.Equal(request(), int64(1))
		}
		listed.ID = "p0-again"
		x.g.table.update(protocol.Servers{Term: 2, Set: []protocol.Server{listed}})
		is.Equal(request(), int64(2))
		x.g.table.update(protocol.Servers{Term: 2, Removed: []string{"p0-again"}})
		is.Equal(len(x.g.table.unlistedNotices), 2)
		time.Sleep(backpressure.MaxBackoff + time.Minute)
		listed.ID = "p0-more"
		x.g.table.update(protocol.Servers{Term: 2, Set: []protocol.Server{listed}})
		is.Equal(request(), int64(3))
		x.g.table.update(protocol.Servers{Term: 2, Removed: []string{"p0-more"}})
		is.Equal(len(x.g.table.unlistedNotices), 1) // expired notices are dropped
	})
}

// TestRequestWaitsIfAllServersAreLeaving checks that a request waits for a new server if all listed
// ones are leaving. If the remaining ones are in backoff instead, it is refused at once.
func TestRequestWaitsIfAllServersAreLeaving(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var calls atomic.Int64
		ok := answers(200, "ok", time.Millisecond)
		x.announceServers("plain", leaving(ok, &calls))
		is.Equal(x.request("/once/1", "Patience", "2000").status, 200)
		r := x.request("/once/1", "Patience", "2000")
		is.Equal(r.status, 503)
		is.True(r.took > 0)
		time.AfterFunc(50*time.Millisecond, func() {
			another := x.g.table.servers["p0"].Server
			another.ID, another.Address = "p1", "10.0.5.1:80"
			x.servers.behaviours[another.Address] = refusesWithBackoff(3*time.Second, &calls)
			x.g.addServer(another)
		})
		is.Equal(x.request("/once/1", "Patience", "2000").status, 503)
		is.Equal(calls.Load(), int64(2)) // the new server got the request
		r = x.request("/once/1", "Patience", "2000")
		is.Equal(r.body, "{\"error\":\"backing-off\"}\n")
		is.Equal(r.took, time.Duration(0))
	})
}

// addServer adds a server as a message of the directory does.
func (g *Gateway) addServer(s protocol.Server) {
	g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{s}})
	g.grantAll()
}

// TestLeavingServersDuringRollout checks that an old version counts as gone if all its servers are
// leaving, and that a trial uses servers of the target that are not leaving.
func TestLeavingServersDuringRollout(t *testing.T) {
	ok := answers(200, "ok", time.Millisecond)
	t.Run("old", func(t *testing.T) {
		var calls atomic.Int64
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.setVersions("v1", "v2")
			x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0})
			for range 5 {
				x.renewShares()
				is.Equal(x.request("/once/1", "Patience", "800").status, 200)
			}
			is.Equal(calls.Load(), int64(1))
		}, leaving(ok, &calls), ok)
	})
	t.Run("target", func(t *testing.T) {
		var calls atomic.Int64
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.setVersions("v1", "v2", "v2")
			for i := range 3 {
				x.sendRollout(1, uint64(i+1), protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.5, Routes: []protocol.RouteShare{{Route: "once", Share: 1}}})
				x.renewShares()
				is.Equal(x.request("/once/1", "Patience", "800").status, 200)
			}
			is.Equal(calls.Load(), int64(1)) // the first server of the trial, which may be either
			targets := 0
			for _, k := range x.g.table.servers {
				if k.versionSet&trialVersion != 0 {
					is.True(!k.notice.Leaving())
					targets++
				}
			}
			is.Equal(targets, 1)
		}, ok, leavingFirst(ok, &calls), leavingFirst(ok, &calls))
	})
}

// leavingFirst is like leaving, but only the first of the counted calls announces it.
func leavingFirst(inner behaviour, calls *atomic.Int64) behaviour {
	leaves := leaving(inner, calls)
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		if calls.Load() == 0 {
			return leaves(ctx, call)
		}
		return inner(ctx, call)
	}
}
