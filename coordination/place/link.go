// SPDX-License-Identifier: Apache-2.0

package place

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines LinkBudget, which bounds the bytes that one gateway sends over the links
// between its region and others, and tracks the round-trip time to each of them.
//
// The budget is a token bucket of bytes, counting both what requests send and what their answers
// return. The capacity is divided among the gateways without any message, so the part of each is
// small. A request passes if the bucket holds enough for it or is full, and may leave it in debt.
//
// One bucket covers both directions, although that wastes capacity whenever requests and answers
// are of different size. A budget for each direction would need the other region's usage, which
// arrives late. Without a budget, a flood in one region fills the link and delays the fleet's own
// messages.

// DefaultLinkRate is the capacity of the link between two regions in one direction, in bytes a
// second, unless configured: 50 Mbit/s.
const DefaultLinkRate = 50e6 / 8

// Division of the capacity. The fleet's own messages need 50 KB/s between two regions
// (docs/CAPACITY.md), 0.008 of the default capacity, and more when complete lists are sent after a
// power loss. Each direction carries the requests of one region and the answers to the other, so
// each region may use half of the remainder.
const (
	fleetMessagesFraction = 0.3  // fraction of the capacity, for the fleet's own messages
	regionFraction        = 0.5  // fraction of the capacity left by the fleet's messages, for the requests of one region
	optionalFraction      = 0.7  // fraction of a gateway's bucket, for requests that could be served in their own region
	entitledReserve       = 0.5  // fraction of the optional part that must be available before a transfer of class Extra or Beyond
	burstSeconds          = 1.0  // seconds at the gateway's rate that a bucket holds
	minBurst              = 32e3 // minimum capacity of a bucket in bytes, enough for a few requests
)

// Round-trip times to other regions.
const (
	// AssumedRoundTrip is the round-trip time to another region until one is measured: twice the
	// one-way latency of 30 ms between regions of one country.
	AssumedRoundTrip = 60 * time.Millisecond
	roundTripWeight  = 0.1 // weight of one slower connection in the estimated round-trip time
	congestedFactor  = 3   // multiple of the estimate above which the link is considered congested
	// congestionPause is how long optional transfers are suspended after a sign of congestion.
	congestionPause = 2 * time.Second
)

// LinkBudget is one gateway's byte budget for the links to other regions, with the estimated
// round-trip times. The zero value has a full bucket and no estimates.
type LinkBudget struct {
	spent         float64 // bytes missing from the bucket
	optionalSpent float64 // bytes missing from the part of the bucket for optional transfers
	refilledAt    time.Duration
	roundTrips    map[string]time.Duration // by region
	pausedUntil   time.Duration            // end of the congestion pause
}

// LinkShare determines a gateway's part of the link's capacity.
type LinkShare struct {
	Rate     float64 // bytes a second in one direction; zero means DefaultLinkRate
	Gateways int     // number of gateways in the region
}

// rate returns the gateway's part of the capacity, in bytes a second.
func (s LinkShare) rate() float64 {
	total := s.Rate
	if total <= 0 {
		total = DefaultLinkRate
	}
	return total * (1 - fleetMessagesFraction) * regionFraction / float64(max(s.Gateways, 1))
}

// Transfer is a request that is about to leave its region.
type Transfer struct {
	Bytes    float64 // sent and expected in return
	Class    entitlement.Class
	Required bool // whether no server of its own region can serve it
}

// Admits reports whether the budget allows a transfer. Optional transfers may use only a part of
// the budget, and none of it while the link looks congested; required ones may use all of it.
func (l *LinkBudget) Admits(now time.Duration, s LinkShare, t Transfer) bool {
	l.refill(now, s)
	full := max(s.rate()*burstSeconds, minBurst)
	if t.Required {
		return full-l.spent >= min(t.Bytes, full)
	}
	if now < l.pausedUntil {
		return false
	}
	needed := min(t.Bytes, full*optionalFraction)
	if t.Class > entitlement.Entitled {
		needed = max(needed, full*optionalFraction*entitledReserve)
	}
	return full-l.spent >= min(t.Bytes, full) && full*optionalFraction-l.optionalSpent >= needed
}

// Spend takes bytes from the budget. A negative number returns bytes that were expected but not
// sent.
func (l *LinkBudget) Spend(now time.Duration, s LinkShare, bytes float64) {
	l.refill(now, s)
	l.spent = max(l.spent+bytes, 0)
	l.optionalSpent = max(l.optionalSpent+bytes, 0)
}

// refill credits the bytes accrued since the last call.
func (l *LinkBudget) refill(now time.Duration, s LinkShare) {
	accrued := s.rate() * max(now-l.refilledAt, 0).Seconds()
	l.refilledAt = max(now, l.refilledAt)
	l.spent = max(l.spent-accrued, 0)
	l.optionalSpent = max(l.optionalSpent-accrued*optionalFraction, 0)
}

// RoundTrip returns the estimated round-trip time to a region.
func (l *LinkBudget) RoundTrip(region string) time.Duration {
	if rtt, known := l.roundTrips[region]; known {
		return rtt
	}
	return AssumedRoundTrip
}

// ObserveRoundTrip records how long a new connection to a region took to open: one round trip plus
// any queueing on the link.
func (l *LinkBudget) ObserveRoundTrip(now time.Duration, region string, took time.Duration) {
	rtt, known := l.roundTrips[region]
	switch {
	case l.roundTrips == nil:
		l.roundTrips = map[string]time.Duration{region: took}
	case !known || took < rtt:
		l.roundTrips[region] = took
	case took > congestedFactor*rtt:
		l.pausedUntil = now + congestionPause
	default:
		l.roundTrips[region] = rtt + time.Duration(roundTripWeight*float64(took-rtt))
	}
}
