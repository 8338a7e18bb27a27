// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"math"
	"time"
)

// This file defines Decide, the router's rule for a free slot: is it used here
// or given back. The slack that goes into it is computed by the allocator
// (account.go).

// Action is what to do with a free slot.
type Action uint8

// The actions.
const (
	Keep   Action = iota // nothing to run here, and enough slots elsewhere
	Use                  // start the account that goes next here
	Return               // give the slot back
)

// MaxViewAge is how long a router acts on a view of the fleet. An older one is ignored: a slot in use is
// better than a slot returned with no allocator to grant it. The fairness bound counts on views being
// at most that old.
const MaxViewAge = time.Second

// FleetView is what the allocator last sent of one pool. The zero value is a
// view of a pool that is not short of slots.
type FleetView struct {
	Short      bool          // more work waits in the fleet than slots are free
	Floor      float64       // lowest virtual time with work waiting in the fleet
	Slack      float64       // virtual time above the floor up to which slots are used again
	Rate       float64       // how fast the floor rises, virtual time a second
	ReceivedAt time.Duration // when the view was received
}

// limit is the virtual time up to which a slot may be used again. The floor
// has risen since the view was sent; without the rate, a router counted its own
// share of the rise as being ahead and gave back every slot between two views
// (docs/design/fair-sharing.md has the figures).
func (f FleetView) limit(now time.Duration) float64 {
	return f.Floor + f.Rate*(now-f.ReceivedAt).Seconds() + f.Slack
}

// Decide returns what to do with a free slot. best is the virtual time of the
// account that goes next here, or +Inf when nothing waits here; granted is
// [Holder.HasUnusedGrant].
func Decide(now time.Duration, best float64, granted bool, f FleetView) Action {
	wanted := f.Short && now-f.ReceivedAt <= MaxViewAge
	switch {
	case math.IsInf(best, 1) && wanted:
		return Return
	case math.IsInf(best, 1):
		return Keep // the allocator recalls what it needs
	case granted:
		return Use
	case wanted && best > f.limit(now):
		return Return
	}
	return Use
}
