// SPDX-License-Identifier: Apache-2.0

package place

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines Link, what one gateway may put on the links between its region and others,
// and what it has learned of the way there.
//
// The budget is a token bucket of bytes, of what requests send over and what their answers
// bring back. Gateways divide the capacity without a message, so each one's part is small: a
// bucket that holds as much as a request needs, or is full, lets it over, and may owe the rest.
//
// Ways weighed for what goes over though its region has room for nothing else: without a budget
// a flood in one region fills the link, and the fleet's own messages with it; a budget for each
// direction needs the other region's use, which comes late. One bucket for both directions
// (kept) wastes what answers do not need of the one and requests of the other.

// DefaultLinkRate is the capacity of the link between two regions one way, in bytes a second, where
// the settings name none: 50 Mbit/s.
const DefaultLinkRate = 50e6 / 8

// Parts of the capacity. Own messages need 50 KB/s between two regions (docs/CAPACITY.md), 0.008 of
// the default, and the whole lists after a loss of power; a direction carries one region's requests
// and the other's answers, so each region may use half of what is left.
const (
	ownMessagesPart = 0.3  // of the capacity, for the fleet's own messages
	regionPart      = 0.5  // of the rest, for the requests of one region
	freePart        = 0.7  // of that, for requests that leave their region without having to
	entitledKept    = 0.5  // of a full bucket that requests beyond their account's share leave
	burst           = 1.0  // seconds of its rate that a bucket holds
	smallestBurst   = 32e3 // bytes that a bucket holds at least: a few requests
)

// The way to another region.
const (
	// AssumedRoundTrip is the round trip to another region until one is learned: twice the 30 ms
	// that regions of one country lie apart.
	AssumedRoundTrip = 60 * time.Millisecond
	wayWeight        = 0.1 // of one connection that took longer, in the learned round trip
	slowFactor       = 3   // times the learned round trip that a connection takes over a full link
	// pause is for how long nothing leaves its region by choice after such a connection.
	pause = 2 * time.Second
)

// LinkBudget is one gateway's budget and what it has learned of the links. The zero value has
// learned nothing and its bucket is full.
type LinkBudget struct {
	spent  float64 // bytes that the bucket lacks
	free   float64 // the same of the part for what need not leave
	at     time.Duration
	ways   map[string]time.Duration // round trips by region
	paused time.Duration            // until when
}

// LinkShare is what divides a link's capacity.
type LinkShare struct {
	Rate     float64 // bytes a second one way; 0 is DefaultLinkRate
	Gateways int     // of the region
}

// rate is this gateway's part, in bytes a second.
func (s LinkShare) rate() float64 {
	total := s.Rate
	if total <= 0 {
		total = DefaultLinkRate
	}
	return total * (1 - ownMessagesPart) * regionPart / float64(max(s.Gateways, 1))
}

// Transfer is a request that is to leave its region.
type Transfer struct {
	Bytes    float64 // that it sends and expects back
	Class    entitlement.Class
	Required bool // it may be served nowhere else
}

// Admits reports whether the budget has the bytes of a request. What need not leave has a part
// of the budget, and none while the link looks full; what must has all of it.
func (l *LinkBudget) Admits(now time.Duration, s LinkShare, p Transfer) bool {
	l.refill(now, s)
	full := max(s.rate()*burst, smallestBurst)
	if p.Required {
		return full-l.spent >= min(p.Bytes, full)
	}
	if now < l.paused {
		return false
	}
	least := min(p.Bytes, full*freePart)
	if p.Class > entitlement.Entitled {
		least = max(least, full*freePart*entitledKept)
	}
	return full-l.spent >= min(p.Bytes, full) && full*freePart-l.free >= least
}

// Spend takes bytes from the budget, or gives back what was expected and did not come.
func (l *LinkBudget) Spend(now time.Duration, s LinkShare, bytes float64) {
	l.refill(now, s)
	l.spent = max(l.spent+bytes, 0)
	l.free = max(l.free+bytes, 0)
}

// refill adds what has come since the last call.
func (l *LinkBudget) refill(now time.Duration, s LinkShare) {
	came := s.rate() * max(now-l.at, 0).Seconds()
	l.at = max(now, l.at)
	l.spent = max(l.spent-came, 0)
	l.free = max(l.free-came*freePart, 0)
}

// RoundTrip returns the round trip to a region.
func (l *LinkBudget) RoundTrip(region string) time.Duration {
	if way, known := l.ways[region]; known {
		return way
	}
	return AssumedRoundTrip
}

// ObserveRoundTrip takes how long a new connection to a region took: one round trip, and what waits
// on the link.
func (l *LinkBudget) ObserveRoundTrip(now time.Duration, region string, took time.Duration) {
	way, known := l.ways[region]
	switch {
	case l.ways == nil:
		l.ways = map[string]time.Duration{region: took}
	case !known || took < way:
		l.ways[region] = took
	case took > slowFactor*way:
		l.paused = now + pause
	default:
		l.ways[region] = way + time.Duration(wayWeight*float64(took-way))
	}
}
