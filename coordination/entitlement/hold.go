// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"time"
)

// This file defines hold, which bounds the level of what engines make beyond the named rate while
// an account gets much less than it is due.
//
// What such an account lacks is not engines: those have room for the others. It is the processor,
// the memory or the time of the gateways where its callers meet, and no level gives that. So that
// nobody gets twice what it gets, the others are held near that. The sum of what is missed shows
// it late and by the wrong measure: it lowers the level of all by the size of the lack, whoever
// has it.
//
// Most of what a late gateway lacks the processor for is on connections that it does not take.
// Demand is averaged behind that, so that what is due would fall with what is given. The estimate
// of it that gateways report counts here alone: in a share it would be a part of requests that
// nobody has read, and in what engines make a lack that is none of theirs.

// Constants of a hold.
const (
	heldBelow = 0.8 // of what an account is due: who is given less holds the others
	// heldBelowUnread is the same with what gateways have not read in what is due. It is an estimate, in
	// which a caller that tries two gateways counts twice, and the promise is a half.
	heldBelowUnread = 0.6
	heldTimes       = 1.5 // times what that account is given
	heldFrom        = 0.5 // of the level: the others take nothing from an account that demands less
	// heldGrowth is by how much of itself a hold grows in a second. One that ended at once would
	// come back as soon as the others got more.
	heldGrowth = 0.4
)

// hold is a bound of the level in tokens a second. 0 does not bound.
type hold float64

// settle returns the hold after some more time. least is what the account is given that holds the
// others, infinite without one; the hold is never below the level of the named rate.
func (h hold) settle(elapsed time.Duration, least, level float64) hold {
	if bound := hold(max(heldTimes*least, level)); h == 0 || bound < h {
		return bound
	}
	return h * hold(1+heldGrowth*elapsed.Seconds())
}

// bound returns the level that is given, of one that the engines could make.
func (h hold) bound(level float64) float64 {
	if h == 0 {
		return level
	}
	return min(level, float64(h))
}

// holding returns the hold where it bounds the level now, else 0.
func (d *Demand) holding() int64 {
	if d.extra < float64(d.hold) {
		return 0
	}
	return int64(d.hold)
}

// leastGiven returns the least that any account is given of those that get much less than they are
// due.
func (d *Demand) leastGiven() float64 {
	least := math.Inf(1)
	for _, a := range d.accounts {
		if a.demand.average+a.unread.average > heldFrom*d.level && a.lacks() {
			least = min(least, a.balance.given)
		}
	}
	return least
}

// lacks reports whether the account is given much less than it is due.
func (a *account) lacks() bool {
	return a.balance.given < heldBelow*a.balance.due || a.lack.given < heldBelowUnread*a.lack.due
}
