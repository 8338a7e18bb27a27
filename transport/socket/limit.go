// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// This file defines a listener that bounds the connections open at once.

// Limit returns a listener that accepts at most n connections at a time; more
// wait in the kernel's backlog. Lock: none; the channel is the counter.
func Limit(l net.Listener, n int) *Limited {
	return &Limited{Listener: l, places: make(chan struct{}, n), closed: make(chan struct{})}
}

// Limited is a listener with a bound on its connections.
type Limited struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Full reports whether no connection can be accepted until another one ends.
func (l *Limited) Full() bool { return len(l.places) == cap(l.places) }

// Accept implements [net.Listener]. It waits while the listener is full.
func (l *Limited) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: c, free: sync.OnceFunc(func() { <-l.places })}, nil
}

// Close implements [net.Listener].
func (l *Limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	free func() // may be called more than once
}

// SyscallConn implements [syscall.Conn]. The error is of a connection that has none.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

func (c *limitedConn) Close() error {
	c.free()
	return c.Conn.Close()
}
