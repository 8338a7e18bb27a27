// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines Request, the policy of one request's attempts: whether
// there is another one, and how the request ends if not.

// Bounds of the attempts of one request, besides its route's.
const (
	// maxArrived bounds arrivals, so that servers that refuse everything do not multiply the load.
	maxArrived = 3
	// MaxBegun bounds all attempts: without it, a request whose only server refused connections was
	// sent 3,000 times in 3 s (TestOnlyBackendIsUnreachable).
	MaxBegun = 5
)

// Request is what the policy needs to know of a request that has no whole
// answer yet.
type Request struct {
	Route document.Route
	Counts
	HeadWritten bool // the head of an answer has gone to the caller
	TimeLeft    bool // the caller and the route still allow time
}

// Again reports whether there may be another attempt after one that ended
// without a whole answer, and whether it has to come out of the retry budget.
// What has not run may always go elsewhere, within the bounds; what may have
// run only if its route allows a second run. An attempt that reached no server put
// no load on a server, so the one after it is free.
func (r Request) Again(last Execution) (allowed, fromBudget bool) {
	maxRuns := max(r.Route.MaxAttempts, 1)
	switch {
	case !r.TimeLeft,
		r.HeadWritten && !r.Route.Resumable,
		r.Arrived >= min(maxRuns+1, maxArrived),
		r.Begun >= MaxBegun,
		r.Runs >= maxRuns,
		!last.MayGoElsewhere(r.Route.MayRepeat()):
		return false, false
	}
	return true, last != NotSent
}

// Ending is how a request ends that no server answered whole.
type Ending uint8

// The endings.
const (
	EndBroken      Ending = iota // the answer has begun: closing the connection alone shows that it is not whole
	EndServerError               // with the server's own failure
	EndTimedOut                  // the time is over and it may have run, or a server had it
	EndMayHaveRun                // it may have run, and may not be tried again
	EndNoBudget                  // refused by a server; the retry budget did not allow another
	EndRefused                   // refused by a server; no other may be tried
	EndNoServer                  // no server is left that was not tried
	EndBeyondShare               // no room, for a request beyond its account's share
	EndOverloaded                // no room
)

// AfterAttempt returns how the request ends after its last attempt. noBudget
// means that the budget refused another one.
func (r Request) AfterAttempt(last Execution, noBudget bool) Ending {
	switch {
	case r.HeadWritten:
		return EndBroken
	case last == HasRun:
		return EndServerError
	case r.Runs > 0 && !r.TimeLeft:
		return EndTimedOut
	case r.Runs > 0:
		return EndMayHaveRun
	case last == Refused && noBudget:
		return EndNoBudget
	case last == Refused:
		return EndRefused
	}
	return EndNoServer
}

// WithoutServer returns how the request ends if it got no server to go to:
// allTried means that it had every one of its pool already.
func (r Request) WithoutServer(class entitlement.Class, allTried bool) Ending {
	switch {
	case !r.TimeLeft && r.Arrived > 0:
		return EndTimedOut
	case !r.TimeLeft:
		return EndOverloaded
	case r.Runs > 0:
		return EndMayHaveRun
	case allTried:
		return EndNoServer
	case class > entitlement.Entitled:
		return EndBeyondShare
	}
	return EndOverloaded
}
