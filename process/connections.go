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

// This file defines idleConnections, which closes callers' idle connections: after the idle
// timeout of the document, and earlier when the connection limit is nearly reached.

const (
	sweepPeriod       = time.Second // bounds how late an idle connection is closed
	evictionThreshold = 0.8         // fraction of maxOpen above which idle connections are closed
	evictionShare     = 0.1         // fraction of maxOpen closed at a time
)

// idleConnections tracks the open connections of a server and closes idle ones.
type idleConnections struct {
	maxOpen int // limit of open connections

	mu   sync.Mutex // a leaf lock
	open int
	idle map[net.Conn]time.Time // start of the idle time
}

func newIdleConnections(maxOpen int) *idleConnections {
	return &idleConnections{maxOpen: maxOpen, idle: map[net.Conn]time.Time{}}
}

// track records a state change of a connection. It is the server's ConnState hook.
func (c *idleConnections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		if float64(c.open) > evictionThreshold*float64(c.maxOpen) {
			c.expireOldest(max(int(evictionShare*float64(c.maxOpen)), 1))
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

// expire closes one idle connection by letting the server's read of the next request time out.
// Closing the socket could cut off a request that has just been read; an expired deadline only
// leaves the server with no request or an incomplete one. SetReadDeadline fails only if the
// connection is already closed.
func expire(conn net.Conn) { _ = conn.SetReadDeadline(time.Unix(1, 0)) }

// expireOldest closes up to n of the connections that have been idle longest. The caller holds
// mu.
func (c *idleConnections) expireOldest(n int) {
	type idleConn struct {
		conn  net.Conn
		since time.Time
	}
	all := make([]idleConn, 0, len(c.idle))
	for conn, since := range c.idle {
		all = append(all, idleConn{conn, since})
	}
	slices.SortFunc(all, func(a, b idleConn) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, s := range all[:min(n, len(all))] {
		delete(c.idle, s.conn)
		expire(s.conn)
	}
}

// sweep closes connections that have been idle for longer than allowed() returns, until ctx
// ends.
func (c *idleConnections) sweep(ctx context.Context, allowed func() time.Duration) {
	for range sleep.Every(ctx, sweepPeriod) {
		if limit := allowed(); limit > 0 {
			c.expireIdle(limit)
		}
	}
}

func (c *idleConnections) expireIdle(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) > limit {
			delete(c.idle, conn)
			expire(conn)
		}
	}
}
