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
// truncated answer, nor does an answer that ends with its connection. A process that has crashed
// refuses new connections, so the gateway opens one to find out. After an answer that ended without an
// error it does so only if it has no open connection to the server, which a crash would have closed.

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

	mu     sync.Mutex                // leaf lock
	probes map[string]*pendingLosses // by ID of the servers being probed
}

// pendingLosses holds the requests that are lost if their server has crashed.
type pendingLosses struct {
	losses []quarantine.TimedLoss
	broken bool // a connection broke
}

func newCrashDetector(g *Gateway) *crashDetector {
	return &crashDetector{g: g, probes: map[string]*pendingLosses{}}
}

// add records a request whose connection broke while it ran, and starts probing its server.
func (d *crashDetector) add(loss quarantine.TimedLoss) { d.addPending(loss, true) }

// addUnconfirmed records a request whose answer ended with its connection.
func (d *crashDetector) addUnconfirmed(loss quarantine.TimedLoss) { d.addPending(loss, false) }

func (d *crashDetector) addPending(loss quarantine.TimedLoss, broken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.probes[loss.Server]
	if p == nil {
		p = &pendingLosses{}
		d.probes[loss.Server] = p
		go d.probe(loss.Pool, loss.Server, loss.Address)
	}
	p.losses = append(p.losses, loss)
	p.broken = p.broken || broken
}

// forget drops a request that got a complete answer before its lost attempt was attributed to a
// crash of the server.
func (d *crashDetector) forget(k quarantine.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.probes {
		p.losses = slices.DeleteFunc(p.losses, func(loss quarantine.TimedLoss) bool { return loss.Key == k })
	}
}

// probe checks whether a server has crashed and records its lost requests if so.
func (d *crashDetector) probe(pool, server, address string) {
	if !sleep.For(d.g.ctx, crashProbeDelay) {
		return
	}
	refuses := d.refusesConnections(server, address)
	d.mu.Lock()
	p := d.probes[server]
	delete(d.probes, server)
	d.mu.Unlock()
	if !refuses {
		if !p.broken {
			d.g.table.recordAlive(pool, server)
		}
		return
	}
	lost := p.losses
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
func (d *crashDetector) refusesConnections(server, address string) bool {
	d.mu.Lock()
	broken := d.probes[server].broken
	d.mu.Unlock()
	if !broken && d.g.cfg.Transport.HasOpen(address) {
		return false
	}
	ctx, cancel := context.WithTimeout(d.g.ctx, crashProbeTimeout)
	defer cancel()
	return d.g.cfg.Transport.RefusesConnections(ctx, address)
}
