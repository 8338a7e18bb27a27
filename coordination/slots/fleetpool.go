// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/pq"
)

// This file defines fleetPool, the allocator's table of one pool over the whole
// fleet: its servers with free slots, its accounts, and where their work waits.
// (coordination/pool has the same pool at one router.) The virtual times of
// its accounts are in account.go.

type fleetPool struct {
	name     string
	free     []*server // with a free slot, in no order
	cursor   int       // where freest looks next
	accounts map[string]*account
	unmet    *pq.Queue[*account] // accounts with waiting work that no slot is on its way to
	floor    float64             // lowest virtual time among accounts that wait
	lift     float64             // highest lift so far; accounts that become backlogged are raised to it
	short    bool                // more work waits than there are free slots
	// recalling is the number of slots recalled and not returned yet.
	recalling int
	routers   []*routerPool // of all sessions that use the pool
	waiting   int           // requests that no grant is on its way to
	slotless  int           // accounts with such requests at routers without any slot, summed over the routers
	rate      float64       // how fast the floor rises, virtual time a second
	rateFloor float64       // floor when rate was last measured
	rateAt    time.Duration
}

// server is a backend server with the slots that routers hold of it.
type server struct {
	Server
	granted int
	pool    *fleetPool
	index   int // in fleetPool.free, -1 when not in it
}

// free is the number of slots that may be granted.
func (s *server) free() int {
	if !s.Serving {
		return 0
	}
	return max(s.Slots+s.Overcommit-s.granted, 0)
}

// routerPool is one pool at one router.
type routerPool struct {
	session       *session
	pool          *fleetPool
	unmetAccounts int // accounts with unmet work there
	idle          int // slots that it reported as free, less those recalled
	recall        int // to be recalled with the next view
	recalled      int // recalled and not returned
	recalledAt    time.Duration
	held          int // slots of the pool that the router holds
	shortSent     bool
	accounts      map[string]float64 // accounts that wait there and the virtual time last sent
}

// waitingKey names the work of one account in one pool.
type waitingKey struct{ pool, account string }

// waitingAt is the work of one account that waits at one router.
type waitingAt struct {
	session  *session
	router   *routerPool
	account  *account
	reported int // requests that wait there by its last report
	running  int // requests that run there by its last report
	onWay    int // grants not yet acknowledged
	counted  int // unmet requests that are in fleetPool.waiting
	index    int // in account.places, -1 when not in it
}

// unmet is the number of requests that no grant is on its way to.
func (w *waitingAt) unmet() int { return max(w.reported-w.onWay, 0) }

func newFleetPool(name string) *fleetPool {
	return &fleetPool{
		name: name, accounts: map[string]*account{},
		unmet: pq.New(furtherBehind, func(a *account) *int { return &a.index }),
	}
}

// pool returns the session's part of a pool.
func (s *session) pool(p *fleetPool) *routerPool {
	r := s.pools[p.name]
	if r == nil {
		r = &routerPool{session: s, pool: p, accounts: map[string]float64{}}
		s.pools[p.name] = r
		p.routers = append(p.routers, r)
	}
	return r
}

// addHeld changes the number of slots of the pool that the router holds.
func (r *routerPool) addHeld(n int) {
	before := r.held
	r.held += n
	switch {
	case before <= 0 && r.held > 0:
		r.pool.slotless -= r.unmetAccounts
	case before > 0 && r.held <= 0:
		r.pool.slotless += r.unmetAccounts
	}
}

// addUnmet changes the number of accounts with unmet work at the router.
func (r *routerPool) addUnmet(n int) {
	r.unmetAccounts += n
	if r.held <= 0 {
		r.pool.slotless += n
	}
}

// setFree puts a server into the list of those with a free slot, or takes it
// out. It costs O(1).
func (p *fleetPool) setFree(s *server) {
	switch {
	case s.free() > 0 && s.index < 0:
		s.index = len(p.free)
		p.free = append(p.free, s)
	case s.free() == 0:
		p.removeFree(s)
	}
}

// removeFree takes a server out of the list.
func (p *fleetPool) removeFree(s *server) {
	if s.index < 0 {
		return
	}
	last := len(p.free) - 1
	p.free[s.index] = p.free[last]
	p.free[s.index].index = s.index
	p.free[last] = nil
	p.free = p.free[:last]
	s.index = -1
}

// setShares takes the accounts of a configuration.
func (p *fleetPool) setShares(shares map[string]float64) {
	for name, share := range shares {
		if acc := p.accounts[name]; acc != nil {
			acc.share = share
			continue
		}
		p.accounts[name] = &account{name: name, share: share, time: p.lift, index: pq.Absent}
	}
	for name, acc := range p.accounts {
		if _, ok := shares[name]; !ok {
			p.drop(acc)
		}
	}
}

func (p *fleetPool) drop(acc *account) {
	for _, w := range slices.Clone(acc.places) {
		w.reported, w.onWay = 0, 0
		p.update(w)
		delete(w.session.waiting, waitingKey{p.name, acc.name})
	}
	p.unmet.Remove(acc)
	delete(p.accounts, acc.name)
}

// setWaiting takes how many requests of an account wait and run at a router.
func (p *fleetPool) setWaiting(s *session, acc *account, n, running int) {
	if acc == nil {
		return
	}
	k := waitingKey{p.name, acc.name}
	w := s.waiting[k]
	if w == nil {
		if n == 0 && running == 0 {
			return
		}
		w = &waitingAt{session: s, router: s.pool(p), account: acc, index: -1}
		s.waiting[k] = w
	}
	acc.running += running - w.running
	w.reported, w.running = n, running
	p.update(w)
}

// update puts a place and its account where they belong after a change, and
// forgets a place where nothing is left.
func (p *fleetPool) update(w *waitingAt) {
	acc := w.account
	p.waiting += w.unmet() - w.counted
	w.counted = w.unmet()
	switch {
	case w.unmet() > 0 && w.index < 0:
		w.router.addUnmet(1)
		w.index = len(acc.places)
		acc.places = append(acc.places, w)
	case w.unmet() == 0 && w.index >= 0:
		w.router.addUnmet(-1)
		last := len(acc.places) - 1
		acc.places[w.index] = acc.places[last]
		acc.places[w.index].index = w.index
		acc.places = acc.places[:last]
		w.index = -1
	}
	if w.reported == 0 && w.onWay == 0 && w.running == 0 {
		delete(w.session.waiting, waitingKey{p.name, acc.name})
	}
	p.reorder(acc)
}
