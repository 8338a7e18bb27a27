// SPDX-License-Identifier: Apache-2.0

package process

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines callerConn, a caller's connection, on which the head of each
// request must come within the time that the document in force allows. net/http
// has one such time for the life of a server.

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

type callerConn struct {
	net.Conn
	limits  func() document.Limits
	serving atomic.Bool // a head was read, and its request is not answered yet
}

// SetReadDeadline implements [net.Conn]. net/http sets a deadline within
// readHeaderTimeout when it begins to read a head, on a new connection from its
// start and on a kept one from the first bytes, and a later one while the
// connection is idle. The first is moved to what the document allows, if that is
// sooner.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	limit := c.limits().HeaderTime
	left := time.Until(t)
	if limit > 0 && limit < left && left <= readHeaderTimeout && !c.serving.Load() {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// left reports whether the caller has closed the connection. net/http notices that too, but
// in a goroutine of its own, which at a late gateway comes after the request went on to a
// backend server. What the kernel has not taken from the caller is not seen.
func (c *callerConn) left() bool { return closedByPeer(c.Conn) }

// closedByPeer reports whether the other side has closed a connection.
func closedByPeer(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false // not of the kernel's
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false // the same
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return ended || err != nil // closed on this side
}

// connectionKey is the key of a context's value with the connection of a call to a listener
// of [base.listen].
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// CallerHasLeft reports whether the caller of a request has closed its connection: what it
// asks for was held up on its way, and nobody waits for the answer. ctx is the request's;
// without a connection in it nobody has left.
func CallerHasLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connectionKey{}).(net.Conn)
	return ok && closedByPeer(conn)
}
