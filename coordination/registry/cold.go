// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/coldstart"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which backend servers are cold, and how their request rate is divided among the
// gateways meanwhile.

// maxColdTime bounds the announced cold time. Loading a model takes minutes.
const maxColdTime = time.Hour

// coldJitter is the difference up to which a later announced end is still the same cold time. It
// covers the delays of the network and of the announcer.
const coldJitter = 500 * time.Millisecond

// presumedColdIntervals is the number of announcement intervals for which a backend server counts
// as cold after its hall was put back into service. A server that became cold meanwhile may not
// have announced it yet, and one announcement may be late.
const presumedColdIntervals = 2

// coldState is a backend server's cold time and the division of its request rate. The zero value is
// not cold. It is immutable.
type coldState struct {
	until         time.Duration
	presumedUntil time.Duration // it counts as cold until then, whatever it announces
	shares        []protocol.ColdShare
	divided       bool // shares belong to the present cold time
}

// withAnnounced returns the state after an announcement of the remaining cold time.
func (c coldState) withAnnounced(now, remaining time.Duration) coldState {
	until := now + remaining
	switch {
	case remaining > 0 && until > c.until+coldJitter:
		if now >= c.until { // a new cold time
			c.shares, c.divided = nil, false
		}
		c.until = until
	case remaining == 0 && now >= c.presumedUntil:
		c.until = min(c.until, now)
	}
	return c
}

// withPresumed returns the state of a server that may have become cold unnoticed.
func (c coldState) withPresumed(now, duration time.Duration) coldState {
	c.presumedUntil = now + duration
	if c.presumedUntil > c.until {
		c.until, c.shares, c.divided = c.presumedUntil, nil, false
	}
	return c
}

// forGateways returns the state as it is sent to gateways, or nil if the server is not cold.
func (c coldState) forGateways(now time.Duration) *protocol.Cold {
	if now >= c.until {
		return nil
	}
	return &protocol.Cold{Remaining: c.until - now, Shares: c.shares}
}

// PresumeCold marks the backend servers of halls that are back in service as cold for
// PresumedColdTime, and returns them. Only servers of pools with a rate for cold servers are
// affected.
func (r *Registry) PresumeCold(now time.Duration, halls []string, rates map[string]float64) Change {
	var change Change
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		e := r.servers[id]
		if slices.Contains(halls, e.Hall) && rates[e.Pool] > 0 {
			e.cold = e.cold.withPresumed(now, r.PresumedColdTime())
			r.coldUntil = max(r.coldUntil, e.cold.until)
			change.Set = append(change.Set, e.toServer(now))
		}
	}
	return change
}

// DivideColdRates divides the rates of cold backend servers among the gateways, and returns the
// servers whose rates it divided. rates are in requests per second by pool. A new leader divides
// nothing until the shares of its predecessor have expired.
func (r *Registry) DivideColdRates(now time.Duration, gateways []string, rates map[string]float64) Change {
	var change Change
	if now-r.leaderSince < coldstart.LeaseDuration || len(gateways) == 0 {
		return change
	}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		e := r.servers[id]
		if now >= e.cold.until || e.cold.divided || rates[e.Pool] <= 0 {
			continue
		}
		e.cold.shares, e.cold.divided = coldstart.Divide(id, gateways, rates[e.Pool]), true
		change.Set = append(change.Set, e.toServer(now))
	}
	return change
}

// PresumedColdTime returns how long the backend servers of a hall count as cold after it was put
// back into service.
func (r *Registry) PresumedColdTime() time.Duration { return presumedColdIntervals * r.interval }

// AnyCold reports whether a backend server may be cold. A list that holds a cold server contains
// its remaining time and must not be reused later.
func (r *Registry) AnyCold(now time.Duration) bool { return now < r.coldUntil }
