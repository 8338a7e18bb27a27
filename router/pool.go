// SPDX-License-Identifier: Apache-2.0

package router

import (
	"math"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/share"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines pool: the waiting work, the slots and the choice of
// server of one pool, under one lock.

// pool is one pool on this router.
type pool struct {
	name   string
	router *Router

	mu       sync.Mutex
	queue    *share.Queue
	holder   *slots.Holder
	placer   *place.Placer
	costs    *share.Estimator
	fleet    slots.Fleet
	servers  map[string]config.Server // serving ones
	known    bool                     // the pool has servers, serving or not
	accounts map[string]bool
	suspects []string
	idle     int  // free slots as last reported
	urgent   bool // the allocator should hear soon
}

// waiter is a request in a pool's queue. turn receives the server to use, or
// a failure.
type waiter struct {
	call *call
	turn chan turn // buffered
}

// turn is the end of a wait.
type turn struct {
	server config.Server
	fail   *Failure
}

func newPool(r *Router, name string) *pool {
	l := r.set.Limits
	return &pool{
		name: name, router: r,
		queue:  share.NewQueue(share.Limits{Waiting: l.Waiting, Bytes: l.WaitingBytes}),
		holder: slots.NewHolder(), placer: place.New(prefixBlocks),
		costs: share.NewEstimator(firstEstimate), servers: map[string]config.Server{}, accounts: map[string]bool{},
	}
}

// configure takes a configuration: accounts, and which servers may get work.
func (p *pool) configure(now time.Duration, t *routes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configureAccounts(t.cfg)
	clear(p.servers)
	for _, s := range t.pools[p.name] {
		if s.Mark == config.Serving {
			p.servers[s.Name] = s
		}
	}
	p.known = len(t.pools[p.name]) > 0
	p.placer.Health.SetSize(len(p.servers))
	for _, name := range p.holder.FreeServers() {
		if _, ok := p.servers[name]; !ok {
			p.holder.Return(name, math.MaxInt)
		}
	}
	if !p.known {
		p.failWaiting(failNoServer)
	}
	p.dispatch(now)
}

func (p *pool) configureAccounts(cfg config.Config) {
	defaults := p.router.set.Limits
	seen := map[string]bool{}
	for _, a := range cfg.Accounts() {
		seen[a.Name] = true
		limits := share.Limits{Waiting: a.Limits.Waiting, Bytes: a.Limits.WaitingBytes, Running: a.Limits.Running}
		if limits.Waiting == 0 {
			limits.Waiting = defaults.AccountWaiting
		}
		if limits.Bytes == 0 {
			limits.Bytes = defaults.AccountBytes
		}
		p.queue.SetAccount(a.Name, a.Share, limits)
	}
	for name := range p.accounts {
		if !seen[name] {
			for _, t := range p.queue.RemoveAccount(name) {
				answer(t, turn{fail: &failKey})
			}
			p.costs.Forget(name)
		}
	}
	p.accounts = seen
}

// enqueue adds a request to the queue.
func (p *pool) enqueue(now time.Duration, c *call) (*share.Ticket, *waiter, error) {
	w := &waiter{call: c, turn: make(chan turn, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return nil, nil, failNoServer
	}
	t, err := p.queue.Push(share.Request{
		Account: c.account.Name, Flow: c.flow, Bytes: int64(len(c.body)),
		Deadline: now + p.router.set.Limits.Wait, Value: w,
	})
	if err != nil {
		return nil, nil, failFull.With(err.Error())
	}
	p.dispatch(now)
	return t, w, nil
}

// cancel takes a request out of the queue. If its turn came meanwhile, the
// turn is returned and the caller must release it.
func (p *pool) cancel(t *share.Ticket, w *waiter) (turn, bool) {
	p.mu.Lock()
	waiting := p.queue.Cancel(t)
	p.mu.Unlock()
	if waiting {
		return turn{}, false
	}
	got := <-w.turn
	return got, got.fail == nil
}

// dispatch gives free slots to waiting requests. The caller holds mu.
func (p *pool) dispatch(now time.Duration) {
	defer p.wakeReporter()
	if !p.router.lease.valid(now) {
		return
	}
	for {
		best := math.Inf(1)
		name, time, waits := p.queue.Best()
		if waits {
			best = time
		}
		candidates := p.candidates(now)
		switch slots.Decide(now, best, p.fleet) {
		case slots.Keep:
			return
		case slots.Return:
			p.holder.ReturnIdle()
			return
		}
		if len(candidates) == 0 || !p.startOne(now, name, candidates) {
			return
		}
	}
}

// candidates returns the serving, healthy servers with a free slot. Slots of
// the others go back.
func (p *pool) candidates(now time.Duration) []place.Candidate {
	var out []place.Candidate
	for _, name := range p.holder.FreeServers() {
		s, serving := p.servers[name]
		if !serving {
			p.holder.Return(name, math.MaxInt)
			continue
		}
		if !p.placer.Health.Usable(now, name) {
			p.holder.Return(name, math.MaxInt)
			p.suspects = append(p.suspects, name)
			continue
		}
		out = append(out, place.Candidate{Server: name, Slots: s.Slots, Running: p.holder.Running(name)})
	}
	return out
}

// startOne starts the next request of an account on the best candidate.
func (p *pool) startOne(now time.Duration, account string, candidates []place.Candidate) bool {
	next := p.queue.Peek(account, 1)
	if len(next) == 0 {
		return false
	}
	t := next[0]
	w := t.Value.(*waiter)
	server, ok := p.placer.Choose(now, candidates, w.call.blocks)
	if !ok {
		return false
	}
	p.holder.Start(server)
	p.placer.Health.Sent(server)
	p.placer.Index.Sent(server, w.call.blocks)
	p.queue.Start(t, w.call.meter.Start(p.costs.Estimate(account, w.call.class)))
	answer(t, turn{server: p.servers[server]})
	return true
}

// progress charges what a running request has cost so far.
func (p *pool) progress(c *call, cost float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if extra := c.meter.Progress(cost); extra > 0 {
		p.queue.Charge(c.account.Name, extra)
	}
}

// result is how one attempt on a server ended.
type result uint8

const (
	served    result = iota // the server answered
	failed                  // the server failed
	abandoned               // says nothing about the server
)

// finish settles a request that used a slot and lets the next one start.
func (p *pool) finish(now time.Duration, c *call, server string, cost float64, r result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Charge(c.account.Name, c.meter.Finish(cost))
	p.queue.Finish(c.account.Name)
	p.holder.Done(now, server)
	switch r {
	case served:
		p.costs.Observe(c.account.Name, c.class, cost)
		p.placer.Health.Succeeded(server)
	case failed:
		if p.placer.Health.Failed(now, server) {
			p.router.stats.ejected.Inc()
			p.suspects = append(p.suspects, server)
		}
	case abandoned:
		p.placer.Health.Abandoned(server)
	}
	p.dispatch(now)
}

// tick expires what has waited too long. Without a lease, everything that
// waits is told so.
func (p *pool) tick(now time.Duration, leased bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.queue.Expire(now) {
		p.router.stats.expired.Inc()
		answer(t, turn{fail: &failWaited})
	}
	if !leased {
		p.holder.Expire()
		p.failWaiting(failLease)
		return
	}
	if n, _ := p.queue.Len(); n == 0 {
		p.holder.ReturnLingering(now, p.router.set.Limits.Linger)
	}
	p.dispatch(now)
}

func (p *pool) failWaiting(f Failure) {
	for name := range p.accounts {
		for _, t := range p.queue.Peek(name, math.MaxInt) {
			p.queue.Cancel(t)
			answer(t, turn{fail: &f})
		}
	}
	if n, _ := p.queue.Len(); n > 0 {
		p.failWaiting(f) // other flows of the same accounts
	}
}

// takeView takes what the allocator says of this pool.
func (p *pool) takeView(now time.Duration, v protocol.PoolView, reportSeq uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = slots.Fleet{Unmet: v.Unmet, Floor: v.Floor, Slack: v.Slack, At: now}
	p.queue.SetFloor(v.Floor)
	for _, a := range v.Accounts {
		p.queue.SetTime(a.Account, v.Floor+a.Ahead, reportSeq)
	}
	p.dispatch(now)
}

// grant takes slots, if the pool knows the server.
func (p *pool) grant(now time.Duration, h protocol.Held) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.Grant(now, h.Server, h.Slots)
	p.dispatch(now)
}

// wakeReporter tells the session that there is something to report. The
// caller holds mu.
func (p *pool) wakeReporter() {
	if p.holder.HasReturned() || p.queue.Hidden() || len(p.suspects) > 0 {
		p.urgent = true
	}
	if p.urgent || p.queue.Changed() || p.holder.Idle() != p.idle {
		p.router.fleet.wake(p.urgent)
	}
}

// takeReport returns what is to be reported of this pool as report seq.
func (p *pool) takeReport(seq uint64, into *protocol.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.urgent = false
	into.Returned = append(into.Returned, p.holder.TakeReturned()...)
	into.Suspects = append(into.Suspects, p.suspects...)
	p.suspects = nil
	pr := protocol.PoolReport{Pool: p.name, Idle: p.holder.Idle()}
	for _, c := range p.queue.TakeChanges(seq) {
		pr.Accounts = append(pr.Accounts, protocol.AccountReport{
			Account: c.Account, Waiting: c.Waiting, Service: c.Service, Started: c.Started,
		})
	}
	if len(pr.Accounts) > 0 || pr.Idle != p.idle {
		into.Pools = append(into.Pools, pr)
	}
	p.idle = pr.Idle
}

// hello returns what this pool holds and knows, for a new session.
func (p *pool) hello(leased bool) ([]protocol.Held, protocol.PoolView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leased {
		p.holder.Expire()
	}
	p.fleet = slots.Fleet{} // what the last allocator said is over
	v := protocol.PoolView{Pool: p.name, Floor: p.queue.Floor()}
	for _, s := range p.queue.Times() {
		if s.Time != 0 {
			v.Accounts = append(v.Accounts, protocol.AccountView{Account: s.Account, Ahead: s.Time - v.Floor})
		}
	}
	return p.holder.Held(), v
}

// welcomed starts the numbering of reports again.
func (p *pool) welcomed(w protocol.Welcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = 0
	if w.Void {
		p.holder.ReturnIdle()
	}
	p.queue.ResetReports(w.Known, w.Reports)
	p.dispatch(p.router.now())
}

// unlinked forgets what the allocator said, so that slots are used rather
// than returned to nobody.
func (p *pool) unlinked() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = slots.Fleet{}
	p.dispatch(p.router.now())
}

func answer(t *share.Ticket, got turn) { t.Value.(*waiter).turn <- got }
