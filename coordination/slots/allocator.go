// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Allocator and how it learns: sessions, reports,
// configuration and the time. How it grants is in grant.go, what it tells the
// routers in view.go.

// Lease sets the times of the one lease.
type Lease struct {
	Length time.Duration // how long a router may act after sending a renewal
	Margin time.Duration // added before the allocator reissues
}

// DefaultLease is 3 s, with a tenth for clocks of different speed and some
// for the scheduling of processes.
var DefaultLease = Lease{Length: 3 * time.Second, Margin: 400 * time.Millisecond}

// TurnGap is the shortest time between two allocations: what arrives meanwhile
// is taken together, so that the allocator's work does not grow with the
// square of the fleet.
const TurnGap = time.Millisecond

// Server is what the allocator needs to know of a backend server.
type Server struct {
	Name    string
	Pool    string
	Slots   int
	Extra   int // slots granted beyond, which wait in the server's own queue
	Serving bool
}

// Account is what it needs to know of a client account.
type Account struct {
	Name  string
	Share float64
}

// Process is one run of a router's process.
type Process struct {
	Router string
	Boot   uint64
}

// Allocator hands out the slots of every pool to the routers.
type Allocator struct {
	epoch    uint64
	lease    Lease
	pace     Pace
	openFrom time.Duration    // when takeover ends at the latest
	expected map[Process]bool // may hold slots, and have not told
	pools    map[string]*pool
	servers  map[string]*server
	shares   map[string]float64
	sessions map[string]*session
	order    []*session // by router name
}

// session is one router.
type session struct {
	router   string // key in Allocator.sessions
	name     string // the router's own name; differs from router for an orphan
	boot     uint64
	renewed  time.Duration // when the lease was last renewed
	linked   bool
	held     map[string]int            // by server
	suspect  map[string]time.Duration  // server → not before
	views    map[string]*viewState     // by pool
	granted  map[string]int            // by server, not sent yet
	unacked  []grant                   // sent or not, not yet in a report
	waiting  map[waitingKey]*waitingAt // what the router reported
	viewSeq  uint64
	reports  uint64
	pacer    Pacer
	urgent   bool // a grant or a recall waits
	wantView bool // something moved
}

type waitingKey struct{ pool, account string }

// grant is one slot on its way to a router for the work of an account.
type grant struct {
	seq     uint64 // of the view that carries it; 0 until sent
	pool    string
	account string
}

type server struct {
	Server
	granted int
	pool    *pool
	index   int // in pool.free, -1 when not in it
}

// free is the number of slots that may be granted.
func (s *server) free() int {
	if !s.Serving {
		return 0
	}
	return max(s.Slots+s.Extra-s.granted, 0)
}

// NewAllocator returns an allocator under an epoch. expected are the processes
// that may hold slots of an earlier epoch.
func NewAllocator(epoch uint64, now time.Duration, lease Lease, pace Pace, expected []Process) *Allocator {
	a := &Allocator{
		epoch: epoch, lease: lease, pace: pace, openFrom: now + lease.Length + lease.Margin,
		expected: map[Process]bool{}, pools: map[string]*pool{}, servers: map[string]*server{},
		shares: map[string]float64{}, sessions: map[string]*session{},
	}
	for _, p := range expected {
		a.expected[p] = true
	}
	return a
}

// Epoch returns the epoch that the allocator works under.
func (a *Allocator) Epoch() uint64 { return a.epoch }

// TakingOver reports whether some router may still hold slots that it has not
// told of. Nothing is granted until then.
func (a *Allocator) TakingOver(now time.Duration) bool {
	return len(a.expected) > 0 && now < a.openFrom
}

// Configure takes the backend servers and accounts of a configuration.
func (a *Allocator) Configure(servers []Server, accounts []Account) {
	seen := map[string]bool{}
	for _, b := range servers {
		seen[b.Name] = true
		s := a.servers[b.Name]
		if s == nil {
			s = &server{index: -1}
			a.servers[b.Name] = s
		}
		if s.pool != nil {
			s.pool.drain(s)
		}
		s.Server, s.pool = b, a.pool(b.Pool)
		s.pool.setFree(s)
	}
	for name, s := range a.servers {
		if !seen[name] {
			s.pool.drain(s)
			delete(a.servers, name)
		}
	}
	a.configureAccounts(accounts)
}

func (a *Allocator) configureAccounts(accounts []Account) {
	clear(a.shares)
	for _, acc := range accounts {
		a.shares[acc.Name] = acc.Share
	}
	for _, p := range a.pools {
		p.setShares(a.shares)
	}
}

// Open takes a router's new session. A session of the same process replaces
// the earlier one. After a restart the slots of the earlier process stay
// taken until its lease has run out, because a new process is no proof that
// the old one has stopped.
//
// It returns the number of reports of the earlier session that are in the
// counters, and whether that session was known.
func (a *Allocator) Open(now time.Duration, h protocol.Hello) (reports uint64, known bool) {
	if old := a.sessions[h.Router]; old != nil {
		if old.boot == h.Boot {
			reports, known = old.reports, true
			a.free(old)
			a.forgetViews(old)
		} else {
			a.orphan(old)
		}
	}
	s := &session{
		router: h.Router, name: h.Router, boot: h.Boot, renewed: now, linked: true,
		held: map[string]int{}, suspect: map[string]time.Duration{},
		views: map[string]*viewState{}, granted: map[string]int{},
		waiting: map[waitingKey]*waitingAt{},
		pacer:   Pacer{Pace: a.pace},
	}
	for _, held := range h.Held {
		a.take(s, held.Server, held.Slots)
	}
	a.sessions[h.Router] = s
	a.sortSessions()
	delete(a.expected, Process{Router: h.Router, Boot: h.Boot})
	if !known {
		a.rebuild(h.Pools)
	}
	return reports, known
}

