// SPDX-License-Identifier: Apache-2.0

package share

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/pq"
)

// This file defines Queue, the waiting work of one pool on one router with
// the virtual times that order it.

// Request is what the queue needs to know of a request.
type Request struct {
	Account  string
	Flow     string // user or class inside the account; empty is a flow too
	Bytes    int64
	Deadline time.Duration // when waiting ends; 0 is never
	Value    any           // the caller's own
}

// Limits bound what one account may hold in a queue. Zero is no limit.
type Limits struct {
	Waiting int
	Bytes   int64
	Running int
}

// Ticket is one waiting request.
type Ticket struct {
	Request
	account  *account
	flow     *flow
	prev     *Ticket
	next     *Ticket
	deadline int // place in Queue.deadlines
	seq      uint64
	waiting  bool
}

// Waiting reports whether the request is still in the queue.
func (t *Ticket) Waiting() bool { return t.waiting }

// Queue orders waiting requests. Pushing, popping, charging and cancelling
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

	unsent   float64    // service charged since the last report
	started  int        // requests started since the last report
	believed int        // what the allocator takes for waiting
	sent     []sentPart // reported, not yet in a fleet-wide time
}

// sentPart is the normalised service that one report carried.
type sentPart struct {
	seq  uint64
	time float64
}

// NewQueue returns an empty queue with limits over all accounts.
func NewQueue(total Limits) *Queue {
	return &Queue{
		accounts: map[string]*account{}, total: total, changed: map[string]*account{},
		ready:     pq.New(earlierAccount, func(a *account) *int { return &a.index }),
		deadlines: pq.New(earlierDeadline, func(t *Ticket) *int { return &t.deadline }),
	}
}

// SetAccount creates an account or changes its share and limits.
func (q *Queue) SetAccount(name string, share float64, l Limits) {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, flows: map[string]*flow{}, busy: newFlows(), index: pq.Absent, time: q.lift}
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
	var dropped []*Ticket
	for a.waiting > 0 {
		t := a.busy.Min().head
		q.Cancel(t)
		dropped = append(dropped, t)
	}
	delete(q.accounts, name)
	delete(q.changed, name)
	return dropped
}

// Push adds a request. The error is [Full] or [NoAccount].
func (q *Queue) Push(r Request) (*Ticket, error) {
	a := q.accounts[r.Account]
	if a == nil {
		return nil, NoAccount{Account: r.Account}
	}
	if err := q.checkRoom(a, r.Bytes); err != nil {
		return nil, err
	}
	if a.waiting == 0 && a.running == 0 {
		a.time = max(a.time, q.lift)
	}
	q.pushed++
	t := &Ticket{Request: r, account: a, deadline: pq.Absent, seq: q.pushed, waiting: true}
	q.link(t)
	if r.Deadline > 0 {
		q.deadlines.Set(t)
	}
	q.touch(a)
	q.reorder(a)
	return t, nil
}

func (q *Queue) checkRoom(a *account, bytes int64) error {
	switch {
	case a.limits.Waiting > 0 && a.waiting >= a.limits.Waiting:
		return Full{Account: a.name, Limit: "waiting requests of the account", Max: int64(a.limits.Waiting)}
	case a.limits.Bytes > 0 && a.bytes+bytes > a.limits.Bytes:
		return Full{Account: a.name, Limit: "waiting bytes of the account", Max: a.limits.Bytes}
	case q.total.Waiting > 0 && q.waiting >= q.total.Waiting:
		return Full{Account: a.name, Limit: "waiting requests of the router", Max: int64(q.total.Waiting)}
	case q.total.Bytes > 0 && q.bytes+bytes > q.total.Bytes:
		return Full{Account: a.name, Limit: "waiting bytes of the router", Max: q.total.Bytes}
	}
	return nil
}

