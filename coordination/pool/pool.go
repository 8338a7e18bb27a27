// SPDX-License-Identifier: Apache-2.0

// Package pool decides which requests one router starts on one pool of backend servers. The allocator's table
// of the same pool, covering all routers, is in coordination/slots.
//
// A [Pool] combines three decisions: which request is next (coordination/share), whether it may use a slot
// held by this router (coordination/slots), and which server it is sent to (coordination/place). It owns the
// queue, the held slots and the health of the servers. Each event of the pool is a method. After any of them,
// the owner calls [Pool.Dispatch], starts the requests that it returns, and checks [Pool.Urgency] for when to
// send a report.
//
// Invariants: every started request has a slot of its server, which is returned or reused after [Pool.Finish];
// every started request is finished exactly once.
//
// A Pool is pure: the time is an argument, and no method waits or sends. It is not safe for concurrent use;
// the router has one lock for each.
package pool

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/share"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
)

// This file defines Pool: how work arrives, starts and ends. Its exchange with the allocator is in exchange.go.

// Settings are the settings of a pool.
type Settings struct {
	Limits        share.Limits  // over all accounts
	Linger        time.Duration // how long an unused slot is kept
	FirstEstimate float64       // assumed cost of a request until one of its account and class has finished
	PrefixBlocks  int           // prompt blocks in the placer's index
}

// Server is a backend server in service.
type Server struct {
	Name  string
	Slots int
}

// Account is a client account with its share and limits.
type Account struct {
	Name   string
	Share  float64
	Limits share.Limits
}

// Work is one request. The owner keeps it until it has ended.
type Work struct {
	Account  string
	Class    string
	Flow     string
	Bytes    int64
	Blocks   []place.Block
	Deadline time.Duration // end of the wait in the queue; zero means never
	Value    any           // for the owner; not used by the pool

	ticket *share.Ticket
	meter  share.Meter
}

// Start is the start of a request on a slot of Server.
type Start struct {
	Work   *Work
	Server string
}

// Pool is the state of one pool on one router.
type Pool struct {
	name     string
	cfg      Settings
	queue    *share.Queue
	holder   *slots.Holder
	placer   *place.SlotPlacer
	costs    *share.Estimator
	view     slots.FleetView
	servers  map[string]Server
	accounts map[string]bool
	suspects []string // servers that are ejected or back off, for the next report
	idle     int      // free slots in the last report
}

// New returns a pool without accounts or servers.
func New(name string, cfg Settings) *Pool {
	return &Pool{
		name: name, cfg: cfg, queue: share.NewQueue(cfg.Limits), holder: slots.NewHolder(),
		placer: place.NewSlotPlacer(cfg.PrefixBlocks), costs: share.NewEstimator(cfg.FirstEstimate),
		servers: map[string]Server{}, accounts: map[string]bool{},
	}
}

// Configure replaces the accounts and the serving servers. Slots of other servers are returned to the
// allocator, and the waiting work of accounts that are not listed is dropped and returned to the caller.
func (p *Pool) Configure(accounts []Account, servers []Server) (dropped []*Work) {
	clear(p.servers)
	for _, s := range servers {
		p.servers[s.Name] = s
	}
	p.placer.Health.SetSize(len(p.servers))
	p.placer.RetainNotices(func(name string) bool { _, ok := p.servers[name]; return ok })
	for _, name := range p.holder.FreeServers() {
		if _, ok := p.servers[name]; !ok {
			p.holder.Return(name, math.MaxInt)
		}
	}
	seen := make(map[string]bool, len(accounts))
	for _, a := range accounts {
		seen[a.Name] = true
		p.SetAccount(a)
	}
	for name := range p.accounts {
		if !seen[name] {
			dropped = append(dropped, workOf(p.queue.RemoveAccount(name))...)
			p.costs.Forget(name)
		}
	}
	p.accounts = seen
	return dropped
}

// SetAccount adds or updates an account.
func (p *Pool) SetAccount(a Account) {
	p.queue.SetAccount(a.Name, a.Share, a.Limits)
	p.accounts[a.Name] = true
}

// Push adds work to the queue. The error is [share.QueueFullError] or [share.UnknownAccountError].
func (p *Pool) Push(w *Work) error {
	t, err := p.queue.Push(share.Request{
		Account: w.Account, Flow: w.Flow, Bytes: w.Bytes, Deadline: w.Deadline, Value: w,
	})
	if err != nil {
		return err
	}
	w.ticket = t
	return nil
}

// Cancel removes work from the queue and reports whether it was still there.
func (p *Pool) Cancel(w *Work) bool { return p.queue.Cancel(w.ticket) }

// Expire removes and returns the work whose deadline has passed.
func (p *Pool) Expire(now time.Duration) []*Work { return workOf(p.queue.Expire(now)) }

