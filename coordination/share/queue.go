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

// This file defines Queue, the waiting requests of one pool on one router: how they are added
// and removed, and which is served next. The exchange with the allocator is in report.go.

// Request holds the properties of a request that the queue uses.
type Request struct {
	Account  string
	Flow     string // user or class within the account; the empty name is a flow as well
	Bytes    int64
	Deadline time.Duration // time when waiting ends; 0 means never
	Value    any           // the caller's value, not used by the queue
}

// Limits bounds what one account, or a whole queue, may hold. Zero means unlimited.
type Limits struct {
	Waiting int   // waiting requests
	Bytes   int64 // bytes of their bodies
	Running int   // running requests; for accounts only
}

// Ticket is one waiting request.
type Ticket struct {
	Request
	account       *account
	flow          *flow
	element       *list.Element // position in flow.tickets; nil once no longer waiting
	deadlineIndex int           // index in Queue.deadlines
	seq           uint64
}

// Queue orders waiting requests. Pushing, starting, charging and cancelling cost O(log n) in
// the number of accounts, flows of the account and requests with a deadline.
type Queue struct {
	accounts    map[string]*account
	ready       *pq.Queue[*account] // accounts with waiting requests below their running limit
	deadlines   *pq.Queue[*Ticket]
	ticketCount uint64 // number of tickets created
	lift        float64
	waiting     int
	bytes       int64
	totalLimits Limits // of the router, over all accounts
	changed     map[string]*account
}

// account is the state of one account on this router.
type account struct {
	name        string
	share       float64
	limits      Limits
	virtualTime float64 // fleet-wide cost divided by the share
	flows       map[string]*flow
	busy        *pq.Queue[*flow] // flows with waiting requests
	waiting     int
	bytes       int64
	running     int
	index       int // index in Queue.ready

	unreportedCost     float64      // cost charged since the last report
	startedSinceReport int          // requests started since the last report
	reportedWaiting    int          // waiting requests in the last report, less those started since
	sentCharges        []sentCharge // reported charges not yet included in a fleet-wide virtual time
}

// NewQueue returns an empty queue. totalLimits bounds all accounts together.
func NewQueue(totalLimits Limits) *Queue {
	return &Queue{
		accounts: map[string]*account{}, totalLimits: totalLimits, changed: map[string]*account{},
		ready:     pq.New(earlierAccount, func(a *account) *int { return &a.index }),
		deadlines: pq.New(earlierDeadline, func(t *Ticket) *int { return &t.deadlineIndex }),
	}
}

// The orders are total, by name or number at equal times, which makes runs reproducible.

func earlierAccount(a, b *account) bool {
	return a.virtualTime < b.virtualTime || (a.virtualTime == b.virtualTime && a.name < b.name)
}

func earlierDeadline(a, b *Ticket) bool {
	return a.Deadline < b.Deadline || (a.Deadline == b.Deadline && a.seq < b.seq)
}

// SetAccount creates an account or changes its share and limits.
func (q *Queue) SetAccount(name string, share float64, l Limits) {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, flows: map[string]*flow{}, index: pq.Absent, virtualTime: q.lift}
		a.busy = pq.New(earlierFlow, func(f *flow) *int { return &f.index })
		q.accounts[name] = a
	}
	a.share, a.limits = share, l
	q.reorder(a)
}

// RemoveAccount removes an account and returns its waiting requests.
func (q *Queue) RemoveAccount(name string) []*Ticket {
	a := q.accounts[name]
	if a == nil {
		return nil
	}
	dropped := q.dropWaiting(a)
	delete(q.accounts, name)
	delete(q.changed, name)
	return dropped
}

// DropAll removes and returns all waiting requests, ordered by account name.
func (q *Queue) DropAll() []*Ticket {
	var dropped []*Ticket
	for _, name := range sortedNames(q.accounts) {
		dropped = append(dropped, q.dropWaiting(q.accounts[name])...)
	}
	return dropped
}

