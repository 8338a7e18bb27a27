// SPDX-License-Identifier: Apache-2.0

// Package link carries protocol messages between two boxes of the fleet over
// one WebSocket.
//
// One side opens the link, both sides prove that they have the fleet key, and then
// the link carries whole messages in order until either side closes it or it fails.
// No message is read before the proof. The handshake consists of three binary frames
// of at most maxHandshakeFrame bytes each:
//
//	dialer   → nonce, name
//	acceptor → nonce, name, HMAC-SHA256(key, "acceptor" both nonces both names)
//	dialer   → HMAC-SHA256(key, "dialer" both nonces both names)
//
// The nonces prevent the replay of a recorded handshake, and the side labels prevent the
// reflection of a proof. The key is not sent in a header, because that would reveal it
// to the accepting side. The link is encrypted only if the box has certificates; the
// handshake takes place either way.
//
// The package owns the connection, its deadlines for the handshake and for
// writes, and the counters of bytes and messages ([Meter]). It relies on
// package protocol for the encoding and its size limit. A read has no deadline
// of its own. A caller that expects messages at some rate passes a context with a
// deadline to [Link.Receive] or calls [Link.ReceiveWithIdleTimeout]. A caller that only sends
// runs [Link.CloseOnPingTimeout], because a connection may stop delivering data without
// an error while new connections work. There are no locks; an [Outbox] has one goroutine.
package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Link and the two ways to open one.

// Path is where a box accepts links.
const Path = "/fleet/v1/link"

// Limits on a peer.
const (
	// HandshakeTimeout is the limit from the dial, or from the accepted request, to the
	// last frame of the handshake. A dialer's context may end the handshake earlier.
	HandshakeTimeout = 3 * time.Second
	// WriteTimeout is the limit for the kernel to accept one message. A link whose
	// peer reads nothing for that long is closed.
	WriteTimeout = 5 * time.Second
)

// Pings of a link on which the peer sends no messages. A timeout of one second tolerates two
// lost packets and equals the time that a gateway waits for a leader (registry.LeaderTimeout).
const (
	pingPeriod  = 250 * time.Millisecond // between a pong and the next ping
	pingTimeout = time.Second            // for the pong to any ping
)

// Identity is the name that a box claims and the key that it proves.
type Identity struct {
	Name string
	Key  []byte // the fleet key, equal on all boxes
	// Dial opens connections; nil means the operating system's network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS encrypts links that this box opens; nil leaves them plain.
	TLS *tls.Config
}

// scheme returns the WebSocket scheme of links that this box opens.
func (i Identity) scheme() string {
	if i.TLS != nil {
		return "wss://"
	}
	return "ws://"
}

// Link is an open, authenticated link. Send and Receive may be called
// concurrently with each other.
type Link struct {
	conn  *websocket.Conn
	peer  string
	meter *Meter
}

// Dial opens a link to the box at address (IP:PORT). The error is
// [Unreachable], [WrongKey] or [Broken].
func Dial(ctx context.Context, address string, id Identity, m *Meter) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: id.Dial, TLSClientConfig: id.TLS, DisableKeepAlives: true}
	conn, resp, err := websocket.Dial(ctx, id.scheme()+address+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled, HTTPClient: &http.Client{Transport: transport},
	})
	if resp != nil && resp.Body != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return nil, Unreachable{Address: address, Err: err}
	}
	return newLink(ctx, conn, id, m, dialHandshake)
}

// Accept opens a link from an HTTP request at Path. It writes the response
// itself. The error is [Unreachable], [WrongKey] or [Broken].
func Accept(w http.ResponseWriter, r *http.Request, id Identity, m *Meter) (*Link, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, Unreachable{Address: r.RemoteAddr, Err: err}
	}
	ctx, cancel := context.WithTimeout(r.Context(), HandshakeTimeout)
	defer cancel()
	return newLink(ctx, conn, id, m, acceptHandshake)
}

