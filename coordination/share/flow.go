// SPDX-License-Identifier: Apache-2.0

package share

import (
	"container/list"

	"github.com/badgerspoke/badgerspoke/internal/pq"
)

// This file defines flows, the first-in, first-out lists of one user's requests within an
// account.

// maxFlows limits the idle flows kept per account. Callers name the users and may name any
// number of them.
const maxFlows = 1024

// flow holds the waiting requests of one user or class of an account.
type flow struct {
	name    string
	cost    float64   // cost charged to the flow; its virtual time
	tickets list.List // elements are *Ticket, oldest first
	index   int       // index in account.busy
}

// oldest returns the flow's first ticket. The flow must not be empty.
func (f *flow) oldest() *Ticket { return f.tickets.Front().Value.(*Ticket) }

// earlierFlow is a total order, which makes runs reproducible.
func earlierFlow(a, b *flow) bool {
	return a.cost < b.cost || (a.cost == b.cost && a.name < b.name)
}

// enqueue appends a ticket to its flow. A flow that was idle is raised to the lowest cost
// among the busy flows, so that idle time earns no credit.
func (q *Queue) enqueue(t *Ticket) {
	a := t.account
	f := a.flows[t.Flow]
	if f == nil {
		f = &flow{name: t.Flow, index: pq.Absent}
		a.flows[t.Flow] = f
	}
	t.flow = f
	t.element = f.tickets.PushBack(t)
	if !a.busy.Has(f) {
		if a.busy.Len() > 0 {
			f.cost = max(f.cost, a.busy.Min().cost)
		}
		a.busy.PushOrFix(f)
	}
	a.waiting++
	a.bytes += t.Bytes
	q.waiting++
	q.bytes += t.Bytes
}

// dequeue removes a ticket from its flow. An empty flow is kept, because its cost records how
// far it is ahead, until no other flow waits or there are too many.
func (q *Queue) dequeue(t *Ticket) {
	a, f := t.account, t.flow
	f.tickets.Remove(t.element)
	t.element = nil
	a.waiting--
	a.bytes -= t.Bytes
	q.waiting--
	q.bytes -= t.Bytes
	q.deadlines.Remove(t)
	if f.tickets.Len() > 0 {
		a.busy.PushOrFix(f)
		return
	}
	a.busy.Remove(f)
	if a.busy.Len() == 0 {
		clear(a.flows) // no flow is waiting, so leads over other flows are dropped
	} else if len(a.flows) > maxFlows {
		delete(a.flows, f.name)
	}
}
