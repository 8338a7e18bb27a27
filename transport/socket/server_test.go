// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// This file tests when the user timeout of a connection to a backend server changes. Package
// platform/soak tests what that does to calls.

// discard is a connection that accepts every byte.
type discard struct{ net.Conn }

func (discard) Write(b []byte) (int, error) { return len(b), nil }

func (discard) Close() error { return nil }

// descriptor counts its uses. System calls fail on it.
type descriptor struct {
	syscall.RawConn
	uses atomic.Int64
}

// Control implements [syscall.RawConn].
func (d *descriptor) Control(f func(fd uintptr)) error {
	d.uses.Add(1)
	f(^uintptr(0))
	return nil
}

// TestBusyConnectionMakesNoSystemCalls guards against system calls for each write: the timeout is raised
// once the writes end, and lowered by the next one only.
func TestBusyConnectionMakesNoSystemCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var d descriptor
		c := newServerConn(discard{}, &d)
		defer c.Close()
		write := func() {
			_, err := c.Write([]byte("event"))
			is.NoErr(err)
		}
		for range 100 {
			write()
			time.Sleep(raiseDelay / 3)
		}
		is.Equal(d.uses.Load(), int64(0))
		time.Sleep(raiseDelay)
		is.Equal(d.uses.Load(), int64(2)) // one asks what is unacknowledged, one raises
		time.Sleep(time.Minute)
		is.Equal(d.uses.Load(), int64(2)) // not again
		write()
		write()
		is.Equal(d.uses.Load(), int64(3)) // lowered once
		time.Sleep(2 * raiseDelay)
		is.Equal(d.uses.Load(), int64(5))
	})
}

// TestClosedConnectionKeepsNoTimer guards against timers that outlive their connection, and against changes of
// a descriptor after it is closed.
func TestClosedConnectionKeepsNoTimer(t *testing.T) {
	for _, idle := range []time.Duration{0, raiseDelay / 2, raiseDelay, 2 * raiseDelay} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var d descriptor
			c := newServerConn(discard{}, &d)
			time.Sleep(idle)
			synctest.Wait()
			is.NoErr(c.Close())
			before := d.uses.Load()
			_, err := c.Write([]byte("late"))
			is.NoErr(err)
			is.True(!c.raise.Stop()) // it does not run
			time.Sleep(time.Minute)
			is.Equal(d.uses.Load(), before)
		})
	}
}

func benchmarkWrite(b *testing.B, conn net.Conn) {
	for b.Loop() {
		if _, err := conn.Write([]byte("event")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWrite reports what a write costs on a connection to a backend server, besides that of the kernel.
func BenchmarkWrite(b *testing.B) {
	var d descriptor
	c := newServerConn(discard{}, &d)
	defer c.Close()
	b.Run("plain", func(b *testing.B) { benchmarkWrite(b, discard{}) })
	b.Run("server", func(b *testing.B) { benchmarkWrite(b, c) })
}
