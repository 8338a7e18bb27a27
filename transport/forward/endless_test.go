// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// TestBytesWithoutEndAreNotRead guards against a client that reads, and keeps, what a faulty server sends without end in
// the parts of a response that have no length: its connection is closed after a bounded number of bytes.
func TestBytesWithoutEndAreNotRead(t *testing.T) {
	const bound = 512 << 10 // bytes, those under way included
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nwhole\r\n"
	for name, tt := range map[string]struct{ begin, repeated string }{
		"header lines":       {"HTTP/1.1 200 OK\r\n", "X-Long: " + strings.Repeat("x", 1000) + "\r\n"},
		"header line":        {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1000)},
		"status line":        {"HTTP/1.1 ", strings.Repeat("2", 1000)},
		"interim heads":      {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 1000) + "\r\n\r\n"},
		"chunk extension":    {chunked + "5;", strings.Repeat("x", 1000)},
		"chunks of one byte": {chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer lines":      {chunked + "0\r\n", "X: " + strings.Repeat("x", 1000) + "\r\n"},
		"behind a response":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", strings.Repeat("x", 1000)},
		"behind a refusal":   {"HTTP/1.1 503 No\r\nBadgerspoke-Refused: true\r\nContent-Length: 0\r\n\r\n", strings.Repeat("x", 1000)},
		"body of a refusal":  {"HTTP/1.1 503 No\r\nBadgerspoke-Refused: true\r\n\r\n", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := fakenet.New(time.Millisecond)
				var sent atomic.Int64
				serveConns(t, n, func(conn net.Conn) {
					if _, err := conn.Read(make([]byte, 4096)); err != nil {
						return
					}
					_, err := io.WriteString(conn, tt.begin)
					for err == nil && sent.Load() < 4*bound {
						var n int
						n, err = io.WriteString(conn, tt.repeated)
						sent.Add(int64(n))
						time.Sleep(10 * time.Microsecond)
					}
				})
				a, err := client(t, n).Send(t.Context(), address, forward.Call{Method: "GET", Path: "/x", ID: "r"})
				if err == nil {
					_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, bound)) // what follows the body is not part of it
					a.Body.Close()
				}
				time.Sleep(time.Second)
				t.Logf("%d bytes", sent.Load())
				is.True(sent.Load() < bound)
			})
		})
	}
}
