// SPDX-License-Identifier: Apache-2.0

package process

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines idleConnections, which ends callers' connections that are
// not in use: after the time that the document allows, and sooner when there
// are nearly too many.

const (
	sweepPeriod = time.Second // how late an idle connection may be ended
	fullPart    = 0.8         // of the most connections, above which idle ones are ended
	evictPart   = 0.1         // of the most connections, ended at a time
)

type idleConnections struct {
	most int // connections at a time

	mu   sync.Mutex // a leaf
	open int
	idle map[net.Conn]time.Time // since when
}

func newIdleConnections(most int) *idleConnections {
	return &idleConnections{most: most, idle: map[net.Conn]time.Time{}}
}

// track is called by the server for every change of a connection.
func (c *idleConnections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		if float64(c.open) > fullPart*float64(c.most) {
			c.endOldest(max(int(evictPart*float64(c.most)), 1))
		}
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateActive:
		delete(c.idle, conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.idle, conn)
	}
}

// end ends one idle connection. It lets the server's own wait for the next
// request run out: closing would cut off a request that was read just now,
// while this only lets the server find no request, or one not read whole. An
// error means that the connection is closed already.
func end(conn net.Conn) { _ = conn.SetReadDeadline(time.Unix(1, 0)) }

// endOldest ends up to n of the connections that have been idle longest. The
// caller holds mu.
func (c *idleConnections) endOldest(n int) {
	type since struct {
		conn net.Conn
		at   time.Time
	}
	all := make([]since, 0, len(c.idle))
	for conn, at := range c.idle {
		all = append(all, since{conn, at})
	}
	slices.SortFunc(all, func(a, b since) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, s := range all[:min(n, len(all))] {
		delete(c.idle, s.conn)
		end(s.conn)
	}
}

// sweep ends connections that have been idle for longer than callers may leave
// them, until ctx ends.
func (c *idleConnections) sweep(ctx context.Context, allowed func() time.Duration) {
	for range sleep.Every(ctx, sweepPeriod) {
		if limit := allowed(); limit > 0 {
			c.endIdle(limit)
		}
	}
}

func (c *idleConnections) endIdle(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, at := range c.idle {
		if time.Since(at) > limit {
			delete(c.idle, conn)
			end(conn)
		}
	}
}
