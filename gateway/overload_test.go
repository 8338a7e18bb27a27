// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// setOverload changes what the gateway knows of its delay, beside the ticking
// goroutine.
func (x *fixture) setOverload(set func(d *overload.Detector)) {
	for {
		old := x.g.overload.Load()
		d := *old
		set(&d)
		if x.g.overload.CompareAndSwap(old, &d) {
			return
		}
	}
}

func TestUnderPressureRequestsAreRefusedAtOnce(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setOverload(func(d *overload.Detector) { d.Delay = overload.DelayTooLong + 1 })
		got := x.request("/once/x")
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Connection"), "close")
		is.Equal(got.took, time.Duration(0))
		is.Equal(x.servers.count(), 0)
		x.setOverload(func(d *overload.Detector) { d.Delay = 0 })
		is.Equal(x.request("/once/x").status, 200)
	}, answers(200, "fine", 0))
}

// TestUnderPressureCallersGoElsewhere: not ready long enough to be seen twice
// by a balancer that asks every second.
func TestUnderPressureCallersGoElsewhere(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		is.True(x.g.Ready())
		x.setOverload(func(d *overload.Detector) { d.Delay = overload.DelayBeyond })
		time.Sleep(overload.TickPeriod + time.Millisecond) // the tick sees it, and then no delay any more
		for range 2 {
			is.True(!x.g.Ready())
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		is.True(x.g.Ready())
	}, answers(200, "fine", 0))
}

// TestRefusalsUnderPressureAreMissed: what is within a share and refused for
// the processor is told to the leader like what finds no engine.
func TestRefusalsUnderPressureAreMissed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setOverload(func(d *overload.Detector) { d.Delay = overload.DelayTooLong + 1 })
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 503)
		u := x.g.accounts.takeReport()
		is.Equal(u.Started, uint64(0))
		is.Equal(u.Missed, uint64(700))
	})
}

// untouchedBody fails a test when it is read.
type untouchedBody struct{ t *testing.T }

func (b untouchedBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// TestFloodIsRefusedWithoutItsBody: what is beyond its account's share is
// refused by its head alone, while another account is served.
func TestFloodIsRefusedWithoutItsBody(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.001, Extra: 0.002}}, nil, true)
		r := httptest.NewRequestWithContext(x.t.Context(), http.MethodPost, "/engine/x", untouchedBody{x.t})
		r.Host, r.ContentLength = "host", 12000
		r.Header.Set("Id", "request-1")
		r.Header.Set("Key", "key")
		r.Header.Set("Tokens", "9000")
		w := httptest.NewRecorder()
		x.g.ServeHTTP(w, r)
		is.Equal(w.Code, 429)
		is.True(w.Result().Header.Get("Retry-After") != "")
		is.Equal(x.request("/once/x", "Key", "other").status, 200)
	}, answers(200, "fine", 0))
}

// TestLateGatewayBlamesNobody cannot connect to its only backend server: one that is
// late itself trusts the backend server as before.
func TestLateGatewayBlamesNobody(t *testing.T) {
	for _, tt := range []struct {
		level   time.Duration
		trusted bool
	}{{0, false}, {2 * overload.DelayNoticed, true}} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceServers("plain", fails(forward.NotRun{Err: errReset}))
			release := x.holdPressure(tt.level)
			time.Sleep(overload.TickPeriod / 3) // between two ticks
			for range 2 * outlier.MinSamples {
				is.Equal(x.request("/once/x").status, 503)
			}
			trusted := x.g.table.servers["p0"].health.State(x.g.now()) != outlier.Ejected
			release()
			is.Equal(trusted, tt.trusted)
		})
	}
}

// TestLateGatewayLearnsNothing: what a gateway that is late itself sees of engines' pace
// says nothing of them. It would count them as slow, and so as full, and refuse its
// callers while they are idle.
func TestLateGatewayLearnsNothing(t *testing.T) {
	for _, tt := range []struct {
		level  time.Duration
		learns bool
	}{{0, true}, {2 * overload.DelayNoticed, false}} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceServers("engines", streams(piece{text: event(1), after: 300 * time.Millisecond}))
			release := x.holdPressure(tt.level)
			time.Sleep(overload.TickPeriod / 3) // between two ticks
			is.Equal(x.request("/engine/x", "Tokens", "6000").status, 200)
			release()
			learned := x.g.table.pools["engines"].placer.Learned()
			is.Equal(learned.Rate != 0, tt.learns)
		})
	}
}
