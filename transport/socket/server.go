// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file defines connections to backend servers, which bear a silent link while they wait for an answer.
//
// Linux ends a connection at the first unanswered keep-alive probe once nothing has been received for
// TCP_USER_TIMEOUT. With AckTimeout, a link that is silent when the first probe is sent would end a call
// at a sound server. The timeout is therefore raised to waitTimeout while nothing sent is unacknowledged.

// waitTimeout is the user timeout of a connection without unacknowledged bytes. It ends the connection when
// maxFailedProbes are unanswered, not before: the kernel compares it when the next probe is due.
const waitTimeout = probeIdleTime + maxFailedProbes*probeInterval - probeInterval/2

// raiseDelay is the time from the last write until the timeout is raised. It is longer than the pauses
// within a request, and ends long before the second probe, at which the connection would end.
const raiseDelay = time.Second

// ServerDialer opens connections to backend servers.
type ServerDialer struct{ dialer *net.Dialer }

// NewServerDialer returns a dialer that opens each connection within timeout.
func NewServerDialer(timeout time.Duration) ServerDialer { return ServerDialer{newDialer(timeout)} }

// DialContext opens a connection. Its signature is that of net.Dialer.DialContext.
func (d ServerDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	return newServerConn(conn, raw), nil
}

// serverConn is a connection whose user timeout is AckTimeout while bytes may be unacknowledged, and
// waitTimeout otherwise.
type serverConn struct {
	net.Conn
	raw syscall.RawConn

	mu        sync.Mutex // leaf lock; guards the fields below
	lastWrite time.Time  // begin of it
	raised    bool       // to waitTimeout
	closed    bool
	raise     *time.Timer // runs while the timeout is not raised
}

func newServerConn(conn net.Conn, raw syscall.RawConn) *serverConn {
	c := &serverConn{Conn: conn, raw: raw, lastWrite: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raise = time.AfterFunc(raiseDelay, c.raiseIfAcknowledged)
	return c
}

// SyscallConn implements [syscall.Conn].
func (c *serverConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write implements [net.Conn].
func (c *serverConn) Write(b []byte) (int, error) {
	c.lower()
	return c.Conn.Write(b)
}

// Close implements [net.Conn].
func (c *serverConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.raise.Stop()
	c.mu.Unlock()
	return c.Conn.Close()
}

// lower sets AckTimeout for the bytes of a write that begins. It makes a system call only if the
// timeout is raised.
func (c *serverConn) lower() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite = time.Now()
	if !c.raised || c.closed {
		return
	}
	c.raised = false
	_ = setUserTimeout(c.raw, AckTimeout) // it fails on a closed connection only, whose write fails
	c.raise.Reset(raiseDelay)
}

// raiseIfAcknowledged sets waitTimeout once raiseDelay has passed since the last write and all bytes are
// acknowledged.
func (c *serverConn) raiseIfAcknowledged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if left := raiseDelay - time.Since(c.lastWrite); left > 0 {
		c.raise.Reset(left)
		return
	}
	if !c.acknowledged() {
		c.raise.Reset(raiseDelay)
		return
	}
	c.raised = true
	_ = setUserTimeout(c.raw, waitTimeout) // as above
}

// acknowledged reports whether the peer has acknowledged all bytes, true if the kernel does not say.
func (c *serverConn) acknowledged() bool {
	var unacknowledged int
	_ = c.raw.Control(func(fd uintptr) { // as above
		unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // 0 if it fails
	})
	return unacknowledged == 0
}
