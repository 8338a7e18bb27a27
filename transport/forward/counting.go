// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file defines countingConn, a connection to a backend server that records whether any
// byte of a call was sent on it and whether it is idle. net/http reports neither.

// countingConn counts the bytes that the kernel has accepted and the calls that were
// given the connection, and records the failure that ended it.
type countingConn struct {
	net.Conn
	openedAt     time.Time
	closed       atomic.Bool           // by this process
	failure      atomic.Pointer[error] // first failure of a read or write before that
	writing      sync.Mutex            // leaf lock, held during a write; guards lost
	lost         error                 // first failure of a write that shows the loss of the connection, see isLoss
	deregister   func()                // removes the connection from the client's list
	bytesWritten atomic.Int64
	callsStarted atomic.Int64           // calls that were given the connection
	lastIdleCall atomic.Int64           // number of the last call after which the connection became idle
	lastID       atomic.Pointer[string] // Call.ID of the last call, nil before the first
	refused      atomic.Bool            // a call without an ID was refused
	// abandoned is called before the first byte of the current call, and is nil afterwards.
	abandoned atomic.Pointer[func() bool]
}

// ErrAbandoned is the error of a call that was abandoned before it was sent.
var ErrAbandoned = errors.New("call abandoned before it was sent")

// IsAbandoned reports whether a call failed because it was abandoned before it was sent.
func IsAbandoned(err error) bool { return errors.Is(err, ErrAbandoned) }

// Write implements [net.Conn]. The first write of an abandoned call fails. An earlier check
// is not enough: afterwards the call passes through further goroutines, and on a gateway that is
// short of processor time it would be sent up to half a second after its caller had left.
func (c *countingConn) Write(b []byte) (int, error) {
	if abandoned := c.abandoned.Swap(nil); abandoned != nil && (*abandoned)() {
		c.recordFailure(ErrAbandoned)
		return 0, ErrAbandoned
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	c.recordFailure(err)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// isLoss reports whether a write failed because the connection was lost. The write fails with EPIPE instead if the peer had
// ended its side in order before, and with net.ErrClosed if this process has closed the connection.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed)
}

// lossError returns the failure of a write that shows the loss of the connection, nil without one. The kernel reports a loss
// once, to a read or to a write, and a read after that returns io.EOF. It waits for a write that has not returned.
func (c *countingConn) lossError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.lost
}

// Read implements [net.Conn].
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordFailure(err)
	return n, err
}

// recordFailure records the error of a read or write if it is the first one. Errors after Close
// are its consequences.
func (c *countingConn) recordFailure(err error) {
	if err == nil || c.closed.Load() {
		return
	}
	failure := err // only this copy is allocated, not the argument of every call
	c.failure.CompareAndSwap(nil, &failure)
}

// Close implements [net.Conn].
func (c *countingConn) Close() error {
	c.closed.Store(true)
	c.deregister()
	return c.Conn.Close()
}

// idle reports whether no call is using the connection. A call may be given it right
// afterwards; if it is then closed, that call fails as if the server had closed it.
func (c *countingConn) idle() bool {
	return c.lastIdleCall.Load() == c.callsStarted.Load() && c.callsStarted.Load() > 0
}

// mayOweResponse reports whether a surplus response that still comes would pass for that to a call with an ID.
func (c *countingConn) mayOweResponse(id string) bool {
	last := c.lastID.Load()
	return c.refused.Load() || last != nil && id != "" && *last == id
}

// connections holds the open connections of a client by server address.
type connections struct {
	mu   sync.Mutex // leaf lock; guards open
	open map[string]map[*countingConn]bool
}

// add registers a new connection and returns it wrapped in a countingConn.
func (o *connections) add(address string, conn net.Conn) *countingConn {
	c := &countingConn{Conn: conn, openedAt: time.Now()}
	c.deregister = func() { o.remove(address, c) }
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open[address] == nil {
		o.open[address] = map[*countingConn]bool{}
	}
	o.open[address][c] = true
	return c
}

func (o *connections) remove(address string, c *countingConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open[address], c)
	if len(o.open[address]) == 0 {
		delete(o.open, address)
	}
}

// idleTo returns the idle connections to an address.
func (o *connections) idleTo(address string) []*countingConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	var idle []*countingConn
	for c := range o.open[address] {
		if c.idle() {
			idle = append(idle, c)
		}
	}
	return idle
}

// countingDial returns a dial function that registers its connections in o.
func (o *connections) countingDial(cfg Settings) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := cfg.Dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if cfg.OnOpen != nil {
			cfg.OnOpen()
		}
		return o.add(address, conn), nil
	}
}

// callTrace records the connection that a call is sent on. The zero value has none yet.
type callTrace struct {
	conn          atomic.Pointer[countingConn]
	callNumber    int64 // of the call on the connection
	writtenBefore int64 // bytes written on the connection before the call
	id            string
	unusable      atomic.Bool // a surplus response on the connection would pass for that to the call
	// abandoned and connected are the call's functions of the same names, or nil.
	abandoned func() bool
	connected func(openedAt time.Time)
}

// attach returns a context that makes net/http report the call's progress to s.
func (s *callTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn, PutIdleConn: s.putIdleConn})
}

// gotConn is called by net/http when the call is given its connection.
func (s *callTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	s.callNumber, s.writtenBefore = c.callsStarted.Add(1), c.bytesWritten.Load()
	abandoned := s.abandoned
	if c.mayOweResponse(s.id) {
		s.unusable.Store(true)
		abandoned = func() bool { return true }
	}
	id := s.id // a copy: the trace holds the call, which an idle connection must not keep
	c.lastID.Store(&id)
	if abandoned != nil {
		c.abandoned.Store(&abandoned)
	}
	s.conn.Store(c)
	if s.connected != nil {
		s.connected(c.openedAt)
	}
}

// putIdleConn is called by net/http when it returns the connection to the idle pool.
func (s *callTrace) putIdleConn(err error) {
	if c := s.conn.Load(); c != nil && err == nil {
		c.lastIdleCall.Store(s.callNumber)
	}
}

// gotUnusableConn reports whether the call was abandoned because a surplus response on its connection would pass for the
// response to it.
func (s *callTrace) gotUnusableConn() bool { return s.unusable.Load() }

// recordUnidentifiedRefusal makes the connection unusable for further calls.
func (s *callTrace) recordUnidentifiedRefusal() {
	if c := s.conn.Load(); c != nil {
		c.refused.Store(true)
	}
}

// mayHaveSent reports whether any byte of the call may have been sent.
func (s *callTrace) mayHaveSent() bool {
	c := s.conn.Load()
	return c != nil && c.bytesWritten.Load() > s.writtenBefore
}

// withConnFailure returns the error of a call together with the failure that ended its connection.
// net/http closes the connection after a failed write, which fails the read that waits for the
// answer as well, and returns either error.
func (s *callTrace) withConnFailure(err error) error {
	c := s.conn.Load()
	if c == nil {
		return err
	}
	if failure := c.failure.Load(); failure != nil && !errors.Is(err, *failure) {
		return fmt.Errorf("%w: %w", err, *failure)
	}
	return err
}

// lossError returns the failure of a write that shows the loss of the call's connection, nil without one.
func (s *callTrace) lossError() error {
	if c := s.conn.Load(); c != nil {
		return c.lossError()
	}
	return nil
}

// connOpenedAt returns when the call's connection was opened, or the zero time without one.
func (s *callTrace) connOpenedAt() time.Time {
	if c := s.conn.Load(); c != nil {
		return c.openedAt
	}
	return time.Time{}
}
