// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests the attempts that are made beside a silent one.

// recorded returns a behaviour that reports when its call is cancelled.
func recorded(cancelledAt chan time.Time, behave behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		context.AfterFunc(ctx, func() { cancelledAt <- time.Now() })
		return behave(ctx, call)
	}
}

// later returns a behaviour that begins after a time.
func later(d time.Duration, behave behaviour) behaviour {
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		if !sleep.For(ctx, d) {
			return nil, forward.MayHaveRun{Err: ctx.Err()}
		}
		return behave(ctx, call)
	}
}

// requestsUnderWay returns the number of requests that the gateway counts at its servers.
func (x *fixture) requestsUnderWay() (n int) {
	x.g.table.mu.Lock()
	defer x.g.table.mu.Unlock()
	for _, k := range x.g.table.servers {
		n += k.ownLoad.Requests
	}
	return n
}

// state returns whether requests may be sent to a server.
func (x *fixture) state(id string) outlier.State {
	x.g.table.mu.Lock()
	defer x.g.table.mu.Unlock()
	return x.g.table.servers[id].health.State(x.g.now())
}

// TestHedgeIsReleasedWhenServerGoesOn guards against a hedge that keeps its server busy after the silent server went
// on, and against both answering.
func TestHedgeIsReleasedWhenServerGoesOn(t *testing.T) {
	for _, after := range []int{0, 2} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			cancelledAt := make(chan time.Time, 1)
			x.announceInOrder([]behaviour{pausing(6, after, silence), recorded(cancelledAt, hangs)})
			began := time.Now()
			got := x.request("/resume/x")
			is.Equal(got.body, wholeStream(6))
			is.Equal(x.servers.count(), 2)
			time.Sleep(time.Millisecond)
			goesOnAt := silence + pause*time.Duration(max(after, 1))
			is.Equal((<-cancelledAt).Sub(began), goesOnAt)
			is.Equal(x.requestsUnderWay(), 0)
			is.Equal(x.counter(`badgerspoke_gateway_hedges_total{end="not needed"}`), uint64(1))
		})
	}
}

// TestSilentAttemptEndsWhenHedgeAnswers guards against two servers that work on the same stream at a time, once the
// second one has begun.
func TestSilentAttemptEndsWhenHedgeAnswers(t *testing.T) {
	for _, after := range []int{0, 2} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			cancelledAt := make(chan time.Time, 1)
			const begins = 300 * time.Millisecond
			x.announceInOrder([]behaviour{recorded(cancelledAt, pausing(6, after, time.Hour)), later(begins, resuming(6, 0, nil))})
			began := time.Now()
			got := x.request("/resume/x")
			is.Equal(got.body, wholeStream(6))
			silentAfter := map[int]time.Duration{0: time.Second, 2: 400*time.Millisecond + 2*pause}[after]
			is.Equal((<-cancelledAt).Sub(began), silentAfter+begins+pause)
			is.Equal(x.requestsUnderWay(), 0)
			is.Equal(x.counter(`badgerspoke_gateway_hedges_total{end="won"}`), uint64(1))
		})
	}
}

// TestHedgesKeepToTheAttempts guards against more attempts than the route allows where all servers are silent.
func TestHedgesKeepToTheAttempts(t *testing.T) {
	for attempts := 1; attempts <= 5; attempts++ {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.allowAttempts(attempts)
			x.announceServers("plain", hangs, hangs, hangs, hangs, hangs, hangs)
			got := x.request("/resume/x")
			is.Equal(got.status, 504)
			is.Equal(got.took, 3*time.Second)
			is.Equal(x.servers.count(), min(attempts, 3))
			time.Sleep(time.Millisecond)
			is.Equal(x.requestsUnderWay(), 0)
		})
	}
}

// TestHedgesKeepToTheBudget guards against hedges beyond the retry budget, and against requests that end without one.
func TestHedgesKeepToTheBudget(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		const requests, retries = 20, 3 // of 5 extra ones, 0.7 are used
		x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 5
		pauses := pausing(6, 2, silence)
		x.announceServers("plain", pauses, pauses, pauses, pauses, pauses, pauses)
		var callers sync.WaitGroup
		for range requests {
			callers.Go(func() { is.Equal(x.request("/resume/x").body, wholeStream(6)) })
		}
		callers.Wait()
		is.Equal(x.servers.count(), requests+retries)
	})
}

// TestHedgeGoesOnWhenSilentAttemptFails guards against a further attempt, or none, where a silent attempt fails while a
// hedge is under way.
func TestHedgeGoesOnWhenSilentAttemptFails(t *testing.T) {
	failed := later(1200*time.Millisecond, fails(forward.MayHaveRun{Err: errReset}))
	broken := streams(piece{text: event(1), after: pause}, piece{after: 1150 * time.Millisecond, err: errReset})
	for name, first := range map[string]behaviour{
		"lost": failed, "broken": broken, "error": later(1200*time.Millisecond, answers(500, "broken", 0)), "refused": later(1200*time.Millisecond, refuses(503)),
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder([]behaviour{first, later(900*time.Millisecond, resuming(6, 0, nil)), fails(errReset)})
				got := x.request("/resume/x")
				is.Equal(got.body, wholeStream(6))
				is.True(!got.cut)
				is.Equal(x.servers.count(), 2)
			})
		})
	}
}

