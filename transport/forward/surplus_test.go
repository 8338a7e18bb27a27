// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// refusedTwice is a server that refuses the first call on its first connection, and answers the next one there with the
// same refusal once more before it runs it. It runs all calls on other connections.
type refusedTwice struct {
	connections, runs atomic.Int32
}

const (
	refusal  = "HTTP/1.1 503 Service Unavailable\r\nBadgerspoke-Refused: true\r\nContent-Length: 0\r\n\r\n"
	response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran"
)

func (s *refusedTwice) handle(conn net.Conn) {
	first := s.connections.Add(1) == 1
	b := make([]byte, 4096)
	for call := 1; ; call++ {
		if _, err := conn.Read(b); err != nil {
			return
		}
		if first && call <= 2 {
			_, _ = io.WriteString(conn, refusal)
		}
		if first && call == 1 {
			continue
		}
		s.runs.Add(1)
		_, _ = io.WriteString(conn, response)
	}
}

// TestSurplusRefusalRefusesNoOtherCall guards against a call that is reported as refused although it runs, because the
// refusal of the call before it on its connection comes a second time, late. Calls with the same ID are sends of the same
// request; without IDs a response states no call at all.
func TestSurplusRefusalRefusesNoOtherCall(t *testing.T) {
	for name, id := range map[string]string{"same ID": "request-1", "no ID": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := fakenet.New(0)
				var server refusedTwice
				serveConns(t, n, server.handle)
				c := client(t, n)
				call := forward.Call{Method: "POST", Path: "/x", Body: []byte("booking"), ID: id}
				_, err := c.Send(t.Context(), address, call)
				var notRun forward.NotRun
				is.True(errors.As(err, &notRun) && notRun.Refused && !notRun.Reused)
				synctest.Wait() // its connection is idle

				a, err := c.Send(t.Context(), address, call)
				is.NoErr(err)
				body, err := io.ReadAll(a.Body)
				is.NoErr(err)
				is.Equal(string(body), "ran")
				is.Equal(server.runs.Load(), int32(1))
				is.Equal(server.connections.Load(), int32(2))
			})
		})
	}
}

// TestConnectionOfRefusalIsReused checks that the next call of another request uses the connection of a refusal, whose
// copy its ID would show, and that the client says that the connection was used before.
func TestConnectionOfRefusalIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(0)
		var server refusedTwice
		serveConns(t, n, server.handle)
		c := client(t, n)
		for i, id := range []string{"request-1", "request-2"} {
			_, err := c.Send(t.Context(), address, forward.Call{Method: "POST", Path: "/x", Body: []byte("booking"), ID: id})
			var notRun forward.NotRun
			is.True(errors.As(err, &notRun) && notRun.Refused)
			is.Equal(notRun.Reused, i > 0)
			synctest.Wait()
		}
		is.Equal(server.connections.Load(), int32(1))
	})
}
