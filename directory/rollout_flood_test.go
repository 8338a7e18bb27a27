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

// This file tests rollouts of an engine pool while one account floods it.

// Three engines serve 60 requests per second. Each of four accounts is entitled to 15.
const (
	promptReadRate  = 20_000 // prompt tokens per second of an engine
	promptTokens    = 1000
	engineSlots     = 8
	withinShareRate = 6 // requests per second of each of three accounts
	floodRate       = 7 * 15
	floodDelay      = 2 * time.Second // time after the order
)

var withinShareAccounts = []string{"a", "b", "c"}

const floodingAccount = "f"

// accountHeaders reads a request's account and cost.
type accountHeaders struct{ testHeaders }

func (accountHeaders) DecodeRequest(r *http.Request) gateway.RequestHead {
	return gateway.RequestHead{
		ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Timeout: 2 * time.Second, Prompt: place.Prompt{Own: promptTokens},
	}
}

func (accountHeaders) ForwardHeader(from http.Header, _ gateway.Forwarding) http.Header {
	return from.Clone()
}

// enginePool simulates engines that each process one prompt at a time, and answer once it is
// processed.
type enginePool struct {
	*versionedServers
	x *fleet

	mu        sync.Mutex
	busyUntil map[string]time.Time // end of the queued work, by address
	requested map[string]int       // requests by account, during the flood
	served    map[string]int       // of those, answered in time
}

func (e *enginePool) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	fails := e.recordArrival(at)
	e.mu.Lock()
	now := time.Now()
	until := now
	if e.busyUntil[at].After(now) {
		until = e.busyUntil[at]
	}
	until = until.Add(time.Second * promptTokens / promptReadRate)
	e.busyUntil[at] = until
	e.mu.Unlock()
	if !sleep.For(ctx, until.Sub(now)) {
		return nil, forward.MayHaveRun{Server: at, Err: ctx.Err()}
	}
	answer := &forward.Response{Status: 200, Header: http.Header{"Id": call.Header["Id"]}, Length: 4, Body: io.NopCloser(strings.NewReader("done"))}
	if fails {
		answer.Status = 500
	}
	return answer, nil
}

// sendSteadily sends requests of one account at a constant rate, while active returns true.
func (e *enginePool) sendSteadily(ctx context.Context, inFlight *sync.WaitGroup, g *gateway.Gateway, account string, perSecond int, active func() bool) {
	n := 0
	for range sleep.Every(ctx, 3*time.Second/time.Duration(perSecond)) { // each of three gateways gets a third
		if n++; active() {
			id := account + strconv.Itoa(n)
			inFlight.Go(func() { e.request(g, account, id) })
		}
	}
}

func (e *enginePool) request(g *gateway.Gateway, account, id string) {
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
	e.requested[account]++
	if w.Code == http.StatusOK && time.Since(began) <= time.Second {
		e.served[account]++
	}
}

// flooded reports whether the flood has begun.
func (e *enginePool) flooded() bool {
	e.versionedServers.mu.Lock()
	defer e.versionedServers.mu.Unlock()
	return !e.orderedAt.IsZero() && time.Since(e.orderedAt) >= floodDelay
}

func engineDocument() document.StoredDocument {
	h := testDocument(1)
	h.Document.Pools[0].Engine = true
	h.Document.Routes[0].Timeout, h.Document.Routes[0].Objective = 2*time.Second, time.Second
	for _, name := range append(withinShareAccounts, floodingAccount) {
		h.Document.Accounts = append(h.Document.Accounts, document.Account{Name: name, Keys: []string{name}})
	}
	return h
}

// runFlood runs a flood, with or without a rollout, and returns the smallest fraction of an
// entitled account's requests that was answered in time.
func runFlood(t *testing.T, v *versionedServers, rolls bool, f func(x *fleet)) (smallest float64) {
	withFleet(t, 5, func(x *fleet) {
		e := &enginePool{versionedServers: v, x: x, busyUntil: map[string]time.Time{}, requested: map[string]int{}, served: map[string]int{}}
		load := func(ip string) {
			x.startGatewayWithLoad(ip, accountHeaders{}, e, func(ctx context.Context, inFlight *sync.WaitGroup, g *gateway.Gateway) {
				for _, account := range withinShareAccounts {
					inFlight.Go(func() { e.sendSteadily(ctx, inFlight, g, account, withinShareRate, func() bool { return true }) })
				}
				e.sendSteadily(ctx, inFlight, g, floodingAccount, floodRate, e.flooded)
			})
		}
		s := rolloutScenario{document: engineDocument(), load: load, noRollout: !rolls, announce: func() {
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
			smallest = 1
			for _, account := range withinShareAccounts {
				smallest = min(smallest, float64(e.served[account])/float64(e.requested[account]))
			}
			x.t.Logf("requests %v, answered in time %v, minimum headroom %.0f", e.requested, e.served, minHeadroom(v))
		})
	})
	return smallest
}

// servedTolerance is how much smaller the fraction of answered requests may be with a rollout than
// without: one or two of 60 requests.
const servedTolerance = 0.03

// TestGoodVersionCompletesDuringFlood: an account sends seven times its share from the trial phase on.
// This must not roll back a good version, and accounts within their shares must be served as without a
// rollout.
func TestGoodVersionCompletesDuringFlood(t *testing.T) {
	without := runFlood(t, &versionedServers{}, false, func(*fleet) {})
	v := &versionedServers{}
	with := runFlood(t, v, true, func(x *fleet) { checkRolloutEnd(x, v, document.RolloutComplete) })
	is.New(t).True(with >= without-servedTolerance)
}

// TestBadVersionIsRolledBackDuringFlood: a bad version must get no more than its exposure bound.
func TestBadVersionIsRolledBackDuringFlood(t *testing.T) {
	v := &versionedServers{fails: func(time.Duration) float64 { return 0.2 }}
	runFlood(t, v, true, func(x *fleet) { checkRolloutEnd(x, v, document.RolloutRolledBack) })
	is.New(t).True(minHeadroom(v) >= 0)
}

func checkRolloutEnd(x *fleet, v *versionedServers, want document.RolloutState) {
	is := is.New(x.t)
	state, after := x.awaitRolloutEnd(v)
	x.t.Logf("ended after %v", after)
	is.Equal(state, want)
	is.True(after <= rolloutTime)
}
