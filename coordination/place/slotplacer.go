// SPDX-License-Identifier: Apache-2.0

package place

import (
	"maps"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/badgerspoke/badgerspoke/coordination/backpressure"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
)

// This file defines SlotPlacer, which routers use to choose among servers with a free slot, and the
// load estimate it depends on.

// FreeServer is a backend server on which this router holds an unused slot.
type FreeServer struct {
	Server  string
	Slots   int
	Running int // requests sent by this router
}

// LoadReport is the load that a backend server reports with its answers.
type LoadReport struct {
	Running int           // requests
	Waiting int           // requests
	At      time.Duration // time of the report, by this router's clock
}

// Components of a price, in blocks of prompt.
const (
	queuePrice      = 8.0 // for one request per slot ahead
	preferenceBonus = 0.5 // for the preferred server in rendezvous order, enough to break ties
)

// loadHalfLife is the age at which a load report counts half.
const loadHalfLife = time.Second

// SlotPlacer chooses servers of one pool.
type SlotPlacer struct {
	Index  *Index
	Health *outlier.Consecutive
	loads  map[string]LoadReport
	// notices holds the back-pressure of servers that have asked for a backoff.
	notices map[string]backpressure.Notice
}

// NewSlotPlacer returns a placer whose index holds at most the given number of prompt blocks.
func NewSlotPlacer(blocks int) *SlotPlacer {
	return &SlotPlacer{Index: NewIndex(blocks), Health: outlier.NewConsecutive(), loads: map[string]LoadReport{}, notices: map[string]backpressure.Notice{}}
}

// SetBackoff records that a server has asked to receive no requests for a while.
func (p *SlotPlacer) SetBackoff(now time.Duration, server string, backoff time.Duration) {
	p.notices[server] = p.notices[server].WithBackoff(now, backoff)
}

// RetainNotices drops the notices of all servers that are not listed.
func (p *SlotPlacer) RetainNotices(listed func(server string) bool) {
	maps.DeleteFunc(p.notices, func(server string, _ backpressure.Notice) bool { return !listed(server) })
}

// Usable reports whether a request may be sent to a server: it is not ejected and not backing off.
func (p *SlotPlacer) Usable(now time.Duration, server string) bool {
	return p.Health.Usable(now, server) && p.notices[server].Admits(now)
}

// RecordLoad records a server's load report unless it is older than the current one.
func (p *SlotPlacer) RecordLoad(server string, l LoadReport) {
	if old, ok := p.loads[server]; !ok || l.At > old.At {
		p.loads[server] = l
	}
}

// Choose returns the cheapest candidate, or false if none is usable. It costs O(candidates × prompt
// blocks).
func (p *SlotPlacer) Choose(now time.Duration, candidates []FreeServer, prompt []Block) (string, bool) {
	best, bestPrice := "", math.Inf(1)
	preferred := Preferred(candidates, prompt)
	for _, c := range candidates {
		if !p.Usable(now, c.Server) {
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

// Preferred returns the candidate that comes first in the rendezvous order of the prompt's first
// block, or "" for a prompt without blocks.
func Preferred(candidates []FreeServer, prompt []Block) string {
	if len(prompt) == 0 {
		return ""
	}
	best, highest := "", uint64(0)
	for _, c := range candidates {
		if h := xxh3.HashStringSeed(c.Server, uint64(prompt[0])); best == "" || h > highest {
			best, highest = c.Server, h
		}
	}
	return best
}

func (p *SlotPlacer) price(now time.Duration, c FreeServer, prompt []Block) float64 {
	return queuePrice*p.load(now, c) + float64(len(prompt)) - p.Index.ExpectedCachedBlocks(c.Server, prompt)
}

// load returns the expected number of requests per slot ahead of a new one.
func (p *SlotPlacer) load(now time.Duration, c FreeServer) float64 {
	running := float64(c.Running)
	if l, ok := p.loads[c.Server]; ok {
		age := float64(now-l.At) / float64(loadHalfLife)
		fresh := math.Exp2(-max(age, 0))
		others := max(float64(l.Running+l.Waiting)-running, 0)
		running += fresh * others
	}
	return running / float64(max(c.Slots, 1))
}
