// SPDX-License-Identifier: Apache-2.0

// Package socket opens connections that notice a silent peer.
//
// A box that lost power or was cut off closes nothing. Connections opened
// or accepted here fail once what they sent has been unacknowledged for
// [Silence], and, idle, once probes are not answered.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Silence is how long sent bytes may stay unacknowledged. Far above the delay between data halls.
const Silence = 2 * time.Second

// DialTimeout bounds the opening of a connection.
const DialTimeout = time.Second

// Probes of an idle connection: by arithmetic a silent peer is noticed after five seconds.
const (
	probeAfter = 2 * time.Second // without traffic, until the first probe
	probeEvery = time.Second     // between two probes
	probes     = 3               // unanswered, until the connection fails
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h; package syscall lacks it.
const tcpUserTimeout = 0x12

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes}

// Dial opens a connection. It has the shape of net.Dialer.DialContext.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return Dialer(DialTimeout).DialContext(ctx, network, address)
}

// Dialer opens connections, each within a time.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen opens a listener whose connections notice a silent peer.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return lc.Listen(context.Background(), "tcp", address)
}

// setUserTimeout bounds unacknowledged bytes; accepted connections inherit it
// from their listener. A kernel without the option leaves the bound to
// retransmission, which takes longer and ends too.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// See above for why an error is dropped.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(Silence.Milliseconds()))
	})
}
