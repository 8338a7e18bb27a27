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

// This file defines crashDetector, which detects backend servers that crashed while requests of
// this gateway ran on them. A process that stopped for another reason counts as crashed.
//
// A broken connection alone does not distinguish a process that has crashed from a reset or a
// truncated answer. A process that has crashed refuses new connections, so the gateway opens one to
// find out.

const (
	// crashProbeDelay is the time from the first broken connection to a server until the probe, so
	// that the other connections to it break meanwhile. When a server crashes, the connections of
	// up to 34 requests break within 5 ms.
	crashProbeDelay = 20 * time.Millisecond
	// crashProbeTimeout bounds the probe. It equals the connect timeout of a request.
	crashProbeTimeout = 350 * time.Millisecond
	// maxLoggedKeys is the number of keys in the log line of a crash. With 64 keys, one per slot of
	// a large engine, the line stays below the length at which lines are dropped.
	maxLoggedKeys = 64
)

// crashDetector collects the requests whose connections broke, by backend server.
type crashDetector struct {
	g *Gateway

	mu            sync.Mutex                        // leaf lock
	pendingLosses map[string][]quarantine.TimedLoss // by ID of the servers being probed
}

func newCrashDetector(g *Gateway) *crashDetector {
	return &crashDetector{g: g, pendingLosses: map[string][]quarantine.TimedLoss{}}
}

// add records a request whose connection broke while it ran, and starts probing its server.
func (d *crashDetector) add(loss quarantine.TimedLoss) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, probing := d.pendingLosses[loss.Server]
	d.pendingLosses[loss.Server] = append(d.pendingLosses[loss.Server], loss)
	if !probing {
		go d.probe(loss.Pool, loss.Server, loss.Address)
	}
}

// forget drops a request that got a complete answer before its lost attempt was attributed to a
// crash of the server.
func (d *crashDetector) forget(k quarantine.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for server, lost := range d.pendingLosses {
		d.pendingLosses[server] = slices.DeleteFunc(lost, func(loss quarantine.TimedLoss) bool { return loss.Key == k })
	}
}

// probe checks whether a server has crashed and records its lost requests if so.
func (d *crashDetector) probe(pool, server, address string) {
	if !sleep.For(d.g.ctx, crashProbeDelay) {
		return
	}
	ctx, cancel := context.WithTimeout(d.g.ctx, crashProbeTimeout)
	defer cancel()
	refuses := d.g.cfg.Transport.RefusesConnections(ctx, address)
	d.mu.Lock()
	lost := d.pendingLosses[server]
	delete(d.pendingLosses, server)
	d.mu.Unlock()
	if !refuses {
		return
	}
	d.g.stats.count("backends_ended", "pool", pool)
	d.g.suspicions.add(d.g.now(), lost)
	var keys []string
	for _, loss := range lost[:min(len(lost), maxLoggedKeys)] {
		keys = append(keys, loss.Key.String())
	}
	d.g.cfg.Log.StateChange("backend ended", slog.String("backend", server), slog.String("pool", pool),
		slog.Int("requests", len(lost)), slog.Any("keys", keys))
}
