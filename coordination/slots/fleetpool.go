// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/pq"
)

// This file defines fleetPool, the allocator's state of one pool over the whole fleet: the
// servers with free slots, the accounts, and the routers where their requests wait.
// (coordination/pool holds the state of a pool at one router.) The virtual times of the
// accounts are in account.go.

type fleetPool struct {
	name         string
	freeServers  []*server // unordered
	serverCursor int       // start of the next search by freestServer
	accounts     map[string]*account
	backlogged   *pq.Queue[*account] // accounts with requests that no grant in flight covers
	floor        float64             // lowest virtual time among backlogged accounts
	lift         float64             // virtual time to which accounts that become backlogged are raised; never decreases
	short        bool                // more requests wait than slots are free
	// recallsOutstanding is the number of slots that were recalled and not returned yet.
	recallsOutstanding int
	routers            []*routerPool // one per session that uses the pool
	unmetRequests      int           // requests that no grant in flight covers
	slotlessAccounts   int           // accounts with unmet requests at routers without slots, summed over these routers
	floorRate          float64       // rise of the floor, virtual time per second
	sampledFloor       float64       // floor at the last update of floorRate
	sampledAt          time.Duration
}

// server is a backend server and the number of its slots that routers hold.
type server struct {
	Server
	granted   int
	pool      *fleetPool
	freeIndex int // index in fleetPool.freeServers, -1 if absent
}

// freeSlots returns the number of slots that may be granted.
func (s *server) freeSlots() int {
	if !s.Serving {
		return 0
	}
	return max(s.Slots+s.Overcommit-s.granted, 0)
}

// routerPool is one pool at one router.
type routerPool struct {
	session        *session
	pool           *fleetPool
	unmetAccounts  int // accounts with unmet requests at the router
	reportedIdle   int // free slots that the router reported, less those recalled
	recallsPending int // slots to recall with the next view
	recallsSent    int // slots recalled and not returned
	lastRecall     time.Duration
	held           int // slots of the pool that the router holds
	lastSentShort  bool
	sentTimes      map[string]float64 // virtual time last sent, by account waiting at the router
}

// backlogKey identifies an account in a pool.
type backlogKey struct{ pool, account string }

// routerBacklog counts the requests of one account in one pool at one router.
type routerBacklog struct {
	session        *session
	router         *routerPool
	account        *account
	waiting        int // waiting requests in the router's last report
	running        int // running requests in the router's last report
	grantsInFlight int // grants not yet acknowledged
	countedUnmet   int // unmet requests included in fleetPool.unmetRequests
	backlogIndex   int // index in account.backlogs, -1 if absent
}

// unmet returns the number of requests that no grant in flight covers.
func (b *routerBacklog) unmet() int { return max(b.waiting-b.grantsInFlight, 0) }

func newFleetPool(name string) *fleetPool {
	return &fleetPool{
		name: name, accounts: map[string]*account{},
		backlogged: pq.New(furtherBehind, func(a *account) *int { return &a.heapIndex }),
	}
}

// pool returns the session's state of a pool and creates it if it does not exist.
func (s *session) pool(p *fleetPool) *routerPool {
	r := s.pools[p.name]
	if r == nil {
		r = &routerPool{session: s, pool: p, sentTimes: map[string]float64{}}
		s.pools[p.name] = r
		p.routers = append(p.routers, r)
	}
	return r
}

// addHeld adds n to the number of the pool's slots that the router holds.
func (r *routerPool) addHeld(n int) {
	before := r.held
	r.held += n
	switch {
	case before <= 0 && r.held > 0:
		r.pool.slotlessAccounts -= r.unmetAccounts
	case before > 0 && r.held <= 0:
		r.pool.slotlessAccounts += r.unmetAccounts
	}
}

// addUnmet adds n to the number of accounts with unmet requests at the router.
func (r *routerPool) addUnmet(n int) {
	r.unmetAccounts += n
	if r.held <= 0 {
		r.pool.slotlessAccounts += n
	}
}

// updateFree adds a server to the list of those with a free slot or removes it. It costs
// O(1).
func (p *fleetPool) updateFree(s *server) {
	switch {
	case s.freeSlots() > 0 && s.freeIndex < 0:
		s.freeIndex = len(p.freeServers)
		p.freeServers = append(p.freeServers, s)
	case s.freeSlots() == 0:
		p.removeFree(s)
	}
}

// removeFree removes a server from the list of those with a free slot.
func (p *fleetPool) removeFree(s *server) {
	if s.freeIndex < 0 {
		return
	}
	last := len(p.freeServers) - 1
	p.freeServers[s.freeIndex] = p.freeServers[last]
	p.freeServers[s.freeIndex].freeIndex = s.freeIndex
	p.freeServers[last] = nil
	p.freeServers = p.freeServers[:last]
	s.freeIndex = -1
}

// setShares applies the accounts of a configuration.
func (p *fleetPool) setShares(shares map[string]float64) {
	for name, share := range shares {
		if acc := p.accounts[name]; acc != nil {
			acc.share = share
			continue
		}
		p.accounts[name] = &account{name: name, share: share, virtualTime: p.lift, heapIndex: pq.Absent}
	}
	for name, acc := range p.accounts {
		if _, ok := shares[name]; !ok {
			p.removeAccount(acc)
		}
	}
}

func (p *fleetPool) removeAccount(acc *account) {
	for _, b := range slices.Clone(acc.backlogs) {
		b.waiting, b.grantsInFlight = 0, 0
		p.updateBacklog(b)
		delete(b.session.backlogs, backlogKey{p.name, acc.name})
	}
	p.backlogged.Remove(acc)
	delete(p.accounts, acc.name)
}

// setBacklog records how many requests of an account wait and run at a router.
func (p *fleetPool) setBacklog(s *session, acc *account, n, running int) {
	if acc == nil {
		return
	}
	k := backlogKey{p.name, acc.name}
	b := s.backlogs[k]
	if b == nil {
		if n == 0 && running == 0 {
			return
		}
		b = &routerBacklog{session: s, router: s.pool(p), account: acc, backlogIndex: -1}
		s.backlogs[k] = b
	}
	acc.running += running - b.running
	b.waiting, b.running = n, running
	p.updateBacklog(b)
}

// updateBacklog re-indexes a backlog and its account after a change, and removes the backlog
// once it is empty.
func (p *fleetPool) updateBacklog(b *routerBacklog) {
	acc := b.account
	p.unmetRequests += b.unmet() - b.countedUnmet
	b.countedUnmet = b.unmet()
	switch {
	case b.unmet() > 0 && b.backlogIndex < 0:
		b.router.addUnmet(1)
		b.backlogIndex = len(acc.backlogs)
		acc.backlogs = append(acc.backlogs, b)
	case b.unmet() == 0 && b.backlogIndex >= 0:
		b.router.addUnmet(-1)
		last := len(acc.backlogs) - 1
		acc.backlogs[b.backlogIndex] = acc.backlogs[last]
		acc.backlogs[b.backlogIndex].backlogIndex = b.backlogIndex
		acc.backlogs = acc.backlogs[:last]
		b.backlogIndex = -1
	}
	if b.waiting == 0 && b.grantsInFlight == 0 && b.running == 0 {
		delete(b.session.backlogs, backlogKey{p.name, acc.name})
	}
	p.reorder(acc)
}
