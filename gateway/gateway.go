// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/coordination/drain"
	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines Gateway: its settings, its start, the watch over its processor, and
// its stop.

// Transport sends calls to backend servers. [forward.Client] is one.
type Transport interface {
	Send(ctx context.Context, address string, call forward.Call) (*forward.Answer, error)
	// DropIdle closes the idle connections to an address.
	DropIdle(address string)
	// DropAllIdle closes the idle connections to all addresses.
	DropAllIdle()
	// Refuses reports whether nothing listens at an address: its process has ended.
	Refuses(ctx context.Context, address string) bool
}

var _ Transport = (*forward.Client)(nil)

// Settings of a gateway.
type Settings struct {
	Identity link.Identity
	Hall     string
	Region   string            // of the hall; empty if the settings name none
	Topology topology.Topology // of the fleet
	// LinkRate is the capacity of the link between two regions one way, in bytes a second; 0 is
	// [place.DefaultLinkRate].
	LinkRate  float64
	Seeds     []string // fleet addresses of directory replicas
	Headers   HeaderCodec
	Transport Transport
	Retries   retry.Limits
	// Grace is how long a stopping process has.
	Grace time.Duration
	// MaxTotalBodyBytes bounds the bytes of all requests' bodies together.
	MaxTotalBodyBytes int64
	Random            func() uint64 // called by many goroutines at once
	// ProcessorWait returns how long what was ready to run in this process has waited for the
	// processor, since the last call; nil is unknown.
	ProcessorWait func() time.Duration
	// Clock is a monotonic clock that goes on while the box is suspended; nil is Go's, which does
	// not.
	Clock   func() time.Duration
	Log     *decision.Log
	Metrics *metrics.Set
}

// Gateway is a running gateway. It is the handler of callers' requests.
type Gateway struct {
	cfg                 Settings
	startedAt           time.Duration // by the clock
	ctx                 context.Context
	stop                context.CancelFunc
	routes              atomic.Pointer[routes] // nil before the first document
	seeds               atomic.Pointer[[]string]
	table               *table
	accounts            *accounts
	tokenCounters       *tokenCounters
	stats               *stats
	endDetector         *endDetector
	suspicions          *suspicions
	meter               *link.Meter
	seq                 atomic.Uint64
	gatewayCount        atomic.Int64 // gateways in the fleet, as last reported
	inFlight            atomic.Int64 // requests being served
	requestsSinceReport atomic.Int64 // requests since the last report
	bodyBytes           atomic.Int64 // bytes of their bodies
	stopped             atomic.Int64 // when the stop began, by now(); 0 before

	overload atomic.Pointer[overload.Detector] // replaced by tick

	// Callers' connections, see [overload.Pace].
	paced               atomic.Bool
	connectionAllowance atomic.Int64 // to be taken until the next tick
	connectionsTaken    atomic.Int64 // since the last tick
	acceptBacklog       acceptBacklog

	retriesMu    sync.Mutex // a leaf; guards retries
	retryWindows map[string]*retry.Window
}

// Start runs a gateway until Stop.
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
		cfg: cfg, startedAt: cfg.Clock(), ctx: ctx, stop: stop,
		tokenCounters: newTokenCounters(cfg.Metrics), stats: newStats(cfg.Metrics), meter: link.NewMeter(cfg.Metrics), retryWindows: map[string]*retry.Window{},
	}
	g.table = newTable(cfg.Identity.Name, cfg.Hall, g.now)
	g.table.setSite(cfg.Region, cfg.Topology, cfg.LinkRate)
	g.accounts = newAccounts(g.now)
	g.endDetector, g.suspicions = newEndDetector(g), newSuspicions()
	g.SetSeeds(cfg.Seeds)
	g.gatewayCount.Store(retry.AssumedGateways)
	detector := overload.New(g.now())
	g.overload.Store(&detector)
	g.connectionAllowance.Store(int64(overload.Pace{}.Allowance()))
	go (&watcher{g: g, startID: cfg.Random() | 1}).run()
	go g.tick()
	go g.logTokens()
	return g
}

// SetSeeds replaces the addresses where the directory may be found.
func (g *Gateway) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

// now is the gateway's monotonic clock. It is never 0.
func (g *Gateway) now() time.Duration { return g.cfg.Clock() - g.startedAt + 1 }

// monotonicTime is a time by the gateway's monotonic clock; 0 for the zero time.
func (g *Gateway) monotonicTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(g.now()-time.Since(t), 1)
}

// Ready reports whether new callers should come here.
func (g *Gateway) Ready() bool {
	return g.stopped.Load() == 0 && g.routes.Load() != nil && g.table.size() > 0 && !g.overload.Load().Unready(g.now()) &&
		!g.paced.Load()
}

// TakeConnection reports whether one more connection of a caller may be taken now, and
// counts it.
func (g *Gateway) TakeConnection() bool {
	if g.connectionAllowance.Add(-1) < 0 {
		return false
	}
	g.connectionsTaken.Add(1)
	if g.paced.Load() {
		g.acceptBacklog.addAccepted()
	}
	return true
}

