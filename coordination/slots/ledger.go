// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
)

// This file defines the allocator's ledger: which session holds how many slots
// of which server, and what is undone when a session ends.

// assign counts up to n slots of a server as held by a session, at most as many
// as the server has. Unknown servers are ignored.
func (a *Allocator) assign(s *session, name string, n int) {
	srv := a.servers[name]
	if srv == nil || n <= 0 {
		return
	}
	n = min(n, srv.Slots+srv.Overcommit)
	srv.granted += n
	s.held[name] += n
	s.pool(srv.pool).addHeld(n)
	srv.pool.setFree(srv)
}

// release takes up to n slots of a server back from a session, at most as many
// as it holds, and returns their number.
func (a *Allocator) release(s *session, name string, n int) int {
	n = min(n, s.held[name])
	if n <= 0 {
		return 0
	}
	s.held[name] -= n
	if s.held[name] == 0 {
		delete(s.held, name)
	}
	if srv := a.servers[name]; srv != nil {
		srv.granted -= n
		srv.pool.setFree(srv)
		s.pool(srv.pool).addHeld(-n)
	}
	return n
}

// releaseAll takes everything that a session holds back, and the session out of
// the pools.
func (a *Allocator) releaseAll(s *session) {
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		a.release(s, name, s.held[name])
	}
	a.forgetWaiting(s)
	for _, r := range s.pools {
		r.pool.routers = slices.DeleteFunc(r.pool.routers, func(o *routerPool) bool { return o == r })
	}
}

// forgetWaiting forgets the work that waits at a router, and grants and recalls
// on their way to it.
func (a *Allocator) forgetWaiting(s *session) {
	for _, g := range s.unacked {
		a.grantDone(s, g)
	}
	s.unacked = nil
	for _, r := range s.pools {
		r.pool.recalling -= r.recall
		r.recall = 0
		r.recallDone(r.recalled)
	}
	for k := range s.waiting {
		p := a.pools[k.pool]
		p.setWaiting(s, p.accounts[k.account], 0, 0)
	}
	clear(s.waiting)
}
