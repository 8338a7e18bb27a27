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
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines idleConnections, which closes callers' idle connections: after the idle
// timeout of the document, earlier when the connection limit is nearly reached, and all of them when
// the process stops.

const (
	sweepPeriod       = time.Second // bounds how late an idle connection is closed
	evictionThreshold = 0.8         // fraction of maxOpen above which idle connections are closed
	evictionShare     = 0.1         // fraction of maxOpen closed at a time
	// drainInterval is the time between two passes over the connections of a process that stops.
	drainInterval = 10 * time.Millisecond
	// headLinger is how long a process that stops waits for the rest of a head.
	headLinger = 500 * time.Millisecond
)

// idleConnections tracks the open connections of a server and closes idle ones.
type idleConnections struct {
	maxOpen int // limit of open connections

	mu     sync.Mutex // a leaf lock
	open   int
	unused map[net.Conn]bool      // no request was read from them yet
	idle   map[net.Conn]time.Time // start of the idle time
}

func newIdleConnections(maxOpen int) *idleConnections {
	return &idleConnections{maxOpen: maxOpen, unused: map[net.Conn]bool{}, idle: map[net.Conn]time.Time{}}
}

// track records a state change of a connection. It is the server's ConnState hook.
func (c *idleConnections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.unused[conn] = true
		if float64(c.open) > evictionThreshold*float64(c.maxOpen) {
			c.expireOldest(max(int(evictionShare*float64(c.maxOpen)), 1))
		}
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateActive:
		delete(c.unused, conn)
		delete(c.idle, conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.unused, conn)
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

// headReader is a connection that knows whether the head of a request has begun to arrive on it.
type headReader interface{ headBegun() bool }

// drain closes the connections as they become idle, until none is open or ctx ends. A request whose
// head has begun to arrive is read and answered first, unless the rest takes longer than headLinger.
// The server must accept no further connections.
func (c *idleConnections) drain(ctx context.Context) {
	lingerUntil := time.Now().Add(headLinger)
	for c.expireUnused(time.Now().Before(lingerUntil)) > 0 && sleep.For(ctx, drainInterval) {
	}
}

// expireUnused closes the connections that carry no request, and returns the number of open ones. If
// linger is set, it spares those on which a head has begun to arrive.
func (c *idleConnections) expireUnused(linger bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.unused {
		expireUnlessBegun(conn, linger)
	}
	for conn := range c.idle {
		expireUnlessBegun(conn, linger)
	}
	return c.open
}

func expireUnlessBegun(conn net.Conn, linger bool) {
	if r, ok := conn.(headReader); linger && ok && r.headBegun() {
		return
	}
	expire(conn)
}

// drainedServer is a running HTTP server that can be drained.
type drainedServer struct {
	listener    *socket.LimitedListener
	connections *idleConnections
}

// drain accepts no further connections and closes the open ones once what they carry is answered,
// until ctx ends.
func (s drainedServer) drain(ctx context.Context) {
	_ = s.listener.Close() // it is not used any more
	s.connections.drain(ctx)
}
