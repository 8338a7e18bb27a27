// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"math"
	"time"
)

// This file defines Pace, how many new connections a gateway takes while its processor
// is late.
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

// LeastPace is the lowest rate, in connections a second: at 250 µs each two fifths of a
// fifth of a core. Chosen.
const LeastPace = 300.0

// Pace is the bound at one firing of the timer. The zero value does not bound.
type Pace struct {
	rate    float64       // connections a second; 0: not bounded
	arrived float64       // average of those taken
	at      time.Duration // of this firing; 0: there was none
}

// Bounded reports whether connections are kept waiting.
func (p Pace) Bounded() bool { return p.rate > 0 }

// Allowance is how many connections may be taken until the next firing; ok is false
// without a bound.
func (p Pace) Allowance() (n int, ok bool) {
	return max(int(p.rate*TickPeriod.Seconds()), 1), p.rate > 0
}

// Next returns the pace after a firing: delay is the detector's, taken the connections
// since the firing before.
func (p Pace) Next(now, delay time.Duration, taken int) Pace {
	elapsed := max(now-p.at, time.Millisecond)
	if p.at == 0 {
		elapsed = TickPeriod
	}
	p.at = now
	periods := elapsed.Seconds() / TickPeriod.Seconds()
	p.arrived += (1 - math.Exp(-elapsed.Seconds()/arrivedMemory.Seconds())) * (float64(taken)/elapsed.Seconds() - p.arrived)
	switch {
	case delay >= DelayBeyond && p.rate == 0:
		p.rate = max(p.arrived, LeastPace)
	case delay >= DelayBeyond:
		p.rate = max(math.Pow(paceFall, periods)*p.rate, LeastPace)
	case delay < DelayNoticed && p.rate > 0:
		p.rate *= math.Pow(paceRise, periods)
		if p.rate > freePart*max(p.arrived, LeastPace) {
			p.rate = 0
		}
	}
	return p
}
