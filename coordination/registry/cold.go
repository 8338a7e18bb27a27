// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/coldstart"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which backend servers are cold, and who may send to them meanwhile.

// longestCold bounds what an announcement may say. A model is loaded in minutes.
const longestCold = time.Hour

// coldJitter is by how much later the end of a cold time may be announced than before without being
// another one: the network and the announcer's own delay.
const coldJitter = 500 * time.Millisecond

// suspectFor is how long a backend server whose hall was put back into service counts as
// cold whatever it announces, in intervals: one that has become cold meanwhile may not have
// announced it yet, and one announcement may be late.
const suspectFor = 2

// coldness is one backend server's cold time and who may send to it. The zero value is not
// cold. It is immutable.
type coldness struct {
	until   time.Duration
	suspect time.Duration // it counts as cold until then, whatever it announces
	shares  []protocol.ColdShare
	divided bool // shares are those of this cold time
}

// withAnnounced returns the coldness after an announcement.
func (c coldness) withAnnounced(now, left time.Duration) coldness {
	until := now + left
	switch {
	case left > 0 && until > c.until+coldJitter:
		if now >= c.until { // another cold time
			c.shares, c.divided = nil, false
		}
		c.until = until
	case left == 0 && now >= c.suspect:
		c.until = min(c.until, now)
	}
	return c
}

// withSuspect returns the coldness of a server that may have become cold unseen.
func (c coldness) withSuspect(now, lasts time.Duration) coldness {
	c.suspect = now + lasts
	if c.suspect > c.until {
		c.until, c.shares, c.divided = c.suspect, nil, false
	}
	return c
}

// sent returns the coldness as gateways are sent it, nil if the server is not cold.
func (c coldness) sent(now time.Duration) *protocol.Cold {
	if now >= c.until {
		return nil
	}
	return &protocol.Cold{Left: c.until - now, Shares: c.shares}
}

// PresumeCold makes the backend servers of halls that are in service again count as cold
// until they have announced themselves, and returns them. Only pools whose servers have a
// rate while cold are concerned.
func (r *Registry) PresumeCold(now time.Duration, halls []string, rates map[string]float64) Change {
	var change Change
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		e := r.servers[id]
		if slices.Contains(halls, e.Hall) && rates[e.Pool] > 0 {
			e.cold = e.cold.withSuspect(now, r.PresumedColdTime())
			r.coldUntil = max(r.coldUntil, e.cold.until)
			change.Set = append(change.Set, e.server(now))
		}
	}
	return change
}

// DivideColdRates divides the rates of cold backend servers, by pool in requests a second, among
// gateways, and returns the servers that were divided now. A leader divides nothing before
// the shares of the one before it have run out.
func (r *Registry) DivideColdRates(now time.Duration, gateways []string, rates map[string]float64) Change {
	var change Change
	if now-r.leaderSince < coldstart.Lease || len(gateways) == 0 {
		return change
	}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		e := r.servers[id]
		if now >= e.cold.until || e.cold.divided || rates[e.Pool] <= 0 {
			continue
		}
		e.cold.shares, e.cold.divided = coldstart.Divide(id, gateways, rates[e.Pool]), true
		change.Set = append(change.Set, e.server(now))
	}
	return change
}

// PresumedColdTime is how long the backend servers of a hall that was put back count as cold.
func (r *Registry) PresumedColdTime() time.Duration { return suspectFor * r.interval }

// AnyCold reports whether a backend server may be cold: a list says for how long, and is right
// only when it is made.
func (r *Registry) AnyCold(now time.Duration) bool { return now < r.coldUntil }
