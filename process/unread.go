// SPDX-License-Identifier: Apache-2.0

package process

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file defines unreadConns, the callers' connections that were accepted and of which
// nothing has been read yet.
//
// Accepting a connection costs a tenth of what its first request costs (0.27 against 2.62 s of
// processor time in a profile of TestGatewaySurvivesAFlood), and the accepting goroutine goes
// on for as long as there are more. So a burst of them is
// accepted before anything of it is read, and everything that runs on the gateway waits
// behind it: callers leave meanwhile, and their requests still go out. With a bound, what
// has been accepted is read first, and the rest waits in the kernel's queue, which is short.

const (
	// mostUnread is the bound: at 250 us of processor time each, which a gateway of a fifth
	// of a core needs for a connection and its refusal, 40 ms. Chosen.
	mostUnread = 32
	// unreadFor is how long a connection counts of which nothing comes: callers that open one ahead of
	// time must not keep others out.
	unreadFor = 100 * time.Millisecond
)

// unreadConns counts them. The zero value is ready.
type unreadConns struct{ n atomic.Int64 }

// full reports whether another connection has to wait.
func (u *unreadConns) full() bool { return u.n.Load() >= mostUnread }

// track counts a connection until something of it is read, for unreadFor at most.
func (u *unreadConns) track(conn net.Conn) net.Conn {
	u.n.Add(1)
	c := &unreadConn{Conn: conn}
	c.seen = sync.OnceFunc(func() { u.n.Add(-1) })
	c.timer = time.AfterFunc(unreadFor, c.seen)
	return c
}

// unreadConn is a tracked connection.
type unreadConn struct {
	net.Conn
	read  atomic.Bool
	seen  func()
	timer *time.Timer
}

// Read implements [net.Conn].
func (c *unreadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.read.Load() && !c.read.Swap(true) {
		c.timer.Stop()
		c.seen()
	}
	return n, err
}

// Close implements [net.Conn].
func (c *unreadConn) Close() error {
	c.timer.Stop()
	c.seen()
	return c.Conn.Close()
}

// SyscallConn implements [syscall.Conn]. The error is of a connection that has none.
func (c *unreadConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}
