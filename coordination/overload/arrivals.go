// SPDX-License-Identifier: Apache-2.0

package overload

import "time"

// This file defines Arrivals, which estimates how many connections arrive at a gateway that does not
// accept all of them.

// Arrivals accumulates samples of the kernel's accept queue. The zero value has no samples.
//
// A full queue hides further arrivals, so only intervals between two samples count that began with room
// in the queue. Arrivals beyond that room are not visible: the estimate is at most the room left by
// accepted connections in each interval, and never too high.
type Arrivals struct {
	// State of the last sample.
	sampledAt time.Duration // zero before the first one
	waiting   int
	accepted  int // since then

	// Totals since the last estimate.
	intervalStart  time.Duration
	waitingAtStart int           // connections waiting at that time
	observed       time.Duration // duration of the intervals that began with room
	arrived        int           // connections that arrived in them
	acceptedTotal  int           // connections accepted in all intervals
}

// WithAccepted returns the arrivals after a connection was accepted from the queue.
func (a Arrivals) WithAccepted() Arrivals {
	a.accepted++
	a.acceptedTotal++
	return a
}

// WithSample returns the arrivals after a sample of the queue: the number of connections waiting, and the
// queue's capacity.
func (a Arrivals) WithSample(now time.Duration, waiting, capacity int) Arrivals {
	if stillWaiting := a.waiting - a.accepted; a.sampledAt != 0 && stillWaiting < capacity {
		a.arrived += max(waiting-stillWaiting, 0)
		a.observed += now - a.sampledAt
	}
	a.sampledAt, a.waiting, a.accepted = now, waiting, 0
	return a
}

// Unaccepted returns how many connections arrived since the last estimate and were neither accepted nor
// are still waiting, and the arrivals to continue with. It is 0 if no interval gave a sample.
func (a Arrivals) Unaccepted(now time.Duration) (n int, next Arrivals) {
	if a.observed > 0 && a.intervalStart != 0 {
		arrived := float64(a.arrived) * float64(now-a.intervalStart) / float64(a.observed)
		n = max(int(arrived)-a.acceptedTotal-(a.waiting-a.waitingAtStart), 0)
	}
	a.arrived, a.observed, a.acceptedTotal, a.intervalStart, a.waitingAtStart = 0, 0, 0, now, a.waiting
	return n, a
}
