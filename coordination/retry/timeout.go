// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines the times around a request's attempts: how long it waits for a server, when a
// refused caller should try again, and how long a server may be silent.

// Limits on the wait for a server, counted from the request's arrival.
const (
	// uncoveredWaitFraction is the fraction of the objective that a request of class Extra or Beyond waits.
	// It gets capacity either at once or only after others have ended.
	uncoveredWaitFraction = 0.1
	// reservedFraction is the fraction of the objective kept for delays after the wait: the server's own queue and
	// the network.
	reservedFraction = 0.3
	// maxLateWait bounds the wait if the objective cannot be met, or there is none.
	maxLateWait = time.Second
)

// QueuedRequest determines how long a request waits for a server.
type QueuedRequest struct {
	Route    document.Route
	Class    entitlement.Class
	Runs     int           // attempts that ran or may have run
	Spent    time.Duration // since the caller's first request, before this one arrived
	Waited   time.Duration // since this one arrived
	Left     time.Duration // until its deadline
	Expected time.Duration // expected time from sending it to the first part of the answer
}

// QueueTimeout returns how much longer a request may wait for a server: as long as its answer can still
// begin in time. A request that is late already, or that may have run, waits longer: refusing the
// first would make its caller give up, and refusing the second could not promise that it has not run.
func QueueTimeout(w QueuedRequest) time.Duration {
	objective := w.Route.Objective
	limit := objective - w.Spent - w.Expected - scale(objective, reservedFraction)
	switch {
	case w.Runs > 0, objective == 0:
		limit = maxLateWait
	case w.Class >= entitlement.Extra:
		limit = scale(objective, uncoveredWaitFraction)
	case limit <= 0:
		limit = maxLateWait
	}
	return min(limit-w.Waited, w.Left)
}

// minExpectedFraction is the fraction of the expected time to an answer that must be left for one to arrive
// in time: a server may be twice as fast as expected.
const minExpectedFraction = 0.5

// CanAnswerInTime reports whether the request may still be answered before its deadline. If it cannot, it
// is refused at once and sent to no server, since its caller would be gone before the answer
// begins. A request that may have run is not refused.
func CanAnswerInTime(w QueuedRequest) bool {
	return w.Runs > 0 || w.Left >= scale(w.Expected, minExpectedFraction)
}

// Delays after which a refused caller should try again.
const (
	ShortDelay = 50 * time.Millisecond // for a short-lived cause, or one that other gateways do not share
	LongDelay  = time.Second           // for a lasting cause

	delayFraction = 0.1 // fraction of the caller's remaining time, which leaves room for several tries

	// uncoveredDelayFraction replaces delayFraction for requests of an account whose share covers few of
	// them. The excess demand lasts, so a caller that retried soon would be refused again. It waits for up
	// to a third of its remaining time.
	uncoveredDelayFraction = 0.33
	jitter                 = 0.25 // maximum relative reduction, so that callers do not retry at the same time
)

// If a share covers some of an account's requests, a refused one is retried within its objective: the
// retry is as likely to be covered and can still be in time.
const (
	minCoveredFraction = 0.1 // minimum fraction of the account's requests that the share covers
	// Bounds of the random delay before the retry, as fractions of the objective: late enough for updated
	// shares, early enough for the answer.
	minRetryDelayFraction = 0.2  // earliest
	maxRetryDelayFraction = 0.45 // latest
)

// After returns when a refused caller with the given remaining time should try again.
func After(left time.Duration) time.Duration {
	return min(max(scale(left, delayFraction), ShortDelay), LongDelay)
}

// UncoveredRequest is a request that was refused because its account's share does not cover it (class Extra
// or Beyond), or because the gateway is overloaded.
type UncoveredRequest struct {
	CoveredFraction float64       // fraction of the account's requests that the share covers
	Objective       time.Duration // of its route; zero means none
	Spent           time.Duration // since the caller's first request
	Left            time.Duration // until its deadline
}

// After returns when the caller should try again. random is between 0 and 1.
func (r UncoveredRequest) After(random float64) time.Duration {
	delay := max(scale(r.Objective, minRetryDelayFraction+(maxRetryDelayFraction-minRetryDelayFraction)*random), ShortDelay)
	if r.CoveredFraction >= minCoveredFraction && r.Spent+delay < r.Objective {
		return delay
	}
	return max(scale(r.Left, uncoveredDelayFraction*(1-jitter*random)), ShortDelay)
}

// AfterOverload returns when a caller refused because the gateway's processor is overloaded should try
// again. Requests of class Covered or Entitled may be retried soon, since most other gateways have
// capacity; the others wait as if their share did not cover them.
func AfterOverload(class entitlement.Class, left time.Duration, random float64) time.Duration {
	if class <= entitlement.Entitled {
		return ShortDelay
	}
	return UncoveredRequest{Left: left}.After(random)
}

// AfterBackoff returns when a caller should try again if all its servers have asked for a backoff. random
// is between 0 and 1 and keeps callers from retrying at the same time.
func AfterBackoff(backoff, left time.Duration, random float64) time.Duration {
	return max(backoff+scale(max(left, 0), delayFraction*random), ShortDelay)
}

// Times after which a server that sends nothing counts as silent.
const (
	stallObjectives = 2.5                    // before the first part of an answer, as a multiple of the route's objective
	stallGaps       = 4.0                    // between two parts, as a multiple of the route's maximum gap between events
	MinStall        = 400 * time.Millisecond // minimum of both
)

// StallTimeouts returns how long a server may be silent before the first part of its answer, and between
// two parts, before others are tried beside it. Silence is watched only if the route allows another attempt.
func StallTimeouts(route document.Route, runs int) (first, gap time.Duration, watched bool) {
	if !route.MayRepeat() || runs+1 >= route.MaxAttempts {
		return 0, 0, false
	}
	return max(scale(route.Objective, stallObjectives), MinStall), max(scale(route.EventGap, stallGaps), MinStall), true
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
