// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines Gateway: its settings and start, and its reaction to processor overload.

// Transport sends calls to backend servers. [forward.Client] implements it.
type Transport interface {
	Send(ctx context.Context, address string, call forward.Call) (*forward.Response, error)
	// DropIdle closes the idle connections to an address.
	DropIdle(address string)
	// DropAllIdle closes the idle connections to all addresses.
	DropAllIdle()
	// RefusesConnections reports whether an address refuses connections, which means that the
	// server's process has ended.
	RefusesConnections(ctx context.Context, address string) bool
}

var _ Transport = (*forward.Client)(nil)

// Settings holds the configuration and dependencies of a gateway.
type Settings struct {
	Identity link.Identity
	Hall     string
	Region   string            // region of the hall; empty if the settings name none
	Topology topology.Topology // regions and halls of the fleet
	// LinkRate is the one-way capacity of the link between two regions, in bytes per second;
	// 0 means [place.DefaultLinkRate].
	LinkRate  float64
	Seeds     []string // fleet addresses of directory replicas
	Headers   HeaderCodec
	Transport Transport
	Retries   retry.Limits
	// Grace is how long a stopping process may take to drain.
	Grace time.Duration
	// MaxTotalBodyBytes bounds the memory used by all request bodies together.
	MaxTotalBodyBytes int64
	// MaxTotalAnswerBytes bounds the memory used by what is held of all answers together; 0 means no
	// bound.
	MaxTotalAnswerBytes int64
	Random              func() uint64 // must be safe for concurrent use
	// ProcessorWait returns how long runnable threads of this process have waited for a processor
	// since the last call; nil if this is not measured.
	ProcessorWait func() time.Duration
	// Clock is a monotonic clock that keeps counting while the box is suspended; nil means Go's
	// clock, which stops.
	Clock   func() time.Duration
	Log     *decision.Log
	Metrics *metrics.Set
}

// Gateway is a running gateway and the HTTP handler of callers' requests.
type Gateway struct {
	cfg                 Settings
	startedAt           time.Duration // by cfg.Clock
	ctx                 context.Context
	stop                context.CancelFunc
	routes              atomic.Pointer[routes] // nil before the first document
	seeds               atomic.Pointer[[]string]
	table               *table
	accounts            *accounts
	tokenCounters       *tokenCounters
	stats               *stats
	crashDetector       *crashDetector
	suspicions          *suspicions
	origins             *origins
	meter               *link.Meter
	seq                 atomic.Uint64
	gatewayCount        atomic.Int64 // gateways in the fleet, as last reported by the directory
	admission           admission
	requestsSinceReport atomic.Int64 // requests received since the last report
	bodies              bodyMemory
	answers             bodyMemory // what is held of answers
	pauses              pauses
	stopBeganAt         atomic.Int64    // when the stop began, by now(); 0 while running
	lateStarts          context.Context // ends when a stopping gateway begins no long requests any more
	endLateStarts       context.CancelFunc
	requests            context.Context // ends when a stopping gateway cuts off its requests
	cutOff              context.CancelFunc

	overload atomic.Pointer[overload.Detector] // replaced by tick

	// Limit on accepting callers' connections, see [overload.AcceptLimit].
	acceptLimited       atomic.Bool
	acceptRate          atomic.Uint64 // bits of a float64: connections a second; 0 without a limit
	connectionAllowance atomic.Int64  // connections that may be accepted until the next tick
	connectionsAdmitted atomic.Int64  // connections accepted since the last tick
	acceptBacklog       acceptBacklog

	retriesMu    sync.Mutex               // leaf lock; guards retryWindows
	retryWindows map[string]*retry.Window // by pool
}

// Start starts a gateway, which runs until Stop is called or ctx ends.
func Start(ctx context.Context, cfg Settings) *Gateway {
	ctx, stop := context.WithCancel(ctx)
	if cfg.ProcessorWait == nil {
		cfg.ProcessorWait = func() time.Duration { return 0 }
	}
	if cfg.Clock == nil {
		start := time.Now()
		cfg.Clock = func() time.Duration { return time.Since(start) }
	}
	g := &Gateway{
		cfg: cfg, startedAt: cfg.Clock(), ctx: ctx, stop: stop, bodies: bodyMemory{limit: cfg.MaxTotalBodyBytes}, answers: bodyMemory{limit: cfg.MaxTotalAnswerBytes},
		tokenCounters: newTokenCounters(cfg.Metrics), stats: newStats(cfg.Metrics), meter: link.NewMeter(cfg.Metrics), retryWindows: map[string]*retry.Window{},
	}
	g.lateStarts, g.endLateStarts = context.WithCancel(context.Background())
	g.requests, g.cutOff = context.WithCancel(context.Background())
	g.table = newTable(cfg.Identity.Name, cfg.Hall, g.now)
	g.table.setSite(cfg.Region, cfg.Topology, cfg.LinkRate)
	g.accounts = newAccounts(g.now)
	g.crashDetector, g.suspicions, g.origins = newCrashDetector(g), newSuspicions(g.now), newOrigins()
	g.SetSeeds(cfg.Seeds)
	g.gatewayCount.Store(retry.AssumedGateways)
	detector := overload.New(g.now())
	g.overload.Store(&detector)
	g.connectionAllowance.Store(int64(overload.AcceptLimit{}.Allowance()))
	go (&watcher{g: g, startID: cfg.Random() | 1}).run()
	go g.tick()
	go g.logTokens()
	return g
}

// SetSeeds replaces the addresses at which the watcher looks for the directory.
func (g *Gateway) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

