// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests which hedges are made, and what makes one a replacement.

// crossed returns a behaviour that answers like another one, but to another request.
func crossed(behave behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		a, err := behave(ctx, call)
		if err == nil {
			a.Header["Id"] = []string{"request-2"}
		}
		return a, err
	}
}

// TestUnusableAnswerDoesNotReplaceSilentServer guards against giving up a sound server for an answer that the caller
// cannot get.
func TestUnusableAnswerDoesNotReplaceSilentServer(t *testing.T) {
	whole := resuming(6, 0, nil)
	skips := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		return streams(piece{text: event(5) + event(6), after: pause})(ctx, call)
	}
	for name, hedge := range map[string]behaviour{
		"to another request": crossed(whole), "another type": withType("text/plain", whole), "leaves out events": skips,
		"comment": streams(piece{text: ": wait\n\n"}, piece{after: time.Hour}),
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder([]behaviour{pausing(6, 2, silence), hedge})
				got := x.request("/resume/x")
				is.Equal(got.body, wholeStream(6))
				is.True(!got.cut)
				is.Equal(x.counter(`badgerspoke_gateway_hedges_total{end="won"}`), uint64(0))
			})
		})
	}
}

// TestHedgeBeginsOnceAServerIsFree guards against a request that looks for a replacement only once.
func TestHedgeBeginsOnceAServerIsFree(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{hangs, resuming(6, 0, nil)})
		k := x.g.table.servers["p1"]
		k.notice = k.notice.WithBackoff(x.g.now(), 1500*time.Millisecond)
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.True(got.took <= 1500*time.Millisecond+hedgePollInterval+6*pause)
	})
}

// TestSuspectIsNotHedged guards against a request that may have crashed three servers and gets another one.
func TestSuspectIsNotHedged(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{pausing(6, 2, silence), resuming(6, 0, nil)})
		x.listSuspects(3, false, "/resume/x")
		is.Equal(x.request("/resume/x").body, wholeStream(6))
		is.Equal(x.servers.count(), 1)
	})
}

// TestStreamWithoutIDsIsNotHedged guards against requests whose answers nobody can use.
func TestStreamWithoutIDsIsNotHedged(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{streams(piece{text: "data: 1\n\n"}, piece{text: "data: 2\n\n", after: silence}), hangs})
		is.Equal(x.request("/resume/x").body, "data: 1\n\ndata: 2\n\n")
		is.Equal(x.servers.count(), 1)
	})
}

// TestNextHedgeGoesToAnotherServer guards against hedges that all go to the same server.
func TestNextHedgeGoesToAnotherServer(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.allowAttempts(3)
		x.announceInOrder([]behaviour{hangs, refuses(503), hangs, hangs})
		x.request("/resume/x")
		servers := map[string]bool{}
		for _, a := range x.servers.arrivals {
			servers[a.Header.Get("Backend")] = true
		}
		is.Equal(len(servers), x.servers.count())
	})
}

// closeCounter counts the bodies that are closed.
type closeCounter struct {
	io.ReadCloser
	closed *atomic.Int64
}

func (c closeCounter) Close() error { c.closed.Add(1); return c.ReadCloser.Close() }

// TestBodyOfFailedHedgeIsClosed guards against connections that are lost with the answers of hedges.
func TestBodyOfFailedHedgeIsClosed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var opened, closed atomic.Int64
		counted := func(behave behaviour) behaviour {
			return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
				a, err := behave(ctx, call)
				if err == nil {
					opened.Add(1)
					a.Body = closeCounter{a.Body, &closed}
				}
				return a, err
			}
		}
		x.announceInOrder([]behaviour{counted(pausing(6, 2, silence)), counted(answers(500, "broken", 0)), counted(answers(404, "nothing", 0))})
		x.allowAttempts(3)
		x.request("/resume/x")
		time.Sleep(time.Millisecond)
		is.Equal(closed.Load(), opened.Load())
	})
}

// lostInARow returns the number of consecutive requests lost at a server.
func (x *fixture) lostInARow(id string) int {
	x.g.table.mu.Lock()
	defer x.g.table.mu.Unlock()
	return x.g.table.servers[id].health.LostInARow()
}

// TestSilenceCountsOnce guards against counting the silence of a server, and then the end of its attempt.
func TestSilenceCountsOnce(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{hangs, resuming(6, 0, nil)})
		is.Equal(x.request("/resume/x").body, wholeStream(6))
		is.Equal(x.lostInARow("p0")+x.lostInARow("p1"), 1)
	})
}

// TestServerThatDiesAfterSilenceCounts guards against a server whose connection breaks after a silence that no longer
// counts, without a loss.
func TestServerThatDiesAfterSilenceCounts(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 0
		x.request("/resume/x")
		is.Equal(x.lostInARow("p0"), 1)
	}, streams(piece{text: event(1), after: pause}, piece{text: event(2), after: silence}, piece{after: pause, err: errReset}))
}

// TestSilenceWithoutVerdictTakesNothingBack guards against ending the evidence of other requests once a server goes on
// whose silence was none.
func TestSilenceWithoutVerdictTakesNothingBack(t *testing.T) {
	var openedAt time.Time
	kept := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		call.Connected(openedAt)
		a, err := pausing(6, 2, silence)(ctx, call)
		a.ConnOpenedAt = openedAt
		return a, err
	}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		openedAt = time.Now()
		time.Sleep(time.Second)
		x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 0
		x.g.table.mu.Lock()
		for range 2 {
			x.g.table.pool("plain").failures.Record(x.g.now(), &x.g.table.servers["p0"].health, outlier.Lost, false)
		}
		x.g.table.mu.Unlock()
		go x.request("/resume/x")
		time.Sleep(2*pause + silence + pause/2)
		is.Equal(x.lostInARow("p0"), 2)
		time.Sleep(time.Second)
		is.Equal(x.lostInARow("p0"), 0)
	}, kept)
}

// TestUnneededHedgeIsNoEvidence guards against evidence against a server whose hedge was cancelled.
func TestUnneededHedgeIsNoEvidence(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{pausing(6, 2, time.Second), hangs})
		is.Equal(x.request("/resume/x").body, wholeStream(6))
		time.Sleep(time.Millisecond)
		is.Equal(x.servers.count(), 2)
		is.Equal(x.lostInARow("p0")+x.lostInARow("p1"), 0)
	})
}

// TestHedgeThatWinsAfterSilenceIsNoEvidence guards against evidence against a server whose slow hedge has won.
func TestHedgeThatWinsAfterSilenceIsNoEvidence(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.allowAttempts(3)
		x.announceInOrder([]behaviour{hangs, later(1200*time.Millisecond, resuming(6, 0, nil)), hangs})
		go x.request("/resume/x")
		time.Sleep(2200*time.Millisecond + 3*pause + pause/2)
		is.Equal(x.servers.count(), 3)
		is.Equal(x.lostInARow("p0")+x.lostInARow("p1")+x.lostInARow("p2"), 1) // the first
		time.Sleep(time.Second)
	})
}
