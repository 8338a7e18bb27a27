// SPDX-License-Identifier: Apache-2.0

package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/badgerspoke/badgerspoke/internal/mix"
)

// This file defines Ranks, which holds the servers of a large pool in hash groups and returns the first
// servers of a prompt's rendezvous order, and ChooseFromOrder, the choice among these alone.
//
// Pricing every server takes 0.7 to 1.2 ms among 10,000, which limits a gateway with a fifth of a
// core to 200 requests a second from one busy caller (BenchmarkChoose of package gateway). A prompt
// only needs the servers that cache its shared parts.
//
// The servers are hashed into groups, and both the groups and the servers in each are put in
// rendezvous order. Caching the full order of each prompt would not help: there are as many prompts
// as servers, so few orders would still be cached when their prompt is sent again. On a hash ring the arcs
// differ in length, so some servers would come first for many times as many prompts as others.

// Parameters of the rendezvous order.
const (
	groupCount = 128 // groups of servers of roughly equal size, 78 servers each in a pool of 10,000
	rankDepth  = 64  // servers considered for each prompt, enough for one with many requests
)

// Ranks holds the servers of one pool in hash groups. They determine a rendezvous order for each prompt,
// which is the same on all gateways without any message: the groups are ordered by a hash of prompt and
// group, the servers within a group by a hash of prompt and server. Adding or removing a server does not
// move any other. The zero value has no servers.
type Ranks struct {
	groups [groupCount][]string // server IDs
}

type scoredServer struct {
	id    string
	score uint64
}

// groupOf returns the group of a server, which does not depend on the prompt.
func groupOf(id string) int { return int(xxh3.HashString(id) % groupCount) }

// Add adds a server to the pool.
func (r *Ranks) Add(id string) {
	g := groupOf(id)
	r.groups[g] = append(r.groups[g], id)
}

// Remove removes a server from the pool.
func (r *Ranks) Remove(id string) {
	g := groupOf(id)
	r.groups[g] = slices.DeleteFunc(r.groups[g], func(other string) bool { return other == id })
}

// First returns the IDs of the first servers in a prompt's rendezvous order. It costs O(groups) plus
// O(servers of a group) for each group it visits.
func (r *Ranks) First(p Prompt) []string {
	key := p.key()
	var order [groupCount]scoredServer
	for g := range order {
		order[g] = scoredServer{id: "", score: mix.Bits(key^uint64(g+1)*0x9e3779b97f4a7c15) | 1}
	}
	var ids []string
	for taken := 0; taken < groupCount && len(ids) < rankDepth; taken++ {
		g := 0
		for i := range order {
			if order[i].score > order[g].score {
				g = i
			}
		}
		order[g].score = 0
		ids = append(ids, rendezvousOrder(r.groups[g], key)...)
	}
	return ids[:min(len(ids), rankDepth)]
}

// rendezvousOrder returns the servers in the rendezvous order of key.
func rendezvousOrder(servers []string, key uint64) []string {
	all := make([]scoredServer, 0, len(servers))
	for _, id := range servers {
		all = append(all, scoredServer{id: id, score: xxh3.HashStringSeed(id, key)})
	}
	slices.SortFunc(all, func(a, b scoredServer) int { return cmp.Compare(b.score, a.score) })
	ids := make([]string, 0, len(all))
	for _, e := range all {
		ids = append(ids, e.id)
	}
	return ids
}

// Limits that determine how many servers a prompt is spread over in a large pool.
const (
	busyWaitFraction  = 0.125 // fraction of the objective: queue wait from which a server is busy
	busySlotsFraction = 0.75  // fraction of the slots in use from which a server is busy
	serversPerBusy    = 4     // servers used for each busy one
	// peakDuration is how long a load peak marks a server as busy: five of the longest intervals between
	// load reports. Without it, a prompt with many requests falls back to a single server after each
	// report that shows its servers idle, and requests queue there.
	peakDuration = 3 * time.Second
)

// Peak is the highest recent load of a server according to the reports over all gateways. The zero
// value has no peak.
type Peak struct {
	work Work
	at   time.Duration // time of the most recent report that was as high
}

// With returns the peak after a report received at now. The report replaces the peak if it is at
// least as high in both requests and tokens.
func (k Peak) With(now time.Duration, w Work) Peak {
	if before := k.At(now); w.Tokens >= before.Tokens && w.Requests >= before.Requests {
		return Peak{work: w, at: now}
	}
	return k
}