// ObserveQueue takes how many connections of callers wait that were not taken, and how many can.
func (g *Gateway) ObserveQueue(waiting, most int) { g.acceptBacklog.observe(g.now(), waiting, most) }

// ConnectionsPaced reports whether connections of callers are kept waiting.
func (g *Gateway) ConnectionsPaced() bool { return g.paced.Load() }

// Limits returns what callers may send and how long they may take, by the
// document in force; before the first, nothing is limited.
func (g *Gateway) Limits() document.Limits { return g.document().Limits }

// DocumentNumber returns the document in force here, 0 before the first.
func (g *Gateway) DocumentNumber() uint64 { return g.document().Number }

// document returns the document in force, an empty one before the first.
func (g *Gateway) document() document.Document {
	if rs := g.routes.Load(); rs != nil {
		return rs.document
	}
	return document.Document{}
}

// apply brings a document into force. It never goes back.
func (g *Gateway) apply(d document.Document) {
	held := g.routes.Load()
	if held != nil && held.document.Number >= d.Number {
		return
	}
	g.table.setHomes(d)
	g.routes.Store(newRoutes(d, held))
	g.cfg.Log.StateChange("document in force", slog.Uint64("number", d.Number), slog.Int("routes", len(d.Routes)),
		slog.Int("tenants", len(d.Accounts)))
}

// tick publishes how late its timer fires, and gives backend servers to requests
// that wait for what others' load leaves free.
func (g *Gateway) tick() {
	var pace overload.Pace
	for range sleep.Every(g.ctx, overload.TickPeriod) {
		old := g.overload.Load()
		d := old.Tick(g.now(), g.cfg.ProcessorWait())
		g.overload.Store(&d)
		pace = g.setPace(pace, pace.Next(g.now(), d.Delay, int(g.connectionsTaken.Swap(0))), d.Delay)
		if d.High != old.High {
			g.cfg.Log.StateChange("processor pressure", slog.Bool("high", d.High),
				milliseconds("delay_ms", d.Delay.Round(time.Millisecond)), slog.Int64("requests", g.inFlight.Load()))
		}
		g.condemnLocally()
		g.grantAll()
	}
}

// setPace brings a pace of callers' connections into force and returns it.
func (g *Gateway) setPace(old, p overload.Pace, delay time.Duration) overload.Pace {
	n, bounded := p.Allowance(), p.Bounded()
	g.connectionAllowance.Store(int64(n))
	g.paced.Store(bounded)
	if bounded != old.Bounded() {
		g.acceptBacklog.reset()
		g.cfg.Log.StateChange("connections paced", slog.Bool("bounded", bounded), slog.Int("in_20_ms", n),
			milliseconds("delay_ms", delay.Round(time.Millisecond)), slog.Int64("requests", g.inFlight.Load()))
	}
	return p
}

// allowRetry takes one more attempt out of the fleet's budget, if it allows one.
func (g *Gateway) allowRetry(pool string) bool {
	g.retriesMu.Lock()
	defer g.retriesMu.Unlock()
	return g.retryWindow(pool).Retry(g.now(), int(g.gatewayCount.Load()))
}

// countRequest counts a request that earns its pool retries.
func (g *Gateway) countRequest(pool string) {
	g.retriesMu.Lock()
	defer g.retriesMu.Unlock()
	g.retryWindow(pool).Request(g.now())
}

// retryWindow returns a pool's budget. The caller holds retriesMu.
func (g *Gateway) retryWindow(pool string) *retry.Window {
	w := g.retryWindows[pool]
	if w == nil {
		w = retry.NewWindow(g.cfg.Retries)
		g.retryWindows[pool] = w
	}
	return w
}

// randomFraction returns a number from 0 to 1.
func (g *Gateway) randomFraction() float64 { return float64(g.cfg.Random()>>11) / (1 << 53) }

// stopPollInterval is how often a stopping gateway looks whether it may end.
const stopPollInterval = 20 * time.Millisecond

// Stop ends the gateway: it is not ready at once, each connection closes after
// its answer, and package drain decides which requests may still begin and when
// all ends.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopped.Store(int64(g.now()))
	defer g.stop()
	for range sleep.Every(ctx, stopPollInterval) {
		switch drain.Grace(g.cfg.Grace).Next(g.stopping(), g.inFlight.Load()) {
		case drain.CutOff:
			g.cfg.Log.StateChange("stop cuts off", slog.Int64("requests", g.inFlight.Load()))
			return
		case drain.End:
			return
		}
	}
}

// stopping returns for how long the gateway has been stopping, or 0.
func (g *Gateway) stopping() time.Duration {
	began := g.stopped.Load()
	if began == 0 {
		return 0
	}
	return g.now() - time.Duration(began)
}

var _ http.Handler = (*Gateway)(nil)
