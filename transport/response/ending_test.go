// SPDX-License-Identifier: Apache-2.0

package response_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/response"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file tests how the connection of a response ends.

// Addresses of a server and its caller.
const (
	serverIP = "10.0.0.1"
	callerIP = "10.0.0.2"
)

// header is how a handler frames its response.
type header struct {
	name string
	set  func(h http.Header)
}

var headers = []header{
	{"unframed", response.Unframe},
	{"length", func(h http.Header) { h.Set("Content-Length", "10") }},
	{"unset", func(http.Header) {}}, // chunks, where the caller's version has them
}

// respond serves one request with a handler and returns the error with which its caller reads the body.
func respond(t *testing.T, version string, handler func(n *fakenet.Network, w *response.Writer)) (body string, err error) {
	n := fakenet.New(time.Millisecond)
	l, err := n.Listen(serverIP + ":80")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{ConnContext: socket.WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler(n, response.New(w, r, func(response.SecondHead) {}))
	})}
	go func() { _ = s.Serve(l) }()
	defer func() { s.Close(); synctest.Wait() }()
	conn, err := n.DialerFrom(callerIP).DialContext(t.Context(), "tcp", serverIP+":80")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", version)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestResponseEndsInOrderOnlyAtItsEnd guards against a part of a response whose connection ends as that of a whole
// one: because its process dies, or because its handler panics or returns without the end.
func TestResponseEndsInOrderOnlyAtItsEnd(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, h := range headers {
			for _, tt := range []struct {
				name  string
				whole bool
				end   func(n *fakenet.Network, b *response.Body)
			}{
				{"ends", true, func(_ *fakenet.Network, b *response.Body) { _, _ = io.WriteString(b, " rest"); _ = b.End() }},
				{"dies", false, func(n *fakenet.Network, _ *response.Body) { n.Kill(serverIP) }},
				{"panics", false, func(*fakenet.Network, *response.Body) { panic(http.ErrAbortHandler) }},
			} {
				t.Run(version+" "+h.name+" "+tt.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						got, err := respond(t, version, func(n *fakenet.Network, w *response.Writer) {
							b, err := w.Begin(http.StatusOK, h.set)
							is.NoErr(err)
							_, _ = io.WriteString(b, "first")
							is.NoErr(b.Flush())
							time.Sleep(time.Second)
							tt.end(n, b)
						})
						is.Equal(err == nil, tt.whole)
						if tt.whole {
							is.Equal(got, "first rest")
						}
					})
				})
			}
		}
	}
}

// TestUnendedResponseIsReset guards against a handler that returns in the middle of an unframed body.
func TestUnendedResponseIsReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := respond(t, "HTTP/1.1", func(_ *fakenet.Network, w *response.Writer) {
			b, _ := w.Begin(http.StatusOK, response.Unframe)
			_, _ = io.WriteString(b, "first")
		})
		is.New(t).True(err != nil)
	})
}

// TestEndSendsTheBodyBeforeItsConnectionMayEnd guards against a death after End that closes the connection in
// order, although the last bytes are not sent yet.
func TestEndSendsTheBodyBeforeItsConnectionMayEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got, err := respond(t, "HTTP/1.1", func(n *fakenet.Network, w *response.Writer) {
			b, _ := w.Begin(http.StatusOK, response.Unframe)
			_, _ = io.WriteString(b, "whole")
			is.NoErr(b.End())
			n.Kill(serverIP)
		})
		is.NoErr(err)
		is.Equal(got, "whole")
	})
}

// TestRespondStatesTheLength checks that a whole response keeps its length, and its connection an orderly end, for every
// version, and that one without a body gets no length.
func TestRespondStatesTheLength(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			got, err := respond(t, version, func(_ *fakenet.Network, w *response.Writer) {
				is.NoErr(w.Respond(http.StatusTeapot, []byte("whole"), func(http.Header) {}))
			})
			is.NoErr(err)
			is.Equal(got, "whole")
			got, err = respond(t, version, func(_ *fakenet.Network, w *response.Writer) {
				is.NoErr(w.Respond(http.StatusNoContent, nil, func(http.Header) {}))
			})
			is.NoErr(err)
			is.Equal(got, "")
		})
	}
}

// TestBrokenResponseStatesNoEndOverTLS guards against the orderly end that a TLS connection states when net/http closes
// it after a handler that broke a response off.
func TestBrokenResponseStatesNoEndOverTLS(t *testing.T) {
	for _, tt := range []struct {
		name  string
		whole bool
		end   func(b *response.Body)
	}{
		{"ends", true, func(b *response.Body) { _ = b.End() }},
		{"returns", false, func(*response.Body) {}},
		{"panics", false, func(*response.Body) { panic(http.ErrAbortHandler) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				w := response.New(rw, r, func(response.SecondHead) {})
				defer w.Close()
				b, err := w.Begin(http.StatusOK, response.Unframe)
				is.NoErr(err)
				_, _ = io.WriteString(b, "first")
				is.NoErr(b.Flush())
				tt.end(b)
			}))
			s.Config.ConnContext = socket.WithConn
			s.StartTLS()
			defer s.Close()
			resp, err := s.Client().Get(s.URL)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.ProtoMajor, 1)
			_, err = io.ReadAll(resp.Body)
			is.Equal(err == nil, tt.whole)
		})
	}
}
