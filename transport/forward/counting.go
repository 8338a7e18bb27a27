// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// This file defines how a Client knows whether anything of a call was sent:
// it counts the bytes that each connection has taken.

type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements [net.Conn].
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func countingDial(set Settings) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := set.Dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if set.Opened != nil {
			set.Opened()
		}
		return &countingConn{Conn: conn}, nil
	}
}

// sending remembers what a connection had taken before a call got it.
type sending struct {
	conn   atomic.Pointer[countingConn]
	before int64
}

func (s *sending) begin(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	s.before = c.written.Load()
	s.conn.Store(c)
}

// any reports whether a byte of the call may have been sent.
func (s *sending) any() bool {
	c := s.conn.Load()
	return c != nil && c.written.Load() > s.before
}
