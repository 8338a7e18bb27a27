// SPDX-License-Identifier: Apache-2.0

package fakenet

import (
	"context"
	"net"
	"time"
)

// This file defines SlowDialer, whose connections have a limited receive rate.

// Slow returns a dialer whose connections receive at most bytesPerSecond, in small pieces, as over a
// congested link.
func (d Dialer) Slow(bytesPerSecond int) SlowDialer {
	return SlowDialer{Dialer: d, rate: bytesPerSecond}
}

// SlowDialer opens connections like its Dialer but limits the receive rate of each.
type SlowDialer struct {
	Dialer
	rate int // bytes per second
}

// DialContext opens a connection with a limited receive rate.
func (d SlowDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, rate: d.rate}, nil
}

// slowConn is a connection with a limited receive rate.
type slowConn struct {
	net.Conn
	rate int // bytes per second
}

// maxSlowRead is the maximum size of one read of a slowConn in bytes.
const maxSlowRead = 1 << 10

// Read implements [net.Conn].
func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), maxSlowRead)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	return n, err
}
