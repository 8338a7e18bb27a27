// SPDX-License-Identifier: Apache-2.0

package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/badgerspoke/badgerspoke/internal/mix"
)

// This file defines Ranks, the first servers of each prompt's order in a large pool, and the choice
// among these alone.
//
// A choice that looks at every server costs servers times requests: 0.7 to 1.2 ms among 10,000, so a
// gateway with a fifth of a core and one busy caller has no time for more than 200 requests a second
// (BenchmarkChoose of package gateway). What a prompt needs is the servers that keep its shared parts.
//
// Ways weighed: the plain order of all servers, kept for each prompt (there are as many prompts as
// servers, so few are kept when they come again); a ring (arcs differ, so that some servers are first
// for many times as many prompts as others); an order of groups and of the servers in each (kept).

// Sizes of the order.
const (
	groups    = 128 // of servers, in each of which about as many are: 78 of 10,000
	ranksKept = 64  // first servers of an order: what one prompt's requests need when they are many
)

// Ranks orders the servers of one pool for each prompt, alike at all gateways without a message:
// groups by a hash of prompt and group, and the servers of each by one of prompt and server. A server
// that comes or goes moves no other. The zero value has no servers.
type Ranks struct {
	groups [groups][]string // identifiers
}

type ranked struct {
	id    string
	score uint64
}

// groupOf returns the group of a server, whatever the prompt.
func groupOf(id string) int { return int(xxh3.HashString(id) % groups) }

// Add takes a new server of the pool.
func (r *Ranks) Add(id string) {
	g := groupOf(id)
	r.groups[g] = append(r.groups[g], id)
}

// Remove takes that a server has left the pool.
func (r *Ranks) Remove(id string) {
	g := groupOf(id)
	r.groups[g] = slices.DeleteFunc(r.groups[g], func(other string) bool { return other == id })
}

// First returns the identifiers of the first servers of a prompt's order. It costs O(groups), and
// O(servers of a group) for each group that it takes.
func (r *Ranks) First(p Prompt) []string {
	key := p.key()
	var order [groups]ranked
	for g := range order {
		order[g] = ranked{id: "", score: mix.Bits(key^uint64(g+1)*0x9e3779b97f4a7c15) | 1}
	}
	var ids []string
	for taken := 0; taken < groups && len(ids) < ranksKept; taken++ {
		g := 0
		for i := range order {
			if order[i].score > order[g].score {
				g = i
			}
		}
		order[g].score = 0
		ids = append(ids, inOrder(r.groups[g], key)...)
	}
	return ids[:min(len(ids), ranksKept)]
}

