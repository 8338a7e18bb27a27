// SPDX-License-Identifier: Apache-2.0

package pool

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what a pool exchanges with the allocator.

// News tells how much the allocator should hear from this pool.
type News uint8

// The degrees of news.
const (
	NoNews News = iota
	SomeNews
	UrgentNews // a slot or a request waits for it
)

// News returns whether there is something to report.
func (p *Pool) News() News {
	switch {
	case p.holder.HasReturned() || p.queue.Unreported() || len(p.suspects) > 0:
		return UrgentNews
	case p.queue.Changed() || p.holder.Idle() != p.idle:
		return SomeNews
	}
	return NoNews
}

// TakeReport adds what is new in this pool to a report with number seq. Urgent
// or not, a report holds everything: with only the urgent part the allocator
// took work for waiting that had started since, and granted slots for it.
func (p *Pool) TakeReport(seq uint64, into *protocol.Report) {
	into.Returned = append(into.Returned, p.holder.TakeReturned()...)
	into.Suspects = append(into.Suspects, p.suspects...)
	p.suspects = nil
	pr := protocol.PoolReport{Pool: p.name, Idle: p.holder.Idle()}
	for _, c := range p.queue.TakeChanges(seq) {
		pr.Accounts = append(pr.Accounts, protocol.AccountReport{
			Account: c.Account, Waiting: c.Waiting, Service: c.Service, Started: c.Started, Running: c.Running,
		})
	}
	if len(pr.Accounts) > 0 || pr.Idle != p.idle {
		into.Pools = append(into.Pools, pr)
	}
	p.idle = pr.Idle
}

// TakeView takes what the allocator says of this pool, which includes this
// router's reports up to number reports.
func (p *Pool) TakeView(now time.Duration, v protocol.PoolView, reports uint64) {
	p.fleet = slots.Fleet{Short: v.Short, Floor: v.Floor, Slack: v.Slack, Rate: v.Rate, At: now}
	p.queue.SetLift(v.Lift)
	if v.Recall > 0 {
		p.holder.Recall(v.Recall)
	}
	for _, a := range v.Accounts {
		p.queue.SetTime(a.Account, v.Floor+a.Ahead, reports)
	}
}

// Grant takes slots of one of the pool's servers.
func (p *Pool) Grant(now time.Duration, h protocol.Held) { p.holder.Grant(now, h.Server, h.Slots) }

// Linger gives back slots that were not used for a while, when nothing waits.
func (p *Pool) Linger(now time.Duration) {
	if p.Waiting() == 0 {
		p.holder.ReturnLingering(now, p.cfg.Linger)
	}
}

// LeaseLost voids the free slots. Work that runs goes on.
func (p *Pool) LeaseLost() { p.holder.Expire() }

// ReturnIdle gives back every free slot, for a planned stop.
func (p *Pool) ReturnIdle() { p.holder.ReturnIdle() }

// Hello returns what the pool holds and knows, for a new session. What the
// last allocator said of the fleet is over.
func (p *Pool) Hello(leased bool) ([]protocol.Held, protocol.PoolView) {
	if !leased {
		p.holder.Expire()
	}
	p.fleet = slots.Fleet{}
	v := protocol.PoolView{Pool: p.name, Floor: p.queue.Lift(), Lift: p.queue.Lift()}
	for _, s := range p.queue.Times() {
		if s.Time != 0 {
			v.Accounts = append(v.Accounts, protocol.AccountView{Account: s.Account, Ahead: s.Time - v.Floor})
		}
	}
	return p.holder.Held(), v
}

// Welcomed starts the numbering of reports again.
func (p *Pool) Welcomed(w protocol.Welcome) {
	p.idle = 0
	if w.Void {
		p.holder.ReturnIdle()
	}
	p.queue.ResetReports(w.Known, w.Reports)
}

// Unlinked forgets what the allocator said, so that slots are used rather
// than given back to nobody.
func (p *Pool) Unlinked() { p.fleet = slots.Fleet{} }
