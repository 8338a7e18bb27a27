// SPDX-License-Identifier: Apache-2.0

package share

import "slices"

// This file defines max-min fair shares of a rate: what each tenant is
// entitled to when all ask for more than there is.

// Level returns the highest rate that every tenant may ask for in full: the
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

// Marker marks a given part of a tenant's requests, by cost, as entitled. The
// zero value is ready. It keeps at most markerDepth requests' credit.
type Marker struct{ credit float64 }

// markerDepth bounds the credit, in costs of the present request.
const markerDepth = 1.0

// Entitled reports whether a request of that cost is within the part.
func (m *Marker) Entitled(part, cost float64) bool {
	if part >= 1 {
		m.credit = 0
		return true
	}
	m.credit = min(m.credit+part*cost, markerDepth*cost+part*cost)
	if m.credit < cost/2 {
		return false
	}
	m.credit -= cost
	return true
}
