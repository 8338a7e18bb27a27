// SPDX-License-Identifier: Apache-2.0

package link_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

const address = "10.0.0.1:8082"

// acceptLinks accepts links at address. It sends each open link on accepted, and the error of
// each failed handshake on refused.
func acceptLinks(t *testing.T, n *fakenet.Network, key string) (accepted chan *link.Link, refused chan error) {
	l, err := n.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	accepted, refused = make(chan *link.Link, 8), make(chan error, 8)
	ended := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := link.Accept(w, r, link.Identity{Name: "acceptor", Key: []byte(key)}, nil)
		if err != nil {
			refused <- err
			return
		}
		accepted <- l
		<-ended
		l.Close()
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { close(ended); s.Close(); time.Sleep(time.Minute) })
	return accepted, refused
}

func identity(n *fakenet.Network, key string) link.Identity {
	return link.Identity{Name: "dialer", Key: []byte(key), Dial: n.DialerFrom("10.0.0.2").DialContext}
}

// openPair opens a link with the right key and returns both ends.
func openPair(t *testing.T, m *link.Meter) (dialer, acceptor *link.Link) {
	t.Helper()
	n := fakenet.New(time.Millisecond)
	accepted, _ := acceptLinks(t, n, "key")
	d, err := link.Dial(t.Context(), address, identity(n, "key"), m)
	if err != nil {
		t.Fatal(err)
	}
	return d, <-accepted
}

func TestMessagesArriveInOrderAndAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		set := metrics.NewSet()
		d, a := openPair(t, link.NewMeter(set))
		defer d.Close()
		is.Equal(d.Peer(), "acceptor")
		is.Equal(a.Peer(), "dialer")
		out := link.NewOutbox(d, 100)
		for i := range 50 {
			is.True(out.Send(protocol.Renew{Seq: uint64(i)}))
		}
		for i := range 50 {
			m, err := a.Receive(t.Context())
			is.NoErr(err)
			is.Equal(m, protocol.Renew{Seq: uint64(i)})
		}
		sent := set.GetOrCreateCounter(`badgerspoke_control_messages_total{direction="out",kind="renew"}`)
		is.Equal(sent.Get(), uint64(50))
		out.Close()
	})
}

// TestHandshakeRefusesUnprovenPeers tries a wrong key, a message without a handshake, and a
// connection on which nothing is sent.
func TestHandshakeRefusesUnprovenPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		_, refused := acceptLinks(t, n, "right")
		_, err := link.Dial(t.Context(), address, identity(n, "wrong"), nil)
		is.True(errors.As(err, new(link.WrongKey))) // the dialer refuses the acceptor
		<-refused                                   // the acceptor refuses the dialer
		// Messages of a peer that skips the handshake are not read.
		client := &http.Client{Transport: &http.Transport{DialContext: n.DialerFrom("10.0.0.3").DialContext}}
		c, _, err := websocket.Dial(t.Context(), "ws://"+address+link.Path, &websocket.DialOptions{HTTPClient: client})
		is.NoErr(err)
		b, _ := protocol.Encode(protocol.Hello{Router: "forged", BootID: 1})
		is.NoErr(c.Write(t.Context(), websocket.MessageBinary, b))
		is.True(<-refused != nil)
		c.CloseNow()
		// A peer that sends nothing is refused after HandshakeTimeout.
		c, _, err = websocket.Dial(t.Context(), "ws://"+address+link.Path, &websocket.DialOptions{HTTPClient: client})
		is.NoErr(err)
		began := time.Now()
		is.True(<-refused != nil)
		is.True(time.Since(began) <= link.HandshakeTimeout)
		c.CloseNow()
	})
}

// TestOutboxOverflowClosesLink queues messages faster than they can be sent. The link must end,
// since a dropped message could carry an increment that would be lost.
func TestOutboxOverflowClosesLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, a := openPair(t, nil)
		out := link.NewOutbox(d, 1)
		overflowed := false
		for range 10_000 { // faster than the outbox's goroutine can send
			overflowed = overflowed || !out.Send(protocol.Renew{})
		}
		is.True(overflowed)
		<-out.Done()
		_, err := a.Receive(t.Context())
		for err == nil {
			_, err = a.Receive(t.Context())
		}
		is.True(errors.As(err, new(link.Broken))) // the link ends; no message is skipped
	})
}

// TestDrainSendsQueuedMessages checks that Drain closes the link only after the queued
// messages are sent.
func TestDrainSendsQueuedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, a := openPair(t, nil)
		out := link.NewOutbox(d, 100)
		for i := range 20 {
			out.Send(protocol.Renew{Seq: uint64(i)})
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		out.Drain(ctx)
		for i := range 20 {
			m, err := a.Receive(t.Context())
			is.NoErr(err)
			is.Equal(m, protocol.Renew{Seq: uint64(i)})
		}
	})
}

// TestIdleTimeoutAllowsSlowLargeMessage sends a message that takes longer than the idle timeout. The
// message must arrive, but the link must fail if the peer stops in the middle of a message.
func TestIdleTimeoutAllowsSlowLargeMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		accepted, _ := acceptLinks(t, n, "key")
		id := identity(n, "key")
		id.Dial = n.DialerFrom("10.0.0.2").Slow(50_000).DialContext
		d, err := link.Dial(t.Context(), address, id, nil)
		is.NoErr(err)
		a := <-accepted
		large := protocol.Document{Number: 1, Data: make([]byte, 200_000)} // four seconds at 50,000 bytes/s
		began := time.Now()
		is.NoErr(a.Send(t.Context(), large))
		m, err := d.ReceiveWithIdleTimeout(t.Context(), time.Second)
		is.NoErr(err)
		is.Equal(m, large)
		is.True(time.Since(began) > 3*time.Second)
		is.NoErr(a.Send(t.Context(), large))
		time.AfterFunc(2*time.Second, n.SilenceConnections)
		_, err = d.ReceiveWithIdleTimeout(t.Context(), time.Second)
		is.True(errors.As(err, new(link.Broken)))
		n.Kill("10.0.0.1")
	})
}
