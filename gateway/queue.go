// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// This file defines in which order requests wait for room, and for how long.

// waiter is a request that waits for room.
type waiter struct {
	criteria
	seq     uint64
	granted chan *assignment // buffered
	short   shortage         // why it got nothing when it was last looked at
}

// obtain returns a backend for the request, waiting for room until ctx ends or
// patience is over; then it returns nil and why.
func (g *Gateway) obtain(ctx context.Context, w criteria, patience time.Duration) (*assignment, shortage) {
	t := g.table
	t.mu.Lock()
	p := t.pool(w.pool.Name)
	var short shortage
	if !g.outranked(p, w) {
		var l *assignment
		if l, short = t.acquire(g.now(), w); l != nil {
			t.mu.Unlock()
			return l, short
		}
	}
	if patience <= 0 {
		t.mu.Unlock()
		return nil, short
	}
	waiting := &waiter{criteria: w, seq: g.seq.Add(1), granted: make(chan *assignment, 1), short: short}
	p.waiting = append(p.waiting, waiting)
	t.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case l := <-waiting.granted:
		return l, shortage{}
	case <-ctx.Done():
	case <-timer.C:
	}
	return g.leave(ctx, p, waiting)
}

// leave takes a request out of the queue; it may just have got a backend. One
// that its tenant's share covers takes any backend that has room before it is
// refused.
func (g *Gateway) leave(ctx context.Context, p *pool, w *waiter) (*assignment, shortage) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(o *waiter) bool { return o == w })
	select {
	case l := <-w.granted:
		return l, shortage{}
	default:
	}
	if w.pool.Engine && w.standing == covered && ctx.Err() == nil {
		if l := g.table.acquireAnywhere(g.now(), w.criteria); l != nil {
			return l, shortage{}
		}
	}
	return nil, w.short
}

// outranked reports whether somebody waits who goes before the request. The
// caller holds table.mu.
func (g *Gateway) outranked(p *pool, w criteria) bool {
	for _, o := range p.waiting {
		if g.before(&o.criteria, &w) <= 0 {
			return true
		}
	}
	return false
}

// before orders waiting requests: within the share first, then by priority,
// then the tenant that was served least lately.
func (g *Gateway) before(a, b *criteria) int {
	if a.standing != b.standing {
		return cmp.Compare(a.standing, b.standing)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	return cmp.Compare(g.tenants.served(a.tenant), g.tenants.served(b.tenant))
}

// grant gives backends to those who wait, in order, as far as there is room.
// The caller holds table.mu.
func (g *Gateway) grant(p *pool) {
	if len(p.waiting) == 0 {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		return cmp.Or(g.before(&a.criteria, &b.criteria), cmp.Compare(a.seq, b.seq))
	})
	now := g.now()
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		l, short := g.table.acquire(now, w.criteria)
		if l == nil {
			w.short = short
			return false
		}
		w.granted <- l
		return true
	})
}

// grantAll looks at every queue: the load heard from others has changed.
func (g *Gateway) grantAll() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	for _, p := range g.table.pools {
		g.grant(p)
	}
}
