// SPDX-License-Identifier: Apache-2.0

package overload

import "time"

// This file defines Arrivals, which estimates how many connections come to a gateway that does not
// take all of them.

// Arrivals is what looks at the kernel's queue of connections have shown. The zero value has seen
// nothing.
//
// A queue that is full hides what comes. So only the times between two looks count at whose begin it
// had room: while it fills, at a rate far above what is taken, they are short, and what does not fit is
// not seen. The estimate is too low then, by as much as what is taken between two looks goes into
// what comes.
type Arrivals struct {
	at      time.Duration // of the last look; 0: none
	waiting int           // then
	taken   int           // since then
	came    int           // while the queue had room
	room    time.Duration // for which it had
	since   time.Duration // of the last estimate
	all     int           // taken since then
}

// WithTaken returns the arrivals after a connection was taken out of the queue.
func (a Arrivals) WithTaken() Arrivals {
	a.taken++
	a.all++
	return a
}

// WithLook returns the arrivals after a look at a queue that holds at most some connections.
func (a Arrivals) WithLook(now time.Duration, waiting, most int) Arrivals {
	if left := a.waiting - a.taken; a.at != 0 && left < most {
		a.came += max(waiting-left, 0)
		a.room += now - a.at
	}
	a.at, a.waiting, a.taken = now, waiting, 0
	return a
}

// Untaken returns how many connections came since the last call and were not taken, and the arrivals
// to go on with. It is 0 where no look has shown any.
func (a Arrivals) Untaken(now time.Duration) (n int, next Arrivals) {
	if a.room > 0 && a.since != 0 {
		all := float64(a.came) * float64(now-a.since) / float64(a.room)
		n = max(int(all)-a.all, 0)
	}
	a.came, a.room, a.all, a.since = 0, 0, 0, now
	return n, a
}
