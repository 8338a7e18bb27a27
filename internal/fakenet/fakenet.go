// SPDX-License-Identifier: Apache-2.0

// Package fakenet simulates a network in memory for tests in virtual time.
//
// Addresses are IP:PORT strings, which exist while a listener is open. A connection delivers bytes in
// order after a latency, through an unbounded buffer. A box can be cut off as if its cable were
// unplugged: its connections stay open, but nothing arrives in either direction until it is
// restored. The connections of a killed box break at once. All open connections can become silent
// permanently while new ones work, as when a middlebox loses its state. Boxes can be placed
// in regions with a higher latency and a limited rate between them.
package fakenet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines Network, its listeners and connections.

// Network is a simulated network of boxes, which are identified by their IP addresses.
type Network struct {
	latency time.Duration

	mu          sync.Mutex
	listeners   map[string]*listener
	cut         map[string]bool    // boxes that are cut off
	isolated    map[string]bool    // boxes that are cut off from each other only
	partitioned map[[2]string]bool // pairs of boxes, in both orders, that are cut off from each other
	conns       map[*conn]bool     // open connections
	reverted    chan struct{}      // closed and replaced when a fault is reverted
	port        int                // latest port of a dialing side
	regionLinks regionLinks
}

const (
	// backlog is the maximum number of connections waiting to be accepted. It exceeds the number
	// that any test dials at the same time.
	backlog = 4096
	// dialPortBase is one less than the lowest port of a dialing side. Listeners of tests must not
	// use the ports above it.
	dialPortBase = 40000
)

// New returns a network without boxes and with the given latency between boxes of one region.
func New(latency time.Duration) *Network {
	return &Network{
		latency: latency, listeners: map[string]*listener{}, cut: map[string]bool{}, isolated: map[string]bool{}, partitioned: map[[2]string]bool{},
		conns: map[*conn]bool{}, reverted: make(chan struct{}), port: dialPortBase, regionLinks: newRegionLinks(),
	}
}

