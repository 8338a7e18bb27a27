// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines endDetector, which detects backend servers that crashed or stopped while
// requests of this gateway ran on them.
//
// A broken connection alone does not distinguish a process that has ended from a reset or a
// truncated answer. A process that has ended refuses new connections, so the gateway opens one to
// find out.

const (
	// endProbeDelay is the time from the first broken connection to a server until the probe, so
	// that the other connections to it break meanwhile. When a server ends, the connections of up
	// to 34 requests break within 5 ms.
	endProbeDelay = 20 * time.Millisecond
	// endProbeTimeout bounds the probe. It equals the connect timeout of a request.
	endProbeTimeout = 350 * time.Millisecond
	// maxLoggedKeys is the number of keys in the log line of an end. With 64 keys, one per slot of
	// a large engine, the line stays below the length at which lines are dropped.
	maxLoggedKeys = 64
)

// endDetector collects the requests whose connections broke, by backend server.
type endDetector struct {
	g *Gateway

	mu            sync.Mutex                        // leaf lock
	pendingLosses map[string][]quarantine.TimedLoss // by ID of the servers being probed
}

func newEndDetector(g *Gateway) *endDetector {
	return &endDetector{g: g, pendingLosses: map[string][]quarantine.TimedLoss{}}
}

// add records a request whose connection broke while it ran, and starts probing its server.
func (e *endDetector) add(loss quarantine.TimedLoss) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, probing := e.pendingLosses[loss.Server]
	e.pendingLosses[loss.Server] = append(e.pendingLosses[loss.Server], loss)
	if !probing {
		go e.probe(loss.Pool, loss.Server, loss.Address)
	}
}

// forget drops a request that got a complete answer before its lost attempt was attributed to an
// end of the server.
func (e *endDetector) forget(k quarantine.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for server, lost := range e.pendingLosses {
		e.pendingLosses[server] = slices.DeleteFunc(lost, func(loss quarantine.TimedLoss) bool { return loss.Key == k })
	}
}

// probe checks whether a server has ended and records its lost requests if so.
func (e *endDetector) probe(pool, server, address string) {
	if !sleep.For(e.g.ctx, endProbeDelay) {
		return
	}
	ctx, cancel := context.WithTimeout(e.g.ctx, endProbeTimeout)
	defer cancel()
	refuses := e.g.cfg.Transport.RefusesConnections(ctx, address)
	e.mu.Lock()
	lost := e.pendingLosses[server]
	delete(e.pendingLosses, server)
	e.mu.Unlock()
	if !refuses {
		return
	}
	e.g.stats.count("backends_ended", "pool", pool)
	e.g.suspicions.add(e.g.now(), lost)
	var keys []string
	for _, loss := range lost[:min(len(lost), maxLoggedKeys)] {
		keys = append(keys, loss.Key.String())
	}
	e.g.cfg.Log.StateChange("backend ended", slog.String("backend", server), slog.String("pool", pool),
		slog.Int("requests", len(lost)), slog.Any("keys", keys))
}
