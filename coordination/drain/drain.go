// SPDX-License-Identifier: Apache-2.0

// Package drain decides what a gateway that is stopping still does.
//
// A stop has three phases, each a part of the grace: new requests are served
// however long they may take, because balancers still send some; then only
// those that surely end in time; at last what still runs is cut off, while
// there is time left to close connections and write the log. Everything is
// pure: the time since the stop began is an argument.
package drain

import "time"

// Ends of the phases, as parts of the grace.
const (
	// acceptPart was 0.4 until the bench cut off requests that a stopping
	// gateway had taken (docs/FINDINGS.md, served for 0.4 of the grace;
	// TestStop). 0.34 is chosen.
	acceptPart = 0.34
	// finishPart leaves the rest of the grace to close connections and write the log.
	finishPart = 0.88
)

// Grace is how long a process has from the request to stop until it is killed.
type Grace time.Duration

// Admits reports whether a request may begin that takes at most patience,
// given the time since the stop began, 0 before.
func (g Grace) Admits(since, patience time.Duration) bool {
	return since <= g.part(acceptPart) || since+patience <= g.part(finishPart)
}

// Step is what a stopping gateway does now.
type Step uint8

// The steps.
const (
	GoOn   Step = iota // requests are being served, or may still begin
	End                // nothing runs, and no more is expected
	CutOff             // the time for what runs is over
)

// Next returns what to do, given the time since the stop began and the number
// of requests that are being served.
func (g Grace) Next(since time.Duration, running int64) Step {
	switch {
	case since > g.part(finishPart):
		return CutOff
	case since > g.part(acceptPart) && running == 0:
		return End
	}
	return GoOn
}

func (g Grace) part(p float64) time.Duration { return time.Duration(p * float64(g)) }
