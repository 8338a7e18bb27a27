// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// This file defines a listener that limits the number of open connections.

// LimitListener returns a listener with at most n open connections; further ones wait in the
// kernel's backlog. It has no lock: a channel counts the connections.
func LimitListener(l net.Listener, n int) *LimitedListener {
	return &LimitedListener{Listener: l, connSlots: make(chan struct{}, n), closed: make(chan struct{})}
}

// LimitedListener is a listener with a limit on its open connections.
type LimitedListener struct {
	net.Listener
	connSlots chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Full reports whether no connection can be accepted until another one ends.
func (l *LimitedListener) Full() bool { return len(l.connSlots) == cap(l.connSlots) }

// Accept implements [net.Listener]. It waits while the listener is full.
func (l *LimitedListener) Accept() (net.Conn, error) {
	select {
	case l.connSlots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.connSlots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.connSlots })}, nil
}

// Close implements [net.Listener].
func (l *LimitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func() // may be called more than once
}

// SyscallConn implements [syscall.Conn]. It fails if the underlying connection does not
// implement that interface.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// NetConn returns the wrapped connection.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
