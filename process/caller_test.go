// SPDX-License-Identifier: Apache-2.0

package process

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file tests the header timeout of callers, with net/http on a simulated network in
// virtual time.

const callersAddress = "10.0.0.1:80"

// unpaced is a pacer that accepts every connection.
type unpaced struct{}

func (unpaced) AdmitConnection() bool       { return true }
func (unpaced) AcceptRate() float64         { return 0 }
func (unpaced) ObserveAcceptQueue(_, _ int) {}

// runCallerServer starts a server for callers and runs f with a function that connects to it and
// the limits in force there.
func runCallerServer(t *testing.T, f func(t *testing.T, connect func() net.Conn, limits *atomic.Pointer[document.Limits])) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := fakenet.New(time.Millisecond)
		l, err := network.Listen(callersAddress)
		is.NoErr(err)
		var limits atomic.Pointer[document.Limits]
		limits.Store(&document.Limits{})
		ctx, stop := context.WithCancel(t.Context())
		b := &base{}
		echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }) // an error shows in the answer
		b.serveCallers(ctx, l, echo, func() document.Limits { return *limits.Load() }, unpaced{})
		defer func() {
			stop()
			b.close()
			synctest.Wait()
		}()
		connect := func() net.Conn {
			conn, err := network.DialerFrom("10.0.0.2").DialContext(ctx, "tcp", callersAddress)
			is.NoErr(err)
			return conn
		}
		f(t, connect, &limits)
	})
}

// exchange writes text and returns the bytes read within a second, and whether the connection
// ended.
func exchange(t *testing.T, conn net.Conn, text string) (answer string, ended bool) {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(conn, text)
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
	b, err := io.ReadAll(conn)
	return string(b), err == nil
}

// TestHeaderTimeout checks that the header timeout applies to open connections when the
// document changes, independently of the idle timeout, and to new ones.
func TestHeaderTimeout(t *testing.T) {
	runCallerServer(t, func(t *testing.T, connect func() net.Conn, limits *atomic.Pointer[document.Limits]) {
		is := is.New(t)
		conn := connect()
		exchange(t, conn, "POST / HTTP/1.1\r\nHost: h\r\n")
		time.Sleep(2 * time.Second)
		answer, ended := exchange(t, conn, "Content-Length: 2\r\n\r\nok")
		is.True(strings.HasSuffix(answer, "ok") && !ended) // within the 5 s of readHeaderTimeout

		limits.Store(&document.Limits{HeaderTimeout: 1500 * time.Millisecond, IdleTimeout: 15 * time.Second})
		time.Sleep(10 * time.Second) // the idle timeout is separate
		_, ended = exchange(t, conn, "POST / HTTP/1.1\r\n")
		is.True(!ended) // after 1 s
		_, ended = exchange(t, conn, "Host: h\r\n")
		is.True(ended) // after 1.5 s

		fresh := connect()
		time.Sleep(time.Second)
		_, ended = exchange(t, fresh, "POST / HTTP/1.1\r\n")
		is.True(ended)
	})
}

// TestHeaderTimeoutExcludesBody checks that the header timeout does not apply to a body.
func TestHeaderTimeoutExcludesBody(t *testing.T) {
	runCallerServer(t, func(t *testing.T, connect func() net.Conn, limits *atomic.Pointer[document.Limits]) {
		is := is.New(t)
		limits.Store(&document.Limits{HeaderTimeout: 500 * time.Millisecond})
		conn := connect()
		for range 2 { // a new connection, then a kept-alive one
			_, ended := exchange(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\no")
			is.True(!ended)
			answer, ended := exchange(t, conn, "k")
			is.True(strings.HasSuffix(answer, "ok") && !ended)
		}
	})
}

// TestHeaderTimeoutIsBounded checks that a document cannot raise the header timeout above the
// listener's own.
func TestHeaderTimeoutIsBounded(t *testing.T) {
	runCallerServer(t, func(t *testing.T, connect func() net.Conn, limits *atomic.Pointer[document.Limits]) {
		is := is.New(t)
		limits.Store(&document.Limits{HeaderTimeout: time.Minute})
		conn := connect()
		time.Sleep(readHeaderTimeout - 500*time.Millisecond)
		_, ended := exchange(t, conn, "POST / HTTP/1.1\r\n")
		is.True(ended)
	})
}

// TestClosedConnectionIsDetected checks on kernel sockets that a connection closed by its caller
// is detected, and that an open one is not reported as closed.
func TestClosedConnectionIsDetected(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	listener := &callerListener{Listener: socket.LimitListener(l, 10), limits: func() document.Limits { return document.Limits{} }}
	accept := func() (caller net.Conn, conn *callerConn) {
		caller, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		accepted, err := listener.Accept()
		is.NoErr(err)
		return caller, accepted.(*callerConn)
	}
	openCaller, open := accept()
	defer openCaller.Close()
	closingCaller, closed := accept()
	_, err = io.WriteString(closingCaller, "GET /")
	is.NoErr(err)
	read := make([]byte, 5)
	_, err = io.ReadFull(closed, read)
	is.NoErr(err)
	is.True(!closed.hasLeft())
	is.NoErr(closingCaller.Close())
	_, err = closed.Read(read) // returns when the close has arrived
	is.Equal(err, io.EOF)
	is.True(closed.hasLeft())
	is.True(!open.hasLeft())
	is.NoErr(closed.Close())
	is.True(closed.hasLeft())
}

// TestCallerHasLeft checks that a handler that has read the whole request detects at once that
// the caller closed its connection, and does not report a caller that is still waiting.
func TestCallerHasLeft(t *testing.T) {
	for _, body := range []string{"", "an order"} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		read, resume, left := make(chan struct{}), make(chan struct{}), make(chan bool)
		s := &http.Server{ConnContext: socket.WithConn, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // the whole body arrived
			read <- struct{}{}
			left <- CallerHasLeft(r.Context())
			<-resume
			left <- CallerHasLeft(r.Context())
		})}
		go func() { _ = s.Serve(l) }() // runs until s is closed
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		is.NoErr(err)
		<-read
		is.True(!<-left)
		is.NoErr(conn.Close())
		resume <- struct{}{}
		is.True(<-left)
		is.NoErr(s.Close())
	}
	is.New(t).True(!CallerHasLeft(t.Context())) // without a connection
}
