// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests that streams reach the caller as whole events, in order and once each.

// pause is the time between two events.
const pause = 50 * time.Millisecond

// resuming returns a behaviour that streams events up to last, starting after the one that the call
// names. If breakAfter is not 0, the stream breaks in the middle of the event after that one.
func resuming(last, breakAfter int, brokenAnswer error) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		from, _ := strconv.Atoi(call.Header.Get("After"))
		var pieces []piece
		for id := from + 1; id <= last; id++ {
			pieces = append(pieces, piece{text: event(id), after: pause})
			if id == breakAfter {
				half := event(id + 1)[:10] // cut in the middle of an event
				pieces = append(pieces, piece{text: half}, piece{after: pause, err: brokenAnswer})
				break
			}
		}
		return streams(pieces...)(ctx, call)
	}
}

// wholeStream returns the text of the events up to last.
func wholeStream(last int) string {
	text := ""
	for id := 1; id <= last; id++ {
		text += event(id)
	}
	return text
}

// TestStreamIsRelayed checks that a whole stream reaches its caller with the server's header.
func TestStreamIsRelayed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/stream/x")
		is.Equal(got.status, 200)
		is.Equal(got.body, wholeStream(5))
		is.Equal(got.header.Get("Sealed"), "yes")
		is.True(!got.cut)
	}, resuming(5, 0, nil))
}

// TestBrokenStreamIsResumed breaks a stream in the middle of an event and checks that the second
// backend server continues after the last whole event.
func TestBrokenStreamIsResumed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, errReset), resuming(6, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.True(!got.cut)
		is.Equal(x.servers.arrivals[1].Header.Get("After"), "3")
	})
}

// TestStreamEndingInsideAnEventIsResumed checks that a stream whose body ends inside an event
// counts as broken and is resumed, even if reading it returns no error but io.EOF.
func TestStreamEndingInsideAnEventIsResumed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, io.EOF), resuming(6, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
	})
}

// TestNonResumableStreamIsCutOff checks that a broken stream that is not resumable is visibly
// cut off for its caller and reaches no other backend server.
func TestNonResumableStreamIsCutOff(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, errReset), resuming(6, 0, nil)})
		got := x.request("/stream/x")
		is.Equal(got.body, wholeStream(3))
		is.True(got.cut)
		is.Equal(x.servers.count(), 1)
	})
}

// TestBrokenStreamWithoutOtherServerIsCutOff checks that the gateway writes no answer of its own
// into a stream that has begun.
func TestBrokenStreamWithoutOtherServerIsCutOff(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, errReset), fails(forward.NotRun{Err: errReset})})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(3))
		is.True(got.cut)
	})
}

// TestBrokenStreamResumesAtOnlyServer checks that a broken stream resumes at the same backend
// server if there is no other.
func TestBrokenStreamResumesAtOnlyServer(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.Equal(x.servers.count(), 2)
	}, resuming(6, 3, errReset))
}

// TestStreamIsCutOffAfterLastAttempt checks that a stream is cut off when its last attempt breaks
// as well.
func TestStreamIsCutOffAfterLastAttempt(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(9, 2, errReset), resuming(9, 4, errReset), resuming(9, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(4))
		is.True(got.cut) // the route allows two attempts
		is.Equal(x.servers.count(), 2)
	})
}

// TestStalledStreamIsResumedElsewhere checks that a stream is resumed elsewhere if its backend
// server stalls without closing the connection.
func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	silent := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		return streams(piece{text: event(1)}, piece{text: event(2), after: time.Hour})(ctx, call)
	}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{silent, resuming(4, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(4))
		is.True(got.took < 700*time.Millisecond)
	})
}

