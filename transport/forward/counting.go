// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// This file defines how a Client learns whether anything of a call was sent: it
// counts the bytes written to each connection. It stands apart because net/http
// does not report that.

// countingConn counts the bytes that the kernel has accepted.
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

// countingDial returns a dial function whose connections count.
func countingDial(cfg Settings) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := cfg.Dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if cfg.Opened != nil {
			cfg.Opened()
		}
		return &countingConn{Conn: conn}, nil
	}
}

// sending is one call on its connection. The zero value has none yet.
type sending struct {
	conn   atomic.Pointer[countingConn]
	before int64 // bytes that the connection had taken before the call
}

// begin is called by net/http when the call gets its connection.
func (s *sending) begin(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	s.before = c.written.Load()
	s.conn.Store(c)
}

// begun reports whether a byte of the call may have been sent.
func (s *sending) begun() bool {
	c := s.conn.Load()
	return c != nil && c.written.Load() > s.before
}
