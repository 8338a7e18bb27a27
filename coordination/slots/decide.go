// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"math"
	"time"
)

// This file defines Decide, the router's rule for whether a free slot is used or returned.
// The allocator computes the slack that the rule uses (account.go).

// Action is the decision on a free slot.
type Action uint8

const (
	Keep   Action = iota // nothing to run here, and the pool is not short of slots
	Use                  // start the next account's request
	Return               // return the slot to the allocator
)

// MaxViewAge is the age above which a router ignores a view of the fleet. Without recent
// views there may be no allocator to grant a returned slot again, so the router keeps its
// slots in use. The fairness bound assumes that views are at most that old.
const MaxViewAge = time.Second

// FleetView is the state of one pool in the allocator's latest view. The zero value describes
// a pool that is not short of slots.
type FleetView struct {
	Short      bool          // more requests wait in the fleet than slots are free
	Floor      float64       // lowest virtual time among the fleet's backlogged accounts
	Slack      float64       // how far above the floor slots are reused, in virtual time
	Rate       float64       // rise of the floor, virtual time per second
	ReceivedAt time.Duration // time of receipt
}

// limit returns the virtual time up to which a slot may be reused. It extrapolates the floor
// since the view was sent. Without that, a router would count its own part of the floor's
// rise as being ahead and return every slot between two views (docs/design/fair-sharing.md
// has the figures).
func (f FleetView) limit(now time.Duration) float64 {
	return f.Floor + f.Rate*(now-f.ReceivedAt).Seconds() + f.Slack
}

// Decide returns what to do with a free slot. best is the virtual time of the next account
// here, or +Inf if no request waits here. granted is [Holder.HasUnusedGrant].
func Decide(now time.Duration, best float64, granted bool, f FleetView) Action {
	needed := f.Short && now-f.ReceivedAt <= MaxViewAge
	switch {
	case math.IsInf(best, 1) && needed:
		return Return
	case math.IsInf(best, 1):
		return Keep // the allocator recalls the slots that it needs
	case granted:
		return Use
	case needed && best > f.limit(now):
		return Return
	}
	return Use
}
