// SPDX-License-Identifier: Apache-2.0

package overload

import "time"

// This file defines Arrivals, which estimates how many connections come to a gateway that does not
// take all of them.

// Arrivals is what looks at the kernel's queue of connections have shown. The zero value has seen
// nothing.
//
// A full queue hides what comes. So only those times between two looks count at whose begin it had room.
// What does not fit within one of them is not seen: the estimate is at most the room that the taken
// connections leave, for each time between two looks, and never too high.
type Arrivals struct {
	// As of the last look.
	at      time.Duration // 0: there was none
	waiting int
	taken   int // since then

	// Since the last estimate.
	since time.Duration
	held  int           // connections that waited then
	room  time.Duration // for which the queue had room
	came  int           // in that time
	all   int           // that were taken
}

// WithAccepted returns the arrivals after a connection was taken out of the queue.
func (a Arrivals) WithAccepted() Arrivals {
	a.taken++
	a.all++
	return a
}

// WithSample returns the arrivals after a look at a queue that holds at most some connections.
func (a Arrivals) WithSample(now time.Duration, waiting, most int) Arrivals {
	if left := a.waiting - a.taken; a.at != 0 && left < most {
		a.came += max(waiting-left, 0)
		a.room += now - a.at
	}
	a.at, a.waiting, a.taken = now, waiting, 0
	return a
}

// Unaccepted returns how many connections came since the last call and were neither taken nor still wait,
// and the arrivals to go on with. It is 0 where no look has shown any.
func (a Arrivals) Unaccepted(now time.Duration) (n int, next Arrivals) {
	if a.room > 0 && a.since != 0 {
		all := float64(a.came) * float64(now-a.since) / float64(a.room)
		n = max(int(all)-a.all-(a.waiting-a.held), 0)
	}
	a.came, a.room, a.all, a.since, a.held = 0, 0, 0, now, a.waiting
	return n, a
}
