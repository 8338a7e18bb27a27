// SPDX-License-Identifier: Apache-2.0

package share

import (
	"container/heap"
	"maps"
	"slices"
)

// This file defines the inside of a queue: flows, which are first-in
// first-out lists of one user's requests, and the heaps over accounts, flows
// and deadlines.

// maxFlows bounds the idle flows that one account is remembered for: users are
// named by callers, who may name any number.
const maxFlows = 1024

// flow is the waiting requests of one user or class of an account.
type flow struct {
	name       string
	time       float64 // cost charged to the flow
	head, tail *Ticket
	index      int // in account.busy, -1 when not in it
}

// link appends a ticket to its flow.
func (q *Queue) link(t *Ticket) {
	a := t.account
	f := a.flows[t.Flow]
	if f == nil {
		f = &flow{name: t.Flow, index: -1}
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
	if f.index < 0 {
		a.lift(f)
		heap.Push(&a.busy, f)
	}
	a.waiting++
	a.bytes += t.Bytes
	q.waiting++
	q.bytes += t.Bytes
}

// lift keeps a flow that was idle from being owed its idle time.
func (a *account) lift(f *flow) {
	if len(a.busy) > 0 {
		f.time = max(f.time, a.busy[0].time)
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
	if t.deadline >= 0 {
		heap.Remove(&q.deadlines, t.deadline)
	}
	if f.head != nil {
		heap.Fix(&a.busy, f.index)
		return
	}
	heap.Remove(&a.busy, f.index)
	if len(a.busy) == 0 {
		clear(a.flows) // nobody is behind: all debts between flows end
	} else if len(a.flows) > maxFlows {
		delete(a.flows, f.name)
	}
}

type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }
func (h accountHeap) Less(i, j int) bool {
	if h[i].time != h[j].time {
		return h[i].time < h[j].time
	}
	return h[i].name < h[j].name
}
func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.index = -1
	return a
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].time != h[j].time {
		return h[i].time < h[j].time
	}
	return h[i].name < h[j].name
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

type deadlineHeap []*Ticket

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline < h[j].Deadline }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadline, h[j].deadline = i, j
}
func (h *deadlineHeap) Push(x any) {
	t := x.(*Ticket)
	t.deadline = len(*h)
	*h = append(*h, t)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.deadline = -1
	return t
}

func sortedNames(m map[string]*account) []string { return slices.Sorted(maps.Keys(m)) }
