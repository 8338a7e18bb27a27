// SPDX-License-Identifier: Apache-2.0

// Package badgerspoke assembles a box of a router fleet: the router role, the
// control role, or both, with the listeners that they need.
//
// A [Box] is built from [Settings] and owns its listeners, its HTTP servers,
// its metrics and the connections to backend servers. Routers accept callers'
// requests and distribute them fairly over backend servers. Control replicas
// store the configuration and grant slots to the routers. Boxes find each
// other by the addresses in [Settings.Replicas] and authenticate each other
// with a shared fleet key. A Box has no lock: its fields don't change after
// [Start]. Stop ends its parts in order of dependence: router, control role,
// connections to backend servers, listeners. The roles are separate packages
// that can be embedded without this one:
// [github.com/badgerspoke/badgerspoke/router] and
// [github.com/badgerspoke/badgerspoke/control]. The decision algorithms,
// which perform no I/O, are under coordination/.
package badgerspoke

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/control"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/router"
	"github.com/badgerspoke/badgerspoke/settings"
	"github.com/badgerspoke/badgerspoke/state/wal"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines Box, the assembled process.

// Settings are the settings of a box. The caller opens the listeners, so that
// tests need no fixed ports and the daemon can report a port that is already
// in use before it starts.
type Settings struct {
	Name     string // unique in the fleet
	Hall     string // data hall of the box
	FleetKey []byte // equal on all boxes; badgerspoked requires at least settings.MinFleetKey bytes
	// Replicas are the fleet addresses (IP:PORT) of all control replicas, by
	// name.
	Replicas map[string]string

	Router  bool
	Callers net.Listener // for the router role

	Control       bool
	Operators     net.Listener // for the control role; serves metrics for either role
	Fleet         net.Listener // for the control role
	DataDir       string       // data folder of the control role; created if missing
	OperatorToken string       // required in every operator call
	Overcommit    float64      // fraction of an engine's slots that is granted in addition to them

	TLS *settings.TLS // nil means unencrypted connections
	// Zero values of the next five fields select the defaults of their packages.
	Lease             slots.Lease
	Pace              slots.Pace
	ElectionTimeout   time.Duration // time without a message from the leader until a control replica starts an election
	HeartbeatInterval time.Duration // interval between messages of the leading control replica
	Limits            router.Limits
	// StopWithoutLeader makes a router without a leader stop serving, even if a majority
	// of the control replicas reports that there is no leader.
	StopWithoutLeader bool
	// Grace is the time for which a stopping router still accepts requests, so
	// that the load balancer can remove it.
	Grace time.Duration
	Log   *slog.Logger // nil disables logging

	// Tests replace the network, the disk and the random numbers. Nil selects those of the machine.
	Dialer  forward.Dialer
	OpenDir func(group string) (wal.Dir, error) // data folder of one consensus group of the control role
	Random  func() uint64
	// Clock is a monotonic clock that advances while the box is suspended. Nil means Go's monotonic
	// clock, which doesn't.
	Clock func() time.Duration
}

// Box is a running box.
type Box struct {
	cfg          Settings
	metrics      *metrics.Set
	router       *router.Router
	control      *control.Control
	serverClient *forward.Client
	httpServers  []*http.Server
}

// Limits of every listener.
const (
	// readHeaderTimeout is the time limit for receiving the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the headers of one request.
	maxHeaderBytes = 64 << 10
	// maxConnections limits the open connections of one listener.
	maxConnections = 8192
)

// Start assembles and starts a box, which runs until Stop. If ctx ends, its roles end
// at once. The only errors are those of the data folder (DataDir or OpenDir). After an
// error the listeners remain open.
func Start(ctx context.Context, cfg Settings) (*Box, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.OpenDir == nil {
		cfg.OpenDir = func(group string) (wal.Dir, error) { return wal.MakeDir(filepath.Join(cfg.DataDir, group)) }
	}
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	if cfg.TLS == nil {
		cfg.TLS = &settings.TLS{}
	}
	b := &Box{cfg: cfg, metrics: metrics.NewSet()}
	if cfg.Control {
		if err := b.startControl(ctx); err != nil {
			return nil, err
		}
	}
	if cfg.Router {
		b.startRouter(ctx)
	}
	if cfg.Operators != nil {
		b.serve(cfg.Operators, b.operatorsMux(), cfg.TLS.Clients)
	}
	return b, nil
}

func (b *Box) identity() link.Identity {
	id := link.Identity{Name: b.cfg.Name, Key: b.cfg.FleetKey, TLS: b.cfg.TLS.Dial}
	if b.cfg.Dialer != nil {
		id.Dial = b.cfg.Dialer.DialContext
	}
	return id
}

