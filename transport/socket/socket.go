// SPDX-License-Identifier: Apache-2.0

// Package socket opens TCP connections that detect an unresponsive peer.
//
// A box that loses power or is cut off from the network does not close its
// connections. A connection opened here fails once sent data has been unacknowledged for
// [AckTimeout], or, while nothing is sent, once keep-alive probes are not answered. An
// accepted connection has the probes, but usually no AckTimeout, see [Listen].
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

// Keep-alive probes of a connection on which nothing is sent. They detect an unresponsive peer after
// five seconds, on a connection of [Dial] after three: there [AckTimeout] ends it at the second probe.
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
	return newDialer(DialTimeout).DialContext(ctx, network, address)
}

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setAckTimeout}
}

// Listen opens a listener whose connections detect an unresponsive peer while nothing is sent. Go's listeners
// use MPTCP where the kernel has it, which does not know TCP_USER_TIMEOUT: there, sent bytes may stay
// unacknowledged for the maximum number of retransmissions.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setAckTimeout}
	return lc.Listen(context.Background(), "tcp", address)
}

// Times for which the close of a connection waits until sent bytes are acknowledged, in seconds.
const (
	noLinger      = 0  // the close discards them and sends a reset
	defaultLinger = -1 // the kernel goes on sending them, and then an orderly end
)

// ResetOnClose makes the close of a connection send a reset instead of an orderly end, also when this process dies.
// Bytes that are not sent yet are lost. Wrapped connections need a method NetConn, as *tls.Conn has one.
func ResetOnClose(c net.Conn) error { return setLinger(c, noLinger) }

// setLinger sets SO_LINGER, see [net.TCPConn.SetLinger].
func setLinger(c net.Conn, seconds int) error {
	k, err := innermost(c)
	if err != nil {
		return err
	}
	return k.SetLinger(seconds)
}

// lingerConn is a connection of the kernel.
type lingerConn interface {
	SetLinger(seconds int) error
	Close() error
}

// innermost returns the connection of the kernel below those that wrap it.
func innermost(c net.Conn) (lingerConn, error) {
	switch c := c.(type) {
	case lingerConn:
		return c, nil
	case interface{ NetConn() net.Conn }:
		return innermost(c.NetConn())
	}
	return nil, errors.ErrUnsupported
}

// setAckTimeout sets AckTimeout on a new socket. Accepted connections inherit it from their listener.
func setAckTimeout(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, AckTimeout) }

// setUserTimeout limits how long sent bytes may stay unacknowledged. It fails on a closed connection. On a
// socket without the option, the connection fails later, after the maximum number of retransmissions.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	return c.Control(func(fd uintptr) {
		// The error is ignored: without the option the connection still fails, see above.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}
