// SPDX-License-Identifier: Apache-2.0

package retry

// This file defines Execution, the outcome of one attempt, and Counts, the totals over all attempts
// of a request.

// Execution states whether a request has run, as far as one attempt shows. Values are ordered by the
// certainty that it has.
type Execution uint8

// Outcomes of an attempt.
const (
	NotSent    Execution = iota // no byte was sent to the server
	Refused                     // the server promised that it has not run the request and will not
	MayHaveRun                  // the server may have run it
	HasRun                      // the server ran it and failed, and its complete answer was received
	Answered                    // the server ran it and the caller has the answer, complete as far as anything states its end
)

// MayGoElsewhere is the rule shared by gateway and router: a request that has not run may be sent to
// another server, and one that may have run only if it is repeatable. Limits and budgets apply in
// addition: those of [Request.MayRetry] in the gateway, [Budget] alone in the router.
func (e Execution) MayGoElsewhere(repeatable bool) bool { return e <= Refused || repeatable }

// Counts holds the number of attempts of a request so far.
type Counts struct {
	Begun   int // attempts started, whether or not they reached a server
	Arrived int // of those, attempts that reached a server
	Runs    int // of those, attempts that ran or may have run
}

// With returns the counts after one more attempt with the given outcome.
func (c Counts) With(e Execution) Counts {
	c.Begun++
	if e >= Refused {
		c.Arrived++
	}
	if e >= MayHaveRun {
		c.Runs++
	}
	return c
}

// Plus returns the counts of both together.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Begun: c.Begun + o.Begun, Arrived: c.Arrived + o.Arrived, Runs: c.Runs + o.Runs}
}
