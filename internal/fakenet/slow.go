// SPDX-License-Identifier: Apache-2.0

package fakenet

import (
	"context"
	"net"
	"time"
)

// This file defines SlowDialer, connections that bring little in at a time.

// Slow returns a dialer whose connections bring at most bytesPerSecond in, in small pieces,
// as over a link that many share.
func (d Dialer) Slow(bytesPerSecond int) SlowDialer {
	return SlowDialer{Dialer: d, rate: bytesPerSecond}
}

// SlowDialer opens connections like its Dialer, slow in what they bring in.
type SlowDialer struct {
	Dialer
	rate int
}

// DialContext opens a connection.
func (d SlowDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, rate: d.rate}, nil
}

// slowConn is a connection whose reads take their time.
type slowConn struct {
	net.Conn
	rate int
}

// slowPiece is what one read of a slow connection brings at most, in bytes.
const slowPiece = 1 << 10

// Read implements [net.Conn].
func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), slowPiece)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	return n, err
}
