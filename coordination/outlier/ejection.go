// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// This file defines ejection, the time that a server is left alone and the
// trial that ends it. Both rules use it.

// State is whether requests may go to a server.
type State uint8

// The states.
const (
	InUse   State = iota // requests may go there
	Ejected              // it is left alone, or a trial is under way
	Trial                // the ejection is over: one request may try the server
)

// ejection is the zero value for a server in use.
type ejection struct {
	until  time.Duration // 0: not ejected
	wait   time.Duration // of the next ejection, before it is bounded
	trying bool          // the trial is under way
}

// State returns the server's state.
func (e *ejection) State(now time.Duration) State {
	switch {
	case e.until == 0:
		return InUse
	case now < e.until || e.trying:
		return Ejected
	}
	return Trial
}

// Sent counts a request that goes to the server and reports whether it is the
// trial.
func (e *ejection) Sent(now time.Duration) (trial bool) {
	if e.State(now) != Trial {
		return false
	}
	e.trying = true
	return true
}

// eject begins an ejection, twice as long as the one before, within the bounds.
func (e *ejection) eject(now, shortest, longest time.Duration) {
	e.trying = false
	e.wait = min(max(e.wait, shortest), longest)
	e.until = now + e.wait
	e.wait *= 2
}
