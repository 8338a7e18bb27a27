// SPDX-License-Identifier: Apache-2.0

package process

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/boottime"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines the process of a gateway: its callers' connections, its
// connections to backend servers, and its stop.

// Connections to backend servers.
const (
	serverDialTimeout = 350 * time.Millisecond // short: another backend server can be tried
	serverIdleTimeout = 4 * time.Second        // short, so that a backend server rarely closes first
	idlePerServer     = 64                     // connections kept
	// idleServers is the connections kept to all of them: half of the descriptors that are not callers'. In a pool of
	// thousands each request opens one: 150 a second for serverIdleTimeout are 600, by arithmetic.
	idleServers = reservedDescriptors / 2
	bodiesPart  = 0.12 // of the memory, for the bodies of all requests
)

// Connections of callers: how many fit, by memory and by descriptors, whichever
// is fewer. Chosen, but for the first: with 0.4 and 0.3 a day of floods took 113 and 108 of
// a gateway's 112 MB.
const (
	connectionsPart     = 0.25     // of the memory
	connectionBytes     = 24 << 10 // of memory for each
	reservedDescriptors = 700      // for backend servers, links, files and the runtime
	fewestConnections   = 256      // even where the parts give fewer
)

// Gateway runs a gateway until ctx ends, and then stops it without cutting off a
// request as far as the grace allows. Of reloaded settings it applies the seeds.
// notRun reports whether an answer of a backend server, by its status and header,
// promises that the request has not run. The error is of a listener.
func Gateway(ctx context.Context, cfg Settings, reloads <-chan Settings, headers gateway.HeaderCodec,
	notRun func(int, http.Header) bool, log *decision.Log, metricSet *metrics.Set) error {
	b, err := start(cfg, log, metricSet)
	if err != nil {
		return err
	}
	defer b.close()
	opened := metricSet.GetOrCreateCounter("badgerspoke_gateway_backend_connections_total")
	client := forward.New(forward.Settings{
		Dialer: socket.Dialer(serverDialTimeout), IdlePerServer: idlePerServer, IdleAll: idleServers, IdleTime: serverIdleTimeout,
		Refused: notRun, Opened: opened.Inc,
	})
	defer client.Close()
	running, stop := context.WithCancel(context.Background()) // beyond ctx: requests end within the grace
	defer stop()
	g := gateway.Start(running, gateway.Settings{
		Identity: b.identity(), Hall: cfg.Hall, Region: cfg.Region, Topology: cfg.Topology, LinkRate: cfg.LinkRate,
		Seeds: cfg.Seeds, Headers: headers, Transport: client,
		Retries: cfg.Retries, Grace: cfg.Grace, MaxTotalBodyBytes: int64(bodiesPart * float64(cfg.Memory)),
		Random: rand.Uint64, ProcessorWait: newScheduling().Wait, Clock: boottime.Clock(), Log: log, Metrics: metricSet,
	})
	callers, err := b.listenToCallers(running, g)
	if err != nil {
		return err
	}
	if err := b.listen(cfg.Ready, readiness(g, callers)); err != nil {
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

// listenToCallers serves callers at their address.
func (b *base) listenToCallers(ctx context.Context, g *gateway.Gateway) (*socket.Limited, error) {
	// The bounds on idle connections and on writes end the connection of a caller
	// that is gone; probes would cost system calls for each caller.
	listening := net.ListenConfig{KeepAlive: -1}
	l, err := listening.Listen(ctx, "tcp", b.cfg.Callers)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", b.cfg.Callers)
	}
	return b.serveCallers(ctx, l, g, g.Limits, g), nil
}

// serveCallers serves callers with a bound on their connections, and within the
// limits of the document in force.
func (b *base) serveCallers(ctx context.Context, l net.Listener, h http.Handler, limits func() document.Limits, p pacer) *socket.Limited {
	most := b.cfg.mostConnections()
	idle := newIdleConnections(most)
	paced := newPacedListener(l, p, ctx.Done(), b.log)
	limited := socket.Limit(paced, most)
	b.serve(&callerListener{Listener: limited, limits: limits}, &http.Server{Handler: h, ConnContext: callerContext, ConnState: func(conn net.Conn, state http.ConnState) {
		conn.(*callerConn).serving.Store(state == http.StateActive)
		idle.track(conn, state)
	}})
	go idle.sweep(ctx, func() time.Duration { return limits().IdleTime })
	return limited
}

// callerContext lets the gateway see whether the caller of a request is still there.
func callerContext(ctx context.Context, conn net.Conn) context.Context {
	return gateway.WithCallerLeft(ctx, conn.(*callerConn).left)
}

// mostConnections returns how many callers may be connected at a time.
func (cfg Settings) mostConnections() int {
	byDescriptors := cfg.Descriptors - reservedDescriptors
	byMemory := int(connectionsPart * float64(cfg.Memory) / connectionBytes)
	return max(min(byDescriptors, byMemory), fewestConnections)
}

// ready is what says whether new callers should come here.
type ready interface{ Ready() bool }

// readiness answers whether new callers should come here: not while none of their
// connections would be accepted.
func readiness(g ready, callers *socket.Limited) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() || callers.Full() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
