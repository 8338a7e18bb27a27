// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// This file defines ejection, the period for which a server is not used and the trial that ends it. Both
// rules use it.

// State states whether requests may be sent to a server.
type State uint8

// States of a server.
const (
	InUse        State = iota // requests may be sent
	Ejected                   // no requests may be sent, or a trial is under way
	Trial                     // the ejection has ended and one request may try the server
	OverdueTrial              // the same for trialPatience: even a request that must not be repeated may try it
)

// trialPatience is how long a trial waits for a request that may be repeated. A pool may get no such requests.
const trialPatience = 3 * time.Second

// ejection is the ejection state of one server. The zero value is a server in use.
type ejection struct {
	until        time.Duration // zero if not ejected
	nextDuration time.Duration // duration of the next ejection, before limits apply
	inTrial      bool          // whether the trial is under way
}

// State returns the server's state.
func (e *ejection) State(now time.Duration) State {
	switch {
	case e.until == 0:
		return InUse
	case now < e.until || e.inTrial:
		return Ejected
	case now < e.until+trialPatience:
		return Trial
	}
	return OverdueTrial
}

// Sent records a request sent to the server and reports whether it is the trial.
func (e *ejection) Sent(now time.Duration) (trial bool) {
	if s := e.State(now); s != Trial && s != OverdueTrial {
		return false
	}
	e.inTrial = true
	return true
}

// eject begins an ejection twice as long as the last one, within the limits.
func (e *ejection) eject(now, shortest, longest time.Duration) {
	e.inTrial = false
	e.nextDuration = min(max(e.nextDuration, shortest), longest)
	e.until = now + e.nextDuration
	e.nextDuration *= 2
}

// withdraw ends the ejection as if it had not begun. shortest is the duration of the first one.
func (e *ejection) withdraw(shortest time.Duration) {
	e.until, e.inTrial = 0, false
	e.nextDuration = max(e.nextDuration/2, shortest)
}
