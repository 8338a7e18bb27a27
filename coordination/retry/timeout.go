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
	// beyondPart is the part of the objective that a request beyond its account's share waits: it
	// finds room at once or only once others have gone.
	beyondPart = 0.1
	// reserve is the part of the objective that is kept for what delays a request after its wait: the
	// server's own queue, the network.
	reserve = 0.3
	// lastWait bounds the wait where the objective cannot be kept, or there is none.
	lastWait = time.Second
)

// QueuedRequest is what decides how long a request waits for a server.
type QueuedRequest struct {
	Route    document.Route
	Class    entitlement.Class
	Runs     int           // that it may have had
	Spent    time.Duration // since its caller asked first, before it came here
	Waited   time.Duration // since it came here
	Left     time.Duration // until its deadline
	Expected time.Duration // from a server until the first part of the answer
}

// QueueTimeout returns how long a request may wait for a server from now on: for as long
// as it can still begin in time. One that cannot, or may have run, waits a little longer
// for any answer: a refusal would send it away for good, or could not promise that it has
// not run.
func QueueTimeout(w QueuedRequest) time.Duration {
	objective := w.Route.Objective
	most := objective - w.Spent - w.Expected - scale(objective, reserve)
	switch {
	case w.Runs > 0, objective == 0:
		most = lastWait
	case w.Class >= entitlement.Extra:
		most = scale(objective, beyondPart)
	case most <= 0:
		most = lastWait
	}
	return min(most-w.Waited, w.Left)
}

// surePart is the part of the expected time to an answer below which there will be none: a server may
// be twice as fast as expected.
const surePart = 0.5

// CanAnswerInTime reports whether the request may still get an answer before its deadline. What
// certainly cannot is refused at once and reaches no server: its caller would have gone
// before the first part of the answer. A request that may have run is not refused.
func CanAnswerInTime(w QueuedRequest) bool {
	return w.Runs > 0 || w.Left >= scale(w.Expected, surePart)
}

// Times after which a refused caller should come back.
const (
	ShortDelay = 50 * time.Millisecond // what refused it passes quickly, or another gateway has room
	LongDelay  = time.Second           // what refused it lasts

	leftPart = 0.1 // of the time that the caller has left: room for several tries

	// sharePart is the same for what its account's share hardly covers: the flood lasts,
	// and a second refusal is worth nothing to the caller. Callers wait for up to a third.
	sharePart = 0.33
	spread    = 0.25 // by which that is less, at most, so that callers do not meet again
)

// A request beyond a share that covers some of what its account asks for comes back within its
// objective: the next try is as likely to be covered, and can still be in time.
const (
	likelyPart = 0.1 // of the account's requests that the share covers, at least
	// When it comes back, as parts of the objective, by lot: long enough for a list to be newer, and
	// short enough for the answer.
	againFrom = 0.2  // at the earliest
	againUpTo = 0.45 // at the latest
)

// After returns when a refused caller that has some time left should come back.
func After(left time.Duration) time.Duration {
	return min(max(scale(left, leftPart), ShortDelay), LongDelay)
}

// UncoveredRequest is what decides when a request comes back that its account's share does not cover.
type UncoveredRequest struct {
	CoveredPart float64       // of the account's requests that the share covers
	Objective   time.Duration // of its route; 0 is none
	Spent       time.Duration // since its caller asked first
	Left        time.Duration // until its deadline
}

// After returns when the request should come back. random is from 0 to 1.
func (s UncoveredRequest) After(random float64) time.Duration {
	again := max(scale(s.Objective, againFrom+(againUpTo-againFrom)*random), ShortDelay)
	if s.CoveredPart >= likelyPart && s.Spent+again < s.Objective {
		return again
	}
	return max(scale(s.Left, sharePart*(1-spread*random)), ShortDelay)
}

// AfterOverload returns the same for a caller whom the gateway's processor
// cannot serve. Within its account's share it may come back soon: most other
// gateways have room.
func AfterOverload(class entitlement.Class, left time.Duration, random float64) time.Duration {
	if class <= entitlement.Entitled {
		return ShortDelay
	}
	return UncoveredRequest{Left: left}.After(random)
}

// AfterBackoff returns when a caller should come back whose servers all asked for backoff:
// not all callers at once. random is from 0 to 1.
func AfterBackoff(backoff, left time.Duration, random float64) time.Duration {
	return max(backoff+scale(max(left, 0), leftPart*random), ShortDelay)
}

// Times after which a server that sends nothing is given up.
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
