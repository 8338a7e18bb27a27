// SPDX-License-Identifier: Apache-2.0

package slots

import "time"

// This file defines which slots are recalled from routers, and when a pool counts as short of
// slots.

// recallTimeout is the time after which a recalled slot that was not returned no longer counts
// as outstanding. A slot in use may be returned later, and can still be granted then.
const recallTimeout = time.Second

// recall recalls slots for requests that wait elsewhere: as many free slots as requests wait
// for, and for a router without any slot, one slot that is in use. Routers with a slot need
// no recall, because they serve the account that is furthest behind with the next slot that
// becomes free. recall reports whether more requests wait than slots are free.
//
// It does not recall every free slot: one waiting request would then leave no router with a
// slot, and every next request would need a grant.
func (p *fleetPool) recall(now time.Duration) (short bool) {
	unmet := p.unmetRequests - p.recallsOutstanding
	slotlessUnmet := p.slotlessAccounts - p.recallsOutstanding
	for _, r := range p.routers {
		if unmet <= 0 || r.reportedIdle <= 0 || !r.session.linked {
			continue
		}
		n := min(r.reportedIdle, unmet)
		r.reportedIdle -= n
		unmet -= n
		slotlessUnmet -= n
		r.recallSlots(now, n)
	}
	for ; slotlessUnmet > 0; slotlessUnmet-- {
		r := p.routerWithMostSpare()
		if r == nil {
			break
		}
		r.recallSlots(now, 1)
	}
	return unmet > 0
}

// routerWithMostSpare returns the router with the most slots to spare, or nil if none has more
// than one.
func (p *fleetPool) routerWithMostSpare() *routerPool {
	var best *routerPool
	most := 1
	for _, r := range p.routers {
		if spare := r.held - r.recallsPending - r.recallsSent; spare > most && r.session.linked {
			best, most = r, spare
		}
	}
	return best
}

// recallSlots recalls n slots with the router's next view.
func (r *routerPool) recallSlots(now time.Duration, n int) {
	r.recallsPending += n
	r.lastRecall = now
	r.pool.recallsOutstanding += n
	r.session.urgentPending = true
}

// finishRecalls removes n recalled slots from the outstanding ones, because they were
// returned or will not be.
func (r *routerPool) finishRecalls(n int) {
	n = min(n, r.recallsSent)
	r.recallsSent -= n
	r.pool.recallsOutstanding -= n
}

// setShort records whether the pool is short of slots. Its routers are sent a full view when
// a shortage begins, while it lasts, and when it ends.
func (p *fleetPool) setShort(now time.Duration, short bool) {
	changed := short != p.short
	p.short = short
	for _, r := range p.routers {
		if !r.session.linked {
			continue
		}
		r.session.viewPending = r.session.viewPending || short || changed
		if r.recallsSent > 0 && now-r.lastRecall > recallTimeout {
			r.finishRecalls(r.recallsSent)
		}
	}
}
