// SPDX-License-Identifier: Apache-2.0

package place

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
)

// This file defines Placer, the choice itself, and the load that goes into it.

// Candidate is a backend server with a free slot.
type Candidate struct {
	Server  string
	Slots   int
	Running int // by this router
}

// Load is what a backend server reports of itself.
type Load struct {
	Running int
	Waiting int
	At      time.Duration // when the report was made, by this router's clock
}

// Weights of the parts of a price, in blocks of prompt.
const (
	queuePrice      = 8.0 // one request per slot in front
	preferenceBonus = 0.5 // the rendezvous choice, enough to break ties
	doubtfulPart    = 0.5 // of the benefit when the server's events had a gap
)

// loadHalfLife is the age at which a report counts half.
const loadHalfLife = time.Second

// Placer chooses servers of one pool.
type Placer struct {
	Index  *Index
	Health *outlier.Consecutive
	loads  map[string]Load
}

// New returns a placer whose index holds at most blocks prompt blocks.
func New(blocks int) *Placer {
	return &Placer{Index: NewIndex(blocks), Health: outlier.NewConsecutive(), loads: map[string]Load{}}
}

// Report takes a server's load report. An older one than held is dropped.
func (p *Placer) Report(server string, l Load) {
	if old, ok := p.loads[server]; !ok || l.At > old.At {
		p.loads[server] = l
	}
}

// Choose returns the cheapest candidate, or false if all are out of health.
// It costs O(candidates × prompt blocks).
func (p *Placer) Choose(now time.Duration, candidates []Candidate, prompt []Block) (string, bool) {
	best, bestPrice := "", math.Inf(1)
	preferred := Preferred(candidates, prompt)
	for _, c := range candidates {
		if !p.Health.Usable(now, c.Server) {
			continue
		}
		price := p.price(now, c, prompt)
		if c.Server == preferred {
			price -= preferenceBonus
		}
		if price < bestPrice || (price == bestPrice && c.Server < best) {
			best, bestPrice = c.Server, price
		}
	}
	return best, best != ""
}

func (p *Placer) price(now time.Duration, c Candidate, prompt []Block) float64 {
	return queuePrice*p.load(now, c) + float64(len(prompt)) - p.Index.Benefit(c.Server, prompt)
}

// load is the expected number of requests in front, per slot.
func (p *Placer) load(now time.Duration, c Candidate) float64 {
	running := float64(c.Running)
	if l, ok := p.loads[c.Server]; ok {
		age := float64(now-l.At) / float64(loadHalfLife)
		fresh := math.Exp2(-max(age, 0))
		others := max(float64(l.Running+l.Waiting)-running, 0)
		running += fresh * others
	}
	return running / float64(max(c.Slots, 1))
}
