// SPDX-License-Identifier: Apache-2.0

package place

import "slices"

// This file defines how requests to a plain service are spread over its servers.
//
// Plain requests are short compared to the age of the reported load of other gateways: the requests
// in a report have ended by the time it arrives. If gateways took the least loaded server of the last
// report, all of them would choose the same one until the next report. With 62 gateways and reports
// 300 ms apart, a quarter of the requests would then be refused for lack of capacity, and 5% with the
// less loaded of two random servers. A random choice in proportion to capacity spreads the load
// without depending on reports.

// weightedChoice chooses a random server among those with capacity, or among all if there are none.
// Servers are weighted by their slots divided by their slowness, and less if requests were lost there.
func (p *CapacityPlacer) weightedChoice(r Request, cands []candidate) Choice {
	withCapacity := slices.DeleteFunc(slices.Clone(cands), func(c candidate) bool { return p.bound(r, c) != Free })
	if len(withCapacity) == 0 {
		withCapacity = cands
	}
	if len(withCapacity) == 0 {
		return Choice{Index: -1}
	}
	c := weightedRandom(r.Random, withCapacity, hallWeight(cands))
	return Choice{Index: c.index, Bound: p.bound(r, c), Read: r.Prompt.Tokens(), Before: c.load, Slowness: c.slowness}
}

// weightedRandom returns one of the candidates, given a random number between 0 and 1. ownHall
// multiplies the weight of servers in the gateway's own data hall.
func weightedRandom(random float64, cands []candidate, ownHall float64) candidate {
	weight := func(c candidate) float64 {
		if c.SameHall {
			return ownHall * serverWeight(c)
		}
		return serverWeight(c)
	}
	sum := 0.0
	for _, c := range cands {
		sum += weight(c)
	}
	rest := random * sum
	for _, c := range cands {
		if rest -= weight(c); rest < 0 {
			return c
		}
	}
	return cands[len(cands)-1]
}

// Preference for the gateway's own data hall. It reduces the requests that are lost when another hall
// fails, and the traffic between halls. It only applies if the hall has several servers, since halls
// differ in the load of their callers. It does not follow the servers' load: that is reported too late
// for short requests, so all gateways of a hall would leave and return at the same time. If it applied to
// a hall with one server and most of the callers, a quarter of what a route should serve would be lost
// (docs/design/shifted-work.md).
const (
	ownHallWeight     = 4.0 // factor for the weight of its servers
	minOwnHallServers = 3   // minimum number of servers in the hall
)

// hallWeight returns the factor by which servers of the gateway's own data hall are preferred.
func hallWeight(cands []candidate) float64 {
	own := 0
	for _, c := range cands {
		if c.SameHall {
			own++
		}
	}
	if own < minOwnHallServers {
		return 1
	}
	return ownHallWeight
}

// lossPenalty reduces the weight of a server for each consecutive request that was lost there. Each
// gateway detects a failed server only by losing requests, and should lose fewer than the number that
// ejects a server. With 4 of 14 servers down, 62 gateways would otherwise lose a fifth of their
// requests in the first ten seconds.
const lossPenalty = 9

// serverWeight returns the weight of a server relative to others of its pool.
func serverWeight(c candidate) float64 {
	return float64(max(c.Slots, 1)) / max(c.slowness, 1) / float64(1+lossPenalty*c.LostInARow)
}
