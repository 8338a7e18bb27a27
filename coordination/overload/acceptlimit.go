// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"math"
	"time"
)

// This file defines Pace, the rate at which a gateway accepts new connections.
//
// The processor's delay shows only after the work that causes it has begun. A gateway that accepts all
// connections of a flood starts as much in a tenth of a second as it can relay in two, and reads nothing
// meanwhile. Its acceptance rate therefore grows no faster than the delay can show.
//
// Anything done with a connection costs more than leaving it alone. Closing connections unread costs a
// fifth of a core at 6,000 a second, and nothing else would be served for seconds
// (docs/incidents/fair-kmo-mapa-grown.md). A late gateway accepts connections at the rate at which it is
// just not late. It reads and classifies the requests on all of these and serves those within a share.
// Other connections wait in the kernel's short queue or are rejected by the kernel, and their callers use
// another gateway.

// Change of the rate per TickPeriod, however late the timer fires. Falling to a tenth of the rate takes
// 0.9 s, and recovering takes 1.6 s.
const (
	paceFall = 0.95 // while the gateway is late
	paceRise = 1.03 // while it is not
	// unboundFactor ends the limit, once the rate is this multiple of the arrivals.
	unboundFactor = 3.0
	// arrivedTimeConstant is the time constant of the average of arrivals.
	arrivedTimeConstant = 100 * time.Millisecond
)

// Limits of a gateway that is not late.
const (
	freeBurst      = 64.0           // connections at once: the length of the kernel's short queue
	freeGrowth     = 2.0            // multiple of the recent rate
	freeMinRate    = MinAcceptRate  // connections a second, however few arrived
	freeMaxElapsed = 5 * TickPeriod // maximum time that a late tick makes up for
)

// MinAcceptRate is the lowest rate, in connections a second. At 250 µs per connection it takes two fifths of a
// fifth of a core.
const MinAcceptRate = 300.0

// AcceptLimit is the acceptance limit as of one tick. The zero value is that of a gateway that is not late.
type AcceptLimit struct {
	rate    float64       // connections a second; zero if the gateway is not late
	credit  float64       // connections that a gateway which is not late may accept at once
	arrived float64       // moving average of accepted connections a second
	at      time.Duration // time of the tick; zero before the first one
}

// Bounded reports whether the rate is limited because the gateway is late.
func (p AcceptLimit) Bounded() bool { return p.rate > 0 }

// Allowance returns how many connections may be accepted until the next tick.
func (p AcceptLimit) Allowance() int {
	switch {
	case p.Bounded():
		return max(int(p.rate*TickPeriod.Seconds()), 1)
	case p.at == 0:
		return int(freeBurst)
	}
	return int(p.credit)
}

// Next returns the pace after a tick, given the detector's delay and the number of connections accepted
// since the last tick.
func (p AcceptLimit) Next(now, delay time.Duration, accepted int) AcceptLimit {
	elapsed := max(now-p.at, time.Millisecond)
	if p.at == 0 {
		elapsed = TickPeriod
		p.credit = freeBurst
	}
	p.at = now
	periods := elapsed.Seconds() / TickPeriod.Seconds()
	p.credit = p.refilled(elapsed, accepted)
	p.arrived += (1 - math.Exp(-elapsed.Seconds()/arrivedTimeConstant.Seconds())) * (float64(accepted)/elapsed.Seconds() - p.arrived)
	switch {
	case delay >= DelayBeyond && p.rate == 0:
		p.rate = max(p.arrived, MinAcceptRate)
	case delay >= DelayBeyond:
		p.rate = max(math.Pow(paceFall, periods)*p.rate, MinAcceptRate)
	case delay < DelayLate && p.rate > 0:
		p.rate *= math.Pow(paceRise, periods)
		if p.rate > unboundFactor*max(p.arrived, MinAcceptRate) {
			p.rate = 0
		}
	}
	return p
}

// refilled returns the credit after some time in which connections were accepted.
func (p AcceptLimit) refilled(elapsed time.Duration, accepted int) float64 {
	if p.Bounded() {
		return 0
	}
	rate := max(freeMinRate, freeGrowth*p.arrived)
	maxCredit := max(freeBurst, rate*TickPeriod.Seconds())
	return min(max(p.credit-float64(accepted), 0)+rate*min(elapsed, freeMaxElapsed).Seconds(), maxCredit)
}
