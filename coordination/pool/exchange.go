// SPDX-License-Identifier: Apache-2.0

package pool

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the messages that a pool exchanges with the allocator.

// Urgency is how soon the next report of a pool should be sent.
type Urgency uint8

// Levels of urgency.
const (
	NothingNew Urgency = iota
	Routine            // with the next full report
	Urgent             // at once, because a slot or a request is waiting for it
)

// Urgency returns how soon the next report should be sent, if there is anything to report.
func (p *Pool) Urgency() Urgency {
	switch {
	case p.holder.HasReturned() || p.queue.HasUnreportedWork() || len(p.suspects) > 0:
		return Urgent
	case p.queue.HasChanges() || p.holder.Idle() != p.idle:
		return Routine
	}
	return NothingNew
}

// AppendReport adds the changes in this pool to the report numbered seq. Even an urgent report contains all
// changes: if it contained only the urgent ones, the allocator would count work that has started since as
// waiting and grant slots for it.
func (p *Pool) AppendReport(seq uint64, into *protocol.Report) {
	into.Returned = append(into.Returned, p.holder.TakeReturned()...)
	into.Suspects = append(into.Suspects, p.suspects...)
	p.suspects = nil
	pr := protocol.PoolReport{Pool: p.name, Idle: p.holder.Idle(), Accounts: p.queue.TakeChanges(seq)}
	if len(pr.Accounts) > 0 || pr.Idle != p.idle {
		into.Pools = append(into.Pools, pr)
	}
	p.idle = pr.Idle
}

// ApplyView applies the allocator's view of this pool. reports is the number of the latest report from this
// router that the view includes.
func (p *Pool) ApplyView(now time.Duration, v protocol.PoolView, reports uint64) {
	p.view = slots.FleetView{Short: v.Short, Floor: v.Floor, Slack: v.Slack, Rate: v.Rate, ReceivedAt: now}
	p.queue.SetLift(v.Lift)
	if v.Recall > 0 {
		p.holder.Recall(v.Recall)
	}
	for _, a := range v.Accounts {
		p.queue.SetVirtualTime(a.Account, v.Floor+a.Ahead, reports)
	}
}

// Grant adds granted slots on one of the pool's servers.
func (p *Pool) Grant(now time.Duration, h protocol.ServerSlots) {
	p.holder.Grant(now, h.Server, h.Slots)
}

// ReturnIdleAfterLinger returns the free slots to the allocator if no request is waiting and none was used for
// Settings.ReturnIdleAfterLinger.
func (p *Pool) ReturnIdleAfterLinger(now time.Duration) {
	if p.Waiting() == 0 {
		p.holder.ReturnIdleAfter(now, p.cfg.Linger)
	}
}

// LeaseLost invalidates the free slots. Running work continues.
func (p *Pool) LeaseLost() { p.holder.Expire() }

// ReturnIdle returns all free slots to the allocator, for a planned stop.
func (p *Pool) ReturnIdle() { p.holder.ReturnIdle() }

// Hello returns the slots held by the pool and its virtual times, for a new session. It discards the view of
// the previous allocator.
func (p *Pool) Hello(leased bool) ([]protocol.ServerSlots, protocol.PoolView) {
	if !leased {
		p.holder.Expire()
	}
	p.view = slots.FleetView{}
	lift := p.queue.Lift()
	return p.holder.Held(), protocol.PoolView{Pool: p.name, Floor: lift, Lift: lift, Accounts: p.queue.VirtualTimes()}
}

// BeginSession begins a session: it numbers reports from 1 again and returns the slots that the allocator no
// longer counts for this router.
func (p *Pool) BeginSession(w protocol.Welcome) {
	p.idle = 0
	if w.LeaseExpired {
		p.holder.ReturnIdle()
	}
	p.queue.ResetReports(w.StateKept, w.Reports)
}

// Disconnected discards the allocator's view, so that slots are used rather than returned while there is no
// allocator to return them to.
func (p *Pool) Disconnected() { p.view = slots.FleetView{} }
