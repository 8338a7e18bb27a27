// SPDX-License-Identifier: Apache-2.0

package retry

// This file defines Execution, what is known about the run of a request after an
// attempt, and Counts, the sum over the attempts of one request.

// Execution is what is known about the run of a request after one attempt. The
// order is that of certainty that it ran.
type Execution uint8

// What is known after an attempt.
const (
	NotSent    Execution = iota // no byte reached the server
	Refused                     // the server promised that it has not run the request and will not
	MayHaveRun                  // the server may have run it
	HasRun                      // the server ran it and failed; its whole answer is held
	Answered                    // the server ran it and the caller has the whole answer
)

// MayGoElsewhere is the rule that gateway and router share: what has not run
// may be sent again, what may have run only if it may be repeated. Bounds and
// budgets come on top of it, in the gateway those of [Request.Again], in the
// router [Budget] alone.
func (e Execution) MayGoElsewhere(repeatable bool) bool { return e <= Refused || repeatable }

// Counts are the attempts of one request so far.
type Counts struct {
	Begun   int // attempts begun, whether or not they reached a server
	Arrived int // of these, the ones that reached a server
	Runs    int // of these, the ones that ran or may have run
}

// With returns the counts after one more attempt.
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
