// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines which backend server a request gets, and what becomes of it there.

// requirements are what a request asks of a backend server.
type requirements struct {
	pool     document.Pool
	route    document.Route
	prompt   place.Prompt
	account  string
	priority int
	class    entitlement.Class
	repeat   bool            // may run more than once: may try a suspected backend server
	avoid    map[string]bool // backend servers that had the request already
	gateways int
}

// assignment is a backend server given to one attempt of a request.
type assignment struct {
	member      *serverState
	server      string
	address     string
	tokens      int // that it has to read
	began       time.Duration
	tokensAhead int           // tokens in front when it began
	waiting     time.Duration // from its beginning to the first part of the answer; 0 before
	trial       bool
	started     bool // the first event has come, or the answer
	ended       bool
}

// shortage says why a request got no backend server: the one that suits it best, as
// it was seen. It is empty if there was none to ask.
type shortage struct {
	server   string
	requests int
	tokens   int
	age      time.Duration // of what is known of other gateways' requests
}

// acquire returns the backend server that suits the request best if it has room, or
// nil. Others that have room are not taken instead: reading shared tokens
// again is dearer than a short wait, and the price of a choice knows when it
// is not. The caller holds mu.
func (t *table) acquire(now time.Duration, req requirements) (*assignment, shortage) {
	p := t.pool(req.pool.Name)
	engines, members := t.candidates(now, p, req)
	choice, ok := place.ChooseEngine(req.prompt, engines)
	if !ok {
		return nil, shortage{}
	}
	s, e := members[choice.Index], engines[choice.Index]
	if !p.roomFor(req, s, e) {
		return nil, shortage{server: s.ID, requests: e.Requests, tokens: e.Tokens, age: now - s.reported}
	}
	return assign(now, s, e, choice), shortage{}
}

// acquireAnywhere returns the backend server that suits the request best among those
// that have room, or nil. It is for requests that would else be refused and
// should not be: few, because what is read again takes room from others. The
// caller holds mu.
func (t *table) acquireAnywhere(now time.Duration, req requirements) *assignment {
	p := t.pool(req.pool.Name)
	all, members := t.candidates(now, p, req)
	var open []place.Engine
	var openMembers []*serverState
	for i, e := range all {
		if p.roomFor(req, members[i], e) {
			open, openMembers = append(open, e), append(openMembers, members[i])
		}
	}
	choice, ok := place.ChooseEngine(req.prompt, open)
	if !ok {
		return nil
	}
	choice.Read = req.prompt.Tokens() // nothing of it is kept there
	return assign(now, openMembers[choice.Index], open[choice.Index], choice)
}

// assign counts a request at its backend server.
func assign(now time.Duration, s *serverState, e place.Engine, choice place.Choice) *assignment {
	a := &assignment{
		member: s, server: s.ID, address: s.Address, tokens: choice.Read, began: now, tokensAhead: e.Tokens,
	}
	a.trial = s.health.Sent(now)
	s.requests++
	s.tokens += a.tokens
	return a
}

// candidates returns the backend servers that the request may go to.
func (t *table) candidates(now time.Duration, p *pool, req requirements) ([]place.Engine, []*serverState) {
	engines, members := t.gather(now, p, req, false)
	if len(engines) == 0 {
		// Better a backend server that is suspected than none.
		engines, members = t.gather(now, p, req, true)
	}
	return engines, members
}

func (t *table) gather(now time.Duration, p *pool, req requirements, anyHealth bool) ([]place.Engine, []*serverState) {
	engines := make([]place.Engine, 0, len(p.members))
	members := make([]*serverState, 0, len(p.members))
	typical := typicalPace(p)
	for _, s := range p.members {
		if req.avoid[s.ID] && !(anyHealth && len(p.members) == 1) {
			continue
		}
		state := s.health.State(now)
		if !anyHealth && (state == outlier.Ejected || (state == outlier.Trial && !req.repeat)) {
			continue
		}
		requests, tokens := s.load(now)
		engines = append(engines, place.Engine{
			ID: s.ID, Slots: s.Slots, Requests: requests, Tokens: tokens,
			Slowness: slowness(s, typical), SameHall: s.Hall == t.hall,
		})
		members = append(members, s)
	}
	return engines, members
}

// answerStarted tells that the first part of an answer has come, so the prompt has
// been read.
func (g *Gateway) answerStarted(a *assignment, engine bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if a.started {
		return
	}
	a.started = true
	now := g.now()
	a.waiting = now - a.began
	a.member.tokens -= a.tokens
	took := float64(now-a.began) / float64(time.Millisecond)
	expected := plainExpect
	if engine {
		p := g.table.pool(a.member.Pool)
		expected = firstEngine + float64(a.tokens+a.tokensAhead)/p.readRate()
		p.learnRate(a.tokens+a.tokensAhead, took)
	}
	a.member.pace.observe(took / expected)
}

// release ends an attempt at its backend server, with what it says about the
// server, and reports whether the server is ejected by it.
func (g *Gateway) release(a *assignment, v outlier.Verdict) (ejected bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	s := a.member
	s.requests--
	if !a.started {
		s.tokens -= a.tokens
		a.started = true
	}
	p := g.table.pool(s.Pool)
	if v == outlier.Refused || v == outlier.Answered {
		p.learnSlots(v == outlier.Refused)
	}
	ejected = p.failures.Record(g.now(), &s.health, v, a.trial)
	if ejected && s.unlisted {
		g.table.remove(s.ID) // the directory does not know it either
	}
	g.grantWaiting(p)
	return ejected
}
