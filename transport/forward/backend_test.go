// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"context"
	"errors"
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
	"github.com/badgerspoke/badgerspoke/standin"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests that a client classifies every call correctly, whatever the
// backend server does.

const address = "10.0.0.1:9000"

func serve(t *testing.T, n *fakenet.Network, h http.Handler) {
	l, err := n.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close(); time.Sleep(time.Minute) })
}

// serveConns handles the connections to the server's address.
func serveConns(t *testing.T, n *fakenet.Network, handle func(conn net.Conn)) {
	l, err := n.Serve(address, handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); time.Sleep(time.Minute) })
}

func client(t *testing.T, n *fakenet.Network) *forward.Client {
	c := forward.New(forward.Settings{Dialer: n.DialerFrom("10.0.0.2"), HeaderTimeout: 10 * time.Second})
	t.Cleanup(c.Close)
	return c
}

// TestSendClassifiesBackendFailures checks the error of a call, and how often the server ran it, for
// every failure of the server.
func TestSendClassifiesBackendFailures(t *testing.T) {
	post := forward.Call{Method: "POST", Path: "/orders", Body: []byte("sheets")}
	tests := []struct {
		name         string
		failure      standin.Failure
		call         forward.Call
		wantError    string // "", "not-run" or "unknown"
		wantRuns     int
		wantComplete bool
	}{
		{"responds", "", post, "", 1, true},
		{"refuses before starting the call", standin.Refuse, post, "not-run", 0, false},
		{"crashes before the response", standin.AbortBeforeResponse, post, "unknown", 1, false},
		{"never responds", standin.Hang, post, "unknown", 1, false},
		{"crashes in the middle of the response", standin.AbortMidResponse, post, "", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := fakenet.New(time.Millisecond)
				s := &standin.Service{}
				serve(t, n, s)
				c := client(t, n)
				if tt.failure != "" {
					s.FailNext(tt.failure)
				}
				a, err := c.Send(t.Context(), address, tt.call)
				is.Equal(s.Runs("sheets"), tt.wantRuns)
				is.Equal(errors.As(err, new(forward.NotRun)), tt.wantError == "not-run")
				is.Equal(errors.As(err, new(forward.MayHaveRun)), tt.wantError == "unknown")
				if err != nil {
					return
				}
				defer a.Body.Close()
				body, err := io.ReadAll(a.Body)
				is.Equal(err == nil, tt.wantComplete) // a truncated body is an error
				is.Equal(err == nil && int64(len(body)) == a.Length, tt.wantComplete)
			})
		})
	}
}

// TestRefusesOnlyIfNothingListens checks that RefusesConnections reports true only for a box that
// refuses the connection, and false for one that is listening or cut off from the network.
func TestRefusesOnlyIfNothingListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		c := client(t, n)
		is.True(c.RefusesConnections(t.Context(), address))
		serve(t, n, &standin.Service{})
		is.True(!c.RefusesConnections(t.Context(), address))
		n.Cut("10.0.0.1")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!c.RefusesConnections(ctx, address))
	})
}

// TestUnreachableServerGivesNotRun calls an address where nothing listens and one that is cut off
// from the network.
func TestUnreachableServerGivesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		_, err := client(t, n).Send(t.Context(), address, forward.Call{Method: "GET", Path: "/"})
		is.True(errors.As(err, new(forward.NotRun)))
		// The box is cut off before a connection opens, so nothing was sent.
		serve(t, n, &standin.Service{})
		n.Cut("10.0.0.1")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client(t, n).Send(ctx, address, forward.Call{Method: "GET", Path: "/"})
		is.True(errors.As(err, new(forward.NotRun)))
	})
}

