// SPDX-License-Identifier: Apache-2.0

package place

import (
	"slices"
	"time"
)

// This file defines the ways to leave a region that TestTwoRegions compares.

// side is a region as a way to choose sees it.
type side struct {
	own, far    []Server
	now, waited time.Duration
}

// way chooses an engine, and whether it is a far one.
type way func(p *RoomPlacer, r Request, s side) (c Choice, far bool)

func ownRegionOnly(p *RoomPlacer, r Request, s side) (Choice, bool) { return p.Choose(r, s.own), false }

// oneOrder is one rendezvous order over both regions.
func oneOrder(p *RoomPlacer, r Request, s side) (Choice, bool) {
	c := p.Choose(r, slices.Concat(s.own, s.far))
	if c.Index >= len(s.own) {
		c.Index -= len(s.own)
		return c, true
	}
	return c, false
}

// soonerThere goes where the first event is expected sooner, by what is known.
func soonerThere(p *RoomPlacer, r Request, s side) (Choice, bool) {
	near, far := p.Choose(r, s.own), p.Choose(r, s.far)
	ms := func(c Choice) float64 { return float64(c.Before.Tokens+c.Read) / sideRate }
	if far.Bound == Free && ms(far)+milliseconds(sideWay) < ms(near) {
		return far, true
	}
	return near, false
}

// whenFull leaves where no engine of the region has room.
func whenFull(p *RoomPlacer, r Request, s side) (Choice, bool) {
	c, why := p.ChooseInRegion(r, s.own)
	if far, _ := p.ChooseInRegion(r, s.far); why == NoRoom && MayLeave(r.Class) && far.Bound == Free {
		return far, true
	}
	return c, false
}

// waits leaves also once the engine that suits best was waited for so long.
func waits(least time.Duration) way {
	return func(p *RoomPlacer, r Request, s side) (Choice, bool) {
		c, why := p.ChooseInRegion(r, s.own)
		far, _ := p.ChooseInRegion(r, s.far)
		if why.Due(s.waited, least) && MayLeave(r.Class) && far.Bound == Free {
			return far, true
		}
		return c, false
	}
}
