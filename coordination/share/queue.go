// SPDX-License-Identifier: Apache-2.0

package share

import (
	"container/list"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/pq"
)

// This file defines Queue, the waiting work of one pool on one router: how
// requests come and leave, and which one goes next. What the queue exchanges
// with the allocator is in report.go.

// Request is the part of a request that the queue works with.
type Request struct {
	Account  string
	Flow     string // user or class inside the account; empty is a flow too
	Bytes    int64
	Deadline time.Duration // when waiting ends; 0 is never
	Value    any           // the caller's own
}

// Limits bound what one account, or all of a queue, may hold. Zero is no limit.
type Limits struct {
	Waiting int   // requests
	Bytes   int64 // of their bodies
	Running int   // requests; of accounts only
}

// Ticket is one waiting request.
type Ticket struct {
	Request
	account  *account
	flow     *flow
	place    *list.Element // in flow.tickets; nil once it does not wait any more
	deadline int           // place in Queue.deadlines
	seq      uint64
}

// Queue orders waiting requests. Pushing, starting, charging and cancelling
// cost O(log n) in the accounts of the queue, the flows of the account and
// the requests with a deadline.
type Queue struct {
	accounts  map[string]*account
	ready     *pq.Queue[*account] // accounts with waiting work below their running limit
	deadlines *pq.Queue[*Ticket]
	pushed    uint64 // tickets so far
	lift      float64
	waiting   int
	bytes     int64
	total     Limits // of the router, over all accounts
	changed   map[string]*account
}

// account is one account on this router.
type account struct {
	name    string
	share   float64
	limits  Limits
	time    float64 // virtual time
	flows   map[string]*flow
	busy    *pq.Queue[*flow] // flows with waiting requests
	waiting int
	bytes   int64
	running int
	index   int // in Queue.ready

	unsent   float64    // cost charged since the last report
	started  int        // requests started since the last report
	reported int        // waiting requests in the last report, less those started since
	sent     []sentPart // reported, not yet in a fleet-wide time
}

// NewQueue returns an empty queue with limits over all accounts.
func NewQueue(total Limits) *Queue {
	return &Queue{
		accounts: map[string]*account{}, total: total, changed: map[string]*account{},
		ready:     pq.New(earlierAccount, func(a *account) *int { return &a.index }),
		deadlines: pq.New(earlierDeadline, func(t *Ticket) *int { return &t.deadline }),
	}
}

// The orders are total, by name or number where times are equal, so that a run
// can be repeated.

func earlierAccount(a, b *account) bool {
	return a.time < b.time || (a.time == b.time && a.name < b.name)
}

func earlierDeadline(a, b *Ticket) bool {
	return a.Deadline < b.Deadline || (a.Deadline == b.Deadline && a.seq < b.seq)
}

// SetAccount creates an account or changes its share and limits.
func (q *Queue) SetAccount(name string, share float64, l Limits) {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, flows: map[string]*flow{}, index: pq.Absent, time: q.lift}
		a.busy = pq.New(earlierFlow, func(f *flow) *int { return &f.index })
		q.accounts[name] = a
	}
	a.share, a.limits = share, l
	q.reorder(a)
}

// RemoveAccount forgets an account and returns its waiting requests.
func (q *Queue) RemoveAccount(name string) []*Ticket {
	a := q.accounts[name]
	if a == nil {
		return nil
	}
	dropped := q.drop(a)
	delete(q.accounts, name)
	delete(q.changed, name)
	return dropped
}

// DropAll removes and returns everything that waits, in the order of accounts.
func (q *Queue) DropAll() []*Ticket {
	var dropped []*Ticket
	for _, name := range sortedNames(q.accounts) {
		dropped = append(dropped, q.drop(q.accounts[name])...)
	}
	return dropped
}

func (q *Queue) drop(a *account) []*Ticket {
	var dropped []*Ticket
	for a.waiting > 0 {
		t := a.busy.Min().oldest()
		q.Cancel(t)
		dropped = append(dropped, t)
	}
	return dropped
}

