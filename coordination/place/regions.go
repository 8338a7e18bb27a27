// SPDX-License-Identifier: Apache-2.0

package place

import (
	"slices"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines how a choice goes from one region to another: the own region's servers
// first, others only where the own region has none for the request, or none with room.
//
// A prompt's rendezvous order is one in each region, because a choice looks at the servers of
// one region alone: no request crosses the link for a rank.

// Leave is why a request may leave its region.
type Leave uint8

// The reasons.
const (
	Stay     Leave = iota // it may not
	NoServer              // no server of the region may have it, or only ejected ones
	NoRoom                // none of the region has room for it
)

// String returns the reason's name, as log lines and counters carry it.
func (l Leave) String() string { return [...]string{"", "no-server", "no-room"}[l] }

// MayLeave reports whether a request of a class may leave its region for want of room: what is
// beyond its account's share is served where nothing else waits, and nothing is moved for it.
func MayLeave(c entitlement.Class) bool { return c != entitlement.Beyond }

// ChooseNear is Choose among the servers of one region, with whether there is a reason to
// leave it. An engine that suits best and has no room is none, as long as another engine of
// the region has room: it is waited for, as Choose says.
func (p *RoomPlacer) ChooseNear(r Request, servers []Server) (Choice, Leave) {
	found, healthy := candidates(r, servers)
	c := p.choose(r, found)
	switch {
	case c.Index < 0 || !healthy:
		return c, NoServer
	case c.Bound != Free && !(r.Engine && p.anyFree(r, found)):
		return c, NoRoom
	}
	return c, Stay
}

// ChooseFar returns a server of another region that has room for a request that finds none in
// its own: the one that suits it best if that one has room, else the one that suits it best of
// those that have. A request that leaves its region does not wait for one engine of another.
func (p *RoomPlacer) ChooseFar(r Request, servers []Server) Choice {
	found, healthy := candidates(r, servers)
	if !healthy {
		return Choice{Index: -1}
	}
	if c := p.choose(r, found); c.Index < 0 || c.Bound == Free {
		return c
	}
	return p.withRoom(r, found)
}

// anyFree reports whether a candidate has room. It costs O(candidates), and is looked at only
// where the best has none.
func (p *RoomPlacer) anyFree(r Request, found []candidate) bool {
	return slices.ContainsFunc(found, func(c candidate) bool { return p.bound(r, c) == Free })
}
