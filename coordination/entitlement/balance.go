// SPDX-License-Identifier: Apache-2.0

package entitlement

import "time"

// This file defines balance, which compares what an account was due with what it was
// given, so that its share makes up for the difference.
//
// A part of a demand is a promise: the gateways where the account's callers meet may
// have no processor or room for it, and an estimate that was wrong for a second has
// already been acted on. Without the comparison neither is ever noticed.

// Constants of a balance. Chosen; TestWhoWaitsGetsHalf holds with them.
const (
	balanceMemory = time.Second // time constant
	balanceGain   = 3.0         // times the difference that the share is changed
	factorLeast   = 0.5         // of the level: who is given less than half of it is treated unfairly too
	owedPart      = 0.15        // of what is due, that may be missing without notice
	factorMost    = 3.0         // of the level: where it cannot be given, asking for more does not help
)

// balance holds averages of what an account was due and was given, in tokens a second.
type balance struct{ due, given float64 }

// settle returns the balance after some more time at these rates.
func (b balance) settle(elapsed time.Duration, due, given float64) balance {
	return balance{
		due: decay(b.due, due, elapsed, balanceMemory), given: decay(b.given, given, elapsed, balanceMemory),
	}
}

// owed is what the account is given less than it is due, in tokens a second, beyond what
// chance does.
func (b balance) owed() float64 { return max((1-owedPart)*b.due-b.given, 0) }

// factor is the part of the level that the account's share is now.
func (b balance) factor(level float64) float64 {
	if level <= 0 {
		return 1
	}
	return min(max(1+balanceGain*(b.due-b.given)/level, factorLeast), factorMost)
}
