// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/place"
)

// This file defines whether a backend server has room for one more request, and what is
// learned of its pool for that.

// Room of a backend server.
const (
	coveredRoom  = 0.45 // part of the objective that may pass before an engine begins to read
	entitledRoom = 0.25 // the same if the request's account asks for more than its share
	extraRoom    = 0.1  // and for a request beyond the named share of its account
	beyondRoom   = 0.0  // and beyond every share
	slotsMost    = 1.25 // requests on an engine, in slots, when it queues them
	slotsFewest  = 0.7  // and when it refuses them
	plainRoom    = 2.0  // requests on a plain service, whose work is short, in slots
	firstEngine  = 25.0 // ms; what an idle engine needs to begin
	firstRate    = 100.0
	plainExpect  = 50.0 // ms; what a plain service is expected to need
)

// roomFor reports whether one more request may go to a backend server now.
func (p *pool) roomFor(req requirements, s *serverState, e place.Engine) bool {
	if req.pool.Connections > 0 && s.requests >= ownConnections(req) {
		return false
	}
	if !req.pool.Engine {
		return e.Slots <= 0 || float64(e.Requests) < plainRoom*float64(e.Slots)
	}
	if e.Slots > 0 && float64(e.Requests) >= p.slotsRoom()*float64(e.Slots) {
		return false
	}
	room := [...]float64{entitlement.Covered: coveredRoom, entitlement.Entitled: entitledRoom, entitlement.Extra: extraRoom, entitlement.Beyond: beyondRoom}[req.class]
	wait := float64(e.Tokens) * e.Slowness / p.readRate() // ms
	return wait <= room*float64(req.route.Objective)/float64(time.Millisecond)
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

// ownConnections is this gateway's part of the connections that a backend server
// accepts.
func ownConnections(req requirements) int {
	const spare = 0.9
	return max(int(spare*float64(req.pool.Connections)/float64(max(req.gateways, 1))), 2)
}

// slowness compares a backend server's pace with the pool's. Small differences are
// left alone.
func slowness(s *serverState, typical float64) float64 {
	const noticed = 1.6
	if s.pace.n < fewestPaces || typical <= 0 || s.pace.ratio < noticed*typical {
		return 1
	}
	return math.Min(s.pace.ratio/typical, 16)
}

// typicalPace is the median pace of the pool.
func typicalPace(p *pool) float64 {
	paces := make([]float64, 0, len(p.members))
	for _, s := range p.members {
		if s.pace.n >= fewestPaces {
			paces = append(paces, s.pace.ratio)
		}
	}
	if len(paces) < 2 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// Parameters of a server's pace.
const (
	fewestPaces = 4   // answers before it is known
	pacePart    = 0.1 // weight of a new one
)

// pace is the averaged time that a server's answers take to begin, as a ratio of
// what was expected.
type pace struct {
	ratio float64
	n     int
}

func (p *pace) observe(ratio float64) {
	p.n++
	if p.n == 1 {
		p.ratio = ratio
		return
	}
	p.ratio += pacePart * (ratio - p.ratio)
}
