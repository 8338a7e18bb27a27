// SPDX-License-Identifier: Apache-2.0

package router

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines Router, its settings, and how a configuration comes into
// force.

// Transport sends calls to backend servers. [forward.Client] is one.
type Transport interface {
	Send(ctx context.Context, address string, call forward.Call) (*forward.Answer, error)
}

var _ Transport = (*forward.Client)(nil)

// Settings of a router.
type Settings struct {
	Identity  link.Identity
	Hall      string
	Replicas  map[string]string // fleet addresses of the control replicas by name
	Transport Transport
	Limits    Limits
	Pace      slots.Pace
	// StopWithoutLeader lets the lease run out when there is no leader, even if a
	// majority of the replicas reports that there is none.
	StopWithoutLeader bool
	// Clock is a monotonic clock that goes on while the box is suspended, so that a lease is over
	// when it wakes; nil is Go's, which stands still meanwhile.
	Clock   func() time.Duration
	Random  func() uint64 // for the boot number, the numbers of attempts and pauses
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Limits of what callers may send and of what may wait.
type Limits struct {
	Body           int64         // bytes of one request's body
	Bodies         int64         // bytes of the bodies of all requests together, read or being read
	Read           time.Duration // longest time for a caller to send a body
	Write          time.Duration // longest time for a caller to take one piece of an answer
	Waiting        int           // requests in one pool's queue
	WaitingBytes   int64         // their bodies
	AccountWaiting int           // requests of one account, unless configured
	AccountBytes   int64         // their bodies
	Wait           time.Duration // longest wait for a turn
	Linger         time.Duration // how long an unused slot is kept
}

// DefaultLimits suit a box of 256 MB: bodies take at most half of it, and a waiting request 53 KB
// besides (BenchmarkRouterMemory).
var DefaultLimits = Limits{
	Body: 8 << 20, Bodies: 128 << 20, Read: 30 * time.Second, Write: 30 * time.Second,
	Waiting: 4096, WaitingBytes: 64 << 20, AccountWaiting: 1024, AccountBytes: 32 << 20,
	Wait: 60 * time.Second, Linger: 50 * time.Millisecond,
}

// Settings of every pool.
const (
	firstEstimate  = 256                   // cost, in share.Weights, of a request whose account and class have finished none
	prefixBlocks   = 8192                  // prompt blocks remembered by each pool
	poolTickPeriod = 50 * time.Millisecond // between two checks for waits, slots and a lease that have ended
)

// Router is a running router.
type Router struct {
	cfg       Settings
	boot      uint64
	startedAt time.Duration // by the clock
	ctx       context.Context
	stop      context.CancelFunc
	meter     *link.Meter
	stats     *stats
	routes    atomic.Pointer[routes]
	lease     lease
	leader    *leaderClient
	claims    *claimClient
	serving   atomic.Bool  // false once a stop has begun: readiness turns false
	refusing  atomic.Bool  // later in the stop: new requests are refused
	inFlight  atomic.Int64 // requests being served
	bodyBytes atomic.Int64 // bytes of their bodies

	mu    sync.Mutex // guards pools
	pools map[string]*lockedPool

	budgetMu sync.Mutex
	budget   retry.Budget
}

// Start runs a router until Stop. Its boot number is drawn here; cfg is its own
// copy, in which limits and pace that are not set become the defaults.
func Start(ctx context.Context, cfg Settings) *Router {
	cfg.Limits = cmp.Or(cfg.Limits, DefaultLimits)
	cfg.Pace = cmp.Or(cfg.Pace, slots.DefaultPace)
	if cfg.Clock == nil {
		start := time.Now()
		cfg.Clock = func() time.Duration { return time.Since(start) }
	}
	ctx, stop := context.WithCancel(ctx)
	r := &Router{
		cfg: cfg, startedAt: cfg.Clock(), boot: cfg.Random() | 1, ctx: ctx, stop: stop,
		meter: link.NewMeter(cfg.Metrics), stats: newStats(cfg.Metrics), pools: map[string]*lockedPool{},
		budget: retry.DefaultBudget,
	}
	r.routes.Store(newRoutes(config.Config{}))
	r.serving.Store(true)
	r.leader = newLeaderClient(r)
	r.claims = newClaimClient(r)
	go r.leader.run()
	go r.tick()
	return r
}

// now is the router's monotonic clock.
func (r *Router) now() time.Duration { return r.cfg.Clock() - r.startedAt }

// jitter returns a time from 0 to most.
func (r *Router) jitter(most time.Duration) time.Duration {
	return time.Duration(r.cfg.Random() % uint64(most))
}

// Ready reports whether the balancer may send requests here.
func (r *Router) Ready() bool { return r.serving.Load() && r.lease.valid(r.now()) }

// Revision returns the configuration in force here.
func (r *Router) Revision() uint64 { return r.routes.Load().cfg.Revision() }

// Stop ends the router without cutting off a request: readiness turns false,
// new requests are still served for grace (the balancer needs time to see
// it), then those that run go to their end, and the slots are handed back. When
// ctx ends first, what still runs is cut off.
func (r *Router) Stop(ctx context.Context, grace time.Duration) {
	r.serving.Store(false)
	sleep.For(ctx, grace)
	r.refusing.Store(true)
	awaitZero(ctx, &r.inFlight)
	r.claims.flush(ctx)
	r.leader.goodbye(ctx)
	r.stop()
}

// zeroPollInterval is between two checks of a count during a stop.
const zeroPollInterval = 10 * time.Millisecond

// awaitZero waits until a count is zero, or ctx ends. A WaitGroup would not do:
// the count may rise again meanwhile.
func awaitZero(ctx context.Context, count *atomic.Int64) {
	for count.Load() > 0 && sleep.For(ctx, zeroPollInterval) {
	}
}

// tick expires waiting requests and unused slots, and counts the leases that
// ran out.
func (r *Router) tick() {
	leased := false
	for sleep.For(r.ctx, poolTickPeriod) {
		before := leased
		leased = r.lease.valid(r.now())
		if before && !leased {
			r.stats.leaseExpired.Inc()
		}
		for _, p := range r.poolList() {
			p.tick(leased)
		}
	}
}

// apply brings a configuration into force, unless a newer one is.
func (r *Router) apply(cfg config.Config) {
	if cfg.Revision() < r.Revision() {
		return
	}
	next := newRoutes(cfg)
	r.mu.Lock()
	r.routes.Store(next)
	for name := range next.pools {
		if r.pools[name] == nil {
			r.pools[name] = newPool(r, name)
		}
	}
	r.mu.Unlock()
	accounts := r.poolAccounts(cfg)
	for _, p := range r.poolList() {
		p.configure(next, accounts)
	}
	r.cfg.Log.Debug("configuration in force", "revision", cfg.Revision())
}

func (r *Router) pool(name string) *lockedPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[name]
}

// poolList returns the pools in the order of their names, so that reports do
// not depend on the map.
func (r *Router) poolList() []*lockedPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.pools), func(a, b *lockedPool) int { return cmp.Compare(a.name, b.name) })
}

// countRequest adds a request to the retry budget.
func (r *Router) countRequest() {
	r.budgetMu.Lock()
	defer r.budgetMu.Unlock()
	r.budget.Request()
}

var _ http.Handler = (*Router)(nil)
