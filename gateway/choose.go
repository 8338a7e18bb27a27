// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines which backend a request gets, when it waits for one, and
// in which order waiting requests go.

// Room of a backend.
const (
	entitledRoom = 0.25 // part of the objective that may pass before an engine begins to read
	extraRoom    = 0.1  // the same for a request beyond the named share of its tenant
	beyondRoom   = 0.0  // and beyond every share
	slotsMost    = 1.25 // requests on an engine, in slots, when it queues them
	slotsFewest  = 0.7  // and when it refuses them
	plainRoom    = 2.0  // requests on a plain service, whose work is short, in slots
	firstEngine  = 25.0 // ms; what an idle engine needs to begin
	firstRate    = 100.0
	plainExpect  = 50.0 // ms; what a plain service is expected to need
)

// wish is what a request needs to know when it asks for a backend.
type wish struct {
	pool     document.Pool
	route    document.Route
	prompt   place.Prompt
	tenant   string
	priority int
	standing standing
	repeat   bool            // may run more than once: may try a suspected backend
	avoid    map[string]bool // backends that had the request already
	gateways int
}

// waiter is a request that waits for room.
type waiter struct {
	wish
	seq     uint64
	granted chan *lease // buffered
	short   shortage    // why it got nothing when it was last looked at
}

// lease is a backend given to one attempt of a request.
type lease struct {
	member  *member
	backend string
	address string
	tokens  int // that it has to read
	began   time.Duration
	ahead   int           // tokens in front when it began
	waiting time.Duration // from its beginning to the first part of the answer; 0 before
	trial   bool
	first   bool // the first event has come, or the answer
	ended   bool
}

// shortage says why a request got no backend: the one that suits it best, as
// it was seen. It is empty if there was none to ask.
type shortage struct {
	backend  string
	requests int
	tokens   int
	age      time.Duration // of what is known of other gateways' requests
}

// acquire returns the backend that suits the request best if it has room, or
// nil. Others that have room are not taken instead: reading shared tokens
// again is dearer than a short wait, and the price of a choice knows when it
// is not. The caller holds mu.
func (t *table) acquire(now time.Duration, w wish) (*lease, shortage) {
	p := t.pool(w.pool.Name)
	engines, members := t.candidates(now, p, w)
	choice, ok := place.ChooseEngine(w.prompt, engines)
	if !ok {
		return nil, shortage{}
	}
	m, e := members[choice.Index], engines[choice.Index]
	if !p.roomFor(w, m, e) {
		return nil, shortage{backend: m.ID, requests: e.Requests, tokens: e.Tokens, age: now - m.reported}
	}
	l := &lease{
		member: m, backend: m.ID, address: m.Address, tokens: choice.Read, began: now, ahead: e.Tokens,
	}
	if _, trial := m.health.usable(now); trial {
		l.trial, m.health.trying = true, true
	}
	m.requests++
	m.tokens += l.tokens
	return l, shortage{}
}

// candidates returns the backends that the request may go to.
func (t *table) candidates(now time.Duration, p *pool, w wish) ([]place.Engine, []*member) {
	engines, members := t.gather(now, p, w, false)
	if len(engines) == 0 {
		// Better a backend that is suspected than none.
		engines, members = t.gather(now, p, w, true)
	}
	return engines, members
}

func (t *table) gather(now time.Duration, p *pool, w wish, anyHealth bool) ([]place.Engine, []*member) {
	engines := make([]place.Engine, 0, len(p.members))
	members := make([]*member, 0, len(p.members))
	typical := typicalPace(p)
	for _, m := range p.members {
		if w.avoid[m.ID] && !(anyHealth && len(p.members) == 1) {
			continue
		}
		ok, trial := m.health.usable(now)
		if !anyHealth && (!ok || (trial && !w.repeat)) {
			continue
		}
		requests, tokens := m.load(now)
		engines = append(engines, place.Engine{
			ID: m.ID, Slots: m.Slots, Requests: requests, Tokens: tokens,
			Slowness: slowness(m, typical), Near: m.Zone == t.zone,
		})
		members = append(members, m)
	}
	return engines, members
}

// roomFor reports whether one more request may go to a backend now.
func (p *pool) roomFor(w wish, m *member, e place.Engine) bool {
	if w.pool.Connections > 0 && m.requests >= ownConnections(w) {
		return false
	}
	if !w.pool.Engine {
		return e.Slots <= 0 || float64(e.Requests) < plainRoom*float64(e.Slots)
	}
	if e.Slots > 0 && float64(e.Requests) >= p.slotsRoom()*float64(e.Slots) {
		return false
	}
	room := [...]float64{entitled: entitledRoom, extra: extraRoom, beyond: beyondRoom}[w.standing]
	wait := float64(e.Tokens) * e.Slowness / p.readRate() // ms
	return wait <= room*float64(w.route.Objective)/float64(time.Millisecond)
}

// slotsRoom is how many requests an engine of the pool is given, in slots. How
// many it queues is nowhere said: refusals lower the number, answers raise it.
func (p *pool) slotsRoom() float64 { return slotsMost - p.refusing*(slotsMost-slotsFewest) }

// learnSlots takes whether an engine refused a request as full.
func (p *pool) learnSlots(refused bool) {
	const rise, fall = 0.05, 0.002
	if refused {
		p.refusing += rise * (1 - p.refusing)
		return
	}
	p.refusing -= fall * p.refusing
}

// readRate is how many tokens an engine of the pool reads in a millisecond, as
// learned from the first events.
func (p *pool) readRate() float64 {
	if p.rate == 0 {
		return firstRate
	}
	return p.rate
}

