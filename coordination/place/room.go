// SPDX-License-Identifier: Apache-2.0

package place

import (
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines whether a server has room for one more request, and what is
// learned of the pool's servers for that.

// roomParts are the parts of the objective that may pass before an engine begins to read a
// request, or has read it ([waitedFor]).
var roomParts = [...]float64{
	entitlement.Covered: 0.45, entitlement.Entitled: 0.25, entitlement.Extra: 0.12,
	entitlement.Beyond: 0, // only where there is nothing to read
}

// Bounds of the requests on one server, as multiples of its slots.
const (
	plainPerSlot  = 2.0  // on a plain service, whose work is short
	enginePerSlot = 1.25 // on an engine, when it queues what is beyond its slots
	fewestPerSlot = 0.7  // and when it refuses that
	// extraPerSlot is the bound for what is beyond the named shares: a stream holds its slot for
	// seconds, and what is within a share must find one meanwhile.
	extraPerSlot = 0.75
)

// Weights of one answer in refusing: one refusal counts as much as 25 answers.
const (
	refusalWeight = 0.05  // of a refusal
	answerWeight  = 0.002 // of an answer
)

// Reading of prompts by engines: chosen, not measured, as starting points that
// answers correct.
const (
	firstRate      = 100.0 // tokens a millisecond, before anything is learned
	rateWeight     = 0.01  // of one answer in the learned rate
	rateSpread     = 10    // the learned rate stays within firstRate divided and multiplied by it
	informative    = 4000  // tokens; shorter prompts measure the rate badly
	engineOverhead = 25.0  // ms that an idle engine needs before it reads
	plainExpected  = 50.0  // ms that a plain service is expected to need
)

// Division of a server's connections among gateways.
const (
	connectionsUsed   = 0.9 // part of them; the rest is reserve
	fewestConnections = 2   // of each gateway, even if the sum is too large then
	// amplePerSlot is the connections for each slot from which the slots bound what runs on a server
	// long before its connections do.
	amplePerSlot = 32
)

// Bound is what keeps a server from taking one more request.
type Bound uint8

// The bounds, in the order in which they are looked at.
const (
	Free        Bound = iota // it takes one
	Connections              // this gateway's part of the connections that it accepts
	Slots                    // requests on it
	Reading                  // prompts that it has to read first
	RegionLink               // this gateway's part of the link to its region
)

// String returns the bound's name, as log lines carry it.
func (b Bound) String() string { return [...]string{"", "connections", "slots", "reading", "link"}[b] }

// bound returns what keeps a server from taking one more request now.
func (p *RoomPlacer) bound(r Request, c candidate) Bound {
	if r.Connections > 0 && c.Own.Requests >= ownConnections(r.Connections, r.Gateways, c.Slots) {
		return Connections
	}
	if c.Slots > 0 && float64(c.load.Requests) >= p.perSlot(r)*float64(c.Slots) {
		return Slots
	}
	if !r.Engine {
		return Free
	}
	wait := float64(waitedFor(r, c)) * c.slowness / p.readRate() // ms
	if wait > roomParts[r.Class]*float64(r.Objective)/float64(time.Millisecond) {
		return Reading
	}
	return Free
}

// perSlot returns how many requests for each of its slots keep a server from taking one more.
func (p *RoomPlacer) perSlot(r Request) float64 {
	switch {
	case !r.Engine:
		return plainPerSlot
	case r.Class >= entitlement.Extra:
		return min(p.requestsPerSlot(), extraPerSlot)
	}
	return p.requestsPerSlot()
}

// waitedFor returns the tokens that decide whether an engine has room: those in front of the
// request, and of one beyond the named shares its own as well. An engine reads in order of arrival, so
// that what is within a share waits behind all that was begun: a long prompt beyond them would
// make it late.
func waitedFor(r Request, c candidate) int {
	if r.Class == entitlement.Extra {
		return c.load.Tokens + r.Prompt.Own
	}
	return c.load.Tokens
}

// Learned is what the placer has learned of its servers.
type Learned struct {
	Rate    float64 // tokens that an engine reads in a millisecond; 0 is unknown
	PerSlot float64 // requests that an engine is given for each slot
}

// Learned returns what is learned, for the log and the metrics.
func (p *RoomPlacer) Learned() Learned { return Learned{Rate: p.rate, PerSlot: p.requestsPerSlot()} }

// ownConnections is one gateway's part of the connections that a server accepts; where these are
// ample for its slots, never less than the slots. A part alone falls with the gateways of the fleet,
// to two of 1,900 at 985, and the gateway with the busiest callers waits at servers that are free.
func ownConnections(accepted, gateways, slots int) int {
	part := int(connectionsUsed * float64(accepted) / float64(max(gateways, 1)))
	if accepted >= amplePerSlot*slots {
		part = max(part, slots)
	}
	return max(part, fewestConnections)
}

// requestsPerSlot is how many requests an engine is given for each slot. How
// many it queues is not reported: refusals lower the number, answers raise it.
func (p *RoomPlacer) requestsPerSlot() float64 {
	return enginePerSlot - p.refusing*(enginePerSlot-fewestPerSlot)
}

// ObserveAnswer counts that a server answered a request or refused it as full.
func (p *RoomPlacer) ObserveAnswer(refused bool) {
	if refused {
		p.refusing += refusalWeight * (1 - p.refusing)
		return
	}
	p.refusing -= answerWeight * p.refusing
}

// readRate is how many tokens an engine reads in a millisecond.
func (p *RoomPlacer) readRate() float64 {
	if p.rate == 0 {
		return firstRate
	}
	return p.rate
}

// ExpectedTimeToFirst returns how long a server that runs nothing else is expected to need until
// the first part of its answer, with that many tokens to read.
func (p *RoomPlacer) ExpectedTimeToFirst(engine bool, tokens int) time.Duration {
	ms := plainExpected
	if engine {
		ms = engineOverhead + float64(tokens)/p.readRate()
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// ObserveTimeToFirst takes how long an answer took to begin, and the tokens that an
// engine had to read before. It returns the ratio to what was expected.
func (p *RoomPlacer) ObserveTimeToFirst(engine bool, tokens int, took time.Duration) (ratio float64) {
	ms := milliseconds(took)
	if !engine {
		return ms / plainExpected
	}
	expected := engineOverhead + float64(tokens)/p.readRate()
	if tokens >= informative && ms > engineOverhead {
		p.rate = p.readRate() + rateWeight*(float64(tokens)/(ms-engineOverhead)-p.readRate())
		p.rate = min(max(p.rate, firstRate/rateSpread), firstRate*rateSpread)
	}
	return ms / expected
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Parameters of a server's pace.
const (
	paceWeight   = 0.1 // of one answer
	fewestPaces  = 4   // answers before a pace counts
	slowFrom     = 1.6 // times the typical pace; smaller differences are left alone
	slownessMost = 16  // a server counts as at most that many times slower
)

// Pace is the averaged time that a server's answers take to begin, as a ratio to
// what was expected. The zero value is unknown.
type Pace struct {
	ratio   float64
	answers int
}

// Observe takes an answer's ratio.
func (p *Pace) Observe(ratio float64) {
	p.answers++
	if p.answers == 1 {
		p.ratio = ratio
		return
	}
	p.ratio += paceWeight * (ratio - p.ratio)
}

// slowness returns how many times slower than others a server is.
func (p Pace) slowness(typical float64) float64 {
	if p.answers < fewestPaces || typical <= 0 || p.ratio < slowFrom*typical {
		return 1
	}
	return math.Min(p.ratio/typical, slownessMost)
}

// Reliable reports whether enough answers were taken for the pace to count.
func (p Pace) Reliable() bool { return p.answers >= fewestPaces }

// TypicalPace returns the median of the paces that count; 0 with fewer than two.
func TypicalPace(all []Pace) float64 {
	ratios := make([]float64, 0, len(all))
	for _, pace := range all {
		if pace.Reliable() {
			ratios = append(ratios, pace.ratio)
		}
	}
	if len(ratios) < 2 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}

// typicalPace is TypicalPace of some servers.
func typicalPace(servers []Server) float64 {
	paces := make([]Pace, 0, len(servers))
	for i := range servers {
		if servers[i].Pace.Reliable() {
			paces = append(paces, servers[i].Pace)
		}
	}
	return TypicalPace(paces)
}
