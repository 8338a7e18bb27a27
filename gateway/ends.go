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

// This file defines ends, which backend servers ended while requests of this gateway ran there.
//
// That a connection broke does not tell an end from a reset, or from an answer that was cut off.
// A server that has ended refuses new connections, so the gateway tries one.

const (
	// endGathers is how long after the first broken connection to a server the gateway tries a
	// new one: its others break meanwhile. In the logs of servers that ended, those of up to 34
	// requests broke within 5 ms.
	endGathers = 20 * time.Millisecond
	// endTry bounds that try. As for a connection that carries a request.
	endTry = 350 * time.Millisecond
	// mostLogged is how many keys the log line of an end has. With all 64 requests of a large
	// engine it stays under the length at which lines are dropped.
	mostLogged = 64
)

// endDetector gathers the requests whose connections broke, by backend server.
type endDetector struct {
	g *Gateway

	mu   sync.Mutex                        // a leaf
	lost map[string][]quarantine.TimedLoss // of servers that are being tried
}

func newEndDetector(g *Gateway) *endDetector {
	return &endDetector{g: g, lost: map[string][]quarantine.TimedLoss{}}
}

// add takes a request whose connection broke while it ran, and begins to find out whether its
// server has ended.
func (e *endDetector) add(h quarantine.TimedLoss) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, tried := e.lost[h.Server]
	e.lost[h.Server] = append(e.lost[h.Server], h)
	if !tried {
		go e.try(h.Pool, h.Server, h.Address)
	}
}

// forget forgets a request that got a whole answer before its lost attempt was found to be an end.
func (e *endDetector) forget(k quarantine.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for server, lost := range e.lost {
		e.lost[server] = slices.DeleteFunc(lost, func(h quarantine.TimedLoss) bool { return h.Key == k })
	}
}

// try tries whether a server has ended.
func (e *endDetector) try(pool, server, address string) {
	if !sleep.For(e.g.ctx, endGathers) {
		return
	}
	ctx, cancel := context.WithTimeout(e.g.ctx, endTry)
	defer cancel()
	refuses := e.g.cfg.Transport.Refuses(ctx, address)
	e.mu.Lock()
	lost := e.lost[server]
	delete(e.lost, server)
	e.mu.Unlock()
	if !refuses {
		return
	}
	e.g.stats.count("backends_ended", "pool", pool)
	e.g.suspicions.add(e.g.now(), lost)
	var keys []string
	for _, h := range lost[:min(len(lost), mostLogged)] {
		keys = append(keys, h.Key.String())
	}
	e.g.cfg.Log.StateChange("backend ended", slog.String("backend", server), slog.String("pool", pool),
		slog.Int("requests", len(lost)), slog.Any("keys", keys))
}
