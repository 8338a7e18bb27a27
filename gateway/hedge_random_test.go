// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests what else may happen while a server is silent, and random servers.

// TestHedgesEndWithTheirCaller guards against servers that work on for a caller who has left (GONE).
func TestHedgesEndWithTheirCaller(t *testing.T) {
	for _, leaves := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.allowAttempts(3)
			x.announceServers("plain", hangs, hangs, hangs, hangs)
			ctx, cancel := context.WithTimeout(x.t.Context(), leaves)
			defer cancel()
			got := x.requestWith(ctx, http.MethodPost, "/resume/x", "a body")
			is.True(got.took <= leaves+time.Millisecond)
			time.Sleep(time.Millisecond)
			is.Equal(x.requestsUnderWay(), 0)
		})
	}
}

// TestSilenceInsideEvent guards against a mix of an event's first part with another server's events.
func TestSilenceInsideEvent(t *testing.T) {
	half := len(event(2)) / 2
	for _, second := range []behaviour{hangs, resuming(6, 0, nil), refuses(503), fails(errReset)} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			pieces := []piece{{text: event(1), after: pause}, {text: event(2)[:half], after: pause}, {text: event(2)[half:], after: silence}}
			for id := 3; id <= 6; id++ {
				pieces = append(pieces, piece{text: event(id), after: pause})
			}
			x.announceInOrder([]behaviour{streams(pieces...), second})
			got := x.request("/resume/x")
			is.Equal(got.body, wholeStream(6))
			is.True(!got.cut)
		})
	}
}

// TestSilenceBeforeTheEnd guards against the end of a whole stream whose end is late.
func TestSilenceBeforeTheEnd(t *testing.T) {
	for _, second := range []behaviour{hangs, streams(), refuses(503), fails(errReset), answers(404, "", 0)} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.announceInOrder([]behaviour{streams(piece{text: wholeStream(6), after: pause}, piece{after: silence, err: io.EOF}), second})
			got := x.request("/resume/x")
			is.Equal(got.body, wholeStream(6))
			is.True(!got.cut)
		})
	}
}

// TestHeadAnswerAfterSilence checks requests for heads.
func TestHeadAnswerAfterSilence(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceInOrder([]behaviour{answers(200, "", silence), fails(errReset)})
		got := x.requestWith(x.t.Context(), http.MethodHead, "/again/x", "")
		is.Equal(got.status, 200)
	})
}

// randomBehaviour draws a server that may fall silent, fail, break or refuse.
func randomBehaviour(rng *rand.Rand) (string, behaviour) {
	begins := time.Duration(rng.IntN(30)) * pause
	after, d := rng.IntN(6), time.Duration(1+rng.IntN(40))*pause
	switch kind := rng.IntN(9); kind {
	case 0:
		return fmt.Sprintf("refuses after %v", begins), later(begins, refuses(503))
	case 1:
		return fmt.Sprintf("lost after %v", begins), later(begins, fails(forward.MayHaveRun{Err: errReset}))
	case 2:
		return fmt.Sprintf("unreachable after %v", begins), later(begins, fails(forward.NotRun{Err: errReset}))
	case 3:
		return fmt.Sprintf("500 after %v", begins), later(begins, answers(500, "broken", 0))
	case 4:
		return fmt.Sprintf("breaks after event %d, begins %v", after, begins), later(begins, resuming(6, after, errReset))
	case 5:
		return "hangs", hangs
	default:
		return fmt.Sprintf("begins after %v, silent for %v after event %d", begins, d, after), later(begins, pausing(6, after, d))
	}
}

// exceedsAttempts returns how the servers at which a request ran exceed the limit of its route, if they do: the route
// limits the servers, and a server runs the request again only instead of a run that was ended as not needed.
func (x *fixture) exceedsAttempts(ran []string, attempts int) string {
	servers := map[string]bool{}
	for _, id := range ran {
		servers[id] = true
	}
	unneeded := int(x.counter(`badgerspoke_gateway_hedges_total{end="not needed"}`))
	switch {
	case len(servers) > attempts:
		return fmt.Sprintf("%d servers of %d", len(servers), attempts)
	case len(ran) > attempts+unneeded:
		return fmt.Sprintf("%d runs of %d, %d not needed", len(ran), attempts, unneeded)
	}
	return ""
}

