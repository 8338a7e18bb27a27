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

// This file defines the routers' sessions: how long a router may use the slots it holds (the
// lease), what happens to them afterwards, and how a new allocator takes over
// (docs/design/lease.md).

// Lease holds the durations of a router's lease.
type Lease struct {
	Length time.Duration // how long a router may act after sending a renewal
	Margin time.Duration // additional time before the allocator grants its slots to others
}

// DefaultLease is a lease of 3 s. With the margin it bounds how long a change takes to be in
// force at boxes that are cut off (docs/CAPACITY.md). The margin allows 0.3 s, a tenth of the
// lease, for clocks that run at different speeds, and 0.1 s for process scheduling.
var DefaultLease = Lease{Length: 3 * time.Second, Margin: 400 * time.Millisecond}

// total returns how long the allocator counts slots as held after the last renewal.
func (l Lease) total() time.Duration { return l.Length + l.Margin }

// session is one router process, from its first message until its lease and margin have
// passed.
type session struct {
	key             string // key in Allocator.sessions: routerName, or a unique one if orphaned
	routerName      string
	boot            uint64
	renewedAt       time.Duration // time of the last lease renewal
	linked          bool
	held            map[string]int                // slots by server
	suspectUntil    map[string]time.Duration      // time until which no slots of the server are granted
	pools           map[string]*routerPool        // by pool name
	unsentGrants    map[string]int                // granted slots by server, not sent yet
	unackedGrants   []grant                       // grants, sent or not, that no report has acknowledged
	backlogs        map[backlogKey]*routerBacklog // as reported by the router
	viewSeq         uint64
	reportsReceived uint64
	pacer           Pacer
	urgentPending   bool // a grant or recall is waiting to be sent
	viewPending     bool // a full view is due
}

// TakingOver reports whether some router may still hold slots that it has not reported.
// Nothing is granted while it is true.
func (a *Allocator) TakingOver(now time.Duration) bool {
	return len(a.unreported) > 0 && now < a.takeoverEnds
}

// OpenSession starts a router's new session. A session of the same process replaces the
// earlier one. After a restart the slots of the earlier process stay held until its lease has
// expired, because a new process does not prove that the old one has stopped.
//
// It returns the number of reports of the earlier session that the counters include, and
// whether the allocator had that session.
func (a *Allocator) OpenSession(now time.Duration, h protocol.Hello) (reports uint64, known bool) {
	if old := a.sessions[h.Router]; old != nil {
		if old.boot == h.BootID {
			reports, known = old.reportsReceived, true
			a.releaseAll(old)
		} else {
			a.orphan(old)
		}
	}
	s := &session{
		key: h.Router, routerName: h.Router, boot: h.BootID, renewedAt: now, linked: true,
		held: map[string]int{}, suspectUntil: map[string]time.Duration{},
		pools: map[string]*routerPool{}, unsentGrants: map[string]int{},
		backlogs: map[backlogKey]*routerBacklog{}, pacer: Pacer{Pace: a.pace},
	}
	for _, held := range h.Held {
		a.assign(s, held.Server, held.Slots)
	}
	a.sessions[h.Router] = s
	a.sortSessions()
	delete(a.unreported, Process{Router: h.Router, Boot: h.BootID})
	if !known {
		a.restoreVirtualTimes(h.Pools)
	}
	return reports, known
}

// restoreVirtualTimes raises the accounts' virtual times to those that a router received from
// an earlier allocator, so that a takeover cancels no debt. If several routers report different
// times of an account, the highest is the newest.
func (a *Allocator) restoreVirtualTimes(views []protocol.PoolView) {
	for _, pv := range views {
		p := a.pools[pv.Pool]
		if p == nil || !isFinite(pv.Floor) {
			continue
		}
		p.lift = max(p.lift, pv.Lift)
		for _, av := range pv.Accounts {
			acc := p.accounts[av.Account]
			if acc != nil && isFinite(av.Ahead) {
				acc.virtualTime = max(acc.virtualTime, pv.Floor+av.Ahead)
				p.reorder(acc)
			}
		}
	}
}

// orphan moves the session of a process that was replaced to a key of its own, where its slots
// stay held until its lease has expired.
func (a *Allocator) orphan(s *session) {
	a.clearBacklogs(s)
	s.linked = false
	delete(a.sessions, s.key)
	s.key = fmt.Sprintf("%s restarted %016x", s.key, s.boot)
	a.sessions[s.key] = s
}

// HasSession reports whether the allocator has a session of the process. It does until the
// process's lease has expired.
func (a *Allocator) HasSession(router string, boot uint64) bool {
	s := a.sessions[router]
	return s != nil && s.boot == boot
}

// Renew extends a router's lease.
func (a *Allocator) Renew(now time.Duration, router string) {
	if s := a.sessions[router]; s != nil && s.linked {
		s.renewedAt = now
	}
}

// Disconnect marks a router's link as broken. The router's slots stay held until its lease
// has expired; slots that were granted and not sent are free again.
func (a *Allocator) Disconnect(router string, boot uint64) {
	s := a.sessions[router]
	if s == nil || s.boot != boot {
		return
	}
	s.linked = false
	for _, name := range slices.Sorted(maps.Keys(s.unsentGrants)) {
		a.release(s, name, s.unsentGrants[name])
	}
	clear(s.unsentGrants)
	a.clearBacklogs(s)
}

// EndSession removes a router that holds nothing any more or whose lease has expired.
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
	for _, s := range a.sortedSessions {
		if now >= s.renewedAt+a.lease.total() {
			ended = append(ended, s.key)
			a.EndSession(s.key)
		}
	}
	if now >= a.takeoverEnds {
		clear(a.unreported)
	}
	return ended
}

// sortSessions rebuilds sortedSessions as a new slice, because ExpireSessions ends sessions
// while it iterates over the old one.
func (a *Allocator) sortSessions() {
	a.sortedSessions = slices.SortedFunc(maps.Values(a.sessions), func(x, y *session) int {
		return cmp.Compare(x.key, y.key)
	})
}
