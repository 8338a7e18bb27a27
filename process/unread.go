// SPDX-License-Identifier: Apache-2.0

package process

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file defines unreadConns, which bounds callers' connections that are accepted but not
// read yet.
//
// Accepting a connection costs a tenth of the processor time of its first request, and the
// accepting goroutine continues as long as connections arrive. Without a bound, a whole burst
// is accepted before any of it is read, and all other work of the gateway is delayed: callers
// disconnect in the meantime, and their requests are still forwarded. With the bound, accepted
// connections are read first, and the others wait in the kernel's queue, which is short.

const (
	// maxUnread bounds the connections accepted but not read. A gateway with a fifth of a core
	// needs 250 us of processor time for each connection and its refusal, so 32 of them take
	// 40 ms.
	maxUnread = 32
	// unreadTimeout is how long a connection that sends nothing counts as unread. Callers
	// that open connections before they need them must not block others.
	unreadTimeout = 100 * time.Millisecond
)

// unreadConns counts connections that are accepted but not read. The zero value is ready to
// use.
type unreadConns struct{ n atomic.Int64 }

// full reports whether the next connection has to wait.
func (u *unreadConns) full() bool { return u.n.Load() >= maxUnread }

// track counts a connection as unread until its first read, its end or unreadTimeout, whichever
// is first.
func (u *unreadConns) track(conn net.Conn) net.Conn {
	u.n.Add(1)
	c := &unreadConn{Conn: conn}
	c.release = sync.OnceFunc(func() { u.n.Add(-1) })
	c.timer = time.AfterFunc(unreadTimeout, c.release)
	return c
}

// unreadConn is a connection counted in unreadConns. release removes it from the count and has
// no effect after the first call.
type unreadConn struct {
	net.Conn
	read    atomic.Bool
	release func()
	timer   *time.Timer
}

// Read implements [net.Conn].
func (c *unreadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.read.Load() && !c.read.Swap(true) {
		c.timer.Stop()
		c.release()
	}
	return n, err
}

// Close implements [net.Conn].
func (c *unreadConn) Close() error {
	c.timer.Stop()
	c.release()
	return c.Conn.Close()
}

// NetConn returns the wrapped connection.
func (c *unreadConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements [syscall.Conn]. It returns ENOTSUP if the wrapped connection does not
// support it.
func (c *unreadConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}
