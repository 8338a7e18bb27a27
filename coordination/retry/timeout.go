// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines the times around a request's attempts: how long it waits
// for a server, when a refused caller should come back, and how long a server
// may send nothing.

// Bounds of the wait for a server, from the arrival on.
const (
	// objectivePart is the part of the objective that a request waits: later,
	// the refusal leaves its caller too little time to come back elsewhere.
	// Chosen, not measured.
	objectivePart = 0.22
	// lastWait bounds the wait where no early refusal helps. Chosen, not
	// measured.
	lastWait = time.Second
)

// QueueTimeout returns how long a request may wait for a server from now on,
// given the time since its arrival and the time left until its deadline. One
// that may have run, or has no objective, waits longer: a refusal could not
// promise that it has not run, or would come no sooner than is useful.
func QueueTimeout(route document.Route, runs int, waited, left time.Duration) time.Duration {
	most := scale(route.Objective, objectivePart)
	if runs > 0 || route.Objective == 0 {
		most = lastWait
	}
	return min(most-waited, left)
}

// Times after which a refused caller should come back. Chosen, not measured.
const (
	Soon  = 50 * time.Millisecond // what refused it passes quickly, or another gateway has room
	Later = time.Second           // what refused it lasts

	leftPart = 0.1 // of the time that the caller has left: room for several tries
)

// After returns when a refused caller that has some time left should come back.
func After(left time.Duration) time.Duration {
	return min(max(scale(left, leftPart), Soon), Later)
}

// AfterOverload returns the same for a caller whom the gateway's processor
// cannot serve. Within its account's share it may come back soon: most other
// gateways have room.
func AfterOverload(class entitlement.Class, left time.Duration) time.Duration {
	if class <= entitlement.Entitled {
		return Soon
	}
	return After(left)
}

// Times after which a server that sends nothing is given up. Chosen, not
// measured.
const (
	stallObjectives = 2.5                    // before the first part of an answer, in the route's objective
	stallGaps       = 4.0                    // between two parts, in the route's longest gap between events
	MinStall        = 400 * time.Millisecond // the least of both
)

// StallTimeouts returns how long a server may send nothing before the first
// part of its answer, and between two parts. Silence is watched only if
// another server may take the request up after this attempt; otherwise waiting
// on is always better than giving up.
func StallTimeouts(route document.Route, runs int) (first, gap time.Duration, watched bool) {
	if !route.MayRepeat() || runs+1 >= route.MaxAttempts {
		return 0, 0, false
	}
	return max(scale(route.Objective, stallObjectives), MinStall), max(scale(route.EventGap, stallGaps), MinStall), true
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
