// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests, at a router, servers in trouble whose head stops anywhere, or whose bytes never end.

// overConn returns a handler that leaves the whole answer to write, and then closes the connection in order.
func overConn(write func(conn net.Conn)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // an error means that the router has left
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // as above
		}
		defer conn.Close()
		write(conn)
	})
}

// startWriter starts a fleet of one control box and one router in front of a server whose answers are written by write.
func startWriter(t *testing.T, write func(conn net.Conn)) *testFleet {
	f := newFleet(t, 1, 1)
	f.createAccount("hotel", 1)
	f.addSlot("s1", "10.0.4.1", overConn(write))
	f.settle()
	return f
}

// TestHeadThatStopsReachesNoCallerOfRouter guards against a 200 with an empty or short body, framed as whole, because a
// server stopped in the middle of its head and closed the connection in order.
func TestHeadThatStopsReachesNoCallerOfRouter(t *testing.T) {
	const pause = 12 * time.Second // between two requests
	for _, framing := range []string{"Content-Length: 4000\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\n" + framing + "Content-Type: application/json\r\n\r\n"
		inBubble(t, func(t *testing.T) {
			var length, arrived atomic.Int64
			f := startWriter(t, func(conn net.Conn) {
				arrived.Add(1)
				_, _ = io.WriteString(conn, head[:length.Load()])
			})
			for n := range len(head) {
				length.Store(int64(n))
				got := f.do(order("r1", "hotel", "sheets", fmt.Sprintf("k%d", n)))
				if got.status < http.StatusInternalServerError || got.err != nil {
					t.Errorf("after %q status %d, error %v", head[:n], got.status, got.err)
				}
				time.Sleep(pause)
			}
			is.New(t).Equal(arrived.Load(), int64(len(head)))
		})
	}
}

// TestBytesWithoutEndEndVisiblyAtRouter guards against a call that looks whole, or that goes on once its caller has left,
// because a server in trouble sends bytes without end. A router sets no time for an answer.
func TestBytesWithoutEndEndVisiblyAtRouter(t *testing.T) {
	const (
		pace    = time.Millisecond
		timeout = 5 * time.Second        // of the caller
		release = 500 * time.Millisecond // after the caller has left
		ok      = "HTTP/1.1 200 OK\r\n"
		stream  = ok + "Content-Type: text/event-stream\r\n"
		chunked = "Transfer-Encoding: chunked\r\n"
	)
	noise := strings.Repeat("x", 1000)
	for _, tt := range []struct{ name, head, text string }{
		{"head", ok, "Noise: " + noise + "\r\n"},
		{"line of a head", ok + "Noise: ", noise},
		{"no answer", "", noise},
		{"body", ok + "\r\n", noise},
		{"body in chunks", ok + chunked + "\r\n", "3e8\r\n" + noise + "\r\n"},
		{"one event", stream + "\r\n", noise},
		{"one event in chunks", stream + chunked + "\r\n", "3e8\r\n" + noise + "\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				var gone atomic.Bool // the router has closed its connection
				f := startWriter(t, func(conn net.Conn) {
					w := bufio.NewWriter(conn)
					_, err := w.WriteString(tt.head)
					for err == nil {
						_, _ = w.WriteString(tt.text) // Flush returns the error
						err = w.Flush()
						time.Sleep(pace)
					}
					gone.Store(true)
				})
				r := order("r1", "hotel", "sheets", "k1")
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				r.ctx = ctx
				got := f.do(r)
				is.True(got.status >= http.StatusInternalServerError || got.err != nil)
				time.Sleep(release)
				is.True(gone.Load())
				time.Sleep(time.Minute)
				is.Equal(f.slotsHeld("r1"), 0)
			})
		})
	}
}
