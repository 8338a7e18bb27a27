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

// setOverload changes the gateway's overload state. The tick goroutine may update it at the same
// time.
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

func TestOverloadRefusesRequestsAtOnce(t *testing.T) {
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

// TestOverloadedGatewayIsNotReady checks that an overloaded gateway is not ready for long
// enough that a load balancer probing once a second sees it twice.
func TestOverloadedGatewayIsNotReady(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		is.True(x.g.Ready())
		x.setOverload(func(d *overload.Detector) { d.Delay = overload.DelayBeyond })
		time.Sleep(overload.TickPeriod + time.Millisecond) // one tick detects the delay, the next ones see none
		for range 2 {
			is.True(!x.g.Ready())
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		is.True(x.g.Ready())
	}, answers(200, "fine", 0))
}

// TestOverloadRefusalsCountAsMissed checks that requests within a share that are refused because
// of processor overload are reported to the leader as missed, like requests that find no engine.
func TestOverloadRefusalsCountAsMissed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setOverload(func(d *overload.Detector) { d.Delay = overload.DelayTooLong + 1 })
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 503)
		u := x.g.accounts.takeReport()
		is.Equal(u.Started, uint64(0))
		is.Equal(u.Missed, uint64(700))
	})
}

// untouchedBody is a request body that fails the test when it is read.
type untouchedBody struct{ t *testing.T }

func (b untouchedBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// TestRequestBeyondShareIsRefusedBeforeItsBody checks that a request beyond its account's share is
// refused without reading its body, while another account is served.
func TestRequestBeyondShareIsRefusedBeforeItsBody(t *testing.T) {
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

// TestDelayedGatewayDoesNotEjectServer makes the only backend server unreachable. A gateway with a
// high scheduling delay must not eject it, because its own delay may have used up the connect
// timeout.
func TestDelayedGatewayDoesNotEjectServer(t *testing.T) {
	for _, tt := range []struct {
		level   time.Duration
		trusted bool
	}{{0, false}, {2 * overload.DelayLate, true}} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceServers("plain", fails(forward.NotRun{Err: errReset}))
			release := x.holdDelay(tt.level)
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

// TestDelayedGatewayDoesNotLearnReadRate checks that a gateway with a high scheduling delay does
// not learn the engines' read rate. Otherwise it would attribute its own delay to them, treat idle
// engines as full, and refuse its callers.
func TestDelayedGatewayDoesNotLearnReadRate(t *testing.T) {
	for _, tt := range []struct {
		level  time.Duration
		learns bool
	}{{0, true}, {2 * overload.DelayLate, false}} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceServers("engines", streams(piece{text: event(1), after: 300 * time.Millisecond}))
			release := x.holdDelay(tt.level)
			time.Sleep(overload.TickPeriod / 3) // between two ticks
			is.Equal(x.request("/engine/x", "Tokens", "6000").status, 200)
			release()
			learned := x.g.table.pools["engines"].placer.Estimates()
			is.Equal(learned.ReadRate != 0, tt.learns)
		})
	}
}