// now returns the time by the gateway's monotonic clock. It is never 0, which stands for unset.
func (g *Gateway) now() time.Duration { return g.cfg.Clock() - g.startedAt + 1 }

// monotonicTime converts a time to the gateway's monotonic clock. It returns 0 for the zero time.
func (g *Gateway) monotonicTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(g.now()-time.Since(t), 1)
}

// Ready reports whether load balancers should send new callers to this gateway.
func (g *Gateway) Ready() bool {
	return g.stopBeganAt.Load() == 0 && g.routes.Load() != nil && g.table.size() > 0 && !g.overload.Load().Unready(g.now()) &&
		!g.acceptLimited.Load()
}

// AdmitConnection reports whether one more caller's connection may be accepted now, and counts
// it if so.
func (g *Gateway) AdmitConnection() bool {
	if g.connectionAllowance.Add(-1) < 0 {
		return false
	}
	g.connectionsAdmitted.Add(1)
	if g.acceptLimited.Load() {
		g.acceptBacklog.addAccepted()
	}
	return true
}

// ObserveAcceptQueue records the length of the listener's accept queue and its capacity.
func (g *Gateway) ObserveAcceptQueue(waiting, capacity int) {
	g.acceptBacklog.observe(g.now(), waiting, capacity)
}

// AcceptRate returns the limit on the accept rate of callers' connections, in connections per
// second, or 0 without one.
func (g *Gateway) AcceptRate() float64 { return math.Float64frombits(g.acceptRate.Load()) }

// Limits returns the size and time limits for callers' requests from the document in force;
// before the first document, there are none.
func (g *Gateway) Limits() document.Limits { return g.document().Limits }

// DocumentNumber returns the number of the document in force here, 0 before the first.
func (g *Gateway) DocumentNumber() uint64 { return g.document().Number }

// document returns the document in force, or an empty one before the first.
func (g *Gateway) document() document.Document {
	if rs := g.routes.Load(); rs != nil {
		return rs.document
	}
	return document.Document{}
}

// apply brings a document into force unless a newer one, or the same, already is.
func (g *Gateway) apply(d document.Document) {
	current := g.routes.Load()
	if current != nil && current.document.Number >= d.Number {
		return
	}
	g.table.setHomes(d)
	g.routes.Store(newRoutes(d, current))
	g.cfg.Log.StateChange("document in force", slog.Uint64("number", d.Number), slog.Int("routes", len(d.Routes)),
		slog.Int("tenants", len(d.Accounts)))
}

// tick runs until the gateway stops. In each period it measures how late its timer fires, updates
// the overload detector and the accept limit, and grants servers to queued requests whose
// candidates have capacity again because other gateways' load has dropped.
func (g *Gateway) tick() {
	var limit overload.AcceptLimit
	for range sleep.Every(g.ctx, overload.TickPeriod) {
		g.pauses.tick(g.now())
		previous := g.overload.Load()
		d := previous.Tick(g.now(), g.cfg.ProcessorWait())
		g.overload.Store(&d)
		limit = g.setAcceptLimit(limit, limit.Next(g.now(), d.Delay, int(g.connectionsAdmitted.Swap(0))), d.Delay)
		if d.High != previous.High {
			g.cfg.Log.StateChange("processor pressure", slog.Bool("high", d.High),
				milliseconds("delay_ms", d.Delay.Round(time.Millisecond)), slog.Int64("requests", g.admission.count()))
		}
		g.condemnLocally()
		g.grantAll()
	}
}

// setAcceptLimit applies a new limit on accepting callers' connections and returns it.
func (g *Gateway) setAcceptLimit(old, limit overload.AcceptLimit, delay time.Duration) overload.AcceptLimit {
	n, bounded := limit.Allowance(), limit.Bounded()
	g.connectionAllowance.Store(int64(n))
	g.acceptLimited.Store(bounded)
	g.acceptRate.Store(math.Float64bits(limit.Rate()))
	if bounded != old.Bounded() {
		g.acceptBacklog.reset()
		g.cfg.Log.StateChange("connections paced", slog.Bool("bounded", bounded), slog.Int("in_20_ms", n),
			milliseconds("delay_ms", delay.Round(time.Millisecond)), slog.Int64("requests", g.admission.count()))
	}
	return limit
}

// allowRetry takes one attempt out of the pool's retry budget and reports whether one was left.
func (g *Gateway) allowRetry(pool string) bool {
	g.retriesMu.Lock()
	defer g.retriesMu.Unlock()
	return g.retryWindow(pool).AllowRetry(g.now(), int(g.gatewayCount.Load()))
}

// hasRetry reports whether an attempt is left in the pool's retry budget.
func (g *Gateway) hasRetry(pool string) bool {
	g.retriesMu.Lock()
	defer g.retriesMu.Unlock()
	return g.retryWindow(pool).HasRetry(g.now(), int(g.gatewayCount.Load()))
}

// countRequest counts a request towards the retry budget of its pool.
func (g *Gateway) countRequest(pool string) {
	g.retriesMu.Lock()
	defer g.retriesMu.Unlock()
	g.retryWindow(pool).RecordRequest(g.now())
}

// retryWindow returns the retry budget of a pool. The caller holds retriesMu.
func (g *Gateway) retryWindow(pool string) *retry.Window {
	w := g.retryWindows[pool]
	if w == nil {
		w = retry.NewWindow(g.cfg.Retries)
		g.retryWindows[pool] = w
	}
	return w
}

// randomFraction returns a random number in [0, 1).
func (g *Gateway) randomFraction() float64 { return float64(g.cfg.Random()>>11) / (1 << 53) }

var _ http.Handler = (*Gateway)(nil)
