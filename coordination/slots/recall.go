// SPDX-License-Identifier: Apache-2.0

package slots

import "time"

// This file defines the rule which slots are recalled from routers, and when a
// pool counts as short of slots.

// recallLife is how long the allocator counts on a recall. A slot in use may take longer to come back,
// and is used then too.
const recallLife = time.Second

// recall recalls slots that work elsewhere waits for: free ones that routers
// keep, as many as work waits for; and for a router that holds none at all, one
// that is in use. Routers with a slot serve the account that is furthest behind
// with the next that becomes free, so they need no recall. It reports whether
// more work waits than there are free slots.
//
// Recalling every free slot was tried first: one waiting request then left no
// router with a slot, and every next request needed a grant.
func (p *fleetPool) recall(now time.Duration) (short bool) {
	need := p.waiting - p.recalling
	slotless := p.slotless - p.recalling
	for _, r := range p.routers {
		if need <= 0 || r.idle <= 0 || !r.session.linked {
			continue
		}
		n := min(r.idle, need)
		r.idle -= n
		need -= n
		slotless -= n
		r.recallSlots(now, n)
	}
	for ; slotless > 0; slotless-- {
		r := p.mostSpare()
		if r == nil {
			break
		}
		r.recallSlots(now, 1)
	}
	return need > 0
}

// mostSpare returns the router that can best spare a slot, or nil if none has
// more than one.
func (p *fleetPool) mostSpare() *routerPool {
	var best *routerPool
	most := 1
	for _, r := range p.routers {
		if spare := r.held - r.recall - r.recalled; spare > most && r.session.linked {
			best, most = r, spare
		}
	}
	return best
}

// recallSlots recalls n slots with the router's next view.
func (r *routerPool) recallSlots(now time.Duration, n int) {
	r.recall += n
	r.recalledAt = now
	r.pool.recalling += n
	r.session.urgent = true
}

// recallDone no longer counts on n recalled slots: they came back, or will not.
func (r *routerPool) recallDone(n int) {
	n = min(n, r.recalled)
	r.recalled -= n
	r.pool.recalling -= n
}

// setShort records whether the pool is short of slots. Its routers get a full
// view when that begins, while it lasts, and when it ends.
func (p *fleetPool) setShort(now time.Duration, short bool) {
	changed := short != p.short
	p.short = short
	for _, r := range p.routers {
		if !r.session.linked {
			continue
		}
		r.session.wantView = r.session.wantView || short || changed
		if r.recalled > 0 && now-r.recalledAt > recallLife {
			r.recallDone(r.recalled)
		}
	}
}
