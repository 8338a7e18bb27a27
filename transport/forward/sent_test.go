// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests which bytes are sent and how a call is classified when its connection breaks.

// rawServer reads requests, calls respond for each with its number, and returns a pointer
// to the count of requests read.
func rawServer(t *testing.T, n *fakenet.Network, respond func(conn net.Conn, r *bufio.Reader, request int)) *int {
	requests := new(int)
	serveConns(t, n, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			*requests++
			respond(conn, r, *requests)
		}
	})
	return requests
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"

// TestRequestTargetIsSentUnchanged checks that request targets which an HTTP library might normalise
// are sent unchanged.
func TestRequestTargetIsSentUnchanged(t *testing.T) {
	for _, target := range []string{"/a%2Fb/../c?q=%20&r", "/a//b/", "//double/x?y", "/plain"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := fakenet.New(time.Millisecond)
			var uri, host string
			serve(t, n, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { uri, host = r.RequestURI, r.Host }))
			a, err := client(t, n).Send(t.Context(), address, forward.Call{Method: "POST", Path: target, Host: "tenant.example"})
			is.NoErr(err)
			a.Body.Close()
			is.Equal(uri, target)
			is.Equal(host, "tenant.example")
		})
	}
}

// TestCallIsNotResentAfterBrokenConnection closes a reused connection after the server has read
// the second request. The client must not send that request again, whatever its method and
// headers.
func TestCallIsNotResentAfterBrokenConnection(t *testing.T) {
	for name, call := range map[string]forward.Call{
		"GET":             {Method: "GET", Path: "/x"},
		"POST":            {Method: "POST", Path: "/x", Body: []byte("b")},
		"POST, no body":   {Method: "POST", Path: "/x"},
		"keyed, no body":  {Method: "POST", Path: "/x", Header: http.Header{"Idempotency-Key": {"k"}}},
		"keyed with body": {Method: "POST", Path: "/x", Body: []byte("b"), Header: http.Header{"X-Idempotency-Key": {"k"}}},
		"DELETE":          {Method: "DELETE", Path: "/x"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := fakenet.New(time.Millisecond)
				requests := rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, request int) {
					if request > 1 {
						conn.Close()
						return
					}
					_, _ = io.WriteString(conn, okResponse)
				})
				c := client(t, n)
				a, err := c.Send(t.Context(), address, call)
				is.NoErr(err)
				_, _ = io.Copy(io.Discard, a.Body)
				a.Body.Close()
				time.Sleep(time.Second)
				_, err = c.Send(t.Context(), address, call)
				is.True(errors.As(err, new(forward.MayHaveRun))) // it may have run
				time.Sleep(time.Second)
				is.Equal(*requests, 2)
			})
		})
	}
}

// TestCallOnClosedIdleConnectionHasNotRun lets the server close idle connections. The next call must
// be sent on another connection or fail with NotRun.
func TestCallOnClosedIdleConnectionHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		requests := rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, _ int) {
			_, _ = io.WriteString(conn, okResponse)
			time.AfterFunc(time.Second, func() { conn.Close() })
		})
		c := client(t, n)
		call := forward.Call{Method: "POST", Path: "/x", Body: []byte("b")}
		for i := range 3 {
			a, err := c.Send(t.Context(), address, call)
			if err != nil {
				is.True(errors.As(err, new(forward.NotRun)))
				continue
			}
			_, _ = io.Copy(io.Discard, a.Body)
			a.Body.Close()
			is.True(*requests <= i+1)
			time.Sleep(2 * time.Second)
		}
	})
}

// TestSurplusResponseIsDiscarded sends extra bytes after a complete response. The client must close
// that connection, so that the next call gets its own response.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, request int) {
			_, _ = io.WriteString(conn, okResponse)
			if request == 1 {
				_, _ = io.WriteString(conn, strings.Replace(okResponse, "fine", "evil", 1))
			}
		})
		c := client(t, n)
		for range 2 {
			a, err := c.Send(t.Context(), address, forward.Call{Method: "GET", Path: "/x"})
			is.NoErr(err)
			b, err := io.ReadAll(a.Body)
			is.NoErr(err)
			a.Body.Close()
			is.Equal(string(b), "fine")
			time.Sleep(time.Second)
		}
	})
}

// TestIsRefusalDecidesRefusals checks that Settings.Refused decides which responses are refusals.
func TestIsRefusalDecidesRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		serve(t, n, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Declined", "yes")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}))
		opened := 0
		c := forward.New(forward.Settings{
			Dialer: n.DialerFrom("10.0.0.2"), OnOpen: func() { opened++ },
			IsRefusal: func(_ int, h http.Header) bool { return h.Get("Declined") != "" },
		})
		defer c.Close()
		for i := range 3 {
			_, err := c.Send(t.Context(), address, forward.Call{Method: "GET", Path: "/x", ID: strconv.Itoa(i)})
			var notRun forward.NotRun
			is.True(errors.As(err, &notRun))
			is.True(notRun.Refused)
			is.Equal(notRun.Status, http.StatusMisdirectedRequest)
			is.Equal(notRun.Header.Get("Declined"), "yes")
		}
		is.Equal(opened, 1) // the connection of a refused call is reused
	})
}

// TestDropIdleSparesConnectionsInUse drops idle connections whose peer has stopped responding: later calls must
// open new ones, and a connection that a call is using must stay open.
func TestDropIdleSparesConnectionsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, _ int) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, okResponse)
		})
		opened := 0
		c := forward.New(forward.Settings{Dialer: n.DialerFrom("10.0.0.2"), OnOpen: func() { opened++ }})
		defer n.Kill("10.0.0.1") // connections on a silenced network do not end by themselves
		defer c.Close()
		call := func(limit time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			a, err := c.Send(ctx, address, forward.Call{Method: "POST", Path: "/x", Body: []byte("b")})
			if err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			return err
		}
		is.NoErr(call(time.Second))
		before := time.Now()
		time.Sleep(time.Second)
		n.SilenceConnections()
		var unknown forward.MayHaveRun
		is.True(errors.As(call(time.Second), &unknown)) // it may have run
		is.True(unknown.ConnOpenedAt.Before(before))
		go func() { is.NoErr(call(time.Second)) }()
		time.Sleep(50 * time.Millisecond)
		c.DropIdle(address) // while a call is using the connection
		time.Sleep(time.Second)
		is.Equal(opened, 2)
		n.SilenceConnections()
		c.DropIdle(address)
		synctest.Wait() // the transport notices that they are closed
		is.NoErr(call(time.Second))
		is.Equal(opened, 3)
	})
}

// TestAbandonedCallIsNotSent abandons a call just before its header is written, on a new and on
// a reused connection. The server must not receive it, and must receive the call after it.
func TestAbandonedCallIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		requests := rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, _ int) { _, _ = io.WriteString(conn, okResponse) })
		c := client(t, n)
		send := func(abandoned bool) error {
			a, err := c.Send(t.Context(), address, forward.Call{Method: "POST", Path: "/", Body: []byte("a body"), Abandoned: func() bool { return abandoned }})
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			synctest.Wait()
			return err
		}
		for range 2 { // a new connection, then a reused one
			var notRun forward.NotRun
			err := send(true)
			is.True(errors.As(err, &notRun) && !notRun.Refused && forward.IsAbandoned(err))
			is.NoErr(send(false))
		}
		is.Equal(*requests, 2)
	})
}
