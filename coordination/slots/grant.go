// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
	"time"
)

// This file defines the rule who is granted a free slot: the account furthest
// behind first, at the router where most of its work waits, on the server with
// the largest free part.

// MinAllocationInterval is the shortest time between two allocations: what arrives in between is taken together,
// since an allocation looks at every session and the allocator's work would grow with the square of
// the fleet (BenchmarkScale).
const MinAllocationInterval = time.Millisecond

// candidatesLooked is how many routers, and how many servers, a grant is chosen among: other ones each
// time, so that its cost does not grow with the fleet.
const candidatesLooked = 8

// grant is one slot on its way to a router for the work of an account.
type grant struct {
	seq     uint64 // of the view that carries it; 0 until sent
	pool    string
	account string
}

// Allocate grants every free slot that work waits for. A grant costs O(log n)
// in the accounts that wait.
func (a *Allocator) Allocate(now time.Duration) {
	if a.TakingOver(now) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		a.allocatePool(now, a.pools[name])
	}
}

func (a *Allocator) allocatePool(now time.Duration, p *fleetPool) {
	var passed []*account // whose routers can reach no free server at present
	for p.unmet.Len() > 0 && len(p.free) > 0 {
		acc := p.unmet.Min()
		w := acc.nextPlace()
		if srv := p.freest(now, w.session); srv != nil {
			a.grant(p, w, srv)
			continue
		}
		p.unmet.Remove(acc)
		passed = append(passed, acc)
	}
	for _, acc := range passed {
		p.unmet.Set(acc)
	}
	p.updateFloor()
	short := p.unmet.Len() > 0 && p.recall(now)
	p.measureRate(now)
	p.setShort(now, short)
}

// nextPlace returns the router to grant to: the one where most of the
// account's work waits, among candidatesLooked.
func (a *account) nextPlace() *waitingAt {
	var best *waitingAt
	n := len(a.places)
	for i := range min(n, candidatesLooked) {
		w := a.places[(a.cursor+i)%n]
		if best == nil || w.unmet() > best.unmet() {
			best = w
		}
	}
	a.cursor++
	return best
}

// freest returns the server with the largest free part among candidatesLooked, or
// nil when the router can reach none that is free.
func (p *fleetPool) freest(now time.Duration, s *session) *server {
	var best *server
	looked := 0
	for i := range p.free {
		srv := p.free[(p.cursor+i)%len(p.free)]
		if s.suspect[srv.Name] > now {
			continue
		}
		if best == nil || srv.free()*best.Slots > best.free()*srv.Slots {
			best = srv
		}
		if looked++; looked == candidatesLooked {
			break
		}
	}
	p.cursor++
	return best
}

func (a *Allocator) grant(p *fleetPool, w *waitingAt, srv *server) {
	s := w.session
	a.assign(s, srv.Name, 1)
	s.granted[srv.Name]++
	s.unacked = append(s.unacked, grant{pool: p.name, account: w.account.name})
	s.urgent = true
	w.onWay++
	w.account.onWay++
	p.update(w)
}

// acknowledge forgets the grants that a router has taken into account: what
// it reports as waiting no longer includes what it started on them.
func (a *Allocator) acknowledge(s *session, seq uint64) {
	s.unacked = slices.DeleteFunc(s.unacked, func(g grant) bool {
		done := g.seq != 0 && g.seq <= seq
		if done {
			a.grantDone(s, g)
		}
		return done
	})
}

// grantDone undoes what grant counted as on the way.
func (a *Allocator) grantDone(s *session, g grant) {
	w := s.waiting[waitingKey{g.pool, g.account}]
	if w == nil {
		return
	}
	w.onWay = max(w.onWay-1, 0)
	w.account.onWay = max(w.account.onWay-1, 0)
	a.pools[g.pool].update(w)
}