// rebuild raises the counters to what a router knew of the fleet before this
// allocator, so that debts survive a takeover. A time that is lower than
// another router's is older.
func (a *Allocator) rebuild(views []protocol.PoolView) {
	for _, pv := range views {
		p := a.pools[pv.Pool]
		if p == nil || !finite(pv.Floor) {
			continue
		}
		p.lift = max(p.lift, pv.Lift)
		for _, av := range pv.Accounts {
			acc := p.accounts[av.Account]
			if acc != nil && finite(av.Ahead) {
				acc.time = max(acc.time, pv.Floor+av.Ahead)
				p.reorder(acc)
			}
		}
	}
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

// orphan keeps what a vanished process held under a name of its own until its
// lease has run out.
func (a *Allocator) orphan(s *session) {
	a.forgetWaiting(s)
	s.linked = false
	delete(a.sessions, s.router)
	s.router = orphanName(s.router, s.boot)
	a.sessions[s.router] = s
}

// Knows reports whether the process's lease has not run out here.
func (a *Allocator) Knows(router string, boot uint64) bool {
	s := a.sessions[router]
	return s != nil && s.boot == boot
}

// Renew extends a router's lease.
func (a *Allocator) Renew(now time.Duration, router string) {
	if s := a.sessions[router]; s != nil && s.linked {
		s.renewed = now
	}
}

// Unlink tells that a router's link broke. What it holds stays taken until
// its lease has run out; slots that were granted and not sent come back.
func (a *Allocator) Unlink(router string, boot uint64) {
	s := a.sessions[router]
	if s == nil || s.boot != boot {
		return
	}
	s.linked = false
	for name, n := range s.granted {
		a.give(s, name, n)
	}
	clear(s.granted)
	a.forgetWaiting(s)
}

// Report takes what happened at a router. A report of an unlinked session is
// dropped: the router will tell all it holds when it opens the next one.
func (a *Allocator) Report(now time.Duration, router string, r protocol.Report) {
	s := a.sessions[router]
	if s == nil || !s.linked {
		return
	}
	s.reports++
	a.acknowledge(s, r.ViewSeq)
	for _, h := range r.Returned {
		n := a.give(s, h.Server, h.Slots)
		if srv := a.servers[h.Server]; srv != nil && n > 0 {
			srv.pool.answered(s.view(srv.pool), n)
		}
	}
	for _, name := range r.Suspects {
		s.suspect[name] = now + suspectFor
	}
	for _, pr := range r.Pools {
		a.reportPool(s, pr)
	}
	if r.Goodbye {
		a.End(router)
	}
}

// suspectFor is how long a router is not given slots of a backend server
// that it could not reach.
const suspectFor = 2 * time.Second

func (a *Allocator) reportPool(s *session, pr protocol.PoolReport) {
	p := a.pools[pr.Pool]
	if p == nil {
		return
	}
	v := s.view(p)
	v.idle = max(pr.Idle, 0)
	for _, ar := range pr.Accounts {
		acc := p.accounts[ar.Account]
		if acc == nil || !sane(ar) {
			continue
		}
		acc.charge(ar)
		p.setWaiting(s, acc, ar.Waiting, ar.Running)
		if ar.Waiting > 0 {
			v.follow(ar.Account)
		} else {
			delete(v.accounts, ar.Account)
		}
	}
}

// sane refuses numbers that no router counts. The account keeps what it had.
func sane(ar protocol.AccountReport) bool {
	return ar.Waiting >= 0 && ar.Started >= 0 && ar.Running >= 0 && finite(ar.Service) && math.Abs(ar.Service) < maxService
}

// maxService bounds the service of one report: more than any router can do
// between two.
const maxService = 1e12

// End forgets a router that holds nothing any more, or whose lease ran out.
func (a *Allocator) End(router string) {
	s := a.sessions[router]
	if s == nil {
		return
	}
	a.free(s)
	a.forgetViews(s)
	delete(a.sessions, router)
	a.sortSessions()
}

// Tick ends the sessions whose lease and margin have passed and returns their
// routers' names.
func (a *Allocator) Tick(now time.Duration) []string {
	var ended []string
	for _, s := range slices.Clone(a.order) {
		if now >= s.renewed+a.lease.Length+a.lease.Margin {
			ended = append(ended, s.router)
			a.End(s.router)
		}
	}
	if now >= a.openFrom {
		clear(a.expected)
	}
	return ended
}

func (a *Allocator) sortSessions() {
	a.order = a.order[:0]
	for _, s := range a.sessions {
		a.order = append(a.order, s)
	}
	slices.SortFunc(a.order, func(x, y *session) int {
		if x.router < y.router {
			return -1
		}
		return 1
	})
}

func (a *Allocator) pool(name string) *pool {
	p := a.pools[name]
	if p == nil {
		p = newPool(name)
		p.setShares(a.shares)
		a.pools[name] = p
	}
	return p
}

func orphanName(router string, boot uint64) string {
	const hex = "0123456789abcdef"
	b := []byte(router + " restarted ")
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, hex[boot>>shift&0xf])
	}
	return string(b)
}
