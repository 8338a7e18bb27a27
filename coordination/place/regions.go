// SPDX-License-Identifier: Apache-2.0

package place

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines when a request leaves its region. Servers of its own region come first. Others
// are considered only if none of the region may serve the request, if none has capacity, or if the
// request has waited for its best engine as long as a round trip to another region takes.
//
// Each region has its own rendezvous order, since a choice considers the servers of one region only.
// A request never crosses the link for the sake of its rank, and in another region it may only use
// its best engine there.
//
// The wait of one round trip is preferred to these alternatives, for an account whose callers are all in
// one region and that needs more than half of the fleet (TestRegionStrategies):
//   - Staying in the own region serves a quarter of its requests in time.
//   - One order over both regions sends half of all requests across the link under any load.
//   - Leaving whenever the other region is expected to answer sooner, or as soon as the best engine
//     is full, sends more requests across the link for no more of them in time.
//   - Leaving only when the whole region is full serves half of them in time, and leaving after 120 ms
//     two thirds; both make more requests cross the link.

// LeaveReason is the reason why a request may leave its region.
type LeaveReason uint8

// Reasons for leaving a region.
const (
	Stay       LeaveReason = iota // it may not leave
	NoServer                      // no server of the region is usable for it, or only ejected ones are
	NoCapacity                    // no server of the region has capacity for it
	BestFull                      // its best engine has no capacity, but another one in the region has
)

// String returns the reason's name as used in log lines and counters.
func (l LeaveReason) String() string { return [...]string{"", "no-server", "no-room", "waited"}[l] }

// Due reports whether a request that has waited for the given time may leave now. If only its best
// engine is full, it first waits for one round trip to the other region.
func (l LeaveReason) Due(waited, rtt time.Duration) bool {
	return l == NoServer || l == NoCapacity || (l == BestFull && waited >= rtt)
}

// MayLeave reports whether a request of the given class may leave its region for lack of capacity.
// Requests of class Beyond only use capacity that is idle in their own region and are not moved to
// another one for it.
func MayLeave(c entitlement.Class) bool { return c != entitlement.Beyond }

// ChooseInRegion is like Choose for the servers of one region, and also returns the reason for the
// request to leave it, if any.
func (p *CapacityPlacer) ChooseInRegion(r Request, servers []Server) (Choice, LeaveReason) {
	cands, healthy := candidates(r, servers)
	c := p.choose(r, cands)
	switch {
	case c.Index < 0 || !healthy:
		return c, NoServer
	case c.Bound == Free:
		return c, Stay
	case r.Engine && p.anyFree(r, cands):
		return c, BestFull
	}
	return c, NoCapacity
}

// anyFree reports whether any candidate has capacity. It costs O(candidates) and is called only if
// the best candidate has none.
func (p *CapacityPlacer) anyFree(r Request, cands []candidate) bool {
	return slices.ContainsFunc(cands, func(c candidate) bool { return p.bound(r, c) == Free })
}
