// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests servers in trouble whose head stops anywhere, or whose bytes never end.

// malformedAddress is that of the server of overNetwork.
const malformedAddress = "10.9.0.1:80"

// overNetwork returns a behaviour whose answers come over a network from a server that writes them with write and then
// closes the connection in order.
func (x *fixture) overNetwork(write func(conn net.Conn)) behaviour {
	n := fakenet.New(time.Millisecond)
	l, err := n.Serve(malformedAddress, func(conn net.Conn) {
		if _, err := conn.Read(make([]byte, 4096)); err == nil { // fails on a connection that only confirms an end
			write(conn)
		}
	})
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { l.Close() })
	c := forward.New(forward.Settings{Dialer: n.DialerFrom("10.9.0.2")})
	return func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		return c.Send(ctx, malformedAddress, call)
	}
}

// signedHead returns the head of an answer to the fixture's request.
func signedHead(framing string) string {
	return "HTTP/1.1 200 OK\r\nId: request-1\r\nSealed: yes\r\n" + framing + "\r\n"
}

// TestHeadThatStopsReachesNoCaller guards against a 200 with an empty or short body, framed as whole, because a server
// stopped in the middle of its head and closed the connection in order.
func TestHeadThatStopsReachesNoCaller(t *testing.T) {
	for _, tt := range []struct {
		path  string
		next  behaviour // of the other server
		whole string    // empty if the request may not be sent again
	}{
		{"/again/x", answers(200, "whole", 0), "whole"},
		{"/once/x", answers(200, "whole", 0), ""},
		{"/stream/x", resuming(3, 0, nil), ""},
		{"/resume/x", resuming(3, 0, nil), wholeStream(3)},
	} {
		for _, framing := range []string{"Content-Length: 4000\r\n", "Transfer-Encoding: chunked\r\n", ""} {
			head := signedHead(framing)
			for sent := range len(head) {
				withGateway(t, func(x *fixture) {
					stops := x.overNetwork(func(conn net.Conn) { _, _ = io.WriteString(conn, head[:sent]) })
					x.announceInOrder([]behaviour{stops, tt.next})
					got := x.request(tt.path)
					isWhole := got.status == http.StatusOK && !got.cut
					if isWhole != (tt.whole != "") || isWhole && got.body != tt.whole {
						x.t.Errorf("%s: after %q status %d and %q", tt.path, head[:sent], got.status, got.body)
					}
				})
			}
		}
	}
}

// writeEndlessly writes text at a pace until the other side closes, and returns how many bytes it has written.
func writeEndlessly(conn net.Conn, text string) (n int64) {
	const pace = time.Millisecond
	for {
		time.Sleep(pace)
		written, err := io.WriteString(conn, text)
		n += int64(written)
		if err != nil {
			return n
		}
	}
}

// TestBytesWithoutEndEndVisibly guards against a request that never ends, an answer that looks whole and memory without
// bound because a server in trouble sends bytes without end.
func TestBytesWithoutEndEndVisibly(t *testing.T) {
	const (
		longest = 3500 * time.Millisecond // half a second beyond the routes' timeout
		chunked = "Transfer-Encoding: chunked\r\n"
	)
	noise := strings.Repeat("x", 1000)
	for _, tt := range []struct {
		name string
		head string
		text string
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "Noise: " + noise + "\r\n"},
		{"line of a head", "HTTP/1.1 200 OK\r\nNoise: ", noise},
		{"no answer", "", noise},
		{"body", signedHead(""), noise},
		{"body in chunks", signedHead(chunked), "3e8\r\n" + noise + "\r\n"},
		{"lines of one event", signedHead(""), "data: " + noise + "\n"},
	} {
		for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
			t.Run(tt.name+" "+path, func(t *testing.T) {
				withGateway(t, func(x *fixture) {
					is := is.New(x.t)
					var received atomic.Int64 // bytes that the gateway has taken in
					endless := x.overNetwork(func(conn net.Conn) {
						_, _ = io.WriteString(conn, tt.head)
						received.Add(writeEndlessly(conn, tt.text))
					})
					x.announceServers("plain", endless, endless)
					got := x.request(path)
					is.True(got.cut || got.status != http.StatusOK)
					is.True(got.took <= longest)
					time.Sleep(time.Second) // for the server to notice
					if strings.Contains(path, "/stream") || strings.Contains(path, "/resume") {
						is.True(received.Load() <= 2*(maxEvent+4*readSize)) // at both attempts
					}
				})
			})
		}
	}
}
