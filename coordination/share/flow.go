// SPDX-License-Identifier: Apache-2.0

package share

import (
	"maps"
	"slices"

	"github.com/badgerspoke/badgerspoke/internal/pq"
)

// This file defines the inside of a queue: flows, which are first-in
// first-out lists of one user's requests, and the orders of accounts, flows
// and deadlines.

// maxFlows bounds the idle flows that one account is remembered for: users are
// named by callers, who may name any number.
const maxFlows = 1024

// flow is the waiting requests of one user or class of an account.
type flow struct {
	name       string
	time       float64 // cost charged to the flow
	head, tail *Ticket
	index      int // in account.busy
}

// link appends a ticket to its flow.
func (q *Queue) link(t *Ticket) {
	a := t.account
	f := a.flows[t.Flow]
	if f == nil {
		f = &flow{name: t.Flow, index: pq.Absent}
		a.flows[t.Flow] = f
	}
	t.flow = f
	t.prev = f.tail
	if f.tail != nil {
		f.tail.next = t
	} else {
		f.head = t
	}
	f.tail = t
	if !a.busy.Has(f) {
		a.lift(f)
		a.busy.Set(f)
	}
	a.waiting++
	a.bytes += t.Bytes
	q.waiting++
	q.bytes += t.Bytes
}

// lift keeps a flow that was idle from being owed its idle time.
func (a *account) lift(f *flow) {
	if a.busy.Len() > 0 {
		f.time = max(f.time, a.busy.Min().time)
	}
}

// unlink removes a ticket from its flow. An empty flow is forgotten unless it
// is ahead of the others, which is the memory of a debt.
func (q *Queue) unlink(t *Ticket) {
	a, f := t.account, t.flow
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		f.head = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		f.tail = t.prev
	}
	t.prev, t.next = nil, nil
	t.waiting = false
	a.waiting--
	a.bytes -= t.Bytes
	q.waiting--
	q.bytes -= t.Bytes
	q.deadlines.Remove(t)
	if f.head != nil {
		a.busy.Set(f)
		return
	}
	a.busy.Remove(f)
	if a.busy.Len() == 0 {
		clear(a.flows) // nobody is behind: all debts between flows end
	} else if len(a.flows) > maxFlows {
		delete(a.flows, f.name)
	}
}

// The orders are total, by name where times are equal, so that a run can be
// repeated.

func earlierAccount(a, b *account) bool {
	return a.time < b.time || (a.time == b.time && a.name < b.name)
}

func earlierFlow(a, b *flow) bool {
	return a.time < b.time || (a.time == b.time && a.name < b.name)
}

func earlierDeadline(a, b *Ticket) bool {
	return a.Deadline < b.Deadline || (a.Deadline == b.Deadline && a.seq < b.seq)
}

func newFlows() *pq.Queue[*flow] {
	return pq.New(earlierFlow, func(f *flow) *int { return &f.index })
}

func sortedNames(m map[string]*account) []string { return slices.Sorted(maps.Keys(m)) }
