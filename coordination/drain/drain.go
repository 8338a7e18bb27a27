// SPDX-License-Identifier: Apache-2.0

// Package drain decides what a stopping gateway still does.
//
// A stop has four phases. At first, new requests are admitted however long they may take, because balancers still
// send some. Then only requests that are certain to end in time are begun. After that, requests that are still
// running are cut off and their callers answered. The last phase is left to close connections and write the log. All
// functions are pure; the time since the stop began is an argument.
package drain

import "time"

// Ends of the phases, as fractions of the grace period.
const (
	// acceptFraction ends the phase of unrestricted admission. At 0.4, requests that a stopping gateway had admitted
	// were cut off (docs/FINDINGS.md).
	acceptFraction = 0.34
	// finishFraction ends the phase in which requests run.
	finishFraction = 0.88
	// closeFraction leaves the rest of the grace period to end the process.
	closeFraction = 0.95
)

// maxAccept bounds the phase of unrestricted admission. Balancers stop sending within it, so that a longer grace
// period does not let in more requests that may be cut off.
const maxAccept = 3 * time.Second

// Grace is the grace period: the time between the request to stop a process and its forced termination.
type Grace time.Duration

// AcceptsAny reports whether a request may begin however long it may take, given the time since the stop began.
func (g Grace) AcceptsAny(since time.Duration) bool {
	return since <= min(g.fraction(acceptFraction), maxAccept)
}

// Admits reports whether a request that takes at most patience may begin, given the time since the stop began, or 0
// if it has not.
func (g Grace) Admits(since, patience time.Duration) bool {
	return g.AcceptsAny(since) || since+patience <= g.fraction(finishFraction)
}

// Step is an action of a stopping gateway.
type Step uint8

// Steps of a stop.
const (
	Continue Step = iota // requests are running or may still begin
	End                  // no requests are running and no more are expected
	CutOff               // the grace period is nearly over: end the requests that are still running
)

// Next returns the next action, given the time since the stop began and the number of running requests.
func (g Grace) Next(since time.Duration, running int64) Step {
	switch {
	case since > g.fraction(finishFraction):
		return CutOff
	case !g.AcceptsAny(since) && running == 0:
		return End
	}
	return Continue
}

// CloseBy returns the time since the stop began at which all connections are closed, whatever they carry.
func (g Grace) CloseBy() time.Duration { return g.fraction(closeFraction) }

func (g Grace) fraction(p float64) time.Duration { return time.Duration(p * float64(g)) }
