// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"log/slog"
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
	// endTry bounds that try. Chosen, not measured: as for a connection that carries a request.
	endTry = 350 * time.Millisecond
	// mostLogged is how many keys the log line of an end has. With all 64 requests of a large
	// engine it stays under the length at which lines are dropped.
	mostLogged = 64
)

// ends gathers the requests whose connections broke, by backend server.
type ends struct {
	g *Gateway

	mu   sync.Mutex                  // a leaf
	lost map[string][]quarantine.Key // of servers that are being tried
}

func newEnds(g *Gateway) *ends { return &ends{g: g, lost: map[string][]quarantine.Key{}} }

// add takes a request whose connection broke while it ran, and begins to find out whether its
// server has ended.
func (e *ends) add(pool string, a *assignment, key quarantine.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := len(e.lost[a.server]) == 0
	e.lost[a.server] = append(e.lost[a.server], key)
	if first {
		go e.try(pool, a.server, a.address)
	}
}

// try tries whether a server has ended.
func (e *ends) try(pool, server, address string) {
	if !sleep.For(e.g.ctx, endGathers) {
		return
	}
	ctx, cancel := context.WithTimeout(e.g.ctx, endTry)
	defer cancel()
	refuses := e.g.cfg.Server.Refuses(ctx, address)
	e.mu.Lock()
	keys := e.lost[server]
	delete(e.lost, server)
	e.mu.Unlock()
	if !refuses {
		return
	}
	e.g.stats.count("backends_ended", "pool", pool)
	var names []string
	for _, k := range keys[:min(len(keys), mostLogged)] {
		names = append(names, k.String())
	}
	e.g.cfg.Log.StateChange("backend ended", slog.String("backend", server), slog.String("pool", pool),
		slog.Int("requests", len(keys)), slog.Any("keys", names))
}
