// SPDX-License-Identifier: Apache-2.0

package entitlement

// This file defines Marker, which marks a fraction of an account's requests.

// Marker marks a given fraction of an account's requests, weighted by cost, as entitled. The
// zero value is ready to use.
//
// Each request adds its fraction of its cost to a credit. If the credit covers half of the
// request's cost, the request is entitled and its cost is deducted. Credit that a large
// request adds but cannot use serves small ones, so the fraction holds for the sum of the
// costs and small requests are entitled before large ones.
type Marker struct {
	credit  float64
	largest float64 // decaying maximum of the costs, which bounds the credit
}

// largestDecay is the fraction of largest that remains after each request; it halves in 34
// requests.
const largestDecay = 0.98

// Mark adds a request of that cost and reports whether it is entitled.
func (m *Marker) Mark(fraction, cost float64) bool {
	if fraction >= 1 {
		m.credit = 0
		return true
	}
	m.largest = max(cost, largestDecay*m.largest)
	m.credit = min(m.credit+fraction*cost, m.largest)
	if m.credit < cost/2 {
		return false
	}
	m.credit -= cost
	return true
}