// TestPauseDoesNotEndStreamThatCannotResume checks that a pause does not end a stream that no other
// backend server may resume, because it is not resumable or because all attempts are used.
func TestPauseDoesNotEndStreamThatCannotResume(t *testing.T) {
	pausing := streams(piece{text: event(1)}, piece{text: event(2), after: 1500 * time.Millisecond})
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/stream/x")
		is.Equal(got.body, wholeStream(2))
		is.True(!got.cut)
	}, pausing)
	resumed := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		return streams(piece{text: event(2)}, piece{text: event(3), after: 1500 * time.Millisecond})(ctx, call)
	}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(3, 1, errReset), resumed})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(3))
		is.True(!got.cut)
	})
}

// TestRouteTimeoutCutsOffStream checks that a stream that exceeds its route's timeout is cut off.
func TestRouteTimeoutCutsOffStream(t *testing.T) {
	endless := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		return resuming(1000, 0, nil)(ctx, call)
	}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/stream/x")
		is.True(got.cut)
		is.Equal(got.took, 3*time.Second)
	}, endless)
}

// TestRelayedStreamIsIndependentOfChunks checks that the relayed bytes do not depend on how the
// events are split.
func TestRelayedStreamIsIndependentOfChunks(t *testing.T) {
	whole := wholeStream(4)
	var pieces []piece
	for i := 0; i < len(whole); i += 7 {
		pieces = append(pieces, piece{text: whole[i:min(i+7, len(whole))], after: time.Millisecond})
	}
	withGateway(t, func(x *fixture) {
		is.New(x.t).Equal(x.request("/resume/x").body, whole)
	}, streams(pieces...))
}

// timedBody is a stream whose events become available at fixed times, whether or not they are read.
type timedBody struct {
	startedAt time.Time
	interval  time.Duration
	last      int
	sent      int
	reads     int
}

func (r *timedBody) Read(b []byte) (int, error) {
	if r.sent == r.last {
		return 0, io.EOF
	}
	r.reads++
	time.Sleep(time.Until(r.startedAt.Add(time.Duration(r.sent+1) * r.interval)))
	n := 0
	for r.sent < r.last && time.Since(r.startedAt) >= time.Duration(r.sent+1)*r.interval {
		r.sent++
		n += copy(b[n:], event(r.sent))
	}
	return n, nil
}

func (r *timedBody) Close() error { return nil }

// holdDelay keeps the averaged delay at a level until release is called. It sets the level
// repeatedly, since the gateway's tick would lower it.
func (x *fixture) holdDelay(level time.Duration) (release func()) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			x.setOverload(func(d *overload.Detector) { d.Delay = level })
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() { close(stop); <-stopped }
}

// TestDelayedGatewayDoesNotAbandonSlowServer checks that a stalled backend server is abandoned for
// another one, but not by a gateway that is delayed itself and may not have read what has arrived.
func TestDelayedGatewayDoesNotAbandonSlowServer(t *testing.T) {
	const begins = 1500 * time.Millisecond // longer than the stall timeout
	slow := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		if !sleep.For(ctx, begins) {
			return nil, forward.MayHaveRun{Err: ctx.Err()}
		}
		body := &timedBody{startedAt: time.Now(), interval: 10 * time.Millisecond, last: 20}
		return &forward.Response{Status: 200, Header: answerHeader(call), Length: -1, Body: body}, nil
	}
	for _, tt := range []struct {
		level    time.Duration
		arrivals int
	}{{0, 2}, {2 * overload.DelayLate, 1}} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			release := x.holdDelay(tt.level)
			time.Sleep(overload.TickPeriod / 3) // so that the stall timeout is between two ticks
			got := x.request("/resume/x")
			release()
			is.Equal(got.status, 200)
			is.Equal(got.body, wholeStream(20))
			is.Equal(x.servers.count(), tt.arrivals)
		}, slow, slow)
	}
}

