// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"math"
	"time"
)

// This file defines Pace, how many new connections a gateway takes.
//
// That a processor is late shows only after what makes it late has begun: a gateway that takes all
// that a flood brings begins in a tenth of a second what it relays for two, and reads nothing
// meanwhile. So what it takes grows no faster than its delay can show.
//
// Whatever a gateway does with a connection costs more than leaving it alone: closing it
// unread was tried, and at 6,000 a second took a whole fifth of a core, so that nothing
// was served for seconds (docs/incidents/fair-kmo-mapa-grown.md). So a late gateway takes new
// connections at the rate at which it is just not late. All that it takes is read and
// classed, and what is within a share is served. The rest waits in the kernel's short
// queue or is not let in by the kernel, and its callers go to another gateway.

// Steps of the rate in each TickPeriod, however late the timer fires. Chosen; to a tenth
// of the rate takes 0.9 s, and back 1.6 s.
const (
	paceFall = 0.95 // while the gateway is late
	paceRise = 1.03 // while it is not
	// freePart ends the bound: the rate is so many times what comes.
	freePart = 3.0
	// arrivedMemory is the time constant of the average of what came.
	arrivedMemory = 100 * time.Millisecond
)

// Bounds of a gateway that is not late.
const (
	freeBurst  = 64.0           // connections at once: what waits in the short queue of a paced one
	freeGrowth = 2.0            // times what came lately
	freeLeast  = MinPace        // connections a second, however few came
	freeSpan   = 5 * TickPeriod // that a late firing makes up for
)

// MinPace is the lowest rate, in connections a second: at 250 µs each two fifths of a
// fifth of a core. Chosen.
const MinPace = 300.0

// Pace is the bound at one firing of the timer. The zero value is of a gateway that is not late.
type Pace struct {
	rate    float64       // connections a second; 0: it is not late
	credit  float64       // connections that one that is not late may take at once
	arrived float64       // average of those taken
	at      time.Duration // of this firing; 0: there was none
}

// Bounded reports whether connections are kept waiting because the gateway is late.
func (p Pace) Bounded() bool { return p.rate > 0 }

// Allowance is how many connections may be taken until the next firing.
func (p Pace) Allowance() int {
	switch {
	case p.Bounded():
		return max(int(p.rate*TickPeriod.Seconds()), 1)
	case p.at == 0:
		return int(freeBurst)
	}
	return int(p.credit)
}

// Next returns the pace after a firing: delay is the detector's, taken the connections
// since the firing before.
func (p Pace) Next(now, delay time.Duration, taken int) Pace {
	elapsed := max(now-p.at, time.Millisecond)
	if p.at == 0 {
		elapsed = TickPeriod
		p.credit = freeBurst
	}
	p.at = now
	periods := elapsed.Seconds() / TickPeriod.Seconds()
	p.credit = p.refilled(elapsed, taken)
	p.arrived += (1 - math.Exp(-elapsed.Seconds()/arrivedMemory.Seconds())) * (float64(taken)/elapsed.Seconds() - p.arrived)
	switch {
	case delay >= DelayBeyond && p.rate == 0:
		p.rate = max(p.arrived, MinPace)
	case delay >= DelayBeyond:
		p.rate = max(math.Pow(paceFall, periods)*p.rate, MinPace)
	case delay < DelayNoticed && p.rate > 0:
		p.rate *= math.Pow(paceRise, periods)
		if p.rate > freePart*max(p.arrived, MinPace) {
			p.rate = 0
		}
	}
	return p
}

// refilled returns the credit after a time in which some connections were taken.
func (p Pace) refilled(elapsed time.Duration, taken int) float64 {
	if p.Bounded() {
		return 0
	}
	rate := max(freeLeast, freeGrowth*p.arrived)
	most := max(freeBurst, rate*TickPeriod.Seconds())
	return min(max(p.credit-float64(taken), 0)+rate*min(elapsed, freeSpan).Seconds(), most)
}