// Push adds a request. An account that becomes backlogged is lifted. The error
// is [QueueFullError] or [UnknownAccountError].
func (q *Queue) Push(r Request) (*Ticket, error) {
	a := q.accounts[r.Account]
	if a == nil {
		return nil, UnknownAccountError{Account: r.Account}
	}
	if err := q.checkRoom(a, r.Bytes); err != nil {
		return nil, err
	}
	if a.waiting == 0 && a.running == 0 {
		a.time = max(a.time, q.lift)
	}
	q.pushed++
	t := &Ticket{Request: r, account: a, deadline: pq.Absent, seq: q.pushed}
	q.link(t)
	if r.Deadline > 0 {
		q.deadlines.Set(t)
	}
	q.touch(a)
	return t, nil
}

func (q *Queue) checkRoom(a *account, bytes int64) error {
	switch {
	case a.limits.Waiting > 0 && a.waiting >= a.limits.Waiting:
		return QueueFullError{Account: a.name, Limit: "waiting requests of the account", Max: int64(a.limits.Waiting)}
	case a.limits.Bytes > 0 && a.bytes+bytes > a.limits.Bytes:
		return QueueFullError{Account: a.name, Limit: "waiting bytes of the account", Max: a.limits.Bytes}
	case q.total.Waiting > 0 && q.waiting >= q.total.Waiting:
		return QueueFullError{Account: a.name, Limit: "waiting requests of the router", Max: int64(q.total.Waiting)}
	case q.total.Bytes > 0 && q.bytes+bytes > q.total.Bytes:
		return QueueFullError{Account: a.name, Limit: "waiting bytes of the router", Max: q.total.Bytes}
	}
	return nil
}

// Cancel removes a request that is still waiting and reports whether it was.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.place == nil {
		return false
	}
	q.unlink(t)
	q.touch(t.account)
	return true
}

// Expire removes and returns the requests whose deadline is not after now.
func (q *Queue) Expire(now time.Duration) []*Ticket {
	var expired []*Ticket
	for q.deadlines.Len() > 0 && q.deadlines.Min().Deadline <= now {
		t := q.deadlines.Min()
		q.Cancel(t)
		expired = append(expired, t)
	}
	return expired
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Next returns the request that goes next and the virtual time of its account:
// the oldest request of the flow that has received least, of the account with
// the lowest virtual time among those below their running limit. If there is
// none, it returns nil and +Inf.
func (q *Queue) Next() (t *Ticket, time float64) {
	if q.ready.Len() == 0 {
		return nil, math.Inf(1)
	}
	a := q.ready.Min()
	return a.busy.Min().oldest(), a.time
}

// Start removes a waiting request to run it and charges the estimate.
func (q *Queue) Start(t *Ticket, estimate float64) {
	a := t.account
	t.flow.time += estimate // before unlink, which reorders the flow
	q.unlink(t)
	a.running++
	a.started++
	a.reported--
	q.Charge(a.name, estimate)
}

// Charge adds cost, which may be negative, to an account.
func (q *Queue) Charge(name string, cost float64) {
	if a := q.accounts[name]; a != nil {
		a.time += cost / a.share
		a.unsent += cost
		q.touch(a)
	}
}

// Finish counts the end of a started request of the account.
func (q *Queue) Finish(name string) {
	if a := q.accounts[name]; a != nil {
		a.running = max(a.running-1, 0)
		q.touch(a)
	}
}

// touch marks the account as changed for the next report and reorders it.
func (q *Queue) touch(a *account) {
	if q.accounts[a.name] == a {
		q.changed[a.name] = a
	}
	q.reorder(a)
}

// reorder puts the account where it belongs among those that may go next.
func (q *Queue) reorder(a *account) {
	if a.waiting > 0 && (a.limits.Running == 0 || a.running < a.limits.Running) {
		q.ready.Set(a)
	} else {
		q.ready.Remove(a)
	}
}

func sortedNames(m map[string]*account) []string { return slices.Sorted(maps.Keys(m)) }
