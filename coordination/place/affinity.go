// SPDX-License-Identifier: Apache-2.0

package place

import (
	"math"

	"github.com/zeebo/xxh3"
)

// This file defines the choice of an engine for a prompt whose parts are named
// by its caller.
//
// The parts that others share give a rendezvous order of the engines, equal on
// all routers without a message. The first in that order is taken to keep the
// shared parts; any other would read them again. So the price of an engine is
// the work in front of the request there, in tokens, plus the shared tokens if
// it is not the first, several times: what is read again delays everybody
// else on the engine as well, and drives out what others will ask for.

// Part is one named part of a prompt.
type Part struct {
	Name   string
	Tokens int
}

// Prompt is what is known of a request's size.
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
	_, _ = h.WriteString(p.Model)
	for _, part := range p.Shared {
		_, _ = h.WriteString("\x00" + part.Name)
	}
	return h.Sum64() | 1
}

// Engine is a candidate for a prompt.
type Engine struct {
	ID       string
	Slots    int
	Requests int     // running or waiting there, from all routers
	Tokens   int     // still to be read there, from all routers
	Slowness float64 // how many times slower than others; 1 is as fast
	Near     bool    // in the router's zone
}

// Prices of the parts of a choice, in tokens.
const (
	secondPrice  = 3    // each shared token on the second engine of the order
	otherPrice   = 5    // each shared token on any later one
	requestPrice = 60   // each request that shares the engine's steps
	fullPrice    = 4000 // each request beyond the engine's slots
	farPrice     = 40   // another zone
)

// Choice is an engine and what it has to read for the prompt.
type Choice struct {
	Index int // of the engine
	Read  int // tokens
}

// ChooseEngine returns the cheapest engine, or false without any. It costs
// O(engines).
func ChooseEngine(p Prompt, engines []Engine) (Choice, bool) {
	first, second := rendezvous(p.key(), engines)
	best, bestPrice := Choice{Index: -1}, math.Inf(1)
	for i, e := range engines {
		read, price := p.Own, 0.0
		switch i {
		case first:
		case second:
			read, price = p.Tokens(), secondPrice*float64(p.SharedTokens())
		default:
			read, price = p.Tokens(), otherPrice*float64(p.SharedTokens())
		}
		price += loadPrice(e) + float64(p.Own)*max(e.Slowness, 1)
		if price < bestPrice {
			best, bestPrice = Choice{Index: i, Read: read}, price
		}
	}
	return best, best.Index >= 0
}

func loadPrice(e Engine) float64 {
	price := float64(e.Tokens) + requestPrice*float64(e.Requests)
	if over := e.Requests + 1 - e.Slots; e.Slots > 0 && over > 0 {
		price += fullPrice * float64(over)
	}
	if !e.Near {
		price += farPrice
	}
	return (price + requestPrice) * max(e.Slowness, 1)
}

// rendezvous returns the indexes of the first two engines in the key's order,
// or -1.
func rendezvous(key uint64, engines []Engine) (first, second int) {
	first, second = -1, -1
	if key == 0 {
		return first, second
	}
	var firstScore, secondScore uint64
	for i, e := range engines {
		score := xxh3.HashStringSeed(e.ID, key)
		switch {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	return first, second
}
