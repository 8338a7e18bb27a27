// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
)

// This file defines the allocator's ledger: how many slots of which server each session
// holds, and what is undone when a session ends.

// assign counts up to n slots of a server as held by a session, at most as many as the server
// has. Unknown servers are ignored.
func (a *Allocator) assign(s *session, name string, n int) {
	srv := a.servers[name]
	if srv == nil || n <= 0 {
		return
	}
	n = min(n, srv.Slots+srv.Overcommit)
	srv.granted += n
	s.held[name] += n
	s.pool(srv.pool).addHeld(n)
	srv.pool.updateFree(srv)
}

// release takes back up to n slots of a server from a session, at most as many as it holds,
// and returns their number.
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
		srv.pool.updateFree(srv)
		s.pool(srv.pool).addHeld(-n)
	}
	return n
}

// releaseAll takes back all slots of a session and removes the session from the pools.
func (a *Allocator) releaseAll(s *session) {
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		a.release(s, name, s.held[name])
	}
	a.clearBacklogs(s)
	for _, r := range s.pools {
		r.pool.routers = slices.DeleteFunc(r.pool.routers, func(o *routerPool) bool { return o == r })
	}
}

// clearBacklogs removes a router's backlogs and the grants and recalls in flight to it.
func (a *Allocator) clearBacklogs(s *session) {
	for _, g := range s.unackedGrants {
		a.finishGrant(s, g)
	}
	s.unackedGrants = nil
	for _, r := range s.pools {
		r.pool.recallsOutstanding -= r.recallsPending
		r.recallsPending = 0
		r.finishRecalls(r.recallsSent)
	}
	for k := range s.backlogs {
		p := a.pools[k.pool]
		p.setBacklog(s, p.accounts[k.account], 0, 0)
	}
	clear(s.backlogs)
}
