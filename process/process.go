// SPDX-License-Identifier: Apache-2.0

// Package process assembles a process of the routed-HTTP fleet: a gateway or a
// directory replica with its listeners, logs and metrics, its reload and its
// stop.
//
// What a deployment calls things is given from outside: a gateway gets a
// [gateway.HeaderCodec], a directory replica a handler that speaks to operators
// and backend servers ([API]). So one process serves any deployment, and this
// package knows none.
package process

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines Settings, what both kinds of node share, and the gateway.

// Settings of a node. Addresses are IP:PORT; an empty one is not listened on.
type Settings struct {
	Name     string
	Hall     string
	FleetKey []byte
	Fleet    string   // fleet address of this node; directory replicas go by it
	Seeds    []string // fleet addresses of directory replicas
	Metrics  string

	// Of a gateway.
	Callers string
	Ready   string
	Retries retry.Limits

	// Of a directory replica.
	API       string // for operators and backend servers
	DataDir   string
	Bootstrap bool          // the first start of the whole system
	Voters    int           // wanted in the directory's group
	Interval  time.Duration // between a backend server's announcements

	Grace       time.Duration // a stopping process has
	Memory      int64         // bytes that the process may use
	Descriptors int           // it may have open
	LogLevel    slog.Level
}

// Parts of the machine's limits.
const (
	heapPart          = 0.6 // of the memory, for the runtime
	bodiesPart        = 0.12
	connectionsPart   = 0.4
	connectionBytes   = 24 << 10 // of memory for each of callers' connections
	reservedFiles     = 700      // descriptors that are not callers' connections
	fewestConnections = 256
)

// Times that every listener has.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 5 * time.Minute
	maxHeaderBytes    = 64 << 10
	backendIdle       = 4 * time.Second
	backendDial       = 350 * time.Millisecond
	idlePerBackend    = 64
)

// base is a running process.
type base struct {
	cfg     Settings
	log     *decision.Log
	metrics *metrics.Set
	servers []*http.Server
}

func start(cfg Settings, log *decision.Log, metricSet *metrics.Set) (*base, error) {
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(cfg.Memory)))
	}
	n := &base{cfg: cfg, log: log, metrics: metricSet}
	if cfg.Metrics == "" {
		return n, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metricSet.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return n, n.listen(cfg.Metrics, mux, socket.Listen)
}

// listen serves one address.
func (n *base) listen(address string, h http.Handler, open func(string) (net.Listener, error)) error {
	l, err := open(address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	n.servers = append(n.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// listenToCallers serves callers with a bound on their connections.
func (n *base) listenToCallers(ctx context.Context, g *gateway.Gateway) error {
	most := n.mostConnections()
	// A caller that has gone in silence is noticed by the bounds on idle
	// connections and on writes; probes would cost system calls for each caller.
	listening := net.ListenConfig{KeepAlive: -1}
	open := func(address string) (net.Listener, error) {
		l, err := listening.Listen(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return socket.Limit(l, most), nil
	}
	if err := n.listen(n.cfg.Callers, g, open); err != nil {
		return err
	}
	idle := newIdleConnections(most)
	n.servers[len(n.servers)-1].ConnState = idle.track
	go idle.sweep(ctx, g.IdleTime)
	return nil
}

// mostConnections is how many callers' connections the machine's limits allow.
func (n *base) mostConnections() int {
	byFiles := n.cfg.Descriptors - reservedFiles
	byMemory := int(connectionsPart * float64(n.cfg.Memory) / connectionBytes)
	return max(min(byFiles, byMemory), fewestConnections)
}

func (n *base) close() {
	for _, s := range n.servers {
		s.Close()
	}
}

func (n *base) identity() link.Identity {
	return link.Identity{Name: n.cfg.Fleet, Key: n.cfg.FleetKey, Dial: socket.Dial}
}

// Gateway runs a gateway until ctx ends, and then stops it without cutting
// off a request as far as the grace allows. Of reloaded settings it takes the
// seeds.
func Gateway(ctx context.Context, cfg Settings, reloads <-chan Settings, headers gateway.HeaderCodec,
	refused func(int, http.Header) bool, log *decision.Log, metricSet *metrics.Set) error {
	n, err := start(cfg, log, metricSet)
	if err != nil {
		return err
	}
	defer n.close()
	opened := metricSet.GetOrCreateCounter("badgerspoke_gateway_backend_connections_total")
	client := forward.New(forward.Settings{
		Dialer: &net.Dialer{Timeout: backendDial}, IdlePerServer: idlePerBackend, IdleTime: backendIdle,
		Refused: refused, Opened: opened.Inc,
	})
	defer client.Close()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	g := gateway.Start(running, gateway.Settings{
		Identity: n.identity(), Hall: cfg.Hall, Seeds: cfg.Seeds, Headers: headers, Server: client,
		Retries: cfg.Retries, Grace: cfg.Grace, Bodies: int64(bodiesPart * float64(cfg.Memory)),
		Random: rand.Uint64, Log: log, Metrics: metricSet,
	})
	if err := n.listen(cfg.Ready, readiness(g), socket.Listen); err != nil {
		return err
	}
	if err := n.listenToCallers(running, g); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			g.Stop(running)
			return nil
		case next := <-reloads:
			g.SetSeeds(next.Seeds)
		}
	}
}

// readiness answers whether new callers should come here.
func readiness(g *gateway.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