func (b *Box) startControl(ctx context.Context) error {
	c, err := control.Start(ctx, control.Settings{
		Identity: b.identity(), Replicas: b.cfg.Replicas,
		OperatorsAddress: listenAddress(b.cfg.Operators), OpenDir: b.cfg.OpenDir, Overcommit: b.cfg.Overcommit,
		Lease: b.cfg.Lease, Pace: b.cfg.Pace, Tuning: replica.Tuning{ElectionTimeout: b.cfg.ElectionTimeout, HeartbeatInterval: b.cfg.HeartbeatInterval},
		Random: b.cfg.Random, Clock: b.cfg.Clock, Log: b.cfg.Log, Metrics: b.metrics,
	})
	if err != nil {
		return errors.Wrap(err, "start control role")
	}
	b.control = c
	mux := http.NewServeMux()
	mux.Handle(link.Path, c)
	b.serve(b.cfg.Fleet, mux, b.cfg.TLS.Fleet)
	return nil
}

func listenAddress(l net.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

func (b *Box) startRouter(ctx context.Context) {
	dialer := b.cfg.Dialer
	if dialer == nil {
		dialer = socket.NewServerDialer(socket.DialTimeout)
	}
	b.serverClient = forward.New(forward.Settings{Dialer: dialer})
	b.router = router.Start(ctx, router.Settings{
		Identity: b.identity(), Hall: b.cfg.Hall, Replicas: b.cfg.Replicas,
		Transport: b.serverClient, Limits: b.cfg.Limits, Pace: b.cfg.Pace,
		StopWithoutLeader: b.cfg.StopWithoutLeader, Random: b.cfg.Random, Clock: b.cfg.Clock, Log: b.cfg.Log, Metrics: b.metrics,
	})
	b.serve(b.cfg.Callers, b.router, b.cfg.TLS.Clients)
}

func (b *Box) operatorsMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		b.metrics.WritePrometheus(w)
		if b.control != nil {
			b.control.WriteMetrics(w)
		}
	})
	if b.control != nil {
		mux.Handle("/", b.control.OperatorHandler(b.cfg.OperatorToken))
	}
	return mux
}

// serve serves HTTP/1.1 and HTTP/2 on a listener. HTTP/2 is enabled without TLS
// too, for gRPC without certificates.
func (b *Box) serve(l net.Listener, h http.Handler, cfg *tls.Config) {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, Protocols: &protocols, ConnContext: socket.WithConn,
		ErrorLog: slog.NewLogLogger(b.cfg.Log.Handler(), slog.LevelDebug),
	}
	b.httpServers = append(b.httpServers, s)
	limited := socket.LimitListener(l, maxConnections)
	// Serve returns when the listener is closed, which only Stop does. Its error carries no
	// information.
	if cfg == nil {
		go func() { _ = s.Serve(limited) }()
		return
	}
	protocols.SetHTTP2(true)
	s.TLSConfig = cfg.Clone()
	go func() { _ = s.ServeTLS(limited, "", "") }()
}

// Router returns the router role, or nil if the box doesn't have it. Its Revision is
// the revision of the configuration in force on this box.
func (b *Box) Router() *router.Router { return b.router }

// Ready reports whether the box accepts callers' requests: its router holds a lease
// and is not stopping.
func (b *Box) Ready() bool { return b.router != nil && b.router.Ready() }

// Done returns a channel that is closed when the control role has ended, after a
// disk failure or by Stop. It returns nil if the box has no control role: a router
// ends only by Stop.
func (b *Box) Done() <-chan struct{} {
	if b.control == nil {
		return nil
	}
	return b.control.Done()
}

// Err returns the reason why the control role has ended. It may be called only after
// the channel returned by Done is closed.
func (b *Box) Err() error { return b.control.Err() }

// Stop stops the box without interrupting requests, unless ctx ends first. The
// router drains before the control role stops, so that a leader on the same box
// remains the leader meanwhile.
func (b *Box) Stop(ctx context.Context) {
	if b.router != nil {
		b.router.Stop(ctx, b.cfg.Grace)
	}
	if b.control != nil {
		b.control.Stop(ctx)
	}
	if b.serverClient != nil {
		b.serverClient.Close()
	}
	b.closeServers(ctx)
}

// closeTimeout is how long a stop whose time is over waits for responses that are being written.
const closeTimeout = 100 * time.Millisecond

// closeServers closes the listeners, and the connections once their responses are written.
func (b *Box) closeServers(ctx context.Context) {
	if ctx.Err() != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
	}
	for _, s := range b.httpServers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
}
