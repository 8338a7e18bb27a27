// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests rollouts of an engine pool while an account floods it.

// The load: three engines bear 60 requests a second, of which each of four accounts may have 15.
const (
	readRate     = 20_000 // tokens a second that an engine reads
	promptTokens = 1000
	engineSlots  = 8
	coveredLoad  = 6 // requests a second of each of three accounts
	floodLoad    = 7 * 15
	floodFrom    = 2 * time.Second // after the order
)

var coveredAccounts = []string{"a", "b", "c"}

const floods = "f"

// accountHeaders read what a request costs, and whose it is.
type accountHeaders struct{ testHeaders }

func (accountHeaders) DecodeRequest(r *http.Request) gateway.RequestHead {
	return gateway.RequestHead{
		ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Timeout: 2 * time.Second, Prompt: place.Prompt{Own: promptTokens},
	}
}

func (accountHeaders) ForwardHeader(from http.Header, _ gateway.Forwarding) http.Header {
	return from.Clone()
}

// engines read one prompt after the other, each by itself, and answer then.
type engines struct {
	*versionedServers
	x *fleet

	mu     sync.Mutex
	busy   map[string]time.Time // until, by address
	asked  map[string]int       // by account, while the flood lasts
	served map[string]int       // of those, in time
}

func (e *engines) Send(ctx context.Context, at string, call forward.Call) (*forward.Answer, error) {
	fails := e.recordArrival(at)
	e.mu.Lock()
	now := time.Now()
	until := now
	if e.busy[at].After(now) {
		until = e.busy[at]
	}
	until = until.Add(time.Second * promptTokens / readRate)
	e.busy[at] = until
	e.mu.Unlock()
	if !sleep.For(ctx, until.Sub(now)) {
		return nil, forward.Unknown{Server: at, Err: ctx.Err()}
	}
	answer := &forward.Answer{Status: 200, Header: http.Header{"Id": call.Header["Id"]}, Length: 4, Body: io.NopCloser(strings.NewReader("done"))}
	if fails {
		answer.Status = 500
	}
	return answer, nil
}

// ask asks as one account, evenly, from a moment on.
func (e *engines) ask(ctx context.Context, asking *sync.WaitGroup, g *gateway.Gateway, account string, perSecond int, from func() bool) {
	n := 0
	for range sleep.Every(ctx, 3*time.Second/time.Duration(perSecond)) { // at each of three gateways
		if n++; from() {
			id := account + strconv.Itoa(n)
			asking.Go(func() { e.request(g, account, id) })
		}
	}
}

func (e *engines) request(g *gateway.Gateway, account, id string) {
	r := httptest.NewRequestWithContext(e.x.t.Context(), http.MethodPost, "/", strings.NewReader("a body"))
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Key", account)
	w, flooded, began := httptest.NewRecorder(), e.flooded(), time.Now()
	g.ServeHTTP(w, r)
	if !flooded {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[account]++
	if w.Code == http.StatusOK && time.Since(began) <= time.Second {
		e.served[account]++
	}
}

// flooded reports whether the flood has begun.
func (e *engines) flooded() bool {
	e.versionedServers.mu.Lock()
	defer e.versionedServers.mu.Unlock()
	return !e.orderedAt.IsZero() && time.Since(e.orderedAt) >= floodFrom
}

func enginesHeld() document.Held {
	h := testDocument(1)
	h.Document.Pools[0].Engine = true
	h.Document.Routes[0].Timeout, h.Document.Routes[0].Objective = 2*time.Second, time.Second
	for _, name := range append(coveredAccounts, floods) {
		h.Document.Accounts = append(h.Document.Accounts, document.Account{Name: name, Keys: []string{name}})
	}
	return h
}

// flood runs a rollout, or none, and the flood in it, and returns the least part of what a
// covered account asked for that it was served in time.
func flood(t *testing.T, v *versionedServers, rolls bool, f func(x *fleet)) (least float64) {
	withFleet(t, 5, func(x *fleet) {
		e := &engines{versionedServers: v, x: x, busy: map[string]time.Time{}, asked: map[string]int{}, served: map[string]int{}}
		load := func(ip string) {
			x.startGatewayWithLoad(ip, accountHeaders{}, e, func(ctx context.Context, asking *sync.WaitGroup, g *gateway.Gateway) {
				for _, account := range coveredAccounts {
					asking.Go(func() { e.ask(ctx, asking, g, account, coveredLoad, func() bool { return true }) })
				}
				e.ask(ctx, asking, g, floods, floodLoad, e.flooded)
			})
		}
		s := rolloutScenario{document: enginesHeld(), load: load, noRollout: !rolls, announce: func() {
			for n := range 6 {
				r := versionedServer(n + 1)
				r.Slots = engineSlots
				x.announceVersioned(registry.Announcement{Registration: r})
			}
		}}
		x.runScenario(v, s, func() {
			f(x)
			time.Sleep(rolloutTime - time.Since(v.orderedAt))
			e.mu.Lock()
			defer e.mu.Unlock()
			least = 1
			for _, account := range coveredAccounts {
				least = min(least, float64(e.served[account])/float64(e.asked[account]))
			}
			x.t.Logf("asked %v, served in time %v, %.0f below the bound at least", e.asked, e.served, minHeadroom(v))
		})
	})
	return least
}

// noise is by how much the part of a covered account's requests that is served may be less with a
// rollout than without: one or two of 60.
const noise = 0.03

// TestGoodVersionUnderAFlood: an account asks for seven times its share from the trial on. That
// rolls no good version back, and accounts within their shares are served as without a rollout.
func TestGoodVersionUnderAFlood(t *testing.T) {
	without := flood(t, &versionedServers{}, false, func(*fleet) {})
	v := &versionedServers{}
	with := flood(t, v, true, func(x *fleet) { mustEnd(x, v, document.RolloutComplete) })
	is.New(t).True(with >= without-noise)
}

// TestBadVersionUnderAFlood: it gets no more than its bound.
func TestBadVersionUnderAFlood(t *testing.T) {
	v := &versionedServers{fails: func(time.Duration) float64 { return 0.2 }}
	flood(t, v, true, func(x *fleet) { mustEnd(x, v, document.RolloutRolledBack) })
	is.New(t).True(minHeadroom(v) >= 0)
}

func mustEnd(x *fleet, v *versionedServers, want document.RolloutState) {
	is := is.New(x.t)
	state, after := x.awaitRolloutEnd(v)
	x.t.Logf("ended after %v", after)
	is.Equal(state, want)
	is.True(after <= rolloutTime)
}
