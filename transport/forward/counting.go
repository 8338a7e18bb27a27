// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// This file defines countingConn, a connection to a backend server: whether anything of
// a call was sent on it, and whether it is idle, neither of which net/http reports.

// countingConn counts the bytes that the kernel has accepted, and the calls.
type countingConn struct {
	net.Conn
	opened  time.Time
	closed  func() // forgets the connection
	written atomic.Int64
	calls   atomic.Int64 // that were given the connection
	ended   atomic.Int64 // number of the last call after which it was kept
	// unwanted is asked before the first byte of the present call: nil once it was.
	unwanted atomic.Pointer[func() bool]
}

// ErrUnwanted ends a call that nobody wants any more.
var ErrUnwanted = errors.New("the call is not wanted any more")

// Unwanted reports whether a call failed because nobody wanted it any more.
func Unwanted(err error) bool { return errors.Is(err, ErrUnwanted) }

// Write implements [net.Conn]. The first write of a call that is unwanted fails: between any
// earlier look and this one, goroutines hand the call on, and each of them waits for the
// processor of a late gateway, so that calls went out half a second after their callers had
// left.
func (c *countingConn) Write(b []byte) (int, error) {
	if unwanted := c.unwanted.Swap(nil); unwanted != nil && (*unwanted)() {
		return 0, ErrUnwanted
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Close implements [net.Conn].
func (c *countingConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// idle reports whether no call has the connection. One may get it right after: to it,
// a connection that is closed then is one that the server closed.
func (c *countingConn) idle() bool { return c.ended.Load() == c.calls.Load() && c.calls.Load() > 0 }

// connections are the open connections of a client, by the server's address.
type connections struct {
	mu   sync.Mutex // a leaf
	open map[string]map[*countingConn]bool
}

// add takes a new connection and returns it as one that counts.
func (o *connections) add(address string, conn net.Conn) *countingConn {
	c := &countingConn{Conn: conn, opened: time.Now()}
	c.closed = func() { o.remove(address, c) }
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open[address] == nil {
		o.open[address] = map[*countingConn]bool{}
	}
	o.open[address][c] = true
	return c
}

func (o *connections) remove(address string, c *countingConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open[address], c)
	if len(o.open[address]) == 0 {
		delete(o.open, address)
	}
}

// idleTo returns the idle connections to an address.
func (o *connections) idleTo(address string) []*countingConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	var idle []*countingConn
	for c := range o.open[address] {
		if c.idle() {
			idle = append(idle, c)
		}
	}
	return idle
}

// countingDial returns a dial function whose connections count.
func (o *connections) countingDial(cfg Settings) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := cfg.Dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if cfg.Opened != nil {
			cfg.Opened()
		}
		return o.add(address, conn), nil
	}
}

// sending is one call on its connection. The zero value has none yet.
type sending struct {
	conn   atomic.Pointer[countingConn]
	number int64 // of the call on the connection
	before int64 // bytes that the connection had taken before the call
	// unwanted is that of the call, or nil.
	unwanted func() bool
}

// trace lets net/http report to s.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.begin, PutIdleConn: s.end})
}

// begin is called by net/http when the call gets its connection.
func (s *sending) begin(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	s.number, s.before = c.calls.Add(1), c.written.Load()
	if s.unwanted != nil {
		c.unwanted.Store(&s.unwanted)
	}
	s.conn.Store(c)
}

// end is called by net/http when it keeps the connection.
func (s *sending) end(err error) {
	if c := s.conn.Load(); c != nil && err == nil {
		c.ended.Store(s.number)
	}
}

// begun reports whether a byte of the call may have been sent.
func (s *sending) begun() bool {
	c := s.conn.Load()
	return c != nil && c.written.Load() > s.before
}

// opened returns when the call's connection was opened; zero without one.
func (s *sending) opened() time.Time {
	if c := s.conn.Load(); c != nil {
		return c.opened
	}
	return time.Time{}
}