// Drop removes and returns all waiting work.
func (p *Pool) Drop() []*Work { return workOf(p.queue.DropAll()) }

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int { return p.queue.Waiting() }

// Dispatch uses free slots for waiting work as far as fairness across the fleet allows, returns slots that are
// needed elsewhere to the allocator, and returns the work that starts now. Without a lease nothing starts.
func (p *Pool) Dispatch(now time.Duration, leased bool) []Start {
	var started []Start
	for leased {
		next, virtual := p.queue.Next()
		switch slots.Decide(now, virtual, p.holder.HasUnusedGrant(), p.view) {
		case slots.Keep:
			return started
		case slots.Return:
			p.holder.ReturnIdle()
			return started
		}
		s, ok := p.start(now, next)
		if !ok {
			return started
		}
		started = append(started, s)
	}
	return started
}

// start starts a request on the best server with a free slot, if there is one.
func (p *Pool) start(now time.Duration, t *share.Ticket) (Start, bool) {
	w := t.Value.(*Work)
	server, ok := p.placer.Choose(now, p.candidates(now), w.Blocks)
	if !ok {
		return Start{}, false
	}
	p.holder.Start(server)
	p.placer.Health.Sent(now, server)
	p.placer.Index.Sent(server, w.Blocks)
	p.queue.Start(t, w.meter.Start(p.costs.Estimate(w.Account, w.Class)))
	return Start{Work: w, Server: server}, true
}

// candidates returns the healthy serving servers with a free slot. Slots of other servers are returned to the
// allocator.
func (p *Pool) candidates(now time.Duration) []place.FreeServer {
	var out []place.FreeServer
	for _, name := range p.holder.FreeServers() {
		s, serving := p.servers[name]
		if !serving {
			p.holder.Return(name, math.MaxInt)
			continue
		}
		if !p.placer.Usable(now, name) {
			p.holder.Return(name, math.MaxInt)
			p.suspects = append(p.suspects, name)
			continue
		}
		out = append(out, place.FreeServer{Server: name, Slots: s.Slots, Running: p.holder.Running(name)})
	}
	return out
}

// Progress charges the cost of running work so far.
func (p *Pool) Progress(w *Work, cost float64) {
	if extra := w.meter.Progress(cost); extra > 0 {
		p.queue.Charge(w.Account, extra)
	}
}

// Result is how work on a server ended.
type Result uint8

// Results of work.
const (
	Served      Result = iota // the server answered
	Failed                    // the server failed
	Abandoned                 // the request left the slot early, which is no evidence about the server
	Unconfirmed               // the server answered, but nothing states that the answer is complete
)

// Finish settles work that used a slot and reports whether its server is ejected now.
func (p *Pool) Finish(now time.Duration, w *Work, server string, cost float64, r Result) (ejected bool) {
	p.queue.Charge(w.Account, w.meter.Finish(cost))
	w.meter = share.Meter{}
	p.queue.Finish(w.Account)
	p.holder.Done(now, server)
	switch r {
	case Served:
		p.costs.Observe(w.Account, w.Class, cost)
		p.placer.Health.Succeeded(server)
	case Failed:
		ejected = p.RecordFailure(now, server)
	case Abandoned:
		p.placer.Health.Abandoned(server)
	case Unconfirmed:
		p.costs.Observe(w.Account, w.Class, cost)
		p.placer.Health.Unconfirmed(server)
	}
	return ejected
}

// RecordFailure records a failure of a server while the work on it goes on, and reports whether the server is
// ejected now.
func (p *Pool) RecordFailure(now time.Duration, server string) (ejected bool) {
	if ejected = p.placer.Health.Failed(now, server); ejected {
		p.suspects = append(p.suspects, server)
	}
	return ejected
}

// SetBackoff records that a server has asked to receive no requests for a while. The next Dispatch returns its
// free slots.
func (p *Pool) SetBackoff(now time.Duration, server string, backoff time.Duration) {
	p.placer.SetBackoff(now, server, backoff)
}

// RecordLoad records a server's load report.
func (p *Pool) RecordLoad(server string, l place.LoadReport) { p.placer.RecordLoad(server, l) }

// RecordCacheEvent records an event of a server's cache.
func (p *Pool) RecordCacheEvent(server string, e place.CacheEvent) { p.placer.Index.Apply(server, e) }

// UsableSlots returns the number of slots held on each server, used or free.
func (p *Pool) UsableSlots() map[string]int { return p.holder.HeldByServer() }

func workOf(tickets []*share.Ticket) []*Work {
	out := make([]*Work, 0, len(tickets))
	for _, t := range tickets {
		out = append(out, t.Value.(*Work))
	}
	return out
}
