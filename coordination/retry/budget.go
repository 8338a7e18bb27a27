// SPDX-License-Identifier: Apache-2.0

package retry

// This file defines Budget, the retry budget of the router.

// Budget is a budget of retries: a part of the requests, so that retries of
// all routers together never exceed that part of the fleet's load. It is the
// router's only bound on attempts, so every further attempt costs one, also
// after an attempt that reached nobody, which is free in a gateway
// ([Request.Again]). The zero value allows none.
type Budget struct {
	Ratio float64 // retries allowed per request
	Burst float64 // retries that may be saved up
	saved float64
}

// DefaultBudget is the budget of one router: a tenth of the requests (docs/design/outcomes.md).
var DefaultBudget = Budget{Ratio: 0.1, Burst: 10}

// Request counts a first attempt.
func (b *Budget) Request() { b.saved = min(b.saved+b.Ratio, b.Burst) }

// Retry reports whether a retry is allowed, and counts it.
func (b *Budget) Retry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