// Cancel removes a request that is still waiting and reports whether it was.
func (q *Queue) Cancel(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	q.unlink(t)
	q.touch(t.account)
	q.reorder(t.account)
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

// Drop removes and returns everything that waits, in the order of accounts.
func (q *Queue) Drop() []*Ticket {
	var dropped []*Ticket
	for _, name := range sortedNames(q.accounts) {
		a := q.accounts[name]
		for a.waiting > 0 {
			t := a.busy.Min().head
			q.Cancel(t)
			dropped = append(dropped, t)
		}
	}
	return dropped
}

// Best returns the account that goes next and its virtual time.
func (q *Queue) Best() (name string, time float64, ok bool) {
	if q.ready.Len() == 0 {
		return "", 0, false
	}
	a := q.ready.Min()
	return a.name, a.time, true
}

// Peek returns up to n requests of the account in the order in which its
// current flow would send them, for a caller that may prefer one of them.
func (q *Queue) Peek(name string, n int) []*Ticket {
	a := q.accounts[name]
	if a == nil || a.busy.Len() == 0 {
		return nil
	}
	var out []*Ticket
	for t := a.busy.Min().head; t != nil && len(out) < n; t = t.next {
		out = append(out, t)
	}
	return out
}

// Start removes a waiting request to run it and charges the estimate.
func (q *Queue) Start(t *Ticket, estimate float64) {
	a := t.account
	t.flow.time += estimate // before unlink, which puts the flow in its place
	q.unlink(t)
	a.running++
	a.started++
	a.believed--
	q.Charge(a.name, estimate)
}

// Charge adds cost, which may be negative, to an account.
func (q *Queue) Charge(name string, cost float64) {
	a := q.accounts[name]
	if a == nil {
		return
	}
	a.time += cost / a.share
	a.unsent += cost
	q.touch(a)
	q.reorder(a)
}

// Finish tells that a started request of the account ended.
func (q *Queue) Finish(name string) {
	if a := q.accounts[name]; a != nil {
		a.running = max(a.running-1, 0)
		q.touch(a)
		q.reorder(a)
	}
}

// SetTime takes the fleet-wide virtual time of an account, which includes
// this router's reports up to number seq, and adds what came after.
func (q *Queue) SetTime(name string, time float64, seq uint64) {
	a := q.accounts[name]
	if a == nil {
		return
	}
	for len(a.sent) > 0 && a.sent[0].seq <= seq {
		a.sent = a.sent[1:]
	}
	a.time = time + a.unsent/a.share
	for _, p := range a.sent {
		a.time += p.time
	}
	q.reorder(a)
}

// SetLift takes the virtual time to which an account is raised that begins to
// wait. It never goes back.
func (q *Queue) SetLift(lift float64) { q.lift = max(q.lift, lift) }

// Lift returns what SetLift took.
func (q *Queue) Lift() float64 { return q.lift }

// Times returns the virtual times of all accounts without what was not
// reported yet, in the order of names.
func (q *Queue) Times() []Stat {
	out := make([]Stat, 0, len(q.accounts))
	for _, name := range sortedNames(q.accounts) {
		a := q.accounts[name]
		out = append(out, Stat{Account: name, Time: a.time - a.unsent/a.share, Waiting: a.waiting, Running: a.running})
	}
	return out
}

// ResetReports starts the numbering of reports again, for a new session. An
// allocator that remembers the previous session has taken its first arrived
// reports into account; what later ones carried is reported again. A new
// allocator took everything from Times.
func (q *Queue) ResetReports(known bool, arrived uint64) {
	for _, a := range q.accounts {
		for _, p := range a.sent {
			if known && p.seq > arrived {
				a.unsent += p.time * a.share
				q.touch(a)
			}
		}
		a.sent = nil
		a.believed = 0
		if a.waiting > 0 {
			q.touch(a)
		}
	}
}

// Change is what happened to one account since the previous report.
type Change struct {
	Account string
	Waiting int
	Service float64
	Started int
	Running int
}

// serviceStep is the fineness of reported service, in parts of a unit of cost.
// Coarse values encode in five bytes instead of nine.
const serviceStep = 8

// TakeChanges returns what happened since the previous call, in the order of
// names, as report number seq.
func (q *Queue) TakeChanges(seq uint64) []Change {
	out := make([]Change, 0, len(q.changed))
	for _, name := range sortedNames(q.changed) {
		a := q.changed[name]
		service := math.Round(a.unsent*serviceStep) / serviceStep
		out = append(out, Change{Account: name, Waiting: a.waiting, Service: service, Started: a.started, Running: a.running})
		if service != 0 {
			a.sent = append(a.sent, sentPart{seq: seq, time: service / a.share})
		}
		a.unsent -= service // what the rounding left goes with the next report
		a.started, a.believed = 0, a.waiting
	}
	clear(q.changed)
	return out
}

// Changed reports whether TakeChanges would return anything.
func (q *Queue) Changed() bool { return len(q.changed) > 0 }

// Hidden reports whether some account has waiting work that the allocator
// does not know of, so that no slot will come for it.
func (q *Queue) Hidden() bool {
	for _, a := range q.changed {
		if a.hidden() {
			return true
		}
	}
	return false
}

// hidden reports whether twice as much waits as the allocator believes. Telling
// of every request would cost a message each while much waits; telling only
// when the allocator believes in none lets the second of two requests wait for
// the next full report.
func (a *account) hidden() bool { return a.waiting > 0 && a.waiting >= 2*a.believed }

// Len returns the number of waiting requests and their bytes.
func (q *Queue) Len() (requests int, bytes int64) { return q.waiting, q.bytes }

// Stat is the state of one account, for status and metrics.
type Stat struct {
	Account          string
	Time             float64
	Waiting, Running int
}

// Stat returns the state of an account.
func (q *Queue) Stat(name string) Stat {
	a := q.accounts[name]
	if a == nil {
		return Stat{Account: name}
	}
	return Stat{Account: name, Time: a.time, Waiting: a.waiting, Running: a.running}
}

func (q *Queue) touch(a *account) {
	if q.accounts[a.name] == a {
		q.changed[a.name] = a
	}
}

// reorder puts the account where it belongs among those that may go next.
func (q *Queue) reorder(a *account) {
	may := a.waiting > 0 && (a.limits.Running == 0 || a.running < a.limits.Running)
	if may {
		q.ready.Set(a)
	} else {
		q.ready.Remove(a)
	}
}
