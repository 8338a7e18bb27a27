// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the views that the allocator sends to each router, and when
// (the pace is in pacer.go).

// OutgoingView is a view that is due.
type OutgoingView struct {
	Router string
	View   protocol.View
	full   bool
}

// Views returns the views that are due now, in the order of router names. The
// caller reports the size of each with Sent. Grants and recalls go soon and
// alone; the virtual times wait for a full view.
func (a *Allocator) Views(now time.Duration) []OutgoingView {
	var out []OutgoingView
	for _, s := range a.order {
		if !s.linked || now < s.due() {
			continue
		}
		full := s.wantView && now >= s.pacer.DueFull()
		v, worth := a.buildView(s, full)
		s.urgent = false
		s.wantView = s.wantView && !full
		if worth {
			out = append(out, OutgoingView{Router: s.router, View: v, full: full})
		}
	}
	return out
}

// never is the due time of a view that is not wanted.
const never = time.Duration(math.MaxInt64)

// due returns when the session's next view may go.
func (s *session) due() time.Duration {
	next := never
	if s.urgent {
		next = s.pacer.DueUrgent()
	}
	if s.wantView {
		next = min(next, s.pacer.DueFull())
	}
	return next
}

// NextView returns when the next view is due, or false when none is wanted.
func (a *Allocator) NextView() (time.Duration, bool) {
	next := never
	for _, s := range a.order {
		if s.linked {
			next = min(next, s.due())
		}
	}
	return next, next != never
}

// RecordSent counts the size of a view that went out.
func (a *Allocator) RecordSent(now time.Duration, o OutgoingView, bytes int) {
	if s := a.sessions[o.Router]; s != nil {
		s.pacer.RecordSent(now, bytes, o.full)
	}
}

// buildView returns the view for a router and whether it holds anything new.
func (a *Allocator) buildView(s *session, full bool) (protocol.View, bool) {
	s.viewSeq++
	v := protocol.View{Seq: s.viewSeq, ReportSeq: s.reports, Granted: heldList(s.granted)}
	clear(s.granted)
	for i := range s.unacked {
		if s.unacked[i].seq == 0 {
			s.unacked[i].seq = s.viewSeq
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		r := s.pools[name]
		if !full && r.recall == 0 {
			continue
		}
		if pv, worth := r.view(full); worth {
			v.Pools = append(v.Pools, pv)
		}
	}
	return v, len(v.Granted) > 0 || len(v.Pools) > 0
}

// view returns the state of the pool for a router; in a full view with the
// accounts that wait there and whose virtual time moved. The router needs the
// times of these to order its queue, and no others.
//
// Slack, rate and each account's time above the floor are kept to 32-bit
// precision, which halves their bytes on the link; unlike the virtual times
// themselves, they do not lose precision as the fleet grows old.
func (r *routerPool) view(full bool) (protocol.PoolView, bool) {
	p := r.pool
	pv := protocol.PoolView{
		Pool: p.name, Short: p.short, Floor: p.floor, Lift: p.lift, Recall: r.recall,
		Slack: float64(float32(p.slack())), Rate: float64(float32(p.rate)),
	}
	r.recalled += r.recall
	r.recall = 0
	if !full {
		return pv, true
	}
	for _, name := range slices.Sorted(maps.Keys(r.accounts)) {
		acc := p.accounts[name]
		if acc == nil {
			delete(r.accounts, name)
			continue
		}
		if acc.time != r.accounts[name] {
			r.accounts[name] = acc.time
			ahead := float64(float32(acc.time - p.floor))
			pv.Accounts = append(pv.Accounts, protocol.AccountView{Account: name, Ahead: ahead})
		}
	}
	worth := pv.Short || pv.Short != r.shortSent || len(pv.Accounts) > 0 || pv.Recall > 0
	r.shortSent = pv.Short
	return pv, worth
}
