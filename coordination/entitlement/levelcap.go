// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"time"
)

// This file defines levelCap, which limits the level of the engines' output beyond the
// configured rate while an account is served much less than it is due.
//
// Such an account does not lack engines, which have capacity for the other accounts. It lacks
// processor time or memory at the gateways where its callers arrive, which no level can
// provide. The other accounts are therefore limited to capMultiple times what it is served, so
// that none is served twice as much. The sum of missed requests would not suffice: it shows the
// shortage late, and it lowers the level for all accounts by the size of the shortage,
// whichever account has it.
//
// Most of an overloaded gateway's shortage consists of connections that it does not accept.
// Demand is measured after acceptance, so the amount due would fall together with the amount
// served. Gateways therefore report an estimate of the unaccepted demand, which is used only
// here. It does not enter the shares, because no gateway has read these requests, nor the
// target output, because the engines do not cause this shortage.

const (
	minServedFraction = 0.8 // fraction of its due below which an account caps the others
	// minServedFractionUnread applies where unread demand counts as due. That demand is an
	// estimate in which a caller that tries two gateways counts twice, and the guarantee is
	// one half.
	minServedFractionUnread = 0.6
	capMultiple             = 1.5 // multiple of what the underserved account is served
	// capMinDemand is the fraction of the level below which an account's demand causes no
	// cap, because the account loses nothing to the others.
	capMinDemand = 0.5
	// capGrowthPerSecond is the relative growth of a cap per second once no account causes
	// it. A cap that was removed at once would be set again as soon as the other accounts
	// were served more.
	capGrowthPerSecond = 0.4
)

// levelCap is an upper bound of the level in tokens per second. 0 means unbounded.
type levelCap float64

// update returns the cap after elapsed time. lowest is the lowest rate at which an
// underserved account is served, +Inf if there is none. The cap is never below level, the
// level of the configured rate.
func (c levelCap) update(elapsed time.Duration, lowest, level float64) levelCap {
	if bound := levelCap(max(capMultiple*lowest, level)); c == 0 || bound < c {
		return bound
	}
	return c * levelCap(1+capGrowthPerSecond*elapsed.Seconds())
}

// apply returns the level to use, given the one that the engines could provide.
func (c levelCap) apply(level float64) float64 {
	if c == 0 {
		return level
	}
	return min(level, float64(c))
}

// activeCap returns the cap if it bounds the level now, else 0.
func (d *DemandEstimator) activeCap() int64 {
	if d.extraLevel < float64(d.extraCap) {
		return 0
	}
	return int64(d.extraCap)
}

// lowestServed returns the lowest served rate among the underserved accounts, or +Inf without
// one.
func (d *DemandEstimator) lowestServed() float64 {
	lowest := math.Inf(1)
	for _, a := range d.accounts {
		if a.demand.average+a.unread.average > capMinDemand*d.level && a.isUnderserved() {
			lowest = min(lowest, a.balance.served)
		}
	}
	return lowest
}

// isUnderserved reports whether the account is served much less than it is due.
func (a *account) isUnderserved() bool {
	return a.balance.served < minServedFraction*a.balance.due || a.balanceWithUnread.served < minServedFractionUnread*a.balanceWithUnread.due
}
