// SPDX-License-Identifier: Apache-2.0

package process

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
)

// always takes every connection.
type always struct{}

func (always) TakeConnection() bool   { return true }
func (always) ConnectionsPaced() bool { return false }
func (always) ObserveQueue(_, _ int)  {}

// TestUnreadConnectionsAreBounded: more than mostUnread connections are accepted only as
// others are read or ended, or nothing came of them for a while.
func TestUnreadConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := fakenet.New(time.Millisecond)
		l, err := network.Listen(callersAddress)
		is.NoErr(err)
		closed := make(chan struct{})
		paced := newPacedListener(l, always{}, closed, nil)
		accepted := make(chan net.Conn, 10*mostUnread)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				conn, err := paced.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
		dial := func() net.Conn {
			conn, err := network.Box("10.0.0.2").DialContext(t.Context(), "tcp", callersAddress)
			is.NoErr(err)
			_, err = conn.Write([]byte("GET"))
			is.NoErr(err)
			return conn
		}
		go func() {
			for range 3 * mostUnread {
				defer dial().Close()
			}
			<-closed
		}()
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		is.Equal(len(accepted), mostUnread)
		for range 2 { // one is read, one ends
			conn := <-accepted
			_, err = conn.Read(make([]byte, 3))
			is.NoErr(err)
			conn = <-accepted
			is.NoErr(conn.Close())
			time.Sleep(2 * pacePoll)
			synctest.Wait()
			is.Equal(len(accepted), mostUnread)
		}
		time.Sleep(unreadFor)
		synctest.Wait()
		is.True(len(accepted) > 2*mostUnread-5) // nothing came of the others
		close(closed)
		l.Close()
		<-ended
		for len(accepted) > 0 {
			(<-accepted).Close()
		}
	})
}
