// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
	"time"
)

// This file defines how free slots find work: the account furthest behind
// first, as long as there is a free slot that one of its routers can use.

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

func (a *Allocator) allocatePool(now time.Duration, p *pool) {
	var passed []*account // whose routers can reach no free server at present
	for p.unmet.Len() > 0 && len(p.free) > 0 {
		acc := p.unmet.Min()
		w := acc.place()
		if srv := p.freest(now, w.session); srv != nil {
			a.grantOne(p, w, srv)
			continue
		}
		p.unmet.Remove(acc)
		passed = append(passed, acc)
	}
	for _, acc := range passed {
		p.unmet.Set(acc)
	}
	p.raiseFloor()
	short := p.unmet.Len() > 0 && p.recall(now)
	p.measureRate(now)
	p.noteShort(now, short)
}

// recall asks routers for slots that work elsewhere waits for: free ones that
// they keep, as many as work waits for; and for a router that holds none at
// all, one that is in use. Routers with a slot serve the account that is
// furthest behind with the next that becomes free, so they need no recall. It
// reports whether more work waits than slots are known to be free.
//
// Asking everybody for every free slot was tried first: one waiting request
// then emptied the whole fleet's hands, and every next request had to ask.
func (p *pool) recall(now time.Duration) (short bool) {
	need := p.waiting - p.recalling
	slotless := p.slotless - p.recalling
	for _, v := range p.views {
		if need <= 0 || v.idle <= 0 || !v.session.linked {
			continue
		}
		n := min(v.idle, need)
		v.idle -= n
		need -= n
		slotless -= n
		p.ask(now, v, n)
	}
	for ; slotless > 0; slotless-- {
		v := p.richest()
		if v == nil {
			break
		}
		p.ask(now, v, 1)
	}
	return need > 0
}

// richest returns the router that can best spare a slot, or nil if nobody has
// more than one.
func (p *pool) richest() *viewState {
	var best *viewState
	most := 1
	for _, v := range p.views {
		if spare := v.held - v.recall - v.recalled; spare > most && v.session.linked {
			best, most = v, spare
		}
	}
	return best
}

func (p *pool) ask(now time.Duration, v *viewState, n int) {
	v.recall += n
	v.askedAt = now
	p.recalling += n
	v.session.urgent = true
}

// answered takes back what was noted of n recalled slots.
func (p *pool) answered(v *viewState, n int) {
	n = min(n, v.recalled)
	v.recalled -= n
	p.recalling -= n
}

// recallLife is how long the allocator counts on a recall. A slot in use may
// take longer to come back, and is welcome then too.
const recallLife = time.Second

func (a *Allocator) grantOne(p *pool, w *waitingAt, srv *server) {
	s := w.session
	a.take(s, srv.Name, 1)
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

// dropUnacked forgets all grants of a session that is over, sent or not.
func (a *Allocator) dropUnacked(s *session) {
	for _, g := range s.unacked {
		a.arrived(s, g)
	}
	s.unacked = nil
}

// arrived undoes what grantOne noted on the way.
func (a *Allocator) arrived(s *session, g grant) {
	w := s.waiting[waitingKey{g.pool, g.account}]
	if w == nil {
		return
	}
	w.onWay = max(w.onWay-1, 0)
	w.account.onWay = max(w.account.onWay-1, 0)
	if w.reported == 0 && w.onWay == 0 && w.running == 0 {
		delete(s.waiting, waitingKey{g.pool, g.account})
	}
	a.pools[g.pool].update(w)
}

// noteShort tells the routers when the pool begins or ceases to be short of
// slots. While it is, the virtual times go to them with every full view.
func (p *pool) noteShort(now time.Duration, short bool) {
	changed := short != p.short
	p.short = short
	for _, v := range p.views {
		if !v.session.linked {
			continue
		}
		v.session.wantView = v.session.wantView || short || changed
		if v.recalled > 0 && now-v.askedAt > recallLife {
			p.answered(v, v.recalled)
		}
	}
}
