// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests when the end of a body without framing is passed on.

// answerTimeout bounds the calls of the tests.
const answerTimeout = 5 * time.Second

// endOfAnswer serves one answer with the given framing, calls end once its body has been sent, and returns how the
// client reads it. leaving is Call.Leaving.
func endOfAnswer(t *testing.T, framing string, leaving func() bool, end func(n *fakenet.Network, l net.Listener)) (body string, took time.Duration, err error) {
	n := fakenet.New(time.Millisecond)
	l, err := n.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\nanswer", framing)
		time.Sleep(time.Second)
		end(n, l)
		conn.Close()
	}()
	c := forward.New(forward.Settings{Dialer: n.DialerFrom("10.0.0.2")})
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	a, err := c.Send(ctx, address, forward.Call{Method: "POST", Path: "/", Leaving: leaving})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	time.Sleep(time.Second)
	ended := time.Now()
	b, err := io.ReadAll(a.Body)
	return string(b), time.Since(ended), err
}

// TestUnstatedEndNeedsLivingServer guards against taking the end of a connection for that of a whole body although its
// server has ended, or nothing shows that it goes on.
func TestUnstatedEndNeedsLivingServer(t *testing.T) {
	const most = 100 * time.Millisecond // for the confirmation by a server that responds
	var leaving atomic.Bool
	for _, tt := range []struct {
		name    string
		framing string
		end     func(n *fakenet.Network, l net.Listener)
		whole   bool
		ended   bool // the error is a ServerEnded
		least   time.Duration
		most    time.Duration
	}{
		{"server goes on", "", func(*fakenet.Network, net.Listener) {}, true, false, 0, most},
		{"server ends", "", func(_ *fakenet.Network, l net.Listener) { l.Close() }, false, true, 0, most},
		{"server ends a little later", "", func(_ *fakenet.Network, l net.Listener) {
			time.AfterFunc(10*time.Millisecond, func() { l.Close() })
		}, false, true, 0, most},
		{"server is silent for a while", "", func(n *fakenet.Network, _ net.Listener) {
			time.AfterFunc(5*time.Millisecond, func() { n.Cut("10.0.0.1") })
			time.AfterFunc(time.Second, func() { n.Restore("10.0.0.1") })
		}, true, false, 900 * time.Millisecond, time.Second + most},
		{"server is silent for good", "", func(n *fakenet.Network, _ net.Listener) {
			time.AfterFunc(5*time.Millisecond, func() { n.Cut("10.0.0.1") })
		}, false, false, time.Second, answerTimeout},
		{"server ends as it has announced", "", func(_ *fakenet.Network, l net.Listener) { leaving.Store(true); l.Close() }, true, false, 0, most},
		{"server ends after a body with a length", "Content-Length: 6\r\n", func(_ *fakenet.Network, l net.Listener) { l.Close() }, true, false, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leaving.Store(false)
				body, took, err := endOfAnswer(t, tt.framing, leaving.Load, tt.end)
				is.Equal(body, "answer") // also what came of a body that is not whole
				is.Equal(err == nil, tt.whole)
				is.Equal(errors.As(err, new(forward.ServerEnded)), tt.ended)
				is.True(took >= tt.least)
				is.True(took <= tt.most)
			})
		})
	}
}

// TestLastBytesDoNotWaitForConfirmation guards against events that are held back until the end is confirmed.
func TestLastBytesDoNotWaitForConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		l, err := n.Listen(address)
		is.NoErr(err)
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1024)) // the request
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nanswer")
			conn.Close()
		}()
		a, err := client(t, n).Send(t.Context(), address, forward.Call{Method: "POST", Path: "/"})
		is.NoErr(err)
		defer a.Body.Close()
		before := time.Now()
		b := make([]byte, 100)
		got, err := a.Body.Read(b)
		is.NoErr(err)
		is.Equal(string(b[:got]), "answer")
		is.Equal(time.Since(before), time.Duration(0))
		_, err = a.Body.Read(b)
		is.Equal(err, io.EOF)
		is.True(time.Since(before) > 0)
		_, err = a.Body.Read(b)
		is.Equal(err, io.EOF) // again
	})
}
