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
	at      time.Duration // zero before the first one
	waiting int
	taken   int // since then

	// Totals since the last estimate.
	since time.Duration
	held  int           // connections waiting at that time
	room  time.Duration // duration of the intervals that began with room
	came  int           // connections that arrived in them
	all   int           // connections accepted in all intervals
}

// WithAccepted returns the arrivals after a connection was accepted from the queue.
func (a Arrivals) WithAccepted() Arrivals {
	a.taken++
	a.all++
	return a
}

// WithSample returns the arrivals after a sample of the queue: the number of connections waiting, and the
// queue's capacity.
func (a Arrivals) WithSample(now time.Duration, waiting, most int) Arrivals {
	if left := a.waiting - a.taken; a.at != 0 && left < most {
		a.came += max(waiting-left, 0)
		a.room += now - a.at
	}
	a.at, a.waiting, a.taken = now, waiting, 0
	return a
}

// Unaccepted returns how many connections arrived since the last estimate and were neither accepted nor
// are still waiting, and the arrivals to continue with. It is 0 if no interval gave a sample.
func (a Arrivals) Unaccepted(now time.Duration) (n int, next Arrivals) {
	if a.room > 0 && a.since != 0 {
		all := float64(a.came) * float64(now-a.since) / float64(a.room)
		n = max(int(all)-a.all-(a.waiting-a.held), 0)
	}
	a.came, a.room, a.all, a.since, a.held = 0, 0, 0, now, a.waiting
	return n, a
}
