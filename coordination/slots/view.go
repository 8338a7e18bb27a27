// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file builds the views that the allocator sends to each router and determines when they
// are due (the pace is in pacer.go).

// OutgoingView is a view that is due.
type OutgoingView struct {
	Router string
	View   protocol.View
	full   bool
}

// Views returns the views that are due now, ordered by router name. The caller reports the
// size of each with RecordSent. Grants and recalls are sent early, in views of their own;
// virtual times wait for a full view.
func (a *Allocator) Views(now time.Duration) []OutgoingView {
	var out []OutgoingView
	for _, s := range a.sortedSessions {
		if !s.linked || now < s.dueAt() {
			continue
		}
		full := s.viewPending && now >= s.pacer.DueFull()
		v, hasNews := a.buildView(s, full)
		s.urgentPending = false
		s.viewPending = s.viewPending && !full
		if hasNews {
			out = append(out, OutgoingView{Router: s.key, View: v, full: full})
		}
	}
	return out
}

// noDueTime is the due time when no view is pending.
const noDueTime = time.Duration(math.MaxInt64)

// dueAt returns when the session's next view may be sent.
func (s *session) dueAt() time.Duration {
	next := noDueTime
	if s.urgentPending {
		next = s.pacer.DueUrgent()
	}
	if s.viewPending {
		next = min(next, s.pacer.DueFull())
	}
	return next
}

// NextView returns when the next view is due, or false if none is pending.
func (a *Allocator) NextView() (time.Duration, bool) {
	next := noDueTime
	for _, s := range a.sortedSessions {
		if s.linked {
			next = min(next, s.dueAt())
		}
	}
	return next, next != noDueTime
}

// RecordSent counts the size of a view that was sent.
func (a *Allocator) RecordSent(now time.Duration, o OutgoingView, bytes int) {
	if s := a.sessions[o.Router]; s != nil {
		s.pacer.RecordSent(now, bytes, o.full)
	}
}

// buildView returns the view for a router and whether it contains anything new.
func (a *Allocator) buildView(s *session, full bool) (protocol.View, bool) {
	s.viewSeq++
	v := protocol.View{Seq: s.viewSeq, ReportSeq: s.reportsReceived, Granted: heldList(s.unsentGrants)}
	clear(s.unsentGrants)
	for i := range s.unackedGrants {
		if s.unackedGrants[i].seq == 0 {
			s.unackedGrants[i].seq = s.viewSeq
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		r := s.pools[name]
		if !full && r.recallsPending == 0 {
			continue
		}
		if pv, hasNews := r.view(full); hasNews {
			v.Pools = append(v.Pools, pv)
		}
	}
	return v, len(v.Granted) > 0 || len(v.Pools) > 0
}

// view returns the state of the pool for a router and whether it is worth sending. A full
// view includes the accounts that wait at the router and whose virtual time changed, because
// the router needs just these to order its queue.
//
// Slack, rate and each account's time above the floor are rounded to 32-bit precision, which
// halves their bytes on the link. Absolute virtual times are not rounded, because they grow
// without bound and would lose precision.
func (r *routerPool) view(full bool) (protocol.PoolView, bool) {
	p := r.pool
	pv := protocol.PoolView{
		Pool: p.name, Short: p.short, Floor: p.floor, Lift: p.lift, Recall: r.recallsPending,
		Slack: float64(float32(p.slack())), Rate: float64(float32(p.floorRate)),
	}
	r.recallsSent += r.recallsPending
	r.recallsPending = 0
	if !full {
		return pv, true
	}
	for _, name := range slices.Sorted(maps.Keys(r.sentTimes)) {
		acc := p.accounts[name]
		if acc == nil {
			delete(r.sentTimes, name)
			continue
		}
		if acc.virtualTime != r.sentTimes[name] {
			r.sentTimes[name] = acc.virtualTime
			ahead := float64(float32(acc.virtualTime - p.floor))
			pv.Accounts = append(pv.Accounts, protocol.AccountView{Account: name, Ahead: ahead})
		}
	}
	hasNews := pv.Short || pv.Short != r.lastSentShort || len(pv.Accounts) > 0 || pv.Recall > 0
	r.lastSentShort = pv.Short
	return pv, hasNews
}
