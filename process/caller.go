// SPDX-License-Identifier: Apache-2.0

package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file defines callerConn, which applies the header timeout of the document in force to a
// caller's connection, because net/http cannot change the timeout of a running server. It also
// defines how callers that have disconnected are detected.

// callerListener wraps accepted connections in callerConn.
type callerListener struct {
	net.Listener
	limits func() document.Limits
}

// Accept implements [net.Listener].
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn applies the document's header timeout to a caller's connection.
type callerConn struct {
	net.Conn
	limits  func() document.Limits
	serving atomic.Bool // whether the header of a request was read and the request is not answered yet
	begun   atomic.Bool // whether anything was read since the connection was opened or became idle
}

// Read implements [net.Conn].
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.begun.Load() {
		c.begun.Store(true)
	}
	return n, err
}

// headBegun implements headReader.
func (c *callerConn) headBegun() bool { return c.begun.Load() }

// setState records a state of net/http.
func (c *callerConn) setState(state http.ConnState) {
	c.serving.Store(state == http.StateActive)
	if state == http.StateIdle {
		c.begun.Store(false)
	}
}

// SetReadDeadline implements [net.Conn]. net/http sets a deadline within readHeaderTimeout when
// it begins to read a header: at the start of a new connection, and at the first bytes on a
// kept-alive one. It sets a later deadline while the connection is idle. The first kind is
// shortened to the document's header timeout.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	limit := c.limits().HeaderTimeout
	remaining := time.Until(t)
	if limit > 0 && limit < remaining && remaining <= readHeaderTimeout && !c.serving.Load() {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// hasLeft reports whether the caller has closed the connection. net/http detects that too, but
// in its own goroutine, which on an overloaded gateway runs only after the request was sent to
// a backend server. A close that has not reached the kernel is not detected.
func (c *callerConn) hasLeft() bool { return isClosed(c.Conn) }

// NetConn returns the wrapped connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// isClosed reports whether the peer or this process has closed a connection.
func isClosed(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false // not a kernel socket
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false // not a kernel socket
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return ended || err != nil // closed on this side
}

// CallerHasLeft reports whether the caller of a request has closed its connection, so that
// nobody waits for the answer of a delayed request. ctx is the request's context. The result is
// false if it holds no connection.
func CallerHasLeft(ctx context.Context) bool {
	conn := socket.ConnFrom(ctx)
	return conn != nil && isClosed(conn)
}
