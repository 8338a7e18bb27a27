// SPDX-License-Identifier: Apache-2.0

package entitlement

import "slices"

// This file defines max-min fair shares of a rate: what each account is
// entitled to when all demand more than there is.

// Level returns the highest demand that is covered in full for every account: the
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

// covered returns what a level gives to all of the demands together.
func covered(demands []float64, level float64) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += min(d, level)
	}
	return sum
}

// Part returns which part of a demand a level covers.
func Part(demand, level float64) float64 {
	if demand <= level {
		return 1
	}
	return level / demand
}