// learnRate takes how long an engine took to read.
func (p *pool) learnRate(tokens int, ms float64) {
	const (
		fewest = 4000 // tokens; less says little
		memory = 0.01
	)
	if tokens < fewest || ms <= firstEngine {
		return
	}
	p.rate = p.readRate() + memory*(float64(tokens)/(ms-firstEngine)-p.readRate())
	p.rate = min(max(p.rate, firstRate/10), firstRate*10)
}

// ownConnections is this gateway's part of the connections that a backend
// accepts.
func ownConnections(w wish) int {
	const spare = 0.9
	return max(int(spare*float64(w.pool.Connections)/float64(max(w.gateways, 1))), 2)
}

// slowness compares a backend's pace with the pool's. Small differences are
// left alone.
func slowness(m *member, typical float64) float64 {
	const noticed = 1.6
	if m.health.paceCount < minSamples || typical <= 0 || m.health.pace < noticed*typical {
		return 1
	}
	return math.Min(m.health.pace/typical, 16)
}

// typicalPace is the median pace of the pool.
func typicalPace(p *pool) float64 {
	paces := make([]float64, 0, len(p.members))
	for _, m := range p.members {
		if m.health.paceCount >= minSamples {
			paces = append(paces, m.health.pace)
		}
	}
	if len(paces) < 2 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// obtain returns a backend for the request, waiting for room until ctx ends or
// patience is over; then it returns nil and why.
func (g *Gateway) obtain(ctx context.Context, w wish, patience time.Duration) (*lease, shortage) {
	t := g.table
	t.mu.Lock()
	p := t.pool(w.pool.Name)
	var short shortage
	if !g.outranked(p, w) {
		var l *lease
		if l, short = t.acquire(g.now(), w); l != nil {
			t.mu.Unlock()
			return l, short
		}
	}
	if patience <= 0 {
		t.mu.Unlock()
		return nil, short
	}
	waiting := &waiter{wish: w, seq: g.seq.Add(1), granted: make(chan *lease, 1), short: short}
	p.waiting = append(p.waiting, waiting)
	t.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case l := <-waiting.granted:
		return l, shortage{}
	case <-ctx.Done():
	case <-timer.C:
	}
	return g.leave(p, waiting)
}

// leave takes a request out of the queue; it may just have got a backend.
func (g *Gateway) leave(p *pool, w *waiter) (*lease, shortage) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(o *waiter) bool { return o == w })
	select {
	case l := <-w.granted:
		return l, shortage{}
	default:
		return nil, w.short
	}
}

// outranked reports whether somebody waits who goes before the request. The
// caller holds table.mu.
func (g *Gateway) outranked(p *pool, w wish) bool {
	for _, o := range p.waiting {
		if g.before(&o.wish, &w) <= 0 {
			return true
		}
	}
	return false
}

// before orders waiting requests: within the share first, then by priority,
// then the tenant that was served least lately.
func (g *Gateway) before(a, b *wish) int {
	if a.standing != b.standing {
		return cmp.Compare(a.standing, b.standing)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	return cmp.Compare(g.tenants.served(a.tenant), g.tenants.served(b.tenant))
}

// grant gives backends to those who wait, in order, as far as there is room.
// The caller holds table.mu.
func (g *Gateway) grant(p *pool) {
	if len(p.waiting) == 0 {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		return cmp.Or(g.before(&a.wish, &b.wish), cmp.Compare(a.seq, b.seq))
	})
	now := g.now()
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		l, short := g.table.acquire(now, w.wish)
		if l == nil {
			w.short = short
			return false
		}
		w.granted <- l
		return true
	})
}

// grantAll looks at every queue: the load heard from others has changed.
func (g *Gateway) grantAll() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	for _, p := range g.table.pools {
		g.grant(p)
	}
}

// begun tells that the first part of an answer has come, so the prompt has
// been read.
func (g *Gateway) begun(l *lease, engine bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if l.first {
		return
	}
	l.first = true
	now := g.now()
	l.waiting = now - l.began
	l.member.tokens -= l.tokens
	took := float64(now-l.began) / float64(time.Millisecond)
	expected := plainExpect
	if engine {
		p := g.table.pool(l.member.Pool)
		expected = firstEngine + float64(l.tokens+l.ahead)/p.readRate()
		p.learnRate(l.tokens+l.ahead, took)
	}
	l.member.health.paced(took / expected)
}

// release ends an attempt at its backend. weight is how much of a failure it
// was: 0 none, 1 a lost request, negative says nothing about the backend.
func (g *Gateway) release(l *lease, weight float64) (suspected bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if l.ended {
		return false
	}
	l.ended = true
	m := l.member
	m.requests--
	if !l.first {
		m.tokens -= l.tokens
		l.first = true
	}
	p := g.table.pool(m.Pool)
	suspected = g.judge(p, l, weight)
	g.grant(p)
	return suspected
}

// judge counts an attempt for the backend's health.
func (g *Gateway) judge(p *pool, l *lease, weight float64) bool {
	const poolMemory = 0.02
	m := l.member
	if weight == shed || weight == 0 {
		p.learnSlots(weight == shed)
	}
	switch {
	case weight < 0:
		if l.trial {
			m.health.trying = false
		}
		return false
	case weight == 0:
		p.failing -= poolMemory * p.failing
		m.health.succeeded()
		return false
	}
	p.failing += poolMemory * (weight - p.failing)
	suspected := m.health.failed(g.now(), weight, p.failing)
	if suspected && m.doubtful {
		g.table.remove(m.ID) // the directory does not know it either
	}
	return suspected
}
