// SPDX-License-Identifier: Apache-2.0

package entitlement

import "slices"

// This file computes max-min fair shares of a rate.

// MaxMinLevel returns the max-min fair level: the largest demand that is covered in full for
// every account, so that the sum of min(demand, level) equals the capacity. Without a
// shortage it is the largest demand. It costs O(n log n).
func MaxMinLevel(demands []float64, capacity float64) float64 {
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

// coveredSum returns the sum of what a level covers of each demand.
func coveredSum(demands []float64, level float64) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += min(d, level)
	}
	return sum
}

// CoveredFraction returns the fraction of a demand that a level covers.
func CoveredFraction(demand, level float64) float64 {
	if demand <= level {
		return 1
	}
	return level / demand
}
