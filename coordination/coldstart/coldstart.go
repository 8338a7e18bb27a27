// SPDX-License-Identifier: Apache-2.0

// Package coldstart bounds the requests that the whole fleet sends to one cold backend server.
//
// A server that has just started, or has become cold again, can handle a request rate that its pool states, and
// fails above it. To every gateway it looks like the least loaded server at the same moment, and the reported
// load of other gateways is up to 600 ms old, so the rate has to be divided before any request is sent. For
// each cold server the leader chooses up to MaxHolders gateways, in an order that differs between servers, and
// assigns them whole requests a second that add up to the rate ([Divide]). No other gateway sends to it. A
// share is leased: it is valid for LeaseDuration after the gateway sent its latest report that the leader has
// received. A new leader assigns no shares for the same time. The valid shares therefore never add up to more
// than the rate, even if messages are lost or gateways and leaders are cut off, frozen or replaced
// ([Allowance]).
//
// Alternatives, for a server that can handle 18 requests a second for 3 s:
//   - If each gateway gets an equal fraction of a request a second, starting at a random time, up to 35 requests
//     coincide in one second. If only two gateways have traffic, the server gets fewer than two requests in all.
//   - Using the gateways of the server's data hall alone has the same problems with a third of the gateways.
//   - A lease granted by the leader on demand would be the most exact, but takes a round trip of 100 to 600 ms of
//     the 3 s before the first request.
//
// No type is safe for concurrent use, and no function reads a clock.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// MaxHolders is the maximum number of gateways that share one cold server. With fewer, more of the rate is wasted
// if one of them is idle or lost; with more, shares would fall below one request a second at a rate of 18.
const MaxHolders = 4

// LeaseDuration is how long a share is valid after the report that last renewed it. It exceeds the longest interval
// between two messages of the leader (registry.FleetBudget).
const LeaseDuration = time.Second

// window is the period over which requests are counted. Rates are per second.
const window = time.Second

// WarmSpread is the period over which the gateways begin to use a server that is no longer cold, each at its own
// time, so that its load does not jump.
const WarmSpread = time.Second

// Divide divides a cold server's rate, in requests a second, among the first MaxHolders gateways in the
// server's order. Shares are whole numbers of at least one.
func Divide(server string, gateways []string, rate float64) []protocol.ColdShare {
	whole := int(rate)
	holders := min(MaxHolders, len(gateways), whole)
	if holders <= 0 {
		return nil
	}
	order := slices.Clone(gateways)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(server, b), rendezvousScore(server, a)), cmp.Compare(a, b))
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

// rendezvousScore returns the value by which gateways are ordered for a server.
func rendezvousScore(server, gateway string) uint64 {
	return xxh3.HashString(server + "\x00" + gateway)
}

// Allowance determines how many requests one gateway may send to one server. The zero value is a server that is
// not cold.
type Allowance struct {
	coldUntil  time.Duration // end of the cold period
	opensAt    time.Duration // when the limit ends for this gateway
	share      int           // requests a second
	startTimes []time.Duration
}

// WithCold returns the allowance of a server that stays cold for the given time, with this gateway's share of it.
func (a Allowance) WithCold(now, left time.Duration, server, gateway string, shares []protocol.ColdShare) Allowance {
	until := now + left
	a.coldUntil = until
	a.opensAt = until + WarmSpread*time.Duration(rendezvousScore(server, gateway)%1024)/1024
	a.share = 0
	for _, s := range shares {
		if s.Gateway == gateway {
			a.share = s.PerSecond
		}
	}
	return a
}

// WithoutShare returns the allowance without its share, which is no longer renewed.
func (a Allowance) WithoutShare() Allowance {
	a.share = 0
	return a
}

// Cold reports whether the server is cold, or this gateway does not yet use it as a warm one.
func (a Allowance) Cold(now time.Duration) bool { return now < a.opensAt }

// Admits reports whether one more request may begin now. leased is whether this gateway's shares are valid.
func (a Allowance) Admits(now time.Duration, leased bool) bool {
	if !a.Cold(now) {
		return true
	}
	return leased && a.countInWindow(now) < a.share
}

// countInWindow returns the number of requests that began within the window.
func (a Allowance) countInWindow(now time.Duration) int {
	n := 0
	for _, at := range a.startTimes {
		if now-at <= window {
			n++
		}
	}
	return n
}

// WithBegun returns the allowance after one more request has begun.
func (a Allowance) WithBegun(now time.Duration) Allowance {
	if !a.Cold(now) {
		a.startTimes = nil
		return a
	}
	recent := slices.DeleteFunc(slices.Clone(a.startTimes), func(at time.Duration) bool { return now-at > window })
	a.startTimes = append(recent, now)
	return a
}
