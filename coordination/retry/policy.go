// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines Request, the policy for one request: whether there is another attempt, and how the
// request ends if there is none.

// Limits on the attempts of one request, in addition to those of its route.
const (
	// maxArrived bounds the attempts that reach a server, so that servers refusing everything do not
	// multiply the load.
	maxArrived = 3
	// MaxBegun bounds all attempts. Without it, a request whose only server refused connections would be
	// sent 3,000 times in 3 s.
	MaxBegun = 5
)

// Request holds the state of a request that has no complete answer yet, as far as the policy depends
// on it.
type Request struct {
	Route document.Route
	Counts
	Reusable    int  // servers that may be sent the request again, because their runs were ended as not needed
	HeadWritten bool // whether the head of an answer was sent to the caller
	Final       bool // whether no other answer can continue the one whose head was sent
	TimeLeft    bool // whether the limits of the caller and the route have not expired
}

// MayRetry reports whether another attempt is allowed after one that ended without a complete answer, and
// whether it is charged to the retry budget. Within the limits, a request that has not run may always
// be sent elsewhere, and one that may have run only if its route allows a second run. An attempt that
// reached no server caused no load, so the next one is not charged. The route limits the servers that may run the
// request, so one whose run was ended as not needed may run it again.
func (r Request) MayRetry(last Execution) (allowed, fromBudget bool) {
	maxRuns := max(r.Route.MaxAttempts, 1)
	switch {
	case !r.TimeLeft,
		r.HeadWritten && (r.Final || !r.Route.Resumable),
		r.Arrived >= min(maxRuns+1, maxArrived),
		r.Begun >= MaxBegun,
		r.Runs-r.Reusable >= maxRuns,
		!last.MayGoElsewhere(r.Route.MayRepeat()):
		return false, false
	}
	return true, last != NotSent
}

// Ending is how a request ends without a complete answer.
type Ending uint8

// Endings of a request.
const (
	EndBroken      Ending = iota // the answer has begun: the connection is closed to show that it is incomplete
	EndServerError               // with the server's own error
	EndTimedOut                  // timed out, and it may have run or has reached a server
	EndMayHaveRun                // it may have run and must not be repeated
	EndNoBudget                  // refused by a server, and the retry budget was exhausted
	EndRefused                   // refused by a server, and no other may be tried
	EndNoServer                  // every server was tried
	EndBeyondShare               // no capacity for a request of class Extra or Beyond
	EndOverloaded                // no capacity
)

// EndingAfterAttempt returns how the request ends after its last attempt. noBudget is whether a further
// attempt was refused because the retry budget was exhausted.
func (r Request) EndingAfterAttempt(last Execution, noBudget bool) Ending {
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

// EndingWithoutServer returns how the request ends if no server was available. allTried is whether every
// server of its pool was tried already.
func (r Request) EndingWithoutServer(class entitlement.Class, allTried bool) Ending {
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
