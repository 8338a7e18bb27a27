// SPDX-License-Identifier: Apache-2.0

package router

import (
	"cmp"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/share"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines lockedPool, which serializes the decisions of one pool, and the wait of a
// request for its server.

// lockedPool is one pool on this router. Every change that may let queued work start must end with
// dispatch, since no other event would start it.
type lockedPool struct {
	name   string
	router *Router

	mu        sync.Mutex // second in the lock order, after Router.mu
	pool      *pool.Pool
	servers   map[string]config.Server // by identifier, whatever their mark
	accepting bool                     // some server is serving or joining
	stopped   bool                     // the router is stopping and starts nothing any more
}

// waiter is a request in a pool's queue. result receives the end of its wait.
type waiter struct {
	work   *pool.Work
	result chan waitResult // buffered
}

// waitResult is the end of a request's wait: the server to use, or a failure.
type waitResult struct {
	server config.Server
	fail   *Failure
}

func newPool(r *Router, name string) *lockedPool {
	l := r.cfg.Limits
	return &lockedPool{
		name: name, router: r, servers: map[string]config.Server{},
		pool: pool.New(name, pool.Settings{
			Limits: share.Limits{Waiting: l.Waiting, Bytes: l.WaitingBytes}, Linger: l.Linger,
			FirstEstimate: firstEstimate, PrefixBlocks: prefixBlocks,
		}),
	}
}

// configure applies a configuration: the accounts, and the servers that may get work.
func (p *lockedPool) configure(t *routes, accounts []pool.Account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var serving []pool.Server
	clear(p.servers)
	p.accepting = false
	for _, s := range t.pools[p.name] {
		p.servers[s.ID] = s
		p.accepting = p.accepting || s.Mark != config.Leaving
		if s.Mark == config.Serving {
			serving = append(serving, pool.Server{Name: s.ID, Slots: s.Slots})
		}
	}
	failAll(p.pool.Configure(accounts, serving), failAPIKey)
	if !p.accepting {
		failAll(p.pool.Drop(), failNoServer)
	}
	p.dispatch()
}

// poolAccounts returns the accounts, with the router's limits where the configuration sets none.
func (r *Router) poolAccounts(cfg config.Config) []pool.Account {
	accounts := make([]pool.Account, 0, len(cfg.Accounts()))
	for _, a := range cfg.Accounts() {
		limits := share.Limits{
			Waiting: cmp.Or(a.Limits.Waiting, r.cfg.Limits.AccountWaiting),
			Bytes:   cmp.Or(a.Limits.WaitingBytes, r.cfg.Limits.AccountBytes),
			Running: a.Limits.Running,
		}
		accounts = append(accounts, pool.Account{Name: a.ID, Share: a.Share, Limits: limits})
	}
	return accounts
}

// enqueue adds a request to the queue.
func (p *lockedPool) enqueue(c *call) (*waiter, *Failure) {
	w := &waiter{result: make(chan waitResult, 1)}
	w.work = &pool.Work{
		Account: c.account.ID, Class: c.class, Flow: c.flow, Bytes: int64(len(c.body)), Blocks: c.blocks,
		Deadline: p.router.now() + p.router.cfg.Limits.QueueTimeout, Value: w,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, failStopping
	}
	if !p.accepting {
		return nil, failNoServer
	}
	if err := p.pool.Push(w.work); err != nil {
		if errors.As(err, new(share.UnknownAccountError)) {
			return nil, failAPIKey
		}
		return nil, failFull.WithMessage(err.Error())
	}
	p.dispatch()
	return w, nil
}

// cancel removes a request from the queue. If its wait has ended in the meantime, cancel returns
// the result, and if that is a server, the caller must release the slot with finish.
func (p *lockedPool) cancel(w *waiter) (waitResult, bool) {
	p.mu.Lock()
	waiting := p.pool.Cancel(w.work)
	p.mu.Unlock()
	if waiting {
		return waitResult{}, false
	}
	got := <-w.result
	return got, got.fail == nil
}

// stop refuses the queued requests and all that would be queued later.
func (p *lockedPool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	failAll(p.pool.Drop(), failStopping)
}

// finish releases the slot of a request and lets the next one start.
func (p *lockedPool) finish(w *pool.Work, server string, cost float64, r pool.Result) {
	p.update(func(now time.Duration, pl *pool.Pool) {
		if pl.Finish(now, w, server, cost, r) {
			p.router.stats.ejected.Inc()
		}
	})
}

// recordFailure records a failure of a server at which a request keeps its slot.
func (p *lockedPool) recordFailure(server string) {
	p.update(func(now time.Duration, pl *pool.Pool) {
		if pl.RecordFailure(now, server) {
			p.router.stats.ejected.Inc()
		}
	})
}

// tick fails requests that have waited too long and, without a lease, all queued requests.
func (p *lockedPool) tick(leased bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.router.now()
	expired := p.pool.Expire(now)
	p.router.stats.waitedTooLong.Add(len(expired))
	failAll(expired, failWaitedTooLong)
	if !leased {
		p.pool.LeaseLost()
		failAll(p.pool.Drop(), failNoLease)
		return
	}
	p.pool.ReturnIdleAfterLinger(now)
	p.dispatch()
}

// dispatch wakes the requests that may start with their servers, and requests a report if there is
// something to report. The caller holds mu.
func (p *lockedPool) dispatch() {
	now := p.router.now()
	for _, s := range p.pool.Dispatch(now, p.router.lease.valid(now)) {
		s.Work.Value.(*waiter).result <- waitResult{server: p.servers[s.Server]}
	}
	if u := p.pool.Urgency(); u != pool.NothingNew {
		p.router.leader.requestReport(u == pool.Urgent)
	}
}

// update runs f, which may change the pool, under the lock, and dispatches.
func (p *lockedPool) update(f func(now time.Duration, pl *pool.Pool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.router.now(), p.pool)
	p.dispatch()
}

// withLock runs f under the lock. f must not let any work start.
func (p *lockedPool) withLock(f func(pl *pool.Pool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.pool)
}

// failAll ends the wait of queued requests with a failure.
func failAll(works []*pool.Work, f *Failure) {
	for _, w := range works {
		w.Value.(*waiter).result <- waitResult{fail: f}
	}
}
