// SPDX-License-Identifier: Apache-2.0

package place

import (
	"slices"
	"time"
)

// This file defines the strategies for leaving a region that TestRegionStrategies compares.

// regionView is the input of a strategy: the engines of a gateway's own region and of the other one.
type regionView struct {
	own, far    []Server
	now, waited time.Duration
}

// regionStrategy chooses an engine, and reports whether that is in the other region.
type regionStrategy func(p *CapacityPlacer, r Request, s regionView) (c Choice, far bool)

func ownRegionOnly(p *CapacityPlacer, r Request, s regionView) (Choice, bool) {
	return p.Choose(r, s.own), false
}

// oneOrder uses one rendezvous order over both regions.
func oneOrder(p *CapacityPlacer, r Request, s regionView) (Choice, bool) {
	c := p.Choose(r, slices.Concat(s.own, s.far))
	if c.Index >= len(s.own) {
		c.Index -= len(s.own)
		return c, true
	}
	return c, false
}

// whenSooner leaves if the other region is expected to send the first event sooner.
func whenSooner(p *CapacityPlacer, r Request, s regionView) (Choice, bool) {
	near, far := p.Choose(r, s.own), p.Choose(r, s.far)
	ms := func(c Choice) float64 { return float64(c.Before.Tokens+c.Read) / regionReadRate }
	if far.Bound == Free && ms(far)+milliseconds(regionRoundTrip) < ms(near) {
		return far, true
	}
	return near, false
}

// whenFull leaves if no engine of the own region has capacity.
func whenFull(p *CapacityPlacer, r Request, s regionView) (Choice, bool) {
	c, why := p.ChooseInRegion(r, s.own)
	if far, _ := p.ChooseInRegion(r, s.far); why == NoCapacity && MayLeave(r.Class) && far.Bound == Free {
		return far, true
	}
	return c, false
}

// afterWait also leaves once a request has waited for its best engine for the given time.
func afterWait(minWait time.Duration) regionStrategy {
	return func(p *CapacityPlacer, r Request, s regionView) (Choice, bool) {
		c, why := p.ChooseInRegion(r, s.own)
		far, _ := p.ChooseInRegion(r, s.far)
		if why.Due(s.waited, minWait) && MayLeave(r.Class) && far.Bound == Free {
			return far, true
		}
		return c, false
	}
}
