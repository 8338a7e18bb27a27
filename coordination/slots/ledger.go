// SPDX-License-Identifier: Apache-2.0

package slots

import "slices"

// This file defines the allocator's ledger: which session holds how many slots
// of which server, and what is undone when a session ends.

// take and give move slots of a server between the allocator and a session.
// Unknown servers are ignored; a report of nonsense is bounded by what the
// session holds.
func (a *Allocator) take(s *session, name string, n int) {
	srv := a.servers[name]
	if srv == nil || n <= 0 {
		return
	}
	n = min(n, srv.Slots+srv.Extra)
	srv.granted += n
	s.held[name] += n
	s.view(srv.pool).hold(n)
	srv.pool.setFree(srv)
}

func (a *Allocator) give(s *session, name string, n int) int {
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
		s.view(srv.pool).hold(-n)
	}
	return n
}

// free gives back everything that a session holds.
func (a *Allocator) free(s *session) {
	for name, n := range s.held {
		a.give(s, name, n)
	}
	a.forgetWaiting(s)
}

func (a *Allocator) forgetWaiting(s *session) {
	a.dropUnacked(s)
	for _, v := range s.views {
		v.pool.recalling -= v.recall
		v.recall = 0
		v.pool.answered(v, v.recalled)
	}
	for k := range s.waiting {
		if p := a.pools[k.pool]; p != nil {
			p.setWaiting(s, p.accounts[k.account], 0, 0)
		}
	}
	clear(s.waiting)
}

// forgetViews takes a session that is over out of the pools.
func (a *Allocator) forgetViews(s *session) {
	for _, v := range s.views {
		v.pool.views = slices.DeleteFunc(v.pool.views, func(o *viewState) bool { return o == v })
	}
}
