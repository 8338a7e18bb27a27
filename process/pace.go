// SPDX-License-Identifier: Apache-2.0

package process

import (
	"log/slog"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/badgerspoke/badgerspoke/decision"
)

// This file defines pacedListener, which takes callers' connections no faster than the
// gateway's processor bears.

// How many new connections the kernel holds that the gateway has not taken yet. While it
// takes all, the queue must hold what comes while its goroutine waits for a processor: 150
// callers that come at once overflowed 128 (TestGatewaySurvivesAFlood). What it holds when the
// pacing begins is taken at the least pace, and callers leave after a second: with 1,024, a
// wait of 3.4 s, a request reached a server 2.3 s after it was sent, 76 ms before its caller's
// time was over. While it is paced the
// queue is short: whoever waits in it is not answered, its unread bytes are this process's
// memory (at the largest bodies seen, 72 KB, 4.6 MB), and what is taken must still be able to
// be in time, at the least pace (overload.LeastPace): with 200, a wait of 0.67 s, a flooded
// gateway served late what it took, and had no processor left for what could be in time.
const (
	longBacklog  = 256 // 0.85 s at the least pace; of 1,024, 256 and 128
	shortBacklog = 64  // 0.21 s at the least pace; of 200, 64 and 32 (docs/design/hundreds-of-boxes.md)
)

// pacePoll is how often a listener that may not take a connection looks again. Chosen: a
// quarter of the time between two allowances (overload.TickPeriod).
const pacePoll = 5 * time.Millisecond

// pacer says how fast connections may be taken.
type pacer interface {
	// TakeConnection reports whether one more may be taken now, and counts it.
	TakeConnection() bool
	// ConnectionsPaced reports whether some are kept waiting.
	ConnectionsPaced() bool
	// ObserveQueue takes how many connections the kernel holds that were not taken, and how many it
	// holds at most.
	ObserveQueue(waiting, most int)
}

// pacedListener waits before it takes a connection for as long as its pacer says no.
// Only one goroutine may accept.
type pacedListener struct {
	net.Listener
	pacer  pacer
	closed <-chan struct{}
	log    *decision.Log
	short  bool // the kernel's queue
	blind  bool // the kernel does not say how full it is
	unread unreadConns
}

// newPacedListener returns a listener with the long queue.
func newPacedListener(l net.Listener, p pacer, closed <-chan struct{}, log *decision.Log) *pacedListener {
	paced := &pacedListener{Listener: l, pacer: p, closed: closed, log: log}
	paced.setBacklog(longBacklog)
	return paced
}

// Accept implements [net.Listener].
func (l *pacedListener) Accept() (net.Conn, error) {
	for l.unread.full() || !l.pacer.TakeConnection() {
		l.fitBacklog()
		l.look()
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pacePoll):
		}
	}
	l.fitBacklog()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.unread.track(conn), nil
}

// look tells the pacer how full the kernel's queue is, if the kernel says so.
func (l *pacedListener) look() {
	if !l.short || l.blind {
		return
	}
	waiting, most, err := queueOf(l.Listener)
	if err != nil || most == 0 {
		l.blind = true
		return
	}
	l.pacer.ObserveQueue(waiting, most)
}

// queueOf returns how many connections wait in a listener's queue, and how many it holds; 0 if the kernel
// does not say. The error is of the listener, or of the system call.
func queueOf(listener net.Listener) (waiting, most int, err error) {
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
	// Of a listening socket these two fields are its queue (tcp_get_info of the kernel).
	return int(info.Unacked), int(info.Sacked), nil
}

// fitBacklog changes the kernel's queue when the pacing begins or ends.
func (l *pacedListener) fitBacklog() {
	paced := l.pacer.ConnectionsPaced()
	if paced == l.short {
		return
	}
	l.short = paced
	if paced {
		l.setBacklog(shortBacklog)
	} else {
		l.setBacklog(longBacklog)
	}
}

// setBacklog bounds the kernel's queue. A queue of another length serves as well, but for
// what its constants say.
func (l *pacedListener) setBacklog(n int) {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return // not of the kernel's
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
		l.log.Failure("queue of callers unchanged", slog.Int("wanted", n), slog.String("error", err.Error()))
	}
}