// dropWaiting removes and returns the account's waiting requests.
func (q *Queue) dropWaiting(a *account) []*Ticket {
	var dropped []*Ticket
	for a.waiting > 0 {
		t := a.busy.Min().oldest()
		q.Cancel(t)
		dropped = append(dropped, t)
	}
	return dropped
}

// Push adds a request. The virtual time of an account that was idle is raised to the lift. The
// error is [QueueFullError] or [UnknownAccountError].
func (q *Queue) Push(r Request) (*Ticket, error) {
	a := q.accounts[r.Account]
	if a == nil {
		return nil, UnknownAccountError{Account: r.Account}
	}
	if err := q.checkLimits(a, r.Bytes); err != nil {
		return nil, err
	}
	if a.waiting == 0 && a.running == 0 {
		a.virtualTime = max(a.virtualTime, q.lift)
	}
	q.ticketCount++
	t := &Ticket{Request: r, account: a, deadlineIndex: pq.Absent, seq: q.ticketCount}
	q.enqueue(t)
	if r.Deadline > 0 {
		q.deadlines.PushOrFix(t)
	}
	q.markChanged(a)
	return t, nil
}

func (q *Queue) checkLimits(a *account, bytes int64) error {
	switch {
	case a.limits.Waiting > 0 && a.waiting >= a.limits.Waiting:
		return QueueFullError{Account: a.name, Limit: "waiting requests of the account", Max: int64(a.limits.Waiting)}
	case a.limits.Bytes > 0 && a.bytes+bytes > a.limits.Bytes:
		return QueueFullError{Account: a.name, Limit: "waiting bytes of the account", Max: a.limits.Bytes}
	case q.totalLimits.Waiting > 0 && q.waiting >= q.totalLimits.Waiting:
		return QueueFullError{Account: a.name, Limit: "waiting requests of the router", Max: int64(q.totalLimits.Waiting)}
	case q.totalLimits.Bytes > 0 && q.bytes+bytes > q.totalLimits.Bytes:
		return QueueFullError{Account: a.name, Limit: "waiting bytes of the router", Max: q.totalLimits.Bytes}
	}
	return nil
}

// Cancel removes a request if it is still waiting, and reports whether it was.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.element == nil {
		return false
	}
	q.dequeue(t)
	q.markChanged(t.account)
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

// Next returns the request to serve next and the virtual time of its account. Among accounts
// below their running limit it selects the one with the lowest virtual time, and of that
// account the oldest request of the flow that has received least. If there is none, it
// returns nil and +Inf.
func (q *Queue) Next() (t *Ticket, virtualTime float64) {
	if q.ready.Len() == 0 {
		return nil, math.Inf(1)
	}
	a := q.ready.Min()
	return a.busy.Min().oldest(), a.virtualTime
}

// Start removes a waiting request from the queue to run it, and charges the estimate.
func (q *Queue) Start(t *Ticket, estimate float64) {
	a := t.account
	t.flow.cost += estimate // before dequeue, which reorders the flow
	q.dequeue(t)
	a.running++
	a.startedSinceReport++
	a.reportedWaiting--
	q.Charge(a.name, estimate)
}

// Charge adds cost, which may be negative, to an account.
func (q *Queue) Charge(name string, cost float64) {
	if a := q.accounts[name]; a != nil {
		a.virtualTime += cost / a.share
		a.unreportedCost += cost
		q.markChanged(a)
	}
}

// Finish records the end of a started request of the account.
func (q *Queue) Finish(name string) {
	if a := q.accounts[name]; a != nil {
		a.running = max(a.running-1, 0)
		q.markChanged(a)
	}
}

// markChanged marks the account as changed for the next report and reorders it.
func (q *Queue) markChanged(a *account) {
	if q.accounts[a.name] == a {
		q.changed[a.name] = a
	}
	q.reorder(a)
}

// reorder updates the account's place among those that may be served next.
func (q *Queue) reorder(a *account) {
	if a.waiting > 0 && (a.limits.Running == 0 || a.running < a.limits.Running) {
		q.ready.PushOrFix(a)
	} else {
		q.ready.Remove(a)
	}
}

func sortedNames(m map[string]*account) []string { return slices.Sorted(maps.Keys(m)) }
