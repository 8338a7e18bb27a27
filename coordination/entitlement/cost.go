// SPDX-License-Identifier: Apache-2.0

package entitlement

// This file defines Cost, what a request counts against its account's share.

// outputCost is what a token made costs, in tokens read.
const outputCost = 2

// Cost returns the cost of a request in tokens read, by the tokens that it
// reads and the most that it makes.
func Cost(read, made int) float64 { return float64(read + outputCost*made) }
