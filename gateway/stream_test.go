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

// This file tests streams: whole events, in order, once each.

const pause = 50 * time.Millisecond

// resuming streams events up to last, beginning after the one that the call
// names, and breaks once after it has sent breakAfter.
func resuming(last, breakAfter int, brokenAnswer error) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
		from, _ := strconv.Atoi(call.Header.Get("After"))
		var pieces []piece
		for id := from + 1; id <= last; id++ {
			pieces = append(pieces, piece{text: event(id), after: pause})
			if id == breakAfter {
				half := event(id + 1)[:10] // in the middle of an event
				pieces = append(pieces, piece{text: half}, piece{after: pause, err: brokenAnswer})
				break
			}
		}
		return streams(pieces...)(ctx, call)
	}
}

func wholeStream(last int) string {
	text := ""
	for id := 1; id <= last; id++ {
		text += event(id)
	}
	return text
}

func TestStreamIsPassedOn(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/stream/x")
		is.Equal(got.status, 200)
		is.Equal(got.body, wholeStream(5))
		is.Equal(got.header.Get("Sealed"), "yes")
		is.True(!got.cut)
	}, resuming(5, 0, nil))
}

// TestBrokenStreamIsTakenUp breaks a stream in the middle of an event: the
// second backend server goes on after the last whole one.
func TestBrokenStreamIsTakenUp(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, errReset), resuming(6, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.True(!got.cut)
		is.Equal(x.servers.arrivals[1].Header.Get("After"), "3")
	})
}

// TestStreamThatEndsInsideAnEventIsBroken: an end without an error is not
// whole if an event is not.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, io.EOF), resuming(6, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
	})
}

// TestStreamThatMayNotRunAgainIsCut: the caller must see that it is not whole,
// and no other backend server may get it.
func TestStreamThatMayNotRunAgainIsCut(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, errReset), resuming(6, 0, nil)})
		got := x.request("/stream/x")
		is.Equal(got.body, wholeStream(3))
		is.True(got.cut)
		is.Equal(x.servers.count(), 1)
	})
}

// TestBrokenStreamWithNobodyLeftIsCut: no answer of the gateway's own may be
// written into a stream that has begun.
func TestBrokenStreamWithNobodyLeftIsCut(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(6, 3, errReset), fails(forward.NotRun{Err: errReset})})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(3))
		is.True(got.cut)
	})
}

// TestBrokenStreamGoesOnAtItsOnlyBackend: with no other, the same is asked.
func TestBrokenStreamGoesOnAtItsOnlyBackend(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.Equal(x.servers.count(), 2)
	}, resuming(6, 3, errReset))
}

func TestStreamBreaksAgain(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{resuming(9, 2, errReset), resuming(9, 4, errReset), resuming(9, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(4))
		is.True(got.cut) // two backend servers are all that the route allows
		is.Equal(x.servers.count(), 2)
	})
}

// TestSilentStreamIsTakenUp: a backend server stops in the middle without a word.
func TestSilentStreamIsTakenUp(t *testing.T) {
	silent := func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
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

// TestPausingStreamIsNotCut: a pause justifies nothing where nobody else may go
// on, be it that the stream may not run again or that all attempts are used.
func TestPausingStreamIsNotCut(t *testing.T) {
	pausing := streams(piece{text: event(1)}, piece{text: event(2), after: 1500 * time.Millisecond})
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/stream/x")
		is.Equal(got.body, wholeStream(2))
		is.True(!got.cut)
	}, pausing)
	resumed := func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
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

// TestRouteTimeEndsAStream cuts a stream that is still going on.
func TestRouteTimeEndsAStream(t *testing.T) {
	endless := func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
		return resuming(1000, 0, nil)(ctx, call)
	}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/stream/x")
		is.True(got.cut)
		is.Equal(got.took, 3*time.Second)
	}, endless)
}

// TestCallerTakesUpItsOwnStream passes on where the caller wants to go on.
func TestCallerTakesUpItsOwnStream(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/resume/x", "After", "3")
		is.Equal(got.body, event(4)+event(5))
	}, resuming(5, 0, nil))
}

func TestEventsInOddPieces(t *testing.T) {
	whole := wholeStream(4)
	var pieces []piece
	for i := 0; i < len(whole); i += 7 {
		pieces = append(pieces, piece{text: whole[i:min(i+7, len(whole))], after: time.Millisecond})
	}
	withGateway(t, func(x *fixture) {
		is.New(x.t).Equal(x.request("/resume/x").body, whole)
	}, streams(pieces...))
}

// timedBody is a stream whose events come at set times, read or not.
type timedBody struct {
	began time.Time
	every time.Duration
	last  int
	sent  int
	reads int
}

func (r *timedBody) Read(b []byte) (int, error) {
	if r.sent == r.last {
		return 0, io.EOF
	}
	r.reads++
	time.Sleep(time.Until(r.began.Add(time.Duration(r.sent+1) * r.every)))
	n := 0
	for r.sent < r.last && time.Since(r.began) >= time.Duration(r.sent+1)*r.every {
		r.sent++
		n += copy(b[n:], event(r.sent))
	}
	return n, nil
}

