// SPDX-License-Identifier: Apache-2.0

package pool

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what a pool exchanges with the allocator.

// Urgency is how soon the next report of a pool should go.
type Urgency uint8

// The urgencies.
const (
	NothingNew Urgency = iota
	Routine            // with the next full report
	Urgent             // a slot or a request waits for it
)

// Urgency returns whether there is something to report.
func (p *Pool) Urgency() Urgency {
	switch {
	case p.holder.HasReturned() || p.queue.HasUnreportedWork() || len(p.suspects) > 0:
		return Urgent
	case p.queue.HasChanges() || p.holder.Idle() != p.idle:
		return Routine
	}
	return NothingNew
}

// AppendReport adds what is new in this pool to a report with number seq. Urgent
// or not, a report holds everything: with only the urgent part the allocator
// took work for waiting that had started since, and granted slots for it.
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

// ApplyView takes the allocator's view of this pool, which includes this
// router's reports up to number reports.
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

// Grant takes slots of one of the pool's servers.
func (p *Pool) Grant(now time.Duration, h protocol.Held) { p.holder.Grant(now, h.Server, h.Slots) }

// Linger gives back the free slots if nothing waits and none was used for
// Settings.Linger.
func (p *Pool) Linger(now time.Duration) {
	if p.Waiting() == 0 {
		p.holder.ReturnIdleAfter(now, p.cfg.Linger)
	}
}

// LeaseLost voids the free slots. Work that runs goes on.
func (p *Pool) LeaseLost() { p.holder.Expire() }

// ReturnIdle gives back every free slot, for a planned stop.
func (p *Pool) ReturnIdle() { p.holder.ReturnIdle() }

// Hello returns the slots that the pool holds and the virtual times that it
// has, for a new session. The last allocator's view is not acted on any more.
func (p *Pool) Hello(leased bool) ([]protocol.Held, protocol.PoolView) {
	if !leased {
		p.holder.Expire()
	}
	p.view = slots.FleetView{}
	lift := p.queue.Lift()
	return p.holder.Held(), protocol.PoolView{Pool: p.name, Floor: lift, Lift: lift, Accounts: p.queue.VirtualTimes()}
}

// BeginSession begins a session: reports are numbered from 1 again, and slots that
// the allocator does not count for this router any more are given back.
func (p *Pool) BeginSession(w protocol.Welcome) {
	p.idle = 0
	if w.Void {
		p.holder.ReturnIdle()
	}
	p.queue.ResetReports(w.Known, w.Reports)
}

// Disconnected forgets the allocator's view, so that slots are used rather than
// given back to nobody.
func (p *Pool) Disconnected() { p.view = slots.FleetView{} }
