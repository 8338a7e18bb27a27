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

// acceptAll is a pacer that accepts every connection.
type acceptAll struct{}

func (acceptAll) AdmitConnection() bool       { return true }
func (acceptAll) AcceptRate() float64         { return 0 }
func (acceptAll) ObserveAcceptQueue(_, _ int) {}

// TestUnreadConnectionsAreBounded checks that beyond maxUnread, connections are accepted only
// as others are read, closed, or silent for unreadTimeout.
func TestUnreadConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := fakenet.New(time.Millisecond)
		l, err := network.Listen(callersAddress)
		is.NoErr(err)
		closed := make(chan struct{})
		paced := newPacedListener(l, acceptAll{}, closed, nil)
		accepted := make(chan net.Conn, 10*maxUnread)
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
			conn, err := network.DialerFrom("10.0.0.2").DialContext(t.Context(), "tcp", callersAddress)
			is.NoErr(err)
			_, err = conn.Write([]byte("GET"))
			is.NoErr(err)
			return conn
		}
		go func() {
			for range 3 * maxUnread {
				defer dial().Close()
			}
			<-closed
		}()
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		is.Equal(len(accepted), maxUnread)
		for range 2 { // one is read, one is closed
			conn := <-accepted
			_, err = conn.Read(make([]byte, 3))
			is.NoErr(err)
			conn = <-accepted
			is.NoErr(conn.Close())
			time.Sleep(2 * pacePollInterval)
			synctest.Wait()
			is.Equal(len(accepted), maxUnread)
		}
		time.Sleep(unreadTimeout)
		synctest.Wait()
		is.True(len(accepted) > 2*maxUnread-5) // the others timed out
		close(closed)
		l.Close()
		<-ended
		for len(accepted) > 0 {
			(<-accepted).Close()
		}
	})
}
