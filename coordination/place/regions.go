// SPDX-License-Identifier: Apache-2.0

package place

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines how a choice goes from one region to another: the own region's servers
// first, others only where the own region has none for the request, none with room, or the one
// that suits it best was waited for as long as the way to another region takes.
//
// A prompt's rendezvous order is one in each region, because a choice looks at the servers of
// one region alone: no request crosses the link for a rank. In another region a request goes to
// the engine that suits it best there, and to no other.
//
// Ways weighed in TestTwoRegions, an account of 0.55 of what all engines bear at one side of two, by
// requests in time and the part that goes over: the own region only 0.23 and 0; one order over
// both 1.00 and 0.49, and half under any load; where the first event is expected sooner 0.98 and
// 0.36; where no engine of the region has room 0.50 and 0.37; the same, and at once where the best
// has none 0.97 and 0.34, after 120 ms 0.69 and 0.52, after the way of 60 ms (kept) 0.98 and 0.27.

// LeaveReason is why a request may leave its region.
type LeaveReason uint8

// The reasons.
const (
	Stay     LeaveReason = iota // it may not
	NoServer                    // no server of the region may have it, or only ejected ones
	NoRoom                      // none of the region has room for it
	BestFull                    // the engine that suits it best has none, another one has
)

// String returns the reason's name, as log lines and counters carry it.
func (l LeaveReason) String() string { return [...]string{"", "no-server", "no-room", "waited"}[l] }

// Due reports whether a request that has waited for so long may leave now: for the engine that
// suits it best it first waits as long as the way there and back takes.
func (l LeaveReason) Due(waited, way time.Duration) bool {
	return l == NoServer || l == NoRoom || (l == BestFull && waited >= way)
}

// MayLeave reports whether a request of a class may leave its region for want of room: what is
// beyond its account's share is served where nothing else waits, and nothing is moved for it.
func MayLeave(c entitlement.Class) bool { return c != entitlement.Beyond }

// ChooseInRegion is Choose among the servers of one region, with the reason to leave it, if there is
// one.
func (p *RoomPlacer) ChooseInRegion(r Request, servers []Server) (Choice, LeaveReason) {
	found, healthy := candidates(r, servers)
	c := p.choose(r, found)
	switch {
	case c.Index < 0 || !healthy:
		return c, NoServer
	case c.Bound == Free:
		return c, Stay
	case r.Engine && p.anyFree(r, found):
		return c, BestFull
	}
	return c, NoRoom
}

// anyFree reports whether a candidate has room. It costs O(candidates), and is looked at only
// where the best has none.
func (p *RoomPlacer) anyFree(r Request, found []candidate) bool {
	return slices.ContainsFunc(found, func(c candidate) bool { return p.bound(r, c) == Free })
}
