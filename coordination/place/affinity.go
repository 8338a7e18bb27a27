// SPDX-License-Identifier: Apache-2.0

package place

import (
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// This file defines Prompt and the price of each candidate for it, by which
// RoomPlacer chooses.
//
// The parts that others share give a rendezvous order of the servers, equal on
// all gateways without a message. The first in that order is taken to keep the
// shared parts; any other would read them again. So the price of a server is the
// work in front of the request there, in tokens, plus the shared tokens if it is
// not the first, many times: what is read again delays all others on the engine
// as well, drives out what other requests will need, and makes the next
// choices worse. Far from full, a request still begins in time on the first.

// Part is one named part of a prompt.
type Part struct {
	Name   string
	Tokens int
}

// Prompt is a request's size and the names of what it shares with others.
type Prompt struct {
	Model  string
	Shared []Part // parts that other requests begin with as well
	Own    int    // tokens of the request's own
	Output int    // tokens that it will make at most
}

// Tokens returns the tokens of the whole prompt.
func (p Prompt) Tokens() int { return p.SharedTokens() + p.Own }

// SharedTokens returns the tokens of the shared parts.
func (p Prompt) SharedTokens() int {
	total := 0
	for _, part := range p.Shared {
		total += part.Tokens
	}
	return total
}

// key names the whole shared prefix; it is zero without one.
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

// Prices of the parts of a choice, in tokens.
const (
	againPrice   = 30     // each shared token on any server but the first of the order
	againMost    = 40_000 // for all of them
	rankPart     = 0.1    // of that, more for each later place in the order
	requestPrice = 60     // each request that shares the server's steps
	fullPrice    = 4000   // each request beyond the server's slots
	farPrice     = 40     // another data hall
)

// orderDepth is how many servers of a prompt's order are ranked; the rest share one rank.
const orderDepth = 4

// cheapest returns the cheapest candidate and the tokens that it has to read for
// the prompt, or false without any. It costs O(candidates).
func cheapest(p Prompt, from []candidate) (best candidate, read int, ok bool) {
	order := rendezvous(p.key(), from)
	bestPrice := math.Inf(1)
	for i, c := range from {
		mustRead, price := priceAt(p, c, order.rank(i))
		if price < bestPrice {
			best, read, bestPrice = c, mustRead, price
		}
	}
	return best, read, !math.IsInf(bestPrice, 1)
}

// priceAt returns the price of a candidate at a place of the prompt's order, and the tokens that
// it has to read.
func priceAt(p Prompt, c candidate, rank int) (read int, price float64) {
	read = p.Own
	if rank > 0 {
		read, price = p.Tokens(), leavingPrice(p.SharedTokens(), rank)
	}
	return read, price + loadPrice(c) + float64(p.Own)*max(c.slowness, 1)
}

// leavingPrice is the price of reading shared tokens again, at a later place
// of the order.
func leavingPrice(shared, rank int) float64 {
	return min(againPrice*float64(shared), againMost) * (1 + rankPart*float64(rank-1))
}

func loadPrice(c candidate) float64 {
	price := float64(c.load.Tokens) + requestPrice*float64(c.load.Requests)
	if over := c.load.Requests + 1 - c.Slots; c.Slots > 0 && over > 0 {
		price += fullPrice * float64(over)
	}
	if !c.SameHall {
		price += farPrice
	}
	return (price + requestPrice) * max(c.slowness, 1)
}

// order is the indexes of the first candidates in a key's order.
type order struct {
	indexes [orderDepth]int
	n       int
}

// rank is a candidate's place in the order, at most orderDepth. Without a key
// all are the first.
func (o *order) rank(index int) int {
	if o.n == 0 {
		return 0
	}
	if rank := slices.Index(o.indexes[:o.n], index); rank >= 0 {
		return rank
	}
	return orderDepth
}

// rendezvous returns the first candidates in the key's order.
func rendezvous(key uint64, from []candidate) order {
	var o order
	if key == 0 {
		return o
	}
	var scores [orderDepth]uint64
	for i, c := range from {
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
