// SPDX-License-Identifier: Apache-2.0

package process

import (
	"log/slog"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/decision"
)

// This file defines pacedListener, which limits the rate at which callers' connections are
// accepted to what the gateway's processor can serve.

// Lengths of the kernel's queue of connections that are not accepted yet.
//
// Unpaced, the queue must hold the arrivals while the accepting goroutine waits for a
// processor; 128 overflowed with 150 simultaneous callers. When pacing begins, the queued
// connections are accepted at the minimum pace, and callers disconnect after a second. A queue
// of 1,024 takes 3.4 s to drain: a request in it reaches a server 2.3 s after it was sent,
// shortly before its caller's deadline.
//
// Paced, the queue is as long as the pace drains in maxQueueWait. Connections in it are not
// answered, and their unread bytes are memory of this process: 4.6 MB with 64 bodies of 72 KB.
// An accepted connection must still be able to meet its objective: with a wait of 0.67 s, a
// flooded gateway spends its processor on requests that are already late. A queue that is
// shorter than that overflows while the gateway has the processor for more, and the caller of
// each connection beyond it waits a second until the kernel repeats the handshake.
const (
	longBacklog  = 256                                   // 0.85 s at the minimum pace
	shortBacklog = 64                                    // 0.21 s at the minimum pace (docs/design/hundreds-of-boxes.md)
	maxQueueWait = shortBacklog / overload.MinAcceptRate // seconds
)

// pacedBacklog returns the length of the queue at a pace in connections per second.
func pacedBacklog(rate float64) int {
	return min(max(int(rate*maxQueueWait), shortBacklog), longBacklog)
}

// pacePollInterval is how often a paced listener checks whether it may accept: a quarter of the
// time between two allowances (overload.TickPeriod).
const pacePollInterval = 5 * time.Millisecond

// pacer limits the rate of accepted connections.
type pacer interface {
	// AdmitConnection reports whether another connection may be accepted now, and counts it if
	// so.
	AdmitConnection() bool
	// AcceptRate returns the pace in connections per second, or 0 while no connection is held back.
	AcceptRate() float64
	// ObserveAcceptQueue records the length and the capacity of the kernel's queue.
	ObserveAcceptQueue(waiting, capacity int)
}

// pacedListener delays Accept until its pacer allows another connection. Only one goroutine may
// call Accept.
type pacedListener struct {
	net.Listener
	pacer             pacer
	closed            <-chan struct{}
	log               *decision.Log
	backlog           int  // length of the kernel's queue
	isPaced           bool // as of the last adjustment of the backlog
	isQueueUnreported bool // whether the kernel does not report the length of its queue
	unread            unreadConns
}

// newPacedListener returns a listener with a backlog of longBacklog.
func newPacedListener(l net.Listener, p pacer, closed <-chan struct{}, log *decision.Log) *pacedListener {
	paced := &pacedListener{Listener: l, pacer: p, closed: closed, log: log}
	paced.adjustBacklog()
	return paced
}

// Accept implements [net.Listener].
func (l *pacedListener) Accept() (net.Conn, error) {
	for l.unread.full() || !l.pacer.AdmitConnection() {
		l.adjustBacklog()
		l.reportQueue()
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pacePollInterval):
		}
	}
	l.adjustBacklog()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.unread.track(conn), nil
}

// reportQueue reports the length of the kernel's queue to the pacer, if it is available.
func (l *pacedListener) reportQueue() {
	if !l.isPaced || l.isQueueUnreported {
		return
	}
	waiting, capacity, err := acceptQueue(l.Listener)
	if err != nil || capacity == 0 {
		l.isQueueUnreported = true
		return
	}
	l.pacer.ObserveAcceptQueue(waiting, capacity)
}

// acceptQueue returns the length and the capacity of a listener's queue, or zeros if the kernel
// does not report them. It returns an error if the socket cannot be queried.
func acceptQueue(listener net.Listener) (waiting, capacity int, err error) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return 0, 0, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var info *unix.TCPInfo
	var failed error
	if err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return 0, 0, err
	}
	if failed != nil {
		return 0, 0, failed
	}
	// For a listening socket these two fields describe its queue (tcp_get_info in the kernel).
	return int(info.Unacked), int(info.Sacked), nil
}

// adjustBacklog makes the kernel's queue as long as the pace allows.
func (l *pacedListener) adjustBacklog() {
	rate := l.pacer.AcceptRate()
	l.isPaced = rate > 0
	backlog := longBacklog
	if l.isPaced {
		backlog = pacedBacklog(rate)
	}
	if backlog != l.backlog {
		l.backlog = backlog
		l.setBacklog(backlog)
	}
}

// setBacklog sets the length of the kernel's queue. A failure is only logged, because the
// listener still works with the previous length.
func (l *pacedListener) setBacklog(n int) {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return // not a kernel socket
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
		if err == nil {
			err = failed
		}
	}
	if err != nil {
		l.log.Failure("listen backlog unchanged", slog.Int("wanted", n), slog.String("error", err.Error()))
	}
}