func (r *timedBody) Close() error { return nil }

// holdPressure keeps the averaged delay at a level until the function that it
// returns is called: the ticking goroutine would take it back.
func (x *fixture) holdPressure(level time.Duration) (release func()) {
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

// TestLateGatewayDoesNotTakeABackendForSilent: a backend server that seems silent is
// left for another one, but not by a gateway that is late itself and may not
// have read what has come.
func TestLateGatewayDoesNotTakeABackendForSilent(t *testing.T) {
	const begins = 1500 * time.Millisecond // later than silence is borne
	slow := func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
		if !sleep.For(ctx, begins) {
			return nil, forward.Unknown{Err: ctx.Err()}
		}
		body := &timedBody{began: time.Now(), every: 10 * time.Millisecond, last: 20}
		return &forward.Answer{Status: 200, Header: answerHeader(call), Length: -1, Body: body}, nil
	}
	for _, tt := range []struct {
		level    time.Duration
		arrivals int
	}{{0, 2}, {2 * overload.DelayNoticed, 1}} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			release := x.holdPressure(tt.level)
			time.Sleep(overload.TickPeriod / 3) // so that the silence ends between two ticks
			got := x.request("/resume/x")
			release()
			is.Equal(got.status, 200)
			is.Equal(got.body, wholeStream(20))
			is.Equal(x.servers.count(), tt.arrivals)
		}, slow, slow)
	}
}

// TestUnderPressureEventsAreGathered: the same bytes with fewer reads, and as
// many reads as events without pressure.
func TestUnderPressureEventsAreGathered(t *testing.T) {
	for _, pressed := range []bool{false, true} {
		var body *timedBody
		does := func(_ context.Context, call forward.Call) (*forward.Answer, error) {
			body = &timedBody{began: time.Now(), every: 10 * time.Millisecond, last: 40}
			return &forward.Answer{Status: 200, Header: answerHeader(call), Length: -1, Body: body}, nil
		}
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			level := time.Duration(0)
			if pressed {
				level = 2 * overload.DelayNoticed
			}
			release := x.holdPressure(level)
			got := x.request("/resume/x")
			release()
			is.Equal(got.body, wholeStream(40))
			if pressed {
				is.True(body.reads <= 11)
			} else {
				is.Equal(body.reads, 40)
			}
		}, does)
	}
}

func TestLastID(t *testing.T) {
	for _, tt := range []struct {
		events, want string
		ok           bool
	}{
		{"id: 4\ndata: x\n\n", "4", true},
		{"data: x\nid: 7\n\n", "7", true},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", true},
		{"id:9\n\n", "9", true},
		{"data: id: 3\n\n", "", false},
		{"data: x\n\n", "", false},
	} {
		got, ok := lastID([]byte(tt.events))
		is.New(t).Equal(got, tt.want)
		is.New(t).Equal(ok, tt.ok)
	}
}

// requestWithBody sends a request with a body of its own making.
func (x *fixture) requestWithBody(body io.Reader, length int64) reply {
	r := httptest.NewRequestWithContext(x.t.Context(), http.MethodPost, "/once/x", body)
	r.Host, r.ContentLength = "host", length
	r.Header.Set("Id", "request-1")
	r.Header.Set("Key", "key")
	w := httptest.NewRecorder()
	x.g.ServeHTTP(w, r)
	return reply{status: w.Code, header: w.Result().Header, body: w.Body.String()}
}

// TestSilentConnectionsEjectNobody: the kept connections to both servers fall silent.
// Their streams are taken up elsewhere, no server is ejected for it, and the idle
// connections are dropped. When the new connections are silent too, the server is.
func TestSilentConnectionsEjectNobody(t *testing.T) {
	var x *fixture
	opened, silent := time.Time{}, false
	kept := func(does behaviour) behaviour {
		return func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
			if silent {
				<-ctx.Done()
				return nil, forward.Unknown{Opened: opened, Err: ctx.Err()}
			}
			return does(ctx, call)
		}
	}
	withGateway(t, func(fx *fixture) {
		x = fx
		is := is.New(x.t)
		opened = time.Now()
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
		is.Equal(x.servers.dropped[:2], []string{"10.0.5.0:80", "all"}) // the second server's: it is the network
		opened = time.Now().Add(time.Hour)                              // all are new from here on
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
	}, kept(resuming(5, 0, nil)), kept(resuming(5, 0, nil)))
}

// TestRequestThatMayNotRunAgainOnASilentConnection waits for its time, since a slow server
// looks the same, but the next one goes out on a new connection.
func TestRequestThatMayNotRunAgainOnASilentConnection(t *testing.T) {
	opened := time.Time{}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		opened = time.Now()
		time.Sleep(time.Second)
		got := x.request("/once/x")
		is.Equal(got.status, 504)
		is.Equal(x.servers.dropped, []string{"10.0.5.0:80"})
		is.Equal(x.g.table.servers["p0"].health.State(x.g.now()), outlier.InUse)
	}, func(ctx context.Context, _ forward.Call) (*forward.Answer, error) {
		<-ctx.Done()
		return nil, forward.Unknown{Opened: opened, Err: ctx.Err()}
	})
}
