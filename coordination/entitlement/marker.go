// SPDX-License-Identifier: Apache-2.0

package entitlement

// This file defines Marker, which marks a part of an account's requests.

// Marker marks a given part of an account's requests, by cost, as entitled. The
// zero value is ready.
//
// Each request adds its part to a credit and, if that covers half of its cost,
// is entitled and uses its cost. What large requests add and cannot use serves
// small ones, so the part holds for the sum of the costs, and small requests
// are entitled before large ones.
type Marker struct {
	credit  float64
	largest float64 // cost seen lately
}

// largestMemory is the part of the largest cost that is left after a request: half after 34.
const largestMemory = 0.98

// Mark reports whether a request of that cost is within the part.
func (m *Marker) Mark(part, cost float64) bool {
	if part >= 1 {
		m.credit = 0
		return true
	}
	m.largest = max(cost, largestMemory*m.largest)
	m.credit = min(m.credit+part*cost, m.largest)
	if m.credit < cost/2 {
		return false
	}
	m.credit -= cost
	return true
}