// inOrder returns servers in the order of a key.
func inOrder(servers []string, key uint64) []string {
	all := make([]ranked, 0, len(servers))
	for _, id := range servers {
		all = append(all, ranked{id: id, score: xxh3.HashStringSeed(id, key)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	ids := make([]string, 0, len(all))
	for _, e := range all {
		ids = append(ids, e.id)
	}
	return ids
}

// Width of a prompt's servers in a large pool.
const (
	busyWait  = 0.125 // of the objective: the wait for the prompts in front from which a server is busy
	busySlots = 0.75  // of its slots, the same
	widthPart = 4     // servers for each busy one
	// latelyFor is how long a server that was busy counts as such: five of the longest pauses between
	// sums. Without it a prompt with many requests has one server again after each sum that shows its
	// servers idle (TestManyRequestsOfOnePrompt: 0.157 of them found 250 ms of reading in front of them,
	// 0.001 with it).
	latelyFor = 3 * time.Second
)

// Peak is the most that ran on a server lately, as sums over all gateways have it. The zero value has
// seen nothing.
type Peak struct {
	most Work
	at   time.Duration // of the newest sum that was as large
}

// With returns the peak with a sum that is known since now: the sum, if it has no less of either than the peak.
func (k Peak) With(now time.Duration, w Work) Peak {
	if before := k.At(now); w.Tokens >= before.Tokens && w.Requests >= before.Requests {
		return Peak{most: w, at: now}
	}
	return k
}

// At returns the peak as of now.
func (k Peak) At(now time.Duration) Work {
	if now-k.at >= latelyFor {
		return Work{}
	}
	return k.most
}

// ChooseSpread is a choice of an engine in a pool with many others, among the first servers of the
// request's order. Which of them it has grows with what runs there ([RoomPlacer.width]). Of these it takes
// the cheaper of two by lot; without room there, of two of the whole order; without room there, the
// cheapest of it. ok is false if none of the order is usable.
//
// What a choice knows of other gateways is as old as the last sums. Until the next ones all gateways
// see the same server as the cheapest. That is harmless while few requests come meanwhile. Where a
// prompt has 150 a second, 90 of them chose one server before anybody knew, and it read for seconds
// (TestManyRequestsOfOnePrompt).
func (p *RoomPlacer) ChooseSpread(r Request, order []Server, typical float64) (c Choice, ok bool) {
	usable := usableOf(r, order, typical)
	if len(usable) == 0 {
		return Choice{Index: -1}, false
	}
	best, left := ofTwo(usable[:p.width(r, usable)], r.Random)
	if p.bound(r, best.candidate) != Free {
		best, _ = ofTwo(usable, left)
	}
	if p.bound(r, best.candidate) != Free {
		best = slices.MinFunc(usable, func(a, b priced) int { return cmp.Compare(a.price, b.price) })
	}
	return Choice{Index: best.index, Bound: p.bound(r, best.candidate), Read: best.read, Before: best.load, Slowness: best.slowness}, true
}

// priced is a candidate with its price and what it has to read.
type priced struct {
	candidate
	price float64
	read  int
}

// usableOf returns the usable servers of an order, priced as if each kept the shared parts.
func usableOf(r Request, order []Server, typical float64) []priced {
	usable := make([]priced, 0, len(order))
	for i := range order {
		s := &order[i]
		if !usableFor(r, s) || s.Avoid || s.Closed {
			continue
		}
		c := candidate{Server: s, index: i, load: s.fromAll(), slowness: s.Pace.slowness(typical)}
		read, price := priceAt(r.Prompt, c, 0)
		usable = append(usable, priced{candidate: c, price: price, read: read})
	}
	return usable
}

// width returns how many of the usable servers of its order a prompt has: the first one, and while that is
// busy, or at least two are, as many of the first ones as have widthPart for each busy one. Those farther
// back do not count: the order is as long as a prompt with many requests needs, and in a large
// pool some of it are nearly always busy with other prompts, a single one of the first ones now and then.
func (p *RoomPlacer) width(r Request, usable []priced) int {
	width, busy := 1, 0
	if !p.busy(r, usable[0].candidate) {
		busy = -1
	}
	for i, c := range usable {
		if p.busy(r, c.candidate) {
			busy++
		}
		if widthPart*busy > i {
			width = i + 1
		}
	}
	return width
}

// busy reports whether a request would have to wait at a server, or would have lately: for longer than it takes to
// read the shared parts again elsewhere.
func (p *RoomPlacer) busy(r Request, c candidate) bool {
	ahead := float64(max(c.load.Tokens, c.RecentPeak.Tokens)) * c.slowness
	most := max(busyWait*milliseconds(r.Objective)*p.readRate(), float64(r.Prompt.SharedTokens()))
	return ahead > most || p.bound(r, c) != Free ||
		(c.Slots > 0 && float64(max(c.load.Requests, c.RecentPeak.Requests)) >= busySlots*float64(c.Slots))
}

// ofTwo returns the cheaper of two by a lot from 0 to 1, and what is left of the lot.
func ofTwo(from []priced, lot float64) (best priced, left float64) {
	first, lot := drawn(len(from), lot)
	second, left := drawn(len(from), lot)
	if from[second].price < from[first].price {
		first = second
	}
	return from[first], left
}

// drawn returns one of n by a lot from 0 to 1, and what is left of the lot.
func drawn(n int, lot float64) (index int, left float64) {
	at := lot * float64(n)
	index = min(int(at), n-1)
	return index, at - float64(index)
}
