// SPDX-License-Identifier: Apache-2.0

package entitlement

import "slices"

// This file defines max-min fair shares of a rate: what each account is
// entitled to when all ask for more than there is.

// Level returns the highest rate that every account may ask for in full: the
// sum of min(demand, level) is the capacity. Without a shortage it is the
// largest demand. It costs O(n log n).
func Level(demands []float64, capacity float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	left := capacity
	for i, d := range sorted {
		even := left / float64(len(sorted)-i)
		if d >= even {
			return even
		}
		left -= d
	}
	if len(sorted) == 0 {
		return capacity
	}
	return sorted[len(sorted)-1]
}

// Part returns which part of a demand a level covers.
func Part(demand, level float64) float64 {
	if demand <= level {
		return 1
	}
	return level / demand
}

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

// largestMemory is the part of the largest cost that is left after a request.
const largestMemory = 0.98

// Entitled reports whether a request of that cost is within the part.
func (m *Marker) Entitled(part, cost float64) bool {
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
