// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// TestMaxIdleBoundsConnectionsToAllServers checks that MaxIdle limits the idle connections to all
// servers together and that the most recently used ones are kept.
func TestMaxIdleBoundsConnectionsToAllServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakenet.New(time.Millisecond)
		const servers, kept = 8, 3
		at := func(i int) string { return fmt.Sprintf("10.0.0.1:%d", 9001+i) }
		for i := range servers {
			l, err := n.Listen(at(i))
			is.NoErr(err)
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
		}
		opened := 0
		c := forward.New(forward.Settings{Dialer: n.DialerFrom("10.0.0.2"), MaxIdle: kept, OnOpen: func() { opened++ }})
		defer c.Close()
		call := func(i int) {
			a, err := c.Send(t.Context(), at(i), forward.Call{Method: "GET", Path: "/x"})
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, a.Body)
			a.Body.Close()
			synctest.Wait() // the transport returns the connection to its idle pool
		}
		for i := range servers {
			call(i)
		}
		is.Equal(opened, servers)
		for i := range kept {
			call(servers - 1 - i)
		}
		is.Equal(opened, servers) // the newest connections were kept
		call(0)
		is.Equal(opened, servers+1) // the oldest was closed
	})
}
