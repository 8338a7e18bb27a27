// SPDX-License-Identifier: Apache-2.0

package place

import "slices"

// This file defines how requests to plain services spread over their servers.
//
// The work of a plain request is short against the age of what is known of other gateways'
// requests: what a report shows has ended when it comes. So the least loaded server by the
// last report is the one that all gateways choose until the next one. By lot, each server
// gets its part whatever is known.
//
// Ways weighed, by the requests that find no room of 330 a second of 30 ms each, on three
// servers of six slots before 62 gateways, reports 300 ms apart (TestSmallPool): the least
// loaded 0.25, the less loaded of two by lot 0.053, by lot in proportion to what servers
// bear (kept) 0.000. Where one server is three times slower and 250 come: 0.14, 0.14 and
// 0.002. With requests of a second, which outlast reports, all three lose nothing.

// spread chooses one of the servers that have room by lot, in proportion to what they can
// bear: their slots over their slowness, and less where requests were lost. Without room
// anywhere it is one of all.
func (p *RoomPlacer) spread(r Request, found []candidate) Choice {
	open := slices.DeleteFunc(slices.Clone(found), func(c candidate) bool { return p.bound(r, c) != Free })
	if len(open) == 0 {
		open = found
	}
	if len(open) == 0 {
		return Choice{Index: -1}
	}
	c := byLot(r.Random, open, hallWeight(found))
	return Choice{Index: c.index, Bound: p.bound(r, c), Read: r.Prompt.Tokens(), Before: c.load, Slowness: c.slowness}
}

// byLot returns one of the candidates, for a number from 0 to 1; those of the gateway's own
// data hall have so many times their capacity.
func byLot(random float64, from []candidate, ownHall float64) candidate {
	weight := func(c candidate) float64 {
		if c.SameHall {
			return ownHall * capacity(c)
		}
		return capacity(c)
	}
	sum := 0.0
	for _, c := range from {
		sum += weight(c)
	}
	at := random * sum
	for _, c := range from {
		if at -= weight(c); at < 0 {
			return c
		}
	}
	return from[len(from)-1]
}

// The preference of a gateway's own data hall: another hall that is lost then costs fewer
// requests, and the bytes between halls are fewer. Only where some servers stand in it, since
// halls differ in their callers. Chosen; with them 0.075 of requests find a server that is off
// in the first ten seconds after one of three halls of five was lost, 0.099 without
// (TestHallIsPreferred). A preference that follows what runs there was tried: what is known
// of it is older than the requests, and all gateways of a hall left it and came back together;
// on a day in which a hall of one server has most callers 0.76 of a route's worth was served
// with it, 0.98 without any (docs/design/shifted-work.md).
const (
	ownHallWeight  = 4.0 // times the capacity of its servers
	ownHallServers = 3   // at least, in the hall
)

// hallWeight is how many times their capacity the servers of the gateway's own data hall
// count for.
func hallWeight(servers []candidate) float64 {
	own := 0
	for _, c := range servers {
		if c.SameHall {
			own++
		}
	}
	if own < ownHallServers {
		return 1
	}
	return ownHallWeight
}

// lostWeight is how much less a server gets for each request in a row that was lost there:
// of those that are off, a gateway finds each one out by losing a request, and it must not
// lose as many as eject a server. In the first ten seconds in which 4 of 14 servers are off,
// 62 gateways lose 0.10 of their requests there, and 0.21 without it (TestServersThatAreOff).
const lostWeight = 9

// capacity is what a server can bear, against others of its pool.
func capacity(c candidate) float64 {
	return float64(max(c.Slots, 1)) / max(c.slowness, 1) / float64(1+lostWeight*c.LostInARow)
}