// TestInterleavingsAtRandom draws servers of all kinds and callers that may leave, and checks that no event is missing
// or repeated, that the attempts are within their limits, and that nothing goes on afterwards.
func TestInterleavingsAtRandom(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 7))
		attempts, servers := 1+rng.IntN(4), 1+rng.IntN(4)
		behaviours := make([]behaviour, servers)
		var drawn []string
		for i := range behaviours {
			name, b := randomBehaviour(rng)
			behaviours[i], drawn = b, append(drawn, name)
		}
		leaves := time.Hour
		if rng.IntN(3) == 0 {
			leaves = time.Duration(rng.IntN(60)) * pause
		}
		withGateway(t, func(x *fixture) {
			x.allowAttempts(attempts)
			var ran []string // at which servers
			var mu sync.Mutex
			counted := make([]behaviour, servers)
			for i, b := range behaviours {
				counted[i] = func(ctx context.Context, call forward.Call) (*forward.Response, error) {
					a, err := b(ctx, call)
					if _, ok := err.(forward.NotRun); !ok {
						mu.Lock()
						ran = append(ran, call.Header.Get("Backend"))
						mu.Unlock()
					}
					return a, err
				}
			}
			x.announceInOrder(counted)
			ctx, cancel := context.WithTimeout(x.t.Context(), leaves)
			defer cancel()
			got := x.requestWith(ctx, http.MethodPost, "/resume/x", "a body")
			text := fmt.Sprintf("seed %d, %d attempts, leaves %v, %s", seed, attempts, leaves, strings.Join(drawn, "; "))
			if got.status == 200 && !strings.HasPrefix(wholeStream(6), got.body) {
				t.Errorf("%s: body %q", text, got.body)
			}
			if got.status == 200 && !got.cut && ctx.Err() == nil && got.body != wholeStream(6) {
				t.Errorf("%s: looks whole: %q", text, got.body)
			}
			if ctx.Err() != nil && got.took > leaves+time.Millisecond || got.took > 3*time.Second+time.Millisecond {
				t.Errorf("%s: took %v", text, got.took)
			}
			time.Sleep(time.Millisecond)
			mu.Lock()
			if err := x.exceedsAttempts(ran, attempts); err != "" || got.status == 503 && len(ran) > 0 {
				t.Errorf("%s: ran at %v, status %d: %s", text, ran, got.status, err)
			}
			mu.Unlock()
			if n := x.requestsUnderWay(); n > 0 {
				t.Errorf("%s: %d requests are counted at servers afterwards", text, n)
			}
			x.g.table.mu.Lock()
			for id, k := range x.g.table.servers {
				if k.ownLoad.Tokens != 0 {
					t.Errorf("%s: %d tokens at %s", text, k.ownLoad.Tokens, id)
				}
			}
			x.g.table.mu.Unlock()
		})
	}
}

// TestPlainAnswersAtRandom draws servers with plain answers, and checks that the caller gets one of them whole, and
// nothing goes on afterwards.
func TestPlainAnswersAtRandom(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 11))
		servers := 1 + rng.IntN(3)
		behaviours := make([]behaviour, servers)
		answersOf := map[string]bool{}
		var drawn []string
		for i := range behaviours {
			after, size := time.Duration(rng.IntN(50))*pause, []int{3, maxHeldAnswer - 1, maxHeldAnswer, maxHeldAnswer + 5}[rng.IntN(4)]
			body := strings.Repeat(string(rune('a'+i)), size)
			status := []int{200, 200, 200, 404, 500, 503}[rng.IntN(6)]
			switch rng.IntN(7) {
			case 0:
				drawn, behaviours[i] = append(drawn, fmt.Sprint("refuses after ", after)), later(after, refuses(503))
			case 1:
				drawn, behaviours[i] = append(drawn, fmt.Sprint("lost after ", after)), later(after, fails(forward.MayHaveRun{Err: errReset}))
			case 2:
				drawn, behaviours[i] = append(drawn, "hangs"), hangs
			default:
				drawn, behaviours[i] = append(drawn, fmt.Sprintf("%d with %d bytes after %v", status, size, after)), answers(status, body, after)
				answersOf[fmt.Sprint(status, body)] = true
			}
		}
		withGateway(t, func(x *fixture) {
			x.announceInOrder(behaviours)
			got := x.request("/again/x")
			text := fmt.Sprintf("seed %d, %s", seed, strings.Join(drawn, "; "))
			own := strings.HasPrefix(got.body, "{")
			if !got.cut && !own && !answersOf[fmt.Sprint(got.status, got.body)] {
				t.Errorf("%s: status %d with %d bytes", text, got.status, len(got.body))
			}
			time.Sleep(time.Millisecond)
			if n := x.requestsUnderWay(); n > 0 {
				t.Errorf("%s: %d requests are counted at servers afterwards", text, n)
			}
		})
	}
}