// TestHedgedRequestIsRefusedOnlyIfNotRun guards against a refusal of a request that a hedge may have run.
func TestHedgedRequestIsRefusedOnlyIfNotRun(t *testing.T) {
	refused, lost := later(1200*time.Millisecond, refuses(503)), later(1200*time.Millisecond, fails(forward.MayHaveRun{Err: errReset}))
	for _, tt := range []struct {
		name          string
		silent, hedge behaviour
		status        int
	}{
		{"refused", refused, refuses(503), 503},
		{"unreachable", refused, fails(forward.NotRun{Err: errReset}), 503},
		{"lost", refused, fails(forward.MayHaveRun{Err: errReset}), 502},
		{"fails, and a third server refuses", refused, answers(500, "broken", 0), 502},
		{"fails, and no attempt is left", lost, answers(500, "broken", 0), 500},
		{"not found, and no attempt is left", lost, answers(404, "nothing", 0), 404},
		{"silent", refused, hangs, 504},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder([]behaviour{tt.silent, tt.hedge, refuses(503)})
				got := x.request("/again/x")
				is.Equal(got.status, tt.status)
				is.True(!got.cut)
			})
		})
	}
}

// TestDeadServerIsEjectedWithoutBudget guards against requests to a dead server for as long as nothing can replace
// their attempts.
func TestDeadServerIsEjectedWithoutBudget(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 0
		var callers sync.WaitGroup
		for range 3 {
			callers.Go(func() { x.request("/resume/x") })
		}
		time.Sleep(time.Second + time.Millisecond) // 2.5 objectives
		is.Equal(x.state("p0"), outlier.Ejected)
		is.Equal(x.requestsUnderWay(), 3)
		callers.Wait()
	}, hangs)
}

// TestServerThatGoesOnIsInUse guards against an ejection that outlasts the silence.
func TestServerThatGoesOnIsInUse(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 0
		var callers sync.WaitGroup
		for range 3 {
			callers.Go(func() { is.Equal(x.request("/resume/x").body, wholeStream(6)) })
		}
		time.Sleep(silence)
		is.Equal(x.state("p0"), outlier.Ejected)
		time.Sleep(3 * pause)
		is.Equal(x.state("p0"), outlier.InUse)
		callers.Wait()
	}, pausing(6, 2, silence))
}

// TestSilentServersAtRandom draws sound servers that fall silent at any time, as long as another attempt waits or not,
// and checks that each stream reaches its caller whole.
func TestSilentServersAtRandom(t *testing.T) {
	rng := rand.New(rand.NewPCG(71, 1))
	for n := range 300 {
		attempts, servers := 1+rng.IntN(4), 1+rng.IntN(4)
		behaviours := make([]behaviour, servers)
		var drawn []string
		for i := range behaviours {
			after, d := rng.IntN(6), time.Duration(1+rng.IntN(28))*pause
			begins := time.Duration(rng.IntN(20)) * pause
			drawn = append(drawn, fmt.Sprintf("begins after %v, silent for %v after event %d", begins, d, after))
			behaviours[i] = later(begins, pausing(6, after, d))
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				d := testDocument()
				d.Number++
				for i := range d.Routes {
					d.Routes[i].MaxAttempts, d.Routes[i].Timeout = attempts, 20*time.Second // longer than all silences together
				}
				x.g.apply(d)
				x.announceInOrder(behaviours)
				got := x.request("/resume/x")
				if got.status != 200 || got.body != wholeStream(6) || got.cut {
					t.Errorf("%d attempts, %s: got status %d, cut %t, body %q", attempts, strings.Join(drawn, "; "), got.status, got.cut, got.body)
				}
				time.Sleep(time.Millisecond)
				var ran []string
				for _, call := range x.servers.arrivals {
					ran = append(ran, call.Header.Get("Backend"))
				}
				if err := x.exceedsAttempts(ran, attempts); err != "" {
					t.Errorf("%d attempts, %s: ran at %v: %s", attempts, strings.Join(drawn, "; "), ran, err)
				}
				if n := x.requestsUnderWay(); n > 0 {
					t.Errorf("%d requests are counted at servers after the answer", n)
				}
			})
		})
	}
}

// TestLargeAnswerReplacesSilentOne checks that an answer that is passed on as it arrives can replace a silent one.
func TestLargeAnswerReplacesSilentOne(t *testing.T) {
	body := strings.Repeat("x", 2*maxHeldAnswer)
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{hangs, answers(200, body, pause)})
		got := x.request("/again/x")
		is.Equal(got.status, 200)
		is.Equal(got.body, body)
	})
}

// TestHedgeGoesToNoSilentServer guards against a hedge at a server that is silent itself while another one answers, and
// against two servers that work on a stream unseen.
func TestHedgeGoesToNoSilentServer(t *testing.T) {
	const requests = 12
	goesOn := silence + hedgePollInterval/2 // between two looks for a server
	for _, tt := range []struct {
		path, body string
		pauses     behaviour
	}{{"/resume/x", wholeStream(6), pausing(6, 2, goesOn)}, {"/resume/x", wholeStream(6), pausing(6, 0, goesOn-pause)}, {"/again/x", "fine", answers(200, "fine", goesOn)}} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.drawAtRandom()
			var callers sync.WaitGroup
			for range requests {
				callers.Go(func() { is.Equal(x.request(tt.path).body, tt.body) })
			}
			callers.Wait()
			is.Equal(x.servers.count(), requests)
			servers := map[string]bool{}
			for _, a := range x.servers.arrivals {
				servers[a.Header.Get("Backend")] = true
			}
			is.Equal(len(servers), 3) // all have requests, and are silent at the same time
		}, tt.pauses, tt.pauses, tt.pauses)
	}
}

// drawAtRandom makes the gateway's random numbers differ.
func (x *fixture) drawAtRandom() {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(1, 2))
	x.g.cfg.Random = func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Uint64()
	}
}
