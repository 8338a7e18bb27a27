// SPDX-License-Identifier: Apache-2.0

// Package socket opens TCP connections that detect an unresponsive peer.
//
// A box that loses power or is cut off from the network does not close its
// connections. A connection opened or accepted here fails once sent data has been
// unacknowledged for [AckTimeout], or, while idle, once keep-alive probes are not answered.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// AckTimeout is how long sent bytes may stay unacknowledged. It is far above the network delay
// between data halls.
const AckTimeout = 2 * time.Second

// DialTimeout bounds the opening of a connection.
const DialTimeout = time.Second

// Keep-alive probes of an idle connection. They detect an unresponsive peer after three seconds: Linux ends a connection
// that has a user timeout once that has passed and one probe is unanswered, whatever maxFailedProbes is. A single lost probe
// ends the connection as well.
const (
	probeIdleTime   = 2 * time.Second // idle time before the first probe
	probeInterval   = time.Second     // interval between probes
	maxFailedProbes = 3               // unanswered probes after which the connection fails, without a user timeout
)

// tcpUserTimeout is TCP_USER_TIMEOUT from linux/tcp.h, which package syscall does not define.
const tcpUserTimeout = 0x12

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdleTime, Interval: probeInterval, Count: maxFailedProbes}

// Dial opens a connection within DialTimeout. Its signature is that of net.Dialer.DialContext.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return Dialer(DialTimeout).DialContext(ctx, network, address)
}

// Dialer returns a dialer that opens each connection within timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen opens a listener whose connections detect an unresponsive peer.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return lc.Listen(context.Background(), "tcp", address)
}

// ResetOnClose makes the close of a connection send a reset instead of an orderly end. Bytes that are not
// sent yet are lost. Wrapped connections need a method NetConn, as *tls.Conn has one.
func ResetOnClose(c net.Conn) error {
	switch c := c.(type) {
	case interface{ SetLinger(seconds int) error }:
		return c.SetLinger(0)
	case interface{ NetConn() net.Conn }:
		return ResetOnClose(c.NetConn())
	}
	return errors.ErrUnsupported
}

// setUserTimeout limits how long sent bytes may stay unacknowledged. Accepted
// connections inherit the option from their listener. On a kernel without the option,
// the connection fails later, after the maximum number of retransmissions.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// The error is ignored: without the option the connection still fails, see above.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(AckTimeout.Milliseconds()))
	})
}
