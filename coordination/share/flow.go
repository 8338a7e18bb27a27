// SPDX-License-Identifier: Apache-2.0

package share

import (
	"container/list"

	"github.com/badgerspoke/badgerspoke/internal/pq"
)

// This file defines flows, the first-in first-out lists of one user's requests
// inside an account.

// maxFlows bounds the idle flows that one account is remembered for: users are named by callers, who
// may name any number.
const maxFlows = 1024

// flow is the waiting requests of one user or class of an account.
type flow struct {
	name    string
	time    float64   // cost charged to the flow
	tickets list.List // of *Ticket, oldest first
	index   int       // in account.busy
}

// oldest returns the ticket that goes next. The flow is not empty.
func (f *flow) oldest() *Ticket { return f.tickets.Front().Value.(*Ticket) }

// earlierFlow is a total order, so that a run can be repeated.
func earlierFlow(a, b *flow) bool {
	return a.time < b.time || (a.time == b.time && a.name < b.name)
}

// link appends a ticket to its flow. A flow that was idle is raised to the
// lowest of the others, so that idle time earns it no credit.
func (q *Queue) link(t *Ticket) {
	a := t.account
	f := a.flows[t.Flow]
	if f == nil {
		f = &flow{name: t.Flow, index: pq.Absent}
		a.flows[t.Flow] = f
	}
	t.flow = f
	t.place = f.tickets.PushBack(t)
	if !a.busy.Has(f) {
		if a.busy.Len() > 0 {
			f.time = max(f.time, a.busy.Min().time)
		}
		a.busy.Set(f)
	}
	a.waiting++
	a.bytes += t.Bytes
	q.waiting++
	q.bytes += t.Bytes
}

// unlink removes a ticket from its flow. An empty flow is forgotten once no
// other waits, or there are too many: until then its time is the memory of how
// far it is ahead.
func (q *Queue) unlink(t *Ticket) {
	a, f := t.account, t.flow
	f.tickets.Remove(t.place)
	t.place = nil
	a.waiting--
	a.bytes -= t.Bytes
	q.waiting--
	q.bytes -= t.Bytes
	q.deadlines.Remove(t)
	if f.tickets.Len() > 0 {
		a.busy.Set(f)
		return
	}
	a.busy.Remove(f)
	if a.busy.Len() == 0 {
		clear(a.flows) // no flow is behind: the differences between flows end
	} else if len(a.flows) > maxFlows {
		delete(a.flows, f.name)
	}
}
