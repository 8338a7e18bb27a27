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

// This file defines Router, its settings, its start and stop, and how it applies a configuration.

// Transport sends calls to backend servers. [forward.Client] implements it.
type Transport interface {
	Send(ctx context.Context, address string, call forward.Call) (*forward.Response, error)
}

var _ Transport = (*forward.Client)(nil)

// Settings holds the configuration and dependencies of a router.
type Settings struct {
	Identity  link.Identity
	Hall      string
	Replicas  map[string]string // fleet addresses of the control replicas by name
	Transport Transport
	Limits    Limits
	Pace      slots.Pace
	// StopWithoutLeader lets the lease expire while there is no leader, even if a majority of the
	// replicas confirms that there is none.
	StopWithoutLeader bool
	// Clock is a monotonic clock that keeps counting while the box is suspended, so that a lease
	// has expired when the box resumes. nil means Go's clock, which stops during suspension.
	Clock   func() time.Duration
	Random  func() uint64 // source of the boot number, attempt numbers and jitter
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Limits bounds what callers may send and what may be queued.
type Limits struct {
	BodyBytes      int64         // bytes of one request's body
	TotalBodyBytes int64         // bytes of all request bodies together, read or being read
	ReadTimeout    time.Duration // longest time for a caller to send a body
	WriteTimeout   time.Duration // longest time for a caller to accept one chunk of an answer
	Waiting        int           // requests in one pool's queue
	WaitingBytes   int64         // bytes of the bodies in one pool's queue
	AccountWaiting int           // queued requests of one account in a pool, unless its configuration sets another limit
	AccountBytes   int64         // bytes of the bodies of those requests, likewise
	QueueTimeout   time.Duration // longest time in the queue
	Linger         time.Duration // how long an unused slot is kept
}

// DefaultLimits suit a box with 256 MB of memory: bodies take at most half of it, and each queued
// request about 53 KB more.
var DefaultLimits = Limits{
	BodyBytes: 8 << 20, TotalBodyBytes: 128 << 20, ReadTimeout: 30 * time.Second, WriteTimeout: 30 * time.Second,
	Waiting: 4096, WaitingBytes: 64 << 20, AccountWaiting: 1024, AccountBytes: 32 << 20,
	QueueTimeout: 60 * time.Second, Linger: 50 * time.Millisecond,
}

// Settings that are the same for every pool.
const (
	firstEstimate  = 256                   // assumed cost, in units of share.Weights, of a request whose account and class have no finished request yet
	prefixBlocks   = 8192                  // prompt blocks remembered per pool
	poolTickPeriod = 50 * time.Millisecond // period of the checks for expired requests, unused slots and an expired lease
)

// Router is a running router.
type Router struct {
	cfg       Settings
	boot      uint64
	startedAt time.Duration // by cfg.Clock
	ctx       context.Context
	stop      context.CancelFunc
	meter     *link.Meter
	stats     *stats
	routes    atomic.Pointer[routes]
	lease     lease
	leader    *leaderClient
	claims    *claimClient
	serving   atomic.Bool  // false once a stop has begun, so that the router reports not ready
	refusing  atomic.Bool  // true after the grace period of a stop: new requests are refused
	inFlight  atomic.Int64 // requests being served
	bodyBytes atomic.Int64 // bytes reserved for the bodies of requests in flight

	mu    sync.Mutex // guards pools
	pools map[string]*lockedPool

	budgetMu sync.Mutex
	budget   retry.Budget
}

// Start starts a router, which runs until Stop is called or ctx ends. It draws the boot number.
// Unset limits and pace in cfg get their defaults.
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

// now returns the time by the router's monotonic clock.
func (r *Router) now() time.Duration { return r.cfg.Clock() - r.startedAt }

// jitter returns a random duration in [0, limit).
func (r *Router) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.cfg.Random() % uint64(limit))
}

// Ready reports whether the load balancer may send requests to this router.
func (r *Router) Ready() bool { return r.serving.Load() && r.lease.valid(r.now()) }

// Revision returns the revision of the configuration in force here.
func (r *Router) Revision() uint64 { return r.routes.Load().cfg.Revision() }

// Stop ends the router without cutting off requests. The router reports not ready at once but
// serves new requests for grace, because the load balancer takes some time to react. Then it waits
// for the running requests and hands its slots back. When ctx ends first, those that still wait for
// a slot are refused, and the running ones are cut off.
func (r *Router) Stop(ctx context.Context, grace time.Duration) {
	r.serving.Store(false)
	sleep.For(ctx, grace)
	r.refusing.Store(true)
	awaitZero(ctx, &r.inFlight)
	if r.inFlight.Load() > 0 {
		r.refuseWaiting()
	}
	r.claims.flush(ctx)
	r.leader.returnSlots(ctx)
	r.stop()
}

// refusalTimeout is how long a router that cuts off its requests waits for the refusals of others to
// be written.
const refusalTimeout = 200 * time.Millisecond

// refuseWaiting refuses the requests that wait for a slot.
func (r *Router) refuseWaiting() {
	for _, p := range r.poolList() {
		p.stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	awaitZero(ctx, &r.inFlight)
}

// zeroPollInterval is the time between two checks of a count during a stop.
const zeroPollInterval = 10 * time.Millisecond

// awaitZero waits until a count is zero or ctx ends. A WaitGroup is not suitable, because the count
// may rise again in the meantime.
func awaitZero(ctx context.Context, count *atomic.Int64) {
	for count.Load() > 0 && sleep.For(ctx, zeroPollInterval) {
	}
}

// tick periodically expires queued requests and unused slots, and counts expired leases.
func (r *Router) tick() {
	leased := false
	for sleep.For(r.ctx, poolTickPeriod) {
		wasLeased := leased
		leased = r.lease.valid(r.now())
		if wasLeased && !leased {
			r.stats.leaseExpired.Inc()
		}
		for _, p := range r.poolList() {
			p.tick(leased)
		}
	}
}

// apply brings a configuration into force unless a newer one already is.
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

// pool returns the pool of that name, or nil.
func (r *Router) pool(name string) *lockedPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[name]
}

// poolList returns the pools ordered by name, so that reports do not depend on the map's order.
func (r *Router) poolList() []*lockedPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.pools), func(a, b *lockedPool) int { return cmp.Compare(a.name, b.name) })
}

// countRequest counts a request towards the retry budget.
func (r *Router) countRequest() {
	r.budgetMu.Lock()
	defer r.budgetMu.Unlock()
	r.budget.RecordRequest()
}

var _ http.Handler = (*Router)(nil)
