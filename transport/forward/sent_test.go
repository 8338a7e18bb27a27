// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests what goes out and what is known of a call that broke.

// rawServer answers each connection by a function; it counts requests read.
func rawServer(t *testing.T, n *fakenet.Network, each func(conn net.Conn, r *bufio.Reader, request int)) *int {
	l, err := n.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); time.Sleep(time.Minute) })
	requests := new(int)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					*requests++
					each(conn, r, *requests)
				}
			}()
		}
	}()
	return requests
}

const fineAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"

// TestCallsGoOutAsTheyAre checks targets that a library might tidy.
func TestCallsGoOutAsTheyAre(t *testing.T) {
	for _, target := range []string{"/a%2Fb/../c?q=%20&r", "/a//b/", "//double/x?y", "/plain"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := fakenet.New(time.Millisecond)
			var got, host string
			serve(t, n, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got, host = r.RequestURI, r.Host }))
			a, err := client(t, n).Send(t.Context(), address, forward.Call{Method: "POST", Path: target, Host: "tenant.example"})
			is.NoErr(err)
			a.Body.Close()
			is.Equal(got, target)
			is.Equal(host, "tenant.example")
		})
	}
}

// TestNothingArrivesTwice kills a kept connection when the second request has
// been read: whatever the method and the headers, it must not come again.
func TestNothingArrivesTwice(t *testing.T) {
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
					_, _ = io.WriteString(conn, fineAnswer)
				})
				c := client(t, n)
				a, err := c.Send(t.Context(), address, call)
				is.NoErr(err)
				_, _ = io.Copy(io.Discard, a.Body)
				a.Body.Close()
				time.Sleep(time.Second)
				_, err = c.Send(t.Context(), address, call)
				is.True(errors.As(err, new(forward.Unknown))) // it may have run
				time.Sleep(time.Second)
				is.Equal(*requests, 2)
			})
		})
	}
}

// TestClosedKeptConnectionHasNotRun: the server closed it while it was idle;
// the call goes out on another one, or has not run.
func TestClosedKeptConnectionHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		requests := rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, _ int) {
			_, _ = io.WriteString(conn, fineAnswer)
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

// TestSurplusAnswerBelongsToNobody: bytes after a whole answer end the
// connection; the next call gets its own answer.
func TestSurplusAnswerBelongsToNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, request int) {
			_, _ = io.WriteString(conn, fineAnswer)
			if request == 1 {
				_, _ = io.WriteString(conn, strings.Replace(fineAnswer, "fine", "evil", 1))
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

// TestRefusedBySettings lets a deployment say which answers are refusals.
func TestRefusedBySettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		serve(t, n, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Declined", "yes")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}))
		opened := 0
		c := forward.New(forward.Settings{
			Dialer: n.Box("10.0.0.2"), Opened: func() { opened++ },
			Refused: func(_ int, h http.Header) bool { return h.Get("Declined") != "" },
		})
		defer c.Close()
		for range 3 {
			_, err := c.Send(t.Context(), address, forward.Call{Method: "GET", Path: "/x"})
			var not forward.NotRun
			is.True(errors.As(err, &not))
			is.True(not.Refused)
			is.Equal(not.Status, http.StatusMisdirectedRequest)
			is.Equal(not.Header.Get("Declined"), "yes")
		}
		is.Equal(opened, 1) // a refusal keeps its connection
	})
}

// TestDropIdle: kept connections fall silent, and once they are dropped calls go out on
// new ones. One that a call has is left alone.
func TestDropIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, _ int) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, fineAnswer)
		})
		opened := 0
		c := forward.New(forward.Settings{Dialer: n.Box("10.0.0.2"), Opened: func() { opened++ }})
		defer n.Kill("10.0.0.1") // what is silent ends nothing by itself
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
		n.Silence()
		var unknown forward.Unknown
		is.True(errors.As(call(time.Second), &unknown)) // it may have run
		is.True(unknown.Opened.Before(before))
		go func() { is.NoErr(call(time.Second)) }()
		time.Sleep(50 * time.Millisecond)
		c.DropIdle(address) // while a call has the connection
		time.Sleep(time.Second)
		is.Equal(opened, 2)
		n.Silence()
		c.DropIdle(address)
		synctest.Wait() // the library sees that they are closed
		is.NoErr(call(time.Second))
		is.Equal(opened, 3)
	})
}

// TestUnwantedCallIsNotSent: a call that is not wanted any more when its head is about to be
// written reaches nobody, on a new connection and on a kept one, and the next call does.
func TestUnwantedCallIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		requests := rawServer(t, n, func(conn net.Conn, _ *bufio.Reader, _ int) { _, _ = io.WriteString(conn, fineAnswer) })
		c := client(t, n)
		send := func(unwanted bool) error {
			a, err := c.Send(t.Context(), address, forward.Call{Method: "POST", Path: "/", Body: []byte("a body"), Unwanted: func() bool { return unwanted }})
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			synctest.Wait()
			return err
		}
		for range 2 { // a new connection, then a kept one
			var not forward.NotRun
			err := send(true)
			is.True(errors.As(err, &not) && !not.Refused && forward.Unwanted(err))
			is.NoErr(send(false))
		}
		is.Equal(*requests, 2)
	})
}
