// SPDX-License-Identifier: Apache-2.0

// Package link carries protocol messages between two boxes of the fleet over
// one WebSocket.
//
// One side opens the link, both prove that they have the fleet key, and then it
// carries whole messages in order until either side closes it or it fails.
// No message is read before the proof: the handshake is three binary frames of
// at most maxHandshake bytes each,
//
//	dialer   → nonce, name
//	acceptor → nonce, name, HMAC-SHA256(key, "acceptor" both nonces both names)
//	dialer   → HMAC-SHA256(key, "dialer" both nonces both names)
//
// so that a recorded handshake proves nothing later and neither side's proof
// can be reflected. A key in a header was rejected: the accepting side
// would learn it. The link is encrypted only if the box has
// certificates; the key is proved inside either way.
//
// The package owns the connection, its deadlines for the handshake and for
// writes, and the counters of bytes and messages ([Meter]). It relies on
// package protocol for the encoding and its size limit. A read has no deadline
// of its own: a caller that expects messages at some rate passes a context that
// ends ([Link.Receive]), and one that only sends lets [Link.CloseWhenSilent] watch:
// a connection may fall silent for good, without an error, while new ones work.
// There are no locks; an [Outbox] has one goroutine.
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
	// HandshakeTimeout is from the dial, or from the accepted request, to the
	// last frame of the handshake. A dialer's context may end it sooner.
	HandshakeTimeout = 3 * time.Second
	// WriteTimeout is for one message to be taken by the kernel; a link whose
	// peer reads nothing for that long is closed.
	WriteTimeout = 5 * time.Second
)

// Pings of a link on which nothing comes back otherwise. A second bears two lost packets, and a
// gateway waits as long for a leader (registry.SilenceLimit).
const (
	pingPeriod  = 250 * time.Millisecond // between an answer and the next ping
	pingTimeout = time.Second            // for the answer to any ping
)

// Identity is the name that a box claims and the key that it proves.
type Identity struct {
	Name string
	Key  []byte // the fleet key, equal on all boxes
	// Dial opens connections; nil is the operating system's network.
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

// newLink proves both sides to each other by one side's handshake. The error is
// [WrongKey] or [Broken].
func newLink(ctx context.Context, conn *websocket.Conn, id Identity, m *Meter, handshake handshake) (*Link, error) {
	conn.SetReadLimit(maxHandshake)
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

// Send writes one message, within WriteTimeout. After a [Broken] the link is
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
// version does not have. After an error, the end of ctx included, the link is
// closed.
func (l *Link) Receive(ctx context.Context) (protocol.Message, error) {
	return l.receive(func() ([]byte, error) {
		_, b, err := l.conn.Read(ctx)
		return b, err
	})
}

// ReceiveWithin is Receive from a peer that is never silent for longer than a time. A part
// of a message ends the silence: a large one may take longer on a link that many share.
func (l *Link) ReceiveWithin(ctx context.Context, silence time.Duration) (protocol.Message, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(silence, cancel)
	defer timer.Stop()
	return l.receive(func() ([]byte, error) { return l.readParts(ctx, func() { timer.Reset(silence) }) })
}

// partSize is how much of a message is read at a time, in bytes.
const partSize = 16 << 10

// readParts reads the bytes of one message and calls came after each part.
func (l *Link) readParts(ctx context.Context, came func()) ([]byte, error) {
	_, r, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	var whole []byte
	part := make([]byte, partSize)
	for {
		n, err := r.Read(part)
		whole = append(whole, part[:n]...)
		switch {
		case err == io.EOF:
			return whole, nil
		case err != nil:
			return nil, err
		}
		came()
	}
}

// receive reads messages until one is of a known kind.
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

// CloseWhenSilent pings the peer until ctx or the link ends, and closes the link when an
// answer does not come within pingTimeout. The peer answers while it calls Receive, and
// this side must call it too, in another goroutine.
func (l *Link) CloseWhenSilent(ctx context.Context) {
	for range sleep.Every(ctx, pingPeriod) {
		waiting, cancel := context.WithTimeout(ctx, pingTimeout)
		err := l.conn.Ping(waiting)
		cancel()
		if err != nil {
			l.Close()
			return
		}
	}
}

// PeerWaits reports whether the peer, which sends nothing more, still waits for an answer in
// Receive: whether it answers a ping within pingTimeout. The context that it returns ends with
// the link. This side must not call Receive any more.
func (l *Link) PeerWaits(ctx context.Context) (context.Context, bool) {
	open := l.conn.CloseRead(ctx)
	asking, cancel := context.WithTimeout(open, pingTimeout)
	defer cancel()
	return open, l.conn.Ping(asking) == nil
}

// Close ends the link at once. It may be called more than once; the error of a
// connection that is closed already has no consequence.
func (l *Link) Close() { _ = l.conn.CloseNow() }