// TestChangesDuringSilence guards against ending the attempt at a silent server because something changes meanwhile.
func TestChangesDuringSilence(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(x *fixture)
	}{
		{"removed", func(x *fixture) { x.g.table.update(protocol.Servers{Term: 1, Removed: []string{"p0", "p1"}}) }},
		{"halls out", func(x *fixture) {
			x.g.table.update(protocol.Servers{Term: 1, HallsOut: []string{"z"}, HallChanges: 1})
		}},
		{"misdirected", func(x *fixture) { x.g.table.removeMisdirected("p0") }},
		{"no routes", func(x *fixture) {
			d := testDocument()
			d.Number++
			d.Routes, d.Accounts = nil, nil
			x.g.apply(d)
		}},
		{"one attempt", func(x *fixture) { x.allowAttempts(1) }},
		{"condemned", func(x *fixture) { x.listSuspects(5, true, "/resume/x") }},
		{"another version", func(x *fixture) { x.setVersions("v2", "v2") }},
		{"session lost", func(x *fixture) { x.g.table.endShares() }},
		{"late", func(x *fixture) { x.t.Cleanup(x.holdDelay(2 * overload.DelayLate)) }},
		{"ejected", func(x *fixture) {
			x.g.table.mu.Lock()
			defer x.g.table.mu.Unlock()
			for range 3 {
				x.g.table.pool("plain").failures.Record(x.g.now(), &x.g.table.servers["p0"].health, outlier.Lost, false)
			}
		}},
	} {
		for _, after := range []int{0, 2} {
			for _, at := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, after event %d, at %v", tt.name, after, at), func(t *testing.T) {
					withGateway(t, func(x *fixture) {
						is := is.New(x.t)
						x.announceInOrder([]behaviour{pausing(6, after, silence), refuses(503)})
						time.AfterFunc(at, func() { tt.change(x) })
						got := x.request("/resume/x")
						is.Equal(got.status, 200)
						is.Equal(got.body, wholeStream(6))
						is.True(!got.cut)
					})
				})
			}
		}
	}
}

// TestDeadHedgeAndDeadServerLeaveInTime measures when the third server gets a request whose first two are dead.
func TestDeadHedgeAndDeadServerLeaveInTime(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.allowAttempts(3)
		x.announceInOrder([]behaviour{hangs, hangs, resuming(6, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.body, wholeStream(6))
		is.Equal(got.took, 2*time.Second+6*pause)
	})
}

// TestFailedRequestEndsAtOnce guards against a request whose server has failed and that waits on for a server that it
// may not use.
func TestFailedRequestEndsAtOnce(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.cfg.Retries.Ratio, x.g.cfg.Retries.Extra = 0, 0
		const fails = 1200 * time.Millisecond
		x.announceInOrder([]behaviour{later(fails, lost), resuming(6, 0, nil)})
		got := x.request("/resume/x")
		is.Equal(got.status, 502)
		is.Equal(got.took, fails)
	})
}

// lost breaks the connection of every call.
func lost(context.Context, forward.Call) (*forward.Response, error) {
	return nil, forward.MayHaveRun{Err: errReset}
}
