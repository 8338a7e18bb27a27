// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
	"time"
)

// This file defines how free slots find work: the account furthest behind
// first, as long as there is a free slot that one of its routers can use.

// Allocate grants every free slot that work waits for. It costs O(log n) a
// grant, plus one pass over the servers of a pool.
func (a *Allocator) Allocate(now time.Duration) {
	if a.TakingOver(now) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		a.allocatePool(now, a.pools[name])
	}
}

func (a *Allocator) allocatePool(now time.Duration, p *pool) {
	for len(p.unmet) > 0 {
		acc := p.unmet[0]
		p.raiseFloor()
		w := acc.place()
		srv := p.freest(now, w.session)
		if srv == nil {
			break
		}
		a.grantOne(p, w, srv)
	}
	p.raiseFloor()
	a.noteUnmet(p)
}

// freest returns the serving server with the largest free part that the
// router can reach, or nil.
func (p *pool) freest(now time.Duration, s *session) *server {
	var best *server
	var most float64
	for _, srv := range p.servers {
		free := srv.Slots - srv.granted
		if !srv.Serving || free <= 0 || s.suspect[srv.Name] > now {
			continue
		}
		if part := float64(free) / float64(srv.Slots); part > most {
			best, most = srv, part
		}
	}
	return best
}

func (a *Allocator) grantOne(p *pool, w *waitingAt, srv *server) {
	s := w.session
	a.take(s, srv.Name, 1)
	s.granted[srv.Name]++
	s.unacked = append(s.unacked, grant{pool: p.name, account: w.account.name, server: srv.Name})
	s.urgent, s.wantView = true, true
	w.onWay++
	w.account.onWay++
	p.update(w)
	s.view(p.name).follow(w.account.name)
}

// acknowledge forgets the grants that a router has taken into account: what
// it reports as waiting no longer includes what it started on them.
func (a *Allocator) acknowledge(s *session, seq uint64) {
	n := 0
	for _, g := range s.unacked {
		if g.seq == 0 || g.seq > seq {
			s.unacked[n] = g
			n++
			continue
		}
		a.arrived(s, g)
	}
	s.unacked = s.unacked[:n]
}

// arrived undoes what grantOne noted on the way.
func (a *Allocator) arrived(s *session, g grant) {
	w := s.waiting[waitingKey{g.pool, g.account}]
	if w == nil {
		return
	}
	w.onWay = max(w.onWay-1, 0)
	w.account.onWay = max(w.account.onWay-1, 0)
	if w.reported == 0 && w.onWay == 0 {
		delete(s.waiting, waitingKey{g.pool, g.account})
	}
	a.pools[g.pool].update(w)
}

// noteUnmet tells the routers that could help when work begins or ceases to
// wait without a slot.
func (a *Allocator) noteUnmet(p *pool) {
	unmet := len(p.unmet) > 0
	changed := unmet != p.wasUnmet
	p.wasUnmet = unmet
	if !unmet && !changed {
		return
	}
	for _, s := range a.order {
		v := s.views[p.name]
		if v == nil || !s.linked {
			continue
		}
		s.wantView = true
		if unmet && v.idle > 0 && (changed || !v.told) {
			s.urgent = true
		}
	}
}
