// SPDX-License-Identifier: Apache-2.0

package process

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// countedConn counts the read deadlines set on it: idle connections are closed by an expired one.
type countedConn struct {
	net.Conn
	ended *atomic.Int64
}

func (c *countedConn) SetReadDeadline(time.Time) error { c.ended.Add(1); return nil }

// TestIdleConnectionsAreClosed checks that an idle connection is closed after the timeout and
// one in use is not.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ended atomic.Int64
		c := newIdleConnections(100)
		go c.sweep(t.Context(), func() time.Duration { return 15 * time.Second })
		busy, idle := &countedConn{ended: &ended}, &countedConn{ended: &ended}
		for _, conn := range []net.Conn{busy, idle} {
			c.track(conn, http.StateNew)
			c.track(conn, http.StateActive)
		}
		c.track(idle, http.StateIdle)
		time.Sleep(12 * time.Second) // within the timeout
		synctest.Wait()
		is.Equal(ended.Load(), int64(0))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(ended.Load(), int64(1))
	})
}

// TestLongestIdleAreClosedNearLimit checks that above the eviction threshold the connections idle
// longest are closed, and those in use never.
func TestLongestIdleAreClosedNearLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var busy, old, young atomic.Int64
		c := newIdleConnections(100)
		add := func(ended *atomic.Int64, state http.ConnState) {
			conn := &countedConn{ended: ended}
			c.track(conn, http.StateNew)
			c.track(conn, state)
		}
		for range 30 {
			add(&busy, http.StateActive)
			add(&old, http.StateIdle)
		}
		time.Sleep(time.Second)
		for range 20 {
			add(&young, http.StateIdle)
		}
		add(&young, http.StateIdle) // exceeds the threshold of 80
		synctest.Wait()
		is.Equal(old.Load(), int64(10))
		is.Equal(young.Load(), int64(0))
		is.Equal(busy.Load(), int64(0))
	})
}