// newLink runs one side's handshake, which authenticates both sides. The error is
// [WrongKey] or [Broken].
func newLink(ctx context.Context, conn *websocket.Conn, id Identity, m *Meter, handshake handshake) (*Link, error) {
	conn.SetReadLimit(maxHandshakeFrame)
	peer, err := handshake(ctx, conn, id)
	if err != nil {
		conn.CloseNow()
		return nil, err
	}
	conn.SetReadLimit(protocol.MaxMessage)
	return &Link{conn: conn, peer: peer, meter: m}, nil
}

// Peer returns the proven name of the other box.
func (l *Link) Peer() string { return l.peer }

// Send writes one message within WriteTimeout. If the error is [Broken], the link is
// closed.
func (l *Link) Send(ctx context.Context, m protocol.Message) error {
	b, err := protocol.Encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		l.Close()
		return Broken{Peer: l.peer, Err: err}
	}
	l.meter.count("out", l.peer, protocol.KindOf(m), len(b))
	return nil
}

// Receive waits for the next message until ctx ends. It skips kinds that this
// version does not support. After any error, including the end of ctx, the link is
// closed.
func (l *Link) Receive(ctx context.Context) (protocol.Message, error) {
	return l.receive(func() ([]byte, error) {
		_, b, err := l.conn.Read(ctx)
		return b, err
	})
}

// ReceiveWithIdleTimeout is like Receive, but fails if the peer sends no data for idleTimeout.
// Any part of a message restarts the timeout, because a large message may take longer than
// that on a shared network path.
func (l *Link) ReceiveWithIdleTimeout(ctx context.Context, idleTimeout time.Duration) (protocol.Message, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(idleTimeout, cancel)
	defer timer.Stop()
	return l.receive(func() ([]byte, error) { return l.readChunks(ctx, func() { timer.Reset(idleTimeout) }) })
}

// readChunkSize is the largest part of a message that is read at once, in bytes.
const readChunkSize = 16 << 10

// readChunks reads the bytes of one message and calls onChunk whenever a part of it arrives.
func (l *Link) readChunks(ctx context.Context, onChunk func()) ([]byte, error) {
	_, r, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	var message []byte
	chunk := make([]byte, readChunkSize)
	for {
		n, err := r.Read(chunk)
		message = append(message, chunk[:n]...)
		switch {
		case err == io.EOF:
			return message, nil
		case err != nil:
			return nil, err
		}
		onChunk()
	}
}

// receive reads messages until one has a kind that this version supports.
func (l *Link) receive(read func() ([]byte, error)) (protocol.Message, error) {
	for {
		b, err := read()
		if err != nil {
			l.Close()
			return nil, Broken{Peer: l.peer, Err: err}
		}
		m, err := protocol.Decode(b)
		if err != nil {
			l.Close()
			return nil, err
		}
		if m != nil {
			l.meter.count("in", l.peer, protocol.KindOf(m), len(b))
			return m, nil
		}
	}
}

// CloseOnPingTimeout pings the peer until ctx or the link ends, and closes the link if a pong
// does not arrive within pingTimeout. Pongs are sent and received only while both the peer
// and this side call Receive, so this side must call it in another goroutine.
func (l *Link) CloseOnPingTimeout(ctx context.Context) {
	for range sleep.Every(ctx, pingPeriod) {
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := l.conn.Ping(pingCtx)
		cancel()
		if err != nil {
			l.Close()
			return
		}
	}
}

// PeerIsReceiving pings the peer and reports whether a pong arrives within pingTimeout, which
// means that the peer is waiting for a message in Receive. It requires that the peer sends no
// more messages and that this side no longer calls Receive. The returned context ends with the
// link.
func (l *Link) PeerIsReceiving(ctx context.Context) (context.Context, bool) {
	linkCtx := l.conn.CloseRead(ctx)
	pingCtx, cancel := context.WithTimeout(linkCtx, pingTimeout)
	defer cancel()
	return linkCtx, l.conn.Ping(pingCtx) == nil
}

// Close ends the link at once. It may be called more than once; closing a connection
// that is already closed is harmless.
func (l *Link) Close() { _ = l.conn.CloseNow() }
