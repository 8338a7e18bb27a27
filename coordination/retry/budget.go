// SPDX-License-Identifier: Apache-2.0

package retry

// This file defines Budget, the retry budget of the router.

// Budget allows retries in proportion to first attempts. If every router keeps to the same ratio, so
// does the fleet. It is the router's only limit on attempts, so each further attempt is charged, even
// after one that reached no server; gateways do not charge for those ([Request.MayRetry]). The zero
// value allows no retries.
type Budget struct {
	Ratio float64 // retries allowed per request
	Burst float64 // maximum number of unused retries that accumulate
	saved float64
}

// DefaultBudget is the budget of one router: a tenth of its requests (docs/design/outcomes.md).
var DefaultBudget = Budget{Ratio: 0.1, Burst: 10}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest() { b.saved = min(b.saved+b.Ratio, b.Burst) }

// AllowRetry reports whether a retry is allowed, and if so charges it.
func (b *Budget) AllowRetry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
