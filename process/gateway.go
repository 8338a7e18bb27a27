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

	"github.com/badgerspoke/badgerspoke/coordination/drain"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/boottime"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines the process of a gateway: its callers' connections, its connections to
// backend servers, and its shutdown.

// Limits on connections to backend servers.
const (
	serverDialTimeout = 350 * time.Millisecond // short: another backend server can be tried
	serverIdleTimeout = 4 * time.Second        // short, so that a backend server rarely closes first
	maxIdlePerServer  = 64                     // idle connections to one backend server
	// maxIdleTotal bounds the idle connections to all backend servers: half of the descriptors
	// that are not callers'. In a pool of thousands of servers each request opens a
	// connection: 150 per second, idle for serverIdleTimeout, add up to 600.
	maxIdleTotal    = reservedDescriptors / 2
	bodyMemoryShare = 0.12 // fraction of the memory for the bodies of all requests
	// answerMemoryShare is the fraction of the memory for what is held of answers: events and plain answers that
	// are not whole.
	answerMemoryShare = 0.12
)

// Limits on callers' connections, by memory and by descriptors; the lower one applies. In a
// flood, a gateway of 112 MB uses 113 MB with a connectionMemoryShare of 0.4, and 108 MB with
// 0.3.
const (
	connectionMemoryShare = 0.25     // fraction of the memory
	memoryPerConnection   = 24 << 10 // bytes
	reservedDescriptors   = 700      // for backend servers, links, files and the runtime
	minConnections        = 256      // lower bound, even if the limits are smaller
)

// Gateway runs a gateway until ctx ends, and then stops it without cutting off requests that
// end within the grace period. Of reloaded settings it applies the seeds. isRefusal
// reports whether a backend server's answer, by its status and header, guarantees that the request
// was not executed. Gateway returns an error if a listener cannot be opened.
func Gateway(ctx context.Context, cfg Settings, reloads <-chan Settings, headers gateway.HeaderCodec,
	isRefusal func(int, http.Header) bool, log *decision.Log, metricSet *metrics.Set) error {
	b, err := newBase(cfg, log, metricSet)
	if err != nil {
		return err
	}
	defer b.close()
	opened := metricSet.GetOrCreateCounter("badgerspoke_gateway_backend_connections_total")
	client := forward.New(forward.Settings{
		Dialer: socket.NewServerDialer(serverDialTimeout), MaxIdlePerServer: maxIdlePerServer, MaxIdle: maxIdleTotal, IdleTimeout: serverIdleTimeout,
		IsRefusal: isRefusal, OnOpen: opened.Inc,
	})
	defer client.Close()
	runCtx, stop := context.WithCancel(context.Background()) // outlives ctx: requests finish within the grace period
	defer stop()
	g := gateway.Start(runCtx, gateway.Settings{
		Identity: b.identity(), Hall: cfg.Hall, Region: cfg.Region, Topology: cfg.Topology, LinkRate: cfg.LinkRate,
		Seeds: cfg.Seeds, Headers: headers, Transport: client,
		Retries: cfg.Retries, Grace: cfg.Grace, MaxTotalBodyBytes: int64(bodyMemoryShare * float64(cfg.MemoryLimit)),
		MaxTotalAnswerBytes: int64(answerMemoryShare * float64(cfg.MemoryLimit)),
		Random:              rand.Uint64, ProcessorWait: newSchedulingDelay().Mean, Clock: boottime.Clock(), Log: log, Metrics: metricSet,
	})
	callers, err := b.listenToCallers(runCtx, g)
	if err != nil {
		return err
	}
	if err := b.listen(cfg.ReadyAddress, readiness(g, callers.listener)); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			stopGateway(g, callers, drain.Grace(cfg.Grace))
			return nil
		case next := <-reloads:
			g.SetSeeds(next.Seeds)
		}
	}
}

// stopGateway stops a gateway and closes its callers' connections, both within the grace period.
func stopGateway(g *gateway.Gateway, callers drainedServer, grace drain.Grace) {
	ctx, cancel := context.WithTimeout(context.Background(), grace.CloseBy())
	defer cancel()
	g.Stop(ctx)
	callers.drain(ctx)
}

// listenToCallers opens a listener on the callers' address and serves it.
func (b *base) listenToCallers(ctx context.Context, g *gateway.Gateway) (drainedServer, error) {
	// Keep-alive probes are off: the idle and write timeouts already end the connections of
	// callers that have disappeared, and probes would cost system calls for each caller.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	l, err := listenConfig.Listen(ctx, "tcp", b.cfg.CallersAddress)
	if err != nil {
		return drainedServer{}, errors.Wrapf(err, "listen on %s", b.cfg.CallersAddress)
	}
	return b.serveCallers(ctx, l, g, g.Limits, g), nil
}

// serveCallers serves callers with a bound on their connections and the limits of the document
// in force.
func (b *base) serveCallers(ctx context.Context, l net.Listener, h http.Handler, limits func() document.Limits, p pacer) drainedServer {
	limit := b.cfg.maxConnections()
	idle := newIdleConnections(limit)
	paced := newPacedListener(l, p, ctx.Done(), b.log)
	limited := socket.LimitListener(paced, limit)
	b.serve(&callerListener{Listener: limited, limits: limits}, &http.Server{Handler: h, ConnContext: callerContext, ConnState: func(conn net.Conn, state http.ConnState) {
		conn.(*callerConn).setState(state)
		idle.track(conn, state)
	}})
	go idle.sweep(ctx, func() time.Duration { return limits().IdleTimeout })
	return drainedServer{listener: limited, connections: idle}
}

// callerContext adds to ctx the caller's connection, and a function that reports whether the caller has
// disconnected.
func callerContext(ctx context.Context, conn net.Conn) context.Context {
	return gateway.WithCallerLeft(socket.WithConn(ctx, conn), conn.(*callerConn).hasLeft)
}

// maxConnections returns the limit of callers' connections.
func (cfg Settings) maxConnections() int {
	byDescriptors := cfg.DescriptorLimit - reservedDescriptors
	byMemory := int(connectionMemoryShare * float64(cfg.MemoryLimit) / memoryPerConnection)
	return max(min(byDescriptors, byMemory), minConnections)
}

// readinessReporter reports whether new callers should be sent to this gateway.
type readinessReporter interface{ Ready() bool }

// readiness answers 503 while the gateway is not ready or its connection limit is reached.
func readiness(g readinessReporter, callers *socket.LimitedListener) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() || callers.Full() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
