// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what the allocator tells each router and when.

// viewState is what a router was told of one pool.
type viewState struct {
	session  *session
	pool     *pool
	places   int // accounts with unmet work there
	idle     int // slots that it reported as free, less those recalled
	recall   int // to be asked back with the next view
	recalled int // asked back and not answered
	askedAt  time.Duration
	held     int // slots of the pool that the router holds
	told     bool
	accounts map[string]float64 // accounts that wait there and the time last told
}

// follow makes the account part of the router's views, as long as its work
// waits there: the router needs its time to order its queue, and no other.
func (v *viewState) follow(account string) {
	if _, ok := v.accounts[account]; !ok {
		v.accounts[account] = -1
	}
}

// view returns what the router was told of a pool.
func (s *session) view(p *pool) *viewState {
	v := s.views[p.name]
	if v == nil {
		v = &viewState{session: s, pool: p, accounts: map[string]float64{}}
		s.views[p.name] = v
		p.views = append(p.views, v)
	}
	return v
}

// hold changes the number of slots of the pool that the router holds.
func (v *viewState) hold(n int) {
	before := v.held
	v.held += n
	switch {
	case before <= 0 && v.held > 0:
		v.pool.slotless -= v.places
	case before > 0 && v.held <= 0:
		v.pool.slotless += v.places
	}
}

// placed changes the number of accounts with unmet work at the router.
func (v *viewState) placed(n int) {
	v.places += n
	if v.held <= 0 {
		v.pool.slotless += n
	}
}

// Outgoing is a view that is due.
type Outgoing struct {
	Router string
	View   protocol.View
	full   bool
}

// Views returns the views that are due now, in the order of router names. The
// caller reports the size of each with Sent. Grants and recalls go soon and
// alone; the virtual times wait for a full view.
func (a *Allocator) Views(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, s := range a.order {
		if !s.linked || now < s.due() {
			continue
		}
		full := s.wantView && now >= s.pacer.DueFull()
		v, worth := a.buildView(s, full)
		s.urgent = false
		s.wantView = s.wantView && !full
		if worth {
			out = append(out, Outgoing{Router: s.router, View: v, full: full})
		}
	}
	return out
}

// due returns when the session's next view may go.
func (s *session) due() time.Duration {
	next := time.Duration(math.MaxInt64)
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
	var next time.Duration
	found := false
	for _, s := range a.order {
		if !s.linked || !(s.urgent || s.wantView) {
			continue
		}
		if due := s.due(); !found || due < next {
			next, found = due, true
		}
	}
	return next, found
}

// Sent tells the size of a view that went out.
func (a *Allocator) Sent(now time.Duration, o Outgoing, bytes int) {
	if s := a.sessions[o.Router]; s != nil {
		s.pacer.Sent(now, bytes, o.full)
	}
}

// buildView returns the view for a router and whether it says anything new.
func (a *Allocator) buildView(s *session, full bool) (protocol.View, bool) {
	s.viewSeq++
	v := protocol.View{Seq: s.viewSeq, ReportSeq: s.reports, Granted: heldList(s.granted)}
	clear(s.granted)
	for i := range s.unacked {
		if s.unacked[i].seq == 0 {
			s.unacked[i].seq = s.viewSeq
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.views)) {
		p, vs := a.pools[name], s.views[name]
		if p == nil || (!full && vs.recall == 0) {
			continue
		}
		if pv, worth := p.viewFor(vs, full); worth {
			v.Pools = append(v.Pools, pv)
		}
	}
	return v, len(v.Granted) > 0 || len(v.Pools) > 0
}

// viewFor returns how the pool stands; in a full view with the accounts that
// the router follows and whose time moved.
func (p *pool) viewFor(v *viewState, full bool) (protocol.PoolView, bool) {
	pv := protocol.PoolView{Pool: p.name, Short: p.short, Floor: p.floor, Lift: p.lift, Slack: float64(float32(p.slack())), Recall: v.recall, Rate: float64(float32(p.rate))}
	v.recalled += v.recall
	v.recall = 0
	if !full {
		return pv, true
	}
	for _, name := range slices.Sorted(maps.Keys(v.accounts)) {
		acc := p.accounts[name]
		if acc == nil {
			delete(v.accounts, name)
			continue
		}
		if acc.time != v.accounts[name] {
			v.accounts[name] = acc.time
			pv.Accounts = append(pv.Accounts, aheadOf(p.floor, acc))
		}
	}
	worth := pv.Short || pv.Short != v.told || len(pv.Accounts) > 0 || pv.Recall > 0
	v.told = pv.Short
	return pv, worth
}

// aheadOf returns the account's time above the floor. The difference is kept
// to 32-bit precision, which halves its bytes on the link and, unlike the
// time itself, does not lose precision as the fleet grows old.
func aheadOf(floor float64, acc *account) protocol.AccountView {
	return protocol.AccountView{Account: acc.name, Ahead: float64(float32(acc.time - floor))}
}

// Standing is one account in one pool, for status and metrics.
type Standing struct {
	Pool    string
	Account string
	Share   float64
	Time    float64 // normalised service
	Waiting int
}

// Standings returns every account of every pool in order.
func (a *Allocator) Standings() []Standing {
	var out []Standing
	for _, pn := range slices.Sorted(maps.Keys(a.pools)) {
		p := a.pools[pn]
		for _, an := range slices.Sorted(maps.Keys(p.accounts)) {
			acc := p.accounts[an]
			st := Standing{Pool: pn, Account: an, Share: acc.share, Time: acc.time}
			for _, w := range acc.places {
				st.Waiting += w.reported
			}
			out = append(out, st)
		}
	}
	return out
}

// Occupancy is the slots of one server, for status and metrics.
type Occupancy struct {
	Server  string
	Pool    string
	Slots   int
	Granted int
}

// Occupancies returns every server in order.
func (a *Allocator) Occupancies() []Occupancy {
	var out []Occupancy
	for _, name := range slices.Sorted(maps.Keys(a.servers)) {
		s := a.servers[name]
		out = append(out, Occupancy{Server: name, Pool: s.Pool, Slots: s.Slots, Granted: s.granted})
	}
	return out
}

// RouterState is one session, for status.
type RouterState struct {
	Router  string
	Linked  bool
	Renewed time.Duration
	Held    int
}

// Routers returns every session in order.
func (a *Allocator) Routers() []RouterState {
	var out []RouterState
	for _, s := range a.order {
		held := 0
		for _, n := range s.held {
			held += n
		}
		out = append(out, RouterState{Router: s.router, Linked: s.linked, Renewed: s.renewed, Held: held})
	}
	return out
}

// Processes returns the processes whose lease has not run out.
func (a *Allocator) Processes() []Process {
	out := make([]Process, 0, len(a.order))
	for _, s := range a.order {
		out = append(out, Process{Router: s.name, Boot: s.boot})
	}
	return out
}