// At returns the peak as of now, or zero if it has expired.
func (k Peak) At(now time.Duration) Work {
	if now-k.at >= peakDuration {
		return Work{}
	}
	return k.work
}

// ChooseFromOrder chooses an engine among the first servers of the request's rendezvous order, for
// pools too large to price every server. Load determines how many of these are considered
// ([CapacityPlacer.consideredServers]). It takes the cheaper of two drawn from these at random; if that
// has no capacity, the cheaper of two drawn from all servers of order; if that has none either, the
// cheapest of order. ok is false if no server of order is usable.
//
// The load reported by other gateways is as old as the latest report, and until the next one all
// gateways regard the same server as the cheapest. That is harmless at low request rates. At 150
// requests a second for one prompt, however, 90 of them would choose the same server before its load
// is reported, and it would queue seconds of reading.
func (p *CapacityPlacer) ChooseFromOrder(r Request, order []Server, typical float64) (c Choice, ok bool) {
	usable := usableServers(r, order, typical)
	if len(usable) == 0 {
		return Choice{Index: -1}, false
	}
	best, rest := cheaperOfTwo(usable[:p.consideredServers(r, usable)], r.Random)
	if p.bound(r, best.candidate) != Free {
		best, _ = cheaperOfTwo(usable, rest)
	}
	if p.bound(r, best.candidate) != Free {
		best = slices.MinFunc(usable, func(a, b pricedCandidate) int { return cmp.Compare(a.price, b.price) })
	}
	return Choice{Index: best.index, Bound: p.bound(r, best.candidate), Read: best.read, Before: best.load, Slowness: best.slowness}, true
}

// pricedCandidate is a candidate with its price and the number of tokens it has to read.
type pricedCandidate struct {
	candidate
	price float64
	read  int
}

// usableServers returns the usable servers of a rendezvous order, each priced as if it cached the shared
// parts.
func usableServers(r Request, order []Server, typical float64) []pricedCandidate {
	usable := make([]pricedCandidate, 0, len(order))
	for i := range order {
		s := &order[i]
		if !usableFor(r, s) || s.Avoid || s.Closed {
			continue
		}
		c := candidate{Server: s, index: i, load: s.totalWork(), slowness: s.LatencyRatio.slowness(typical)}
		read, price := priceAt(r.Prompt, c, 0)
		usable = append(usable, pricedCandidate{candidate: c, price: price, read: read})
	}
	return usable
}

// consideredServers returns how many of the first usable servers of a prompt's rendezvous order are
// considered for it. It is 1 unless the first server or at least two of the leading ones are busy; then
// it grows to serversPerBusy for each busy one. Servers behind the considered ones do not count: the
// order is long enough for a prompt with many requests, and in a large pool some of its servers are
// nearly always busy with other prompts, occasionally even one of the leading ones.
func (p *CapacityPlacer) consideredServers(r Request, usable []pricedCandidate) int {
	considered, busy := 1, 0
	if !p.busy(r, usable[0].candidate) {
		busy = -1 // one busy server behind an idle first one is not counted: it may be busy with other prompts
	}
	for i, c := range usable {
		if p.busy(r, c.candidate) {
			busy++
		}
		if serversPerBusy*busy > i {
			considered = i + 1
		}
	}
	return considered
}

// busy reports whether a request would have to wait at a server, now or at its recent peak, for longer
// than reading the shared parts again elsewhere would take.
func (p *CapacityPlacer) busy(r Request, c candidate) bool {
	ahead := float64(max(c.load.Tokens, c.RecentPeak.Tokens)) * c.slowness
	limit := max(busyWaitFraction*milliseconds(r.Objective)*p.readRate(), float64(r.Prompt.SharedTokens()))
	return ahead > limit || p.bound(r, c) != Free ||
		(c.Slots > 0 && float64(max(c.load.Requests, c.RecentPeak.Requests)) >= busySlotsFraction*float64(c.Slots))
}

// cheaperOfTwo returns the cheaper of two random servers, and the unused rest of the random number,
// which is between 0 and 1.
func cheaperOfTwo(cands []pricedCandidate, random float64) (best pricedCandidate, rest float64) {
	first, random := draw(len(cands), random)
	second, rest := draw(len(cands), random)
	if cands[second].price < cands[first].price {
		first = second
	}
	return cands[first], rest
}

// draw returns a random index below n, and the unused rest of the random number, which is between 0
// and 1.
func draw(n int, random float64) (index int, rest float64) {
	scaled := random * float64(n)
	index = min(int(scaled), n-1)
	return index, scaled - float64(index)
}
