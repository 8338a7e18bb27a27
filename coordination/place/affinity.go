// SPDX-License-Identifier: Apache-2.0

package place

import (
	"math"

	"github.com/zeebo/xxh3"
)

// This file defines Affinity, the choice of an engine for a prompt whose
// parts are named by its caller.
//
// The parts that others share give a rendezvous order of the engines, equal on
// all routers without a message. The first in that order is taken to keep the
// shared parts; any other would read them again. So the price of an engine is
// the work in front of the request there, in tokens, plus the shared tokens if
// it is not the first. A few of the order's first may keep them as well once
// they were chosen ([Affinity.Chosen]).

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
	Tokens   int     // of prompts in front there, from all routers
	Slowness float64 // how many times slower than others; 1 is as fast
	Near     bool    // in the router's zone
}

// Prices of the parts of a choice, in tokens.
const (
	rereadPrice  = 4    // each shared token that would be read again
	requestPrice = 60   // each request that shares the engine's steps
	fullPrice    = 4000 // each request beyond the engine's slots
	farPrice     = 40   // another zone
)

// recentKeys bounds how many choices are remembered.
const recentKeys = 4096

// Affinity chooses engines. It is not safe for concurrent use.
type Affinity struct {
	recent map[choice]bool
	order  []choice // ring of the remembered choices
	next   int
}

type choice struct {
	key    uint64
	engine string
}

// NewAffinity returns a table without remembered choices.
func NewAffinity() *Affinity { return &Affinity{recent: map[choice]bool{}} }

// Choose returns the index of the cheapest engine, or -1 without any.
func (a *Affinity) Choose(p Prompt, engines []Engine) int {
	key := p.key()
	first := rendezvous(key, engines)
	best, bestPrice := -1, math.Inf(1)
	for i, e := range engines {
		price := a.price(p, key, e, i == first)
		if price < bestPrice {
			best, bestPrice = i, price
		}
	}
	return best
}

func (a *Affinity) price(p Prompt, key uint64, e Engine, first bool) float64 {
	read := float64(p.Own)
	if !first && !a.recent[choice{key, e.ID}] {
		read += rereadPrice * float64(p.SharedTokens())
	}
	price := read + float64(e.Tokens) + requestPrice*float64(e.Requests)
	if over := e.Requests + 1 - e.Slots; e.Slots > 0 && over > 0 {
		price += fullPrice * float64(over)
	}
	if !e.Near {
		price += farPrice
	}
	return price * max(e.Slowness, 1)
}

// Chosen remembers that an engine now keeps the prompt's shared parts.
func (a *Affinity) Chosen(p Prompt, engine string) {
	c := choice{p.key(), engine}
	if c.key == 0 || a.recent[c] {
		return
	}
	if len(a.order) < recentKeys {
		a.order = append(a.order, c)
	} else {
		delete(a.recent, a.order[a.next])
		a.order[a.next] = c
		a.next = (a.next + 1) % recentKeys
	}
	a.recent[c] = true
}

// rendezvous returns the index of the first engine in the key's order, or -1.
func rendezvous(key uint64, engines []Engine) int {
	if key == 0 {
		return -1
	}
	best, bestScore := -1, uint64(0)
	for i, e := range engines {
		if score := xxh3.HashStringSeed(e.ID, key); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
