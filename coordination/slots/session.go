// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the sessions of routers: how long a router may use what it
// holds (the lease), what becomes of it afterwards, and how a new allocator
// takes over (docs/design/lease.md).

// Lease sets the times of the one lease.
type Lease struct {
	Length time.Duration // how long a router may act after sending a renewal
	Margin time.Duration // added before the allocator grants its slots to others
}

// DefaultLease is 3 s: chosen, not measured; with the margin it bounds how long
// a change takes to be in force at boxes that are cut off (docs/CAPACITY.md).
// The margin is a tenth of it for clocks of different speed, 0.3 s, and 0.1 s
// for the scheduling of processes.
var DefaultLease = Lease{Length: 3 * time.Second, Margin: 400 * time.Millisecond}

// total is how long the allocator counts slots as taken after the last renewal.
func (l Lease) total() time.Duration { return l.Length + l.Margin }

// session is one router process, from its first message until its lease and
// margin have passed.
type session struct {
	router   string // key in Allocator.sessions
	name     string // the router's own name; differs from router for an orphan
	boot     uint64
	renewed  time.Duration // when the lease was last renewed
	linked   bool
	held     map[string]int            // slots by server
	suspect  map[string]time.Duration  // server → not before
	pools    map[string]*routerPool    // by name
	granted  map[string]int            // slots by server, not sent yet
	unacked  []grant                   // sent or not, not yet in a report
	waiting  map[waitingKey]*waitingAt // as the router reported it
	viewSeq  uint64
	reports  uint64
	pacer    Pacer
	urgent   bool // a grant or a recall waits
	wantView bool // something moved
}

// TakingOver reports whether some router may still hold slots that it has not
// reported. Nothing is granted until then.
func (a *Allocator) TakingOver(now time.Duration) bool {
	return len(a.expected) > 0 && now < a.takeoverEnds
}

// OpenSession takes a router's new session. A session of the same process replaces
// the earlier one. After a restart the slots of the earlier process stay
// taken until its lease has run out, because a new process is no proof that
// the old one has stopped.
//
// It returns the number of reports of the earlier session that are in the
// counters, and whether the allocator had that session.
func (a *Allocator) OpenSession(now time.Duration, h protocol.Hello) (reports uint64, known bool) {
	if old := a.sessions[h.Router]; old != nil {
		if old.boot == h.Boot {
			reports, known = old.reports, true
			a.releaseAll(old)
		} else {
			a.orphan(old)
		}
	}
	s := &session{
		router: h.Router, name: h.Router, boot: h.Boot, renewed: now, linked: true,
		held: map[string]int{}, suspect: map[string]time.Duration{},
		pools: map[string]*routerPool{}, granted: map[string]int{},
		waiting: map[waitingKey]*waitingAt{}, pacer: Pacer{Pace: a.pace},
	}
	for _, held := range h.Held {
		a.assign(s, held.Server, held.Slots)
	}
	a.sessions[h.Router] = s
	a.sortSessions()
	delete(a.expected, Process{Router: h.Router, Boot: h.Boot})
	if !known {
		a.rebuild(h.Pools)
	}
	return reports, known
}

// rebuild raises the counters to what a router had of the fleet before this
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

// orphan keeps what a vanished process held under a separate name until its
// lease has run out.
func (a *Allocator) orphan(s *session) {
	a.forgetWaiting(s)
	s.linked = false
	delete(a.sessions, s.router)
	s.router = fmt.Sprintf("%s restarted %016x", s.router, s.boot)
	a.sessions[s.router] = s
}

// HasSession reports whether the process's lease has not run out here.
func (a *Allocator) HasSession(router string, boot uint64) bool {
	s := a.sessions[router]
	return s != nil && s.boot == boot
}

// Renew extends a router's lease.
func (a *Allocator) Renew(now time.Duration, router string) {
	if s := a.sessions[router]; s != nil && s.linked {
		s.renewed = now
	}
}

// Disconnect marks a router's link as broken. What it holds stays taken until
// its lease has run out; slots that were granted and not sent come back.
func (a *Allocator) Disconnect(router string, boot uint64) {
	s := a.sessions[router]
	if s == nil || s.boot != boot {
		return
	}
	s.linked = false
	for _, name := range slices.Sorted(maps.Keys(s.granted)) {
		a.release(s, name, s.granted[name])
	}
	clear(s.granted)
	a.forgetWaiting(s)
}

// EndSession forgets a router that holds nothing any more, or whose lease ran out.
func (a *Allocator) EndSession(router string) {
	s := a.sessions[router]
	if s == nil {
		return
	}
	a.releaseAll(s)
	delete(a.sessions, router)
	a.sortSessions()
}

// ExpireSessions ends the sessions whose lease and margin have passed and returns their
// routers' names.
func (a *Allocator) ExpireSessions(now time.Duration) []string {
	var ended []string
	for _, s := range a.order {
		if now >= s.renewed+a.lease.total() {
			ended = append(ended, s.router)
			a.EndSession(s.router)
		}
	}
	if now >= a.takeoverEnds {
		clear(a.expected)
	}
	return ended
}

// sortSessions replaces order by a new slice: Tick ends sessions while it
// iterates over the old one.
func (a *Allocator) sortSessions() {
	a.order = slices.SortedFunc(maps.Values(a.sessions), func(x, y *session) int {
		return cmp.Compare(x.router, y.router)
	})
}
