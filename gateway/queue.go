// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines the queue of requests that wait for capacity on backend servers.

// waiter is a request that waits for capacity.
type waiter struct {
	requirements
	seq      uint64
	granted  chan *assignment // buffered; receives nil if waiting cannot help any more
	shortage shortage         // at the last attempt to assign a server
}

// result returns the outcome of the wait when a was granted, which may be nil.
func (wt *waiter) result(a *assignment) (*assignment, shortage) {
	if a == nil {
		return nil, wt.shortage
	}
	return a, shortage{}
}

// awaitServer returns a backend server for the request. It waits for capacity until ctx ends,
// queueTimeout has passed or the stopping gateway begins no such request any more, and then returns
// nil and the reason. It locks table.mu.
func (g *Gateway) awaitServer(ctx context.Context, req requirements, queueTimeout time.Duration) (*assignment, shortage) {
	t := g.table
	t.mu.Lock()
	p := t.pool(req.pool.Name)
	var a *assignment
	var short shortage
	if short.homesCause = t.homesRefusal(p, &req); !short.final() && !g.outranked(p, req) {
		a, short = t.acquire(g.now(), req)
	}
	if a != nil || queueTimeout <= 0 || short.final() {
		t.mu.Unlock()
		return a, short
	}
	waiting := &waiter{requirements: req, seq: g.seq.Add(1), granted: make(chan *assignment, 1), shortage: short}
	p.waiting = append(p.waiting, waiting)
	t.mu.Unlock()
	if a, granted := g.awaitGrant(ctx, waiting, queueTimeout); granted {
		return waiting.result(a)
	}
	return g.stopWaiting(ctx, p, waiting)
}

// awaitGrant waits until a server is granted to a waiting request, or waiting cannot help any more.
// It reports false at the end of the wait.
func (g *Gateway) awaitGrant(ctx context.Context, wt *waiter, queueTimeout time.Duration) (a *assignment, granted bool) {
	timer := time.NewTimer(queueTimeout)
	defer timer.Stop()
	lateStarts := g.lateStarts.Done()
	for {
		select {
		case a := <-wt.granted:
			return a, true
		case <-ctx.Done():
			return nil, false
		case <-timer.C:
			return nil, false
		case <-lateStarts:
			if wt.mayBegin != nil && !wt.mayBegin() {
				return nil, false
			}
			lateStarts = nil
		}
	}
}

// stopWaiting removes a request from the queue; a backend server may have been granted just before.
// A request that its account's share covers takes any server with capacity rather than being
// refused.
func (g *Gateway) stopWaiting(ctx context.Context, p *pool, wt *waiter) (*assignment, shortage) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(o *waiter) bool { return o == wt })
	select {
	case a := <-wt.granted:
		return wt.result(a)
	default:
	}
	if wt.pool.Engine && wt.Class == entitlement.Covered && ctx.Err() == nil {
		if a := g.table.acquireWithCapacity(g.now(), wt.requirements); a != nil {
			return a, shortage{}
		}
	}
	return nil, wt.shortage
}

// outranked reports whether a waiting request takes precedence over this one. The caller holds
// table.mu.
func (g *Gateway) outranked(p *pool, req requirements) bool {
	return slices.ContainsFunc(p.waiting, func(o *waiter) bool {
		return g.accounts.compareWaiting(o.WaitingRequest, req.WaitingRequest) <= 0
	})
}

// grantWaiting assigns backend servers to waiting requests, in order, as far as there is capacity.
// The caller holds table.mu.
func (g *Gateway) grantWaiting(p *pool) {
	if len(p.waiting) == 0 {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		return cmp.Or(g.accounts.compareWaiting(a.WaitingRequest, b.WaitingRequest), cmp.Compare(a.seq, b.seq))
	})
	now := g.now()
	p.waiting = slices.DeleteFunc(p.waiting, func(wt *waiter) bool {
		a, short := g.table.acquire(now, wt.requirements)
		if a == nil {
			wt.shortage = short
		}
		if a == nil && !short.backingOff && !short.versionGone {
			return false
		}
		wt.granted <- a
		return true
	})
}

// grantAll processes the queue of every pool. It is called when the load from other gateways has
// changed or an ejection may have ended.
func (g *Gateway) grantAll() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	for _, p := range g.table.pools {
		g.grantWaiting(p)
	}
}