// TestOnlyUnansweredDialIsDialTimeout guards against a call that is taken for one to a silent server, and sent there
// again, although the server refused it, refuses connections, or may have run it.
func TestOnlyUnansweredDialIsDialTimeout(t *testing.T) {
	for _, tt := range []struct {
		name    string
		failure standin.Failure
		fault   func(n *fakenet.Network)
		want    bool
	}{
		{"accepts no connection", "", func(n *fakenet.Network) { n.Cut("10.0.0.1") }, true},
		{"refuses connections", "", func(n *fakenet.Network) { n.Kill("10.0.0.1") }, false},
		{"refuses the call", standin.Refuse, nil, false},
		{"sends no header in time", standin.Hang, nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := fakenet.New(time.Millisecond)
				s := &standin.Service{}
				s.FailNext(tt.failure)
				serve(t, n, s)
				c := client(t, n)
				if tt.fault != nil {
					tt.fault(n)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := c.Send(ctx, address, forward.Call{Method: "POST", Path: "/orders", Body: []byte("sheets")})
				is.New(t).Equal(forward.IsDialTimeout(err), tt.want)
				n.Restore("10.0.0.1")
			})
		})
	}
}

// TestTransportDoesNotRetryByItself closes a reused connection just as a second call is
// sent on it. Go's transport retries such a call by itself when it looks
// idempotent: a GET, or any request with an Idempotency-Key. A call that must not
// be retried has to reach the server exactly once.
func TestTransportDoesNotRetryByItself(t *testing.T) {
	tests := []struct {
		name        string
		call        forward.Call
		maxRequests int32
	}{
		{"a GET that may be retried", forward.Call{Method: "GET", Path: "/"}, 2},
		{"a GET that must not be retried", forward.Call{Method: "GET", Path: "/"}, 1},
		{"a POST with a key that must not be retried", forward.Call{Method: "POST", Path: "/", Body: []byte("x"),
			Header: http.Header{"Idempotency-Key": {"k"}}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := fakenet.New(time.Millisecond)
				var requests atomic.Int32
				serveAndClose(t, n, &requests)
				c := client(t, n)
				warm := forward.Call{Method: "GET", Path: "/warm"}
				a, err := c.Send(t.Context(), address, warm)
				is.NoErr(err)
				_, _ = io.ReadAll(a.Body)
				a.Body.Close()
				synctest.Wait() // the connection is idle now
				a, err = c.Send(t.Context(), address, tt.call)
				if err == nil {
					a.Body.Close()
				}
				is.True(requests.Load() >= 1)
				is.True(requests.Load() <= tt.maxRequests)
				if tt.maxRequests == 1 {
					is.True(errors.As(err, new(forward.MayHaveRun))) // the call reached the server
				}
			})
		})
	}
}

// serveAndClose responds to requests for /warm. It counts any other request and closes its
// connection without a response.
func serveAndClose(t *testing.T, n *fakenet.Network, requests *atomic.Int32) {
	serveConns(t, n, func(conn net.Conn) { serveWarm(conn, requests) })
}

func serveWarm(c net.Conn, requests *atomic.Int32) {
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		if !strings.Contains(string(b[:n]), " /warm ") {
			requests.Add(1)
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

func TestLoadHeader(t *testing.T) {
	tests := []struct {
		header           string
		running, waiting int
		ok               bool
	}{
		{"3/1", 3, 1, true}, {"0/0", 0, 0, true}, {"", 0, 0, false}, {"3", 0, 0, false},
		{"-1/2", -1, 2, false}, {"x/2", 0, 2, false}, {"3/", 3, 0, false},
	}
	for _, tt := range tests {
		is := is.New(t)
		a := forward.Response{Header: http.Header{forward.LoadHeader: {tt.header}}}
		running, waiting, ok := a.Load()
		is.Equal(ok, tt.ok)
		if ok {
			is.Equal(running, tt.running)
			is.Equal(waiting, tt.waiting)
		}
	}
}

func TestCancelledCallEndsAtTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		e := standin.NewEngine(standin.EngineSettings{Slots: 1, TokenTime: time.Second})
		serve(t, n, e)
		ctx, cancel := context.WithCancel(t.Context())
		a, err := client(t, n).Send(ctx, address, forward.Call{Method: "POST", Path: "/v1/completions", Body: []byte(`{"stream":true}`)})
		is.NoErr(err)
		cancel()
		_, err = io.ReadAll(a.Body)
		is.True(err != nil)
		a.Body.Close()
		time.Sleep(2 * time.Second)
		is.Equal(e.Running(), 0)
	})
}
