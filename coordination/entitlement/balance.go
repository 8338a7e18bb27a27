// SPDX-License-Identifier: Apache-2.0

package entitlement

import "time"

// This file defines balance, which compares what an account was due with what it was served,
// so that its share makes up for the difference.
//
// The covered fraction of a demand is only a target: the gateways where the account's callers
// arrive may lack the processor time or memory to serve it, and an estimate that was wrong
// for a second has already taken effect. Only this comparison detects either.

const (
	balanceTimeConstant = time.Second // time constant of the averages
	balanceGain         = 3.0         // share correction per unit of (due - served) / level
	minFactor           = 0.5         // multiple of the level; less than half would itself be unfair
	toleratedShortfall  = 0.15        // fraction of what is due that may be missing by chance
	maxFactor           = 3.0         // multiple of the level; more does not help where gateways cannot serve it
)

// balance holds averages of what an account was due and was served, in tokens per second.
type balance struct{ due, served float64 }

// update returns the balance after elapsed time at these rates.
func (b balance) update(elapsed time.Duration, due, served float64) balance {
	return balance{
		due: ewma(b.due, due, elapsed, balanceTimeConstant), served: ewma(b.served, served, elapsed, balanceTimeConstant),
	}
}

// shortfall returns how much less than due the account was served, in tokens per second,
// beyond what chance explains.
func (b balance) shortfall() float64 { return max((1-toleratedShortfall)*b.due-b.served, 0) }

// factor returns the account's current share as a multiple of the level.
func (b balance) factor(level float64) float64 {
	if level <= 0 {
		return 1
	}
	return min(max(1+balanceGain*(b.due-b.served)/level, minFactor), maxFactor)
}
