// SPDX-License-Identifier: Apache-2.0

package place

import (
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// This file defines Prompt and the price by which CapacityPlacer compares candidates for it.
//
// The shared parts of a prompt determine a rendezvous order of the servers, which is the same on
// all gateways without any message. The first server in that order is assumed to cache the shared
// parts; any other server would have to read (prefill) them again. The price of a server is the
// work ahead of the request, in tokens. Servers other than the first add a multiple of the shared
// tokens, because reading them again delays all other requests on the engine, evicts entries that
// other requests need, and degrades later choices. An engine with plenty of headroom still starts
// the request in time.

// Part is one named part of a prompt.
type Part struct {
	Name   string
	Tokens int
}

// Prompt describes a request's size and the parts it shares with other requests.
type Prompt struct {
	Model  string
	Shared []Part // prefix parts that other requests have in common with this one
	Own    int    // tokens of this request alone
	Output int    // maximum number of output tokens
}

// Tokens returns the length of the whole prompt in tokens.
func (p Prompt) Tokens() int { return p.SharedTokens() + p.Own }

// SharedTokens returns the number of tokens in the shared parts.
func (p Prompt) SharedTokens() int {
	total := 0
	for _, part := range p.Shared {
		total += part.Tokens
	}
	return total
}

// key returns a hash of the shared prefix, or zero if there is none.
func (p Prompt) key() uint64 {
	if len(p.Shared) == 0 {
		return 0
	}
	h := xxh3.New()
	_, _ = h.WriteString(p.Model) // never fails
	for _, part := range p.Shared {
		_, _ = h.WriteString("\x00" + part.Name) // never fails
	}
	return h.Sum64() | 1
}

// Components of a server's price, in tokens.
const (
	rereadPrice    = 30     // for each shared token, on any server but the first of the rendezvous order
	maxRereadPrice = 40_000 // upper bound on the sum of these
	rankSurcharge  = 0.1    // relative surcharge for each further rank in the rendezvous order
	batchPrice     = 60     // for each request that shares the server's batch
	overSlotPrice  = 4000   // for each request beyond the server's slots
	otherHallPrice = 40     // for a server in another data hall
)

// orderDepth is the number of servers ranked for a prompt. All others share one rank.
const orderDepth = 4

// cheapest returns the cheapest candidate and the number of tokens it has to read for the prompt.
// ok is false if there are no candidates. It costs O(candidates).
func cheapest(p Prompt, cands []candidate) (best candidate, read int, ok bool) {
	order := rendezvous(p.key(), cands)
	bestPrice := math.Inf(1)
	for i, c := range cands {
		mustRead, price := priceAt(p, c, order.rank(i))
		if price < bestPrice {
			best, read, bestPrice = c, mustRead, price
		}
	}
	return best, read, !math.IsInf(bestPrice, 1)
}

// priceAt returns the price of a candidate at a given rank of the prompt's rendezvous order, and the
// number of tokens it has to read.
func priceAt(p Prompt, c candidate, rank int) (read int, price float64) {
	read = p.Own
	if rank > 0 {
		read, price = p.Tokens(), affinityLossPrice(p.SharedTokens(), rank)
	}
	return read, price + loadPrice(c) + float64(p.Own)*max(c.slowness, 1)
}

// affinityLossPrice returns the price of reading the shared tokens again on a server at a later rank.
func affinityLossPrice(shared, rank int) float64 {
	return min(rereadPrice*float64(shared), maxRereadPrice) * (1 + rankSurcharge*float64(rank-1))
}

func loadPrice(c candidate) float64 {
	price := float64(c.load.Tokens) + batchPrice*float64(c.load.Requests)
	if over := c.load.Requests + 1 - c.Slots; c.Slots > 0 && over > 0 {
		price += overSlotPrice * float64(over)
	}
	if !c.SameHall {
		price += otherHallPrice
	}
	return (price + batchPrice) * max(c.slowness, 1)
}

// order holds the indexes of the first candidates in the rendezvous order of a key.
type order struct {
	indexes [orderDepth]int
	n       int
}

// rank returns the position of a candidate in the order, or orderDepth if it is not ranked.
// Without a key all candidates have rank 0.
func (o *order) rank(index int) int {
	if o.n == 0 {
		return 0
	}
	if rank := slices.Index(o.indexes[:o.n], index); rank >= 0 {
		return rank
	}
	return orderDepth
}

// rendezvous returns the first candidates in the rendezvous order of key.
func rendezvous(key uint64, cands []candidate) order {
	var o order
	if key == 0 {
		return o
	}
	var scores [orderDepth]uint64
	for i, c := range cands {
		score := xxh3.HashStringSeed(c.ID, key)
		at := o.n
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == orderDepth {
			continue
		}
		o.n = min(o.n+1, orderDepth)
		copy(scores[at+1:o.n], scores[at:])
		copy(o.indexes[at+1:o.n], o.indexes[at:])
		scores[at], o.indexes[at] = score, i
	}
	return o
}
