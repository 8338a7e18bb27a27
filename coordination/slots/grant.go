// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
	"time"
)

// This file defines the rule for granting free slots: first to the account that is furthest
// behind, at the router where most of its requests wait, on the server with the largest
// fraction of free slots.

// MinAllocationInterval is the minimum time between two allocations. Everything that arrives
// in between is handled together: an allocation visits every session, so without the interval
// the allocator's work would grow with the square of the fleet (BenchmarkScale).
const MinAllocationInterval = time.Millisecond

// candidateLimit is the number of routers, and of servers, that are compared for a grant.
// Each search starts at other candidates, so the cost of a grant does not grow with the
// fleet.
const candidateLimit = 8

// grant is a slot in flight to a router, for one request of an account.
type grant struct {
	seq     uint64 // sequence number of the view that carries it; 0 until sent
	pool    string
	account string
}

// Allocate grants every free slot that requests wait for. A grant costs O(log n) in the
// number of backlogged accounts.
func (a *Allocator) Allocate(now time.Duration) {
	if a.TakingOver(now) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		a.allocatePool(now, a.pools[name])
	}
}

func (a *Allocator) allocatePool(now time.Duration, p *fleetPool) {
	var unreachable []*account // accounts whose routers can reach no free server at present
	for p.backlogged.Len() > 0 && len(p.freeServers) > 0 {
		acc := p.backlogged.Min()
		b := acc.nextBacklog()
		if srv := p.freestServer(now, b.session); srv != nil {
			a.grant(p, b, srv)
			continue
		}
		p.backlogged.Remove(acc)
		unreachable = append(unreachable, acc)
	}
	for _, acc := range unreachable {
		p.backlogged.PushOrFix(acc)
	}
	p.updateFloor()
	short := p.backlogged.Len() > 0 && p.recall(now)
	p.updateFloorRate(now)
	p.setShort(now, short)
}

// nextBacklog returns the backlog to grant to: the one with the most unmet requests among
// candidateLimit routers.
func (a *account) nextBacklog() *routerBacklog {
	var best *routerBacklog
	n := len(a.backlogs)
	for i := range min(n, candidateLimit) {
		b := a.backlogs[(a.backlogCursor+i)%n]
		if best == nil || b.unmet() > best.unmet() {
			best = b
		}
	}
	a.backlogCursor++
	return best
}

// freestServer returns the server with the largest fraction of free slots among
// candidateLimit servers, or nil if the router can reach no free one.
func (p *fleetPool) freestServer(now time.Duration, s *session) *server {
	var best *server
	compared := 0
	for i := range p.freeServers {
		srv := p.freeServers[(p.serverCursor+i)%len(p.freeServers)]
		if s.suspectUntil[srv.Name] > now {
			continue
		}
		if best == nil || srv.freeSlots()*best.Slots > best.freeSlots()*srv.Slots {
			best = srv
		}
		if compared++; compared == candidateLimit {
			break
		}
	}
	p.serverCursor++
	return best
}

func (a *Allocator) grant(p *fleetPool, b *routerBacklog, srv *server) {
	s := b.session
	a.assign(s, srv.Name, 1)
	s.unsentGrants[srv.Name]++
	s.unackedGrants = append(s.unackedGrants, grant{pool: p.name, account: b.account.name})
	s.urgentPending = true
	b.grantsInFlight++
	b.account.grantsInFlight++
	p.updateBacklog(b)
}

// acknowledge removes the grants that a router has applied: the waiting requests in its
// report no longer include those that it started on them.
func (a *Allocator) acknowledge(s *session, seq uint64) {
	s.unackedGrants = slices.DeleteFunc(s.unackedGrants, func(g grant) bool {
		applied := g.seq != 0 && g.seq <= seq
		if applied {
			a.finishGrant(s, g)
		}
		return applied
	})
}

// finishGrant removes a grant from the counts of grants in flight.
func (a *Allocator) finishGrant(s *session, g grant) {
	b := s.backlogs[backlogKey{g.pool, g.account}]
	if b == nil {
		return
	}
	b.grantsInFlight = max(b.grantsInFlight-1, 0)
	b.account.grantsInFlight = max(b.account.grantsInFlight-1, 0)
	a.pools[g.pool].updateBacklog(b)
}