// Listen opens a listener at address, IP:PORT.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.ErrExist}
	}
	l := &listener{n: n, address: address, queue: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialerFrom returns a dialer for connections from one box.
func (n *Network) DialerFrom(ip string) Dialer { return Dialer{n: n, ip: ip} }

// Dialer opens connections from one box.
type Dialer struct {
	n  *Network
	ip string
}

// DialContext connects to a listener of the network.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := d.n
	to, _, _ := net.SplitHostPort(address)
	if err := n.awaitDelivery(ctx, d.ip, to); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	n.port++
	local := netip.AddrPortFrom(netip.MustParseAddr(d.ip), uint16(n.port))
	remote := netip.MustParseAddrPort(address)
	up, down := newPipe(n, d.ip, to), newPipe(n, to, d.ip)
	client := &conn{n: n, in: down, out: up, local: local, remote: remote}
	server := &conn{n: n, in: up, out: down, local: remote, remote: local}
	select {
	case l.queue <- server:
	default:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	n.conns[client], n.conns[server] = true, true
	return client, nil
}

// awaitDelivery waits for the latency and then until no fault drops traffic between the two boxes.
func (n *Network) awaitDelivery(ctx context.Context, from, to string) error {
	if !sleep.For(ctx, time.Until(n.arrival(from, to, 0))) {
		return ctx.Err()
	}
	for {
		n.mu.Lock()
		cut, reverted := n.severed(from, to), n.reverted
		n.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-reverted:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wakeWaiters makes all waiting dials and reads check again whether a fault drops their traffic. The caller
// holds mu.
func (n *Network) wakeWaiters() {
	close(n.reverted)
	n.reverted = make(chan struct{})
}

// severed reports whether a fault drops the traffic from one box to another. The caller holds mu.
func (n *Network) severed(from, to string) bool {
	return n.cut[from] || n.cut[to] || n.partitioned[[2]string{from, to}] || n.regionLinks.severed(from, to) || (from != to && n.isolated[from] && n.isolated[to])
}

// Kill closes the connections and listeners of a box, like the end of its processes.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if c.local.Addr().String() == ip {
			broken = append(broken, c)
		}
	}
	var closed []*listener
	for _, l := range n.listeners {
		if host, _, _ := net.SplitHostPort(l.address); host == ip {
			closed = append(closed, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closed {
		l.Close()
	}
	for _, c := range broken {
		c.Close()
	}
}

type listener struct {
	n       *Network
	address string
	queue   chan *conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.n.mu.Lock()
		delete(l.n.listeners, l.address)
		l.n.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.queue:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.address))
}

// conn is one end of a connection.
type conn struct {
	n             *Network
	in, out       *pipe
	local, remote netip.AddrPort
	resets        atomic.Bool // Close resets the connection
}

var _ net.Conn = (*conn)(nil)

func (c *conn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	c.in.closeRead()
	c.out.closeWrite(c.resets.Load())
	return nil
}

// SetLinger makes Close reset the connection if seconds is zero, like the method of [net.TCPConn].
func (c *conn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	return nil
}

func (c *conn) LocalAddr() net.Addr                { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr               { return net.TCPAddrFromAddrPort(c.remote) }
func (c *conn) SetReadDeadline(t time.Time) error  { c.in.setReadDeadline(t); return nil }
func (c *conn) SetWriteDeadline(t time.Time) error { c.out.setWriteDeadline(t); return nil }

func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// pipe is one direction of a connection.
type pipe struct {
	n        *Network
	from, to string

	mu            sync.Mutex
	chunks        []chunk
	writeClosed   bool // the writer has closed
	readClosed    bool // the reader has closed
	silent        bool // nothing arrives anymore
	readDeadline  time.Time
	writeDeadline time.Time     // writes never block, but fail after it
	changed       chan struct{} // closed and replaced on every change
}

// chunk holds the bytes of one write, or the end of the stream.
type chunk struct {
	data []byte
	at   time.Time // arrival
	end  bool      // the writer has closed
	err  error     // of a read at the end
}

func newPipe(n *Network, from, to string) *pipe {
	return &pipe{n: n, from: from, to: to, changed: make(chan struct{})}
}

// update applies f under the lock and wakes readers.
func (p *pipe) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(b []byte) (n int, err error) {
	at := p.n.arrival(p.from, p.to, len(b))
	p.n.mu.Lock()
	cut := p.n.severed(p.from, p.to)
	p.n.mu.Unlock()
	p.update(func() {
		if p.writeClosed {
			err = net.ErrClosed
			return
		}
		if isPast(p.writeDeadline) {
			err = os.ErrDeadlineExceeded
			return
		}
		if p.readClosed && !p.silent && !cut {
			err = io.ErrClosedPipe
			return
		}
		p.chunks = append(p.chunks, chunk{data: append([]byte(nil), b...), at: at})
		n = len(b)
	})
	return n, err
}

// closeWrite ends the stream, with a reset or in order. The end arrives after the bytes written before.
func (p *pipe) closeWrite(reset bool) {
	at := p.n.arrival(p.from, p.to, 0)
	p.update(func() {
		if !p.writeClosed {
			p.writeClosed = true
			end := chunk{end: true, at: at, err: io.EOF}
			if reset {
				end.err = syscall.ECONNRESET
			}
			p.chunks = append(p.chunks, end)
		}
	})
}

// closeRead makes later reads fail, and later writes unless the pipe is silent or cut off.
func (p *pipe) closeRead()                   { p.update(func() { p.readClosed = true }) }
func (p *pipe) setReadDeadline(t time.Time)  { p.update(func() { p.readDeadline = t }) }
func (p *pipe) setWriteDeadline(t time.Time) { p.update(func() { p.writeDeadline = t }) }

// isPast reports whether a deadline is set and has passed.
func isPast(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (p *pipe) read(b []byte) (int, error) {
	for {
		n, wait, changed, err := p.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		p.wait(wait, changed)
	}
}

// tryRead reads bytes that have arrived. If there are none, it returns the maximum time to wait and a
// channel that is closed on a change.
func (p *pipe) tryRead(b []byte) (n int, wait time.Duration, changed chan struct{}, err error) {
	p.n.mu.Lock()
	cut := p.n.severed(p.from, p.to)
	p.n.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	wait = time.Hour
	switch {
	case p.readClosed:
		return 0, 0, nil, net.ErrClosed
	case isPast(p.readDeadline):
		return 0, 0, nil, os.ErrDeadlineExceeded
	}
	if !p.readDeadline.IsZero() {
		wait = p.readDeadline.Sub(now)
	}
	if cut || p.silent || len(p.chunks) == 0 {
		return 0, wait, p.changed, nil
	}
	c := &p.chunks[0]
	if early := c.at.Sub(now); early > 0 {
		return 0, min(wait, early), p.changed, nil
	}
	if c.end {
		return 0, 0, nil, c.err
	}
	n = copy(b, c.data)
	if c.data = c.data[n:]; len(c.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	return n, 0, nil, nil
}

// wait returns after d, on a change of the pipe, or when a fault is reverted.
func (p *pipe) wait(d time.Duration, changed chan struct{}) {
	p.n.mu.Lock()
	reverted := p.n.reverted
	p.n.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-reverted:
	}
}