// TestOverloadedGatewayCoalescesEvents checks that a gateway under processor pressure relays the
// same bytes with fewer reads, and one without pressure reads each event by itself.
func TestOverloadedGatewayCoalescesEvents(t *testing.T) {
	for _, pressed := range []bool{false, true} {
		var body *timedBody
		behave := func(_ context.Context, call forward.Call) (*forward.Response, error) {
			body = &timedBody{startedAt: time.Now(), interval: 10 * time.Millisecond, last: 40}
			return &forward.Response{Status: 200, Header: answerHeader(call), Length: -1, Body: body}, nil
		}
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			level := time.Duration(0)
			if pressed {
				level = 2 * overload.DelayLate
			}
			release := x.holdDelay(level)
			got := x.request("/resume/x")
			release()
			is.Equal(got.body, wholeStream(40))
			if pressed {
				is.True(body.reads <= 11)
			} else {
				is.Equal(body.reads, 40)
			}
		}, behave)
	}
}

// requestWithBody sends a request with the given body and content length.
func (x *fixture) requestWithBody(body io.Reader, length int64) reply {
	r := httptest.NewRequestWithContext(x.t.Context(), http.MethodPost, "/once/x", body)
	r.Host, r.ContentLength = "host", length
	r.Header.Set("Id", "request-1")
	r.Header.Set("Key", "key")
	w := httptest.NewRecorder()
	x.g.ServeHTTP(w, r)
	return reply{status: w.Code, header: w.Result().Header, body: w.Body.String()}
}

// TestSilentIdleConnectionsEjectNoServer makes the kept connections to both servers go silent.
// Their streams must resume elsewhere, no server may be ejected, and the idle connections must be
// dropped. If new connections are silent too, the server must be ejected.
func TestSilentIdleConnectionsEjectNoServer(t *testing.T) {
	var x *fixture
	openedAt, silent := time.Time{}, false
	onKeptConn := func(behave behaviour) behaviour {
		return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			if silent {
				call.Connected(openedAt)
				<-ctx.Done()
				return nil, forward.MayHaveRun{ConnOpenedAt: openedAt, Err: ctx.Err()}
			}
			return behave(ctx, call)
		}
	}
	withGateway(t, func(fx *fixture) {
		x = fx
		is := is.New(x.t)
		openedAt = time.Now()
		time.Sleep(time.Second)
		silent = true
		for range 8 {
			x.request("/resume/x")
		}
		x.g.table.mu.Lock()
		for _, k := range x.g.table.servers {
			is.Equal(k.health.State(x.g.now()), outlier.InUse)
		}
		x.g.table.mu.Unlock()
		is.Equal(x.servers.dropped[:2], []string{"10.0.5.0:80", "all"}) // two servers are silent, so the network is at fault
		openedAt = time.Now().Add(time.Hour)                            // all connections are new from here on
		for range 8 {
			x.request("/resume/x")
		}
		ejected := 0
		x.g.table.mu.Lock()
		for _, k := range x.g.table.servers {
			if k.health.State(x.g.now()) != outlier.InUse {
				ejected++
			}
		}
		x.g.table.mu.Unlock()
		is.True(ejected > 0)
	}, onKeptConn(resuming(5, 0, nil)), onKeptConn(resuming(5, 0, nil)))
}

// TestTimeoutOnSilentConnectionDropsIdleConnections checks that such a request waits until its
// timeout, since a slow server looks the same, but that the next one is sent on a new connection.
func TestTimeoutOnSilentConnectionDropsIdleConnections(t *testing.T) {
	openedAt := time.Time{}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		openedAt = time.Now()
		time.Sleep(time.Second)
		got := x.request("/once/x")
		is.Equal(got.status, 504)
		is.Equal(x.servers.dropped, []string{"10.0.5.0:80"})
		is.Equal(x.g.table.servers["p0"].health.State(x.g.now()), outlier.InUse)
	}, func(ctx context.Context, _ forward.Call) (*forward.Response, error) {
		<-ctx.Done()
		return nil, forward.MayHaveRun{ConnOpenedAt: openedAt, Err: ctx.Err()}
	})
}
