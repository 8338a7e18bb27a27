// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"math"
	"time"
)

// This file defines AcceptLimit, which limits the rate at which a gateway accepts new connections.
//
// The processor's delay shows only after the work that causes it has begun. A gateway that accepts all
// connections of a flood starts as much in a tenth of a second as it can relay in two, and reads nothing
// meanwhile. The acceptance rate therefore grows no faster than the delay can show.
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
	rateDecrease = 0.95 // while the gateway is late
	rateIncrease = 1.03 // while it is not
	// unlimitedFactor is the multiple of the average of accepted connections above which the limit ends.
	unlimitedFactor = 3.0
	// recentRateTimeConstant is the time constant of the average of accepted connections.
	recentRateTimeConstant = 100 * time.Millisecond
)

// Limits of a gateway that is not late.
const (
	freeBurst      = 64.0           // connections at once: the length of the kernel's short queue
	freeGrowth     = 2.0            // multiple of the recent rate
	freeMinRate    = MinAcceptRate  // connections a second, however few arrived
	freeMaxElapsed = 5 * TickPeriod // maximum time that a late tick makes up for
)

// MinAcceptRate is the lowest rate, in connections a second. At 250 µs per connection it takes two
// fifths of the processor time of a gateway with a fifth of a core.
const MinAcceptRate = 300.0

// AcceptLimit is the acceptance limit as of one tick. The zero value is that of a gateway that is not late.
type AcceptLimit struct {
	rate       float64       // connections a second; zero if the gateway is not late
	credit     float64       // connections that a gateway which is not late may accept at once
	recentRate float64       // moving average of accepted connections a second
	at         time.Duration // time of the tick; zero before the first one
}

// Bounded reports whether the rate is limited because the gateway is late.
func (l AcceptLimit) Bounded() bool { return l.rate > 0 }

// Rate returns the limit in connections a second, or 0 if the gateway is not late.
func (l AcceptLimit) Rate() float64 { return l.rate }

// Allowance returns how many connections may be accepted until the next tick.
func (l AcceptLimit) Allowance() int {
	switch {
	case l.Bounded():
		return max(int(l.rate*TickPeriod.Seconds()), 1)
	case l.at == 0:
		return int(freeBurst)
	}
	return int(l.credit)
}

// Next returns the limit after a tick, given the detector's delay and the number of connections accepted
// since the last tick.
func (l AcceptLimit) Next(now, delay time.Duration, accepted int) AcceptLimit {
	elapsed := max(now-l.at, time.Millisecond)
	if l.at == 0 {
		elapsed = TickPeriod
		l.credit = freeBurst
	}
	l.at = now
	periods := elapsed.Seconds() / TickPeriod.Seconds()
	l.credit = l.refilled(elapsed, accepted)
	l.recentRate += (1 - math.Exp(-elapsed.Seconds()/recentRateTimeConstant.Seconds())) * (float64(accepted)/elapsed.Seconds() - l.recentRate)
	switch {
	case delay >= DelayBeyond && l.rate == 0:
		l.rate = max(l.recentRate, MinAcceptRate)
	case delay >= DelayBeyond:
		l.rate = max(math.Pow(rateDecrease, periods)*l.rate, MinAcceptRate)
	case delay < DelayLate && l.rate > 0:
		l.rate *= math.Pow(rateIncrease, periods)
		if l.rate > unlimitedFactor*max(l.recentRate, MinAcceptRate) {
			l.rate = 0
		}
	}
	return l
}

// refilled returns the credit after some time in which connections were accepted.
func (l AcceptLimit) refilled(elapsed time.Duration, accepted int) float64 {
	if l.Bounded() {
		return 0
	}
	rate := max(freeMinRate, freeGrowth*l.recentRate)
	maxCredit := max(freeBurst, rate*TickPeriod.Seconds())
	return min(max(l.credit-float64(accepted), 0)+rate*min(elapsed, freeMaxElapsed).Seconds(), maxCredit)
}
