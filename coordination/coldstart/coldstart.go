// SPDX-License-Identifier: Apache-2.0

// Package coldstart keeps the requests that a whole fleet sends to one cold backend server
// within what that server bears.
//
// The model: a server that has just started, or has become cold again, bears a rate of
// requests that its pool states, and falls over above it. It looks the emptiest of all, to
// every gateway at the same moment, and what is known of others' requests is up to 600 ms
// old; so the rate is divided before anything is sent. The leader gives each cold server to
// Holders gateways, in an order of their own for each server, with whole requests a second
// that add up to the rate ([Divide]). Nobody else sends to it. A share holds under a lease:
// for Lease after the gateway sent the newest of its reports that the leader has counted.
// A new leader divides nothing for as long. So at any moment the shares in force add up to
// no more than the rate, whatever messages are lost and whoever is cut off, frozen or
// replaced ([Allowance]).
//
// Ways weighed, by what they send to a server that bears 18 a second in its 3 s, at 62, 300
// and 1,600 gateways (TestWaysOfDividing, 200 draws each):
//   - each gateway a part of a request a second, from a moment of its own: 54 on average
//     where every gateway always has a request, up to 35 of them in one second; 1.8, 0.4
//     and 0.1 where two gateways have all the traffic;
//   - Holders gateways with whole requests (kept): 54, never over 18 in one second; where
//     two gateways have all the traffic, their shares of the servers that they hold;
//   - the gateways of the server's data hall alone, not played: the first way with a third
//     of the gateways;
//   - a lease that the leader gives to whoever asks, not played: the most exact, at a round
//     trip of 100 to 600 ms before the first request of 3 s.
//
// Nothing here is safe for concurrent use, and nothing reads a clock.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// Holders is how many gateways have a share of one cold server. Fewer would waste more of it when one
// of them has no request or is lost, more would leave shares under one request a second at 18.
const Holders = 4

// Lease is for how long a share holds after the report by which it was last renewed. It is above the
// longest pause between two of the leader's messages (registry.FleetBudget).
const Lease = time.Second

// window is the time over which requests are counted: rates are a second's.
const window = time.Second

// WarmSpread is the time over which the gateways begin to use a server that is not cold any more, each
// at a moment of its own, so that what it gets does not jump.
const WarmSpread = time.Second

// Divide gives a cold server's rate, in requests a second, to Holders of the gateways: the
// first in the server's own order of them. Shares are whole, and at least one.
func Divide(server string, gateways []string, rate float64) []protocol.ColdShare {
	whole := int(rate)
	holders := min(Holders, len(gateways), whole)
	if holders <= 0 {
		return nil
	}
	order := slices.Clone(gateways)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(server, b), rank(server, a)), cmp.Compare(a, b))
	})
	shares := make([]protocol.ColdShare, holders)
	for i := range shares {
		shares[i] = protocol.ColdShare{Gateway: order[i], PerSecond: whole / holders}
		if i < whole%holders {
			shares[i].PerSecond++
		}
	}
	return shares
}

// rank is a gateway's place in a server's order.
func rank(server, gateway string) uint64 { return xxh3.HashString(server + "\x00" + gateway) }

// Allowance is what one gateway may send to one server. The zero value is a server that is
// not cold.
type Allowance struct {
	until time.Duration // cold until then
	opens time.Duration // from then on without a bound, for a gateway without a share
	share int           // requests in a second
	begun []time.Duration
}

// WithCold returns the allowance of a server that is cold for some more time, with this
// gateway's share of it.
func (a Allowance) WithCold(now, left time.Duration, server, gateway string, shares []protocol.ColdShare) Allowance {
	until := now + left
	a.until = until
	a.opens = until + WarmSpread*time.Duration(rank(server, gateway)%1024)/1024
	a.share = 0
	for _, s := range shares {
		if s.Gateway == gateway {
			a.share = s.PerSecond
		}
	}
	return a
}

// WithoutShare returns the allowance without its share: nobody renews it any more.
func (a Allowance) WithoutShare() Allowance {
	a.share = 0
	return a
}

// Cold reports whether the server is cold, or has been until a moment ago.
func (a Allowance) Cold(now time.Duration) bool { return now < a.opens }

// Admits reports whether one more request may begin there now; leased is whether this
// gateway's shares are in force.
func (a Allowance) Admits(now time.Duration, leased bool) bool {
	if !a.Cold(now) {
		return true
	}
	return leased && a.inWindow(now) < a.share
}

// inWindow returns how many requests began less than a window ago.
func (a Allowance) inWindow(now time.Duration) int {
	n := 0
	for _, at := range a.begun {
		if now-at <= window {
			n++
		}
	}
	return n
}

// WithBegun returns the allowance after one more request.
func (a Allowance) WithBegun(now time.Duration) Allowance {
	if !a.Cold(now) {
		a.begun = nil
		return a
	}
	kept := slices.DeleteFunc(slices.Clone(a.begun), func(at time.Duration) bool { return now-at > window })
	a.begun = append(kept, now)
	return a
}
