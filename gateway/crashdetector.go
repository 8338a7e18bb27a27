// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines crashDetector, which detects backend servers that crashed while requests of
// this gateway ran on them. A process that stopped for another reason counts as crashed.
//
// A broken connection alone does not distinguish a process that has crashed from a reset or a
// truncated answer. A process that has crashed refuses new connections, so the gateway opens one to find out.

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
	// maxLoggedParts is the same for the names of prompt parts.
	maxLoggedParts = 64
)

// crashDetector collects the requests whose connections broke, by backend server.
type crashDetector struct {
	g *Gateway

	mu     sync.Mutex                        // leaf lock
	probes map[string][]quarantine.TimedLoss // requests that are lost if their server has crashed, by its ID
}

func newCrashDetector(g *Gateway) *crashDetector {
	return &crashDetector{g: g, probes: map[string][]quarantine.TimedLoss{}}
}

// add records a request whose connection broke while it ran, and starts probing its server.
func (d *crashDetector) add(loss quarantine.TimedLoss) {
	d.mu.Lock()
	defer d.mu.Unlock()
	losses, probing := d.probes[loss.Server]
	d.probes[loss.Server] = append(losses, loss)
	if !probing {
		go d.probe(loss.Pool, loss.Server, loss.Address)
	}
}

// forget drops a request that got a complete answer before its lost attempt was attributed to a
// crash of the server.
func (d *crashDetector) forget(k quarantine.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for server, losses := range d.probes {
		d.probes[server] = slices.DeleteFunc(losses, func(loss quarantine.TimedLoss) bool { return loss.Key == k })
	}
}

// probe checks whether a server has crashed and records its lost requests if so.
func (d *crashDetector) probe(pool, server, address string) {
	if !sleep.For(d.g.ctx, crashProbeDelay) {
		return
	}
	refuses := d.refusesConnections(address)
	d.mu.Lock()
	lost := d.probes[server]
	delete(d.probes, server)
	d.mu.Unlock()
	if !refuses {
		return
	}
	d.g.table.doubtRestart(server)
	d.g.stats.count("backends_ended", "pool", pool)
	d.g.suspicions.add(d.g.now(), lost)
	var keys []string
	for _, loss := range lost[:min(len(lost), maxLoggedKeys)] {
		keys = append(keys, loss.Key.String())
	}
	d.g.cfg.Log.StateChange("backend ended", slog.String("backend", server), slog.String("pool", pool),
		slog.Int("requests", len(lost)), slog.Any("keys", keys), slog.Any("parts", lostParts(lost)))
}

// lostParts returns the names of the prompt parts of lost requests whose answers had not begun, the most
// frequent first.
func lostParts(lost []quarantine.TimedLoss) []string {
	counts := map[string]int{}
	for _, loss := range lost {
		for _, name := range loss.Parts {
			counts[name]++
		}
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], strings.Compare(a, b))
	})
	return names[:min(len(names), maxLoggedParts)]
}

// refusesConnections reports whether a server refuses connections.
func (d *crashDetector) refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(d.g.ctx, crashProbeTimeout)
	defer cancel()
	return d.g.cfg.Transport.RefusesConnections(ctx, address)
}
