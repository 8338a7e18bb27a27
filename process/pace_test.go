// SPDX-License-Identifier: Apache-2.0

package process

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/internal/fakenet"
)

// allowance is a pacer that allows a number of connections.
type allowance struct{ atomic.Int64 }

func (a *allowance) AdmitConnection() bool       { return a.Add(-1) >= 0 }
func (a *allowance) AcceptRate() float64         { return overload.MinAcceptRate }
func (a *allowance) ObserveAcceptQueue(_, _ int) {}

// TestConnectionsArePaced checks that no connection is accepted without an allowance, that
// waiting ones are accepted once allowed, and that closing the listener ends a wait.
func TestConnectionsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := fakenet.New(time.Millisecond)
		l, err := network.Listen(callersAddress)
		is.NoErr(err)
		var taken atomic.Int64
		var allowance allowance
		closed := make(chan struct{})
		paced := newPacedListener(l, &allowance, closed, nil)
		ended := make(chan error, 1)
		go func() {
			for {
				conn, err := paced.Accept()
				if err != nil {
					ended <- err
					return
				}
				taken.Add(1)
				defer conn.Close()
			}
		}()
		for range 5 {
			conn, err := network.DialerFrom("10.0.0.2").DialContext(t.Context(), "tcp", callersAddress)
			is.NoErr(err)
			defer conn.Close()
		}
		time.Sleep(time.Second)
		is.Equal(taken.Load(), int64(0))
		allowance.Store(3)
		time.Sleep(time.Second)
		is.Equal(taken.Load(), int64(3))
		close(closed)
		time.Sleep(pacePollInterval)
		is.Equal(<-ended, net.ErrClosed)
	})
}

// TestBacklogsDrainInTime checks that a connection at the end of the queue can still meet its
// objective at the minimum pace. Objectives range from 150 to 800 ms in known deployments, and
// most are at least 300 ms.
func TestBacklogsDrainInTime(t *testing.T) {
	is := is.New(t)
	is.True(float64(shortBacklog)/overload.MinAcceptRate < 0.25) // seconds
	// Connections queued before pacing began are accepted before their callers disconnect:
	// callers wait up to a second for a request to be read.
	is.True(float64(longBacklog)/overload.MinAcceptRate < 1)
}

// pace is a pacer that allows no connection and has a changing rate.
type pace struct{ rate float64 }

func (*pace) AdmitConnection() bool       { return false }
func (p *pace) AcceptRate() float64       { return p.rate }
func (*pace) ObserveAcceptQueue(_, _ int) {}

// TestQueueFollowsThePace checks that the kernel's queue is as long as the pace drains in the same
// time at any rate. A queue for the minimum pace overflows at a higher one, and a caller whose
// connection does not fit waits for a second.
func TestQueueFollowsThePace(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var p pace
	paced := newPacedListener(l, &p, nil, nil)
	for _, tt := range []struct {
		rate     float64
		capacity int
	}{
		{0, longBacklog}, {10 * overload.MinAcceptRate, longBacklog}, {2 * overload.MinAcceptRate, 2 * shortBacklog},
		{overload.MinAcceptRate, shortBacklog}, {overload.MinAcceptRate / 2, shortBacklog}, {0, longBacklog},
	} {
		p.rate = tt.rate
		paced.adjustBacklog()
		_, capacity, err := acceptQueue(l)
		is.NoErr(err)
		is.Equal(capacity, tt.capacity)
	}
}

// TestAcceptQueueLength checks that the reported queue length is the number of waiting
// connections.
func TestAcceptQueueLength(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	paced := newPacedListener(l, &allowance{}, nil, nil)
	paced.adjustBacklog()
	is.True(paced.isPaced)
	for range 7 {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
	}
	waiting, capacity, err := acceptQueue(l)
	is.NoErr(err)
	is.Equal(waiting, 7)
	is.Equal(capacity, shortBacklog)
	conn, err := l.Accept()
	is.NoErr(err)
	defer conn.Close()
	waiting, _, err = acceptQueue(l)
	is.NoErr(err)
	is.Equal(waiting, 6)
	waiting, capacity, err = acceptQueue(fakeListener{})
	is.NoErr(err)
	is.Equal([]int{waiting, capacity}, []int{0, 0}) // not available
}

// fakeListener is not a kernel socket.
type fakeListener struct{ net.Listener }

// queueReports is a pacer that allows no connection and sends the reported queue lengths to the
// test.
type queueReports chan int

func (w queueReports) AdmitConnection() bool { return false }
func (w queueReports) AcceptRate() float64   { return overload.MinAcceptRate }
func (w queueReports) ObserveAcceptQueue(waiting, _ int) {
	select {
	case w <- waiting:
	default:
	}
}

// TestQueueLengthIsReported checks that a listener that accepts nothing reports how many
// connections wait.
func TestQueueLengthIsReported(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	reports, closed := make(queueReports), make(chan struct{})
	paced := newPacedListener(l, reports, closed, nil)
	ended := make(chan error)
	go func() {
		_, err := paced.Accept()
		ended <- err
	}()
	for want := range 6 {
		for waiting := range reports {
			is.True(waiting <= want)
			if waiting == want {
				break
			}
		}
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
	}
	close(closed)
	is.Equal(<-ended, net.ErrClosed)
}
