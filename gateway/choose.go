// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines which backend a request gets, and what becomes of it there.

// criteria are what a request asks of a backend.
type criteria struct {
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

// assignment is a backend given to one attempt of a request.
type assignment struct {
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
func (t *table) acquire(now time.Duration, w criteria) (*assignment, shortage) {
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
	return assign(now, m, e, choice), shortage{}
}

// acquireAnywhere returns the backend that suits the request best among those
// that have room, or nil. It is for requests that would else be refused and
// should not be: few, because what is read again takes room from others. The
// caller holds mu.
func (t *table) acquireAnywhere(now time.Duration, w criteria) *assignment {
	p := t.pool(w.pool.Name)
	all, members := t.candidates(now, p, w)
	var open []place.Engine
	var openMembers []*member
	for i, e := range all {
		if p.roomFor(w, members[i], e) {
			open, openMembers = append(open, e), append(openMembers, members[i])
		}
	}
	choice, ok := place.ChooseEngine(w.prompt, open)
	if !ok {
		return nil
	}
	choice.Read = w.prompt.Tokens() // nothing of it is kept there
	return assign(now, openMembers[choice.Index], open[choice.Index], choice)
}

// assign counts a request at its backend.
func assign(now time.Duration, m *member, e place.Engine, choice place.Choice) *assignment {
	l := &assignment{
		member: m, backend: m.ID, address: m.Address, tokens: choice.Read, began: now, ahead: e.Tokens,
	}
	if _, trial := m.health.usable(now); trial {
		l.trial, m.health.trying = true, true
	}
	m.requests++
	m.tokens += l.tokens
	return l
}

// candidates returns the backends that the request may go to.
func (t *table) candidates(now time.Duration, p *pool, w criteria) ([]place.Engine, []*member) {
	engines, members := t.gather(now, p, w, false)
	if len(engines) == 0 {
		// Better a backend that is suspected than none.
		engines, members = t.gather(now, p, w, true)
	}
	return engines, members
}

func (t *table) gather(now time.Duration, p *pool, w criteria, anyHealth bool) ([]place.Engine, []*member) {
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

// begun tells that the first part of an answer has come, so the prompt has
// been read.
func (g *Gateway) begun(l *assignment, engine bool) {
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
func (g *Gateway) release(l *assignment, weight float64) (suspected bool) {
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
func (g *Gateway) judge(p *pool, l *assignment, weight float64) bool {
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
