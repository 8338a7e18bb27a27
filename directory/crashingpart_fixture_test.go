// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines callers of a fleet whose requests share parts of their prompts. One of the parts
// crashes each server that begins to answer a request with it.

const (
	partGateways = 4
	soundPeriod  = 10 * time.Millisecond // between two sound requests of one gateway
	contactTime  = 3 * time.Second       // for the fleet to learn of crashes
	soundAtLeast = 0.9                   // of the sound requests that are served before the crashes
)

// partLoad is the load of one test.
type partLoad struct {
	x *fleet
	m *crashingServers

	mu       sync.Mutex
	rng      *rand.Rand
	sent     int
	gateways []*gateway.Gateway
	sound    []partOutcome
}

// partOutcome is the end of a sound request.
type partOutcome struct {
	at     time.Time // when it was sent
	served bool
	shares bool // it has the part that accompanies the crashing one
	status int
}

// companion is a part of every crashing request. Sound requests may have it too.
const companion = "companion"

// withPartLoad runs f in a fleet with servers and gateways that receive sound requests.
func (x *fleet) withPartLoad(m *crashingServers, f func(l *partLoad)) {
	is := is.New(x.t)
	m.streams = true
	is.NoErr(x.awaitLeader().d.Put(x.t.Context(), retryDocument(1, document.Stream)))
	stop := x.announceRepeatedly(m.announce)
	defer stop()
	l := &partLoad{x: x, m: m, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range partGateways {
		l.gateways = append(l.gateways, nil)
		l.startGateway(i)
	}
	time.Sleep(3 * time.Second)
	f(l)
}

// startGateway starts a gateway and its sound requests.
func (l *partLoad) startGateway(i int) {
	g := l.x.startGatewayWithLoad(gatewayIP(i), testHeaders{}, l.m, func(ctx context.Context, inFlight *sync.WaitGroup, g *gateway.Gateway) {
		for range sleep.Every(ctx, soundPeriod) {
			parts := l.soundParts()
			inFlight.Go(func() { l.sendSound(g, parts) })
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways[i] = g
}

// soundParts returns the parts of a sound request: one that all requests have, one of its account, and a
// rare one. One in twenty has the companion of the crashing part.
func (l *partLoad) soundParts() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := fmt.Sprintf("common account-%d rare-%d", l.rng.IntN(3), l.rng.IntN(300))
	if l.rng.IntN(20) == 0 {
		parts += " " + companion
	}
	return parts
}

func (l *partLoad) sendSound(g *gateway.Gateway, parts string) {
	at := time.Now()
	status := l.send(g, parts)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound = append(l.sound, partOutcome{at: at, served: status == http.StatusOK, shares: strings.Contains(parts, companion), status: status})
}

// send sends a request that no other one is equal to.
func (l *partLoad) send(g *gateway.Gateway, parts string) (status int) {
	l.mu.Lock()
	l.sent++
	id := fmt.Sprint("r", l.sent)
	l.mu.Unlock()
	r := httptest.NewRequestWithContext(l.x.t.Context(), http.MethodPost, "/part", strings.NewReader(id))
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Parts", parts)
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
		status = w.Code
	}()
	g.ServeHTTP(w, r)
	return w.Code
}

// sendCrashing sends requests with the named crashing parts, in turn, to any gateway for some time.
func (l *partLoad) sendCrashing(period, length time.Duration, names ...string) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for began := time.Now(); time.Since(began) < length; time.Sleep(period) {
		l.mu.Lock()
		g := l.gateways[l.rng.IntN(len(l.gateways))]
		parts := fmt.Sprintf("common account-%d %s %s", l.rng.IntN(3), companion, names[l.rng.IntN(len(names))])
		l.mu.Unlock()
		if g != nil {
			inFlight.Go(func() { l.send(g, parts) })
		}
	}
}

// countLate returns how often servers began requests with a crashing part, and how often later than
// contactTime after the fifth crash.
func (l *partLoad) countLate(name string) (began, late int) {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	starts := l.m.crashingRequestStarts[name]
	for i, at := range starts {
		if i >= 5 && at.Sub(starts[4]) > crashDelay+contactTime {
			late++
		}
	}
	return len(starts), late
}

// soundShare returns the fraction of the sound requests sent in an interval that were served, and how many
// of them were refused as condemned.
func (l *partLoad) soundShare(from, to time.Time, sharing bool) (share float64, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	served, all := 0, 0
	for _, o := range l.sound {
		if o.at.Before(from) || o.at.After(to) || sharing && !o.shares {
			continue
		}
		all++
		switch {
		case o.served:
			served++
		case o.status == http.StatusBadRequest:
			refused++
		}
	}
	return float64(served) / float64(max(all, 1)), refused
}

// checkContained checks that few requests with each of the named parts begin late, and that sound requests,
// those with the companion among them, are served from twice contactTime after the first crash.
func (l *partLoad) checkContained(is *is.I, began time.Time, names ...string) {
	l.x.t.Helper()
	for _, name := range names {
		all, late := l.countLate(name)
		l.x.t.Logf("%s: begun %d times, %d late", name, all, late)
		is.True(late <= 3)
	}
	before, _ := l.soundShare(began.Add(-2*time.Second), began.Add(-200*time.Millisecond), false)
	during, refused := l.soundShare(began.Add(2*contactTime), time.Now().Add(-500*time.Millisecond), false)
	sharing, refusedSharing := l.soundShare(began.Add(2*contactTime), time.Now().Add(-500*time.Millisecond), true)
	l.x.t.Logf("%d servers crashed; sound requests served: %.4f before, %.4f later (%d refused), %.4f of those with the companion (%d refused)",
		l.m.countCrashes(), before, during, refused, sharing, refusedSharing)
	is.True(during >= soundAtLeast*before)
	is.True(sharing >= soundAtLeast*before)
}

// crashCause returns the body or the prompt part of a call that crashes servers, or "" for a harmless one.
func crashCause(call forward.Call) string {
	for _, cause := range append(strings.Fields(call.Header.Get("Parts")), string(call.Body)) {
		if strings.HasPrefix(cause, "deadly") {
			return cause
		}
	}
	return ""
}
