// SPDX-License-Identifier: Apache-2.0

package process

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// drainFixture is a server for callers that stops, on a simulated network in virtual time.
type drainFixture struct {
	t       *testing.T
	network *fakenet.Network
	server  drainedServer
	served  atomic.Int64
}

// withDrain runs f with a server that answers after 50 ms.
func withDrain(t *testing.T, f func(x *drainFixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &drainFixture{t: t, network: fakenet.New(time.Millisecond)}
		l, err := x.network.Listen(callersAddress)
		is.New(t).NoErr(err)
		ctx, stop := context.WithCancel(t.Context())
		b := &base{}
		x.server = b.serveCallers(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			x.served.Add(1)
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "answer") // an error shows in the answer
		}), func() document.Limits { return document.Limits{} }, unpaced{})
		defer func() {
			stop()
			b.close()
			synctest.Wait()
		}()
		f(x)
	})
}

// drain drains the server for at most 5 s and returns how long that took.
func (x *drainFixture) drain() time.Duration {
	ctx, cancel := context.WithTimeout(x.t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	x.server.drain(ctx)
	return time.Since(began)
}

func (x *drainFixture) connect() net.Conn {
	conn, err := x.network.DialerFrom("10.0.0.2").DialContext(x.t.Context(), "tcp", callersAddress)
	is.New(x.t).NoErr(err)
	return conn
}

// answered reports whether a whole answer comes on a connection.
func answered(conn net.Conn) bool {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == "answer"
}

// TestStopAnswersWhatItHasRead guards against requests that a stopping process has read, in whole or the beginning of
// the head, and whose connection it closes without an answer. Connections without a request are closed at once.
func TestStopAnswersWhatItHasRead(t *testing.T) {
	withDrain(t, func(x *drainFixture) {
		is := is.New(x.t)
		unused, running, halfRead := x.connect(), x.connect(), x.connect()
		_, err := io.WriteString(running, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		_, err = io.WriteString(halfRead, "GET / HTTP/1.1\r\nHo")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		took := make(chan time.Duration, 1)
		go func() { took <- x.drain() }()
		time.Sleep(20 * time.Millisecond)
		_, err = unused.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		_, err = x.network.DialerFrom("10.0.0.2").DialContext(x.t.Context(), "tcp", callersAddress)
		is.True(err != nil) // nothing is accepted any more
		_, err = io.WriteString(halfRead, "st: h\r\n\r\n")
		is.NoErr(err)
		is.True(answered(running))
		is.True(answered(halfRead))
		is.True(<-took < 200*time.Millisecond)
	})
}

// TestStopWaitsForNoSlowHead guards against a caller that sends its head byte by byte and delays a stop.
func TestStopWaitsForNoSlowHead(t *testing.T) {
	withDrain(t, func(x *drainFixture) {
		is := is.New(x.t)
		slow := x.connect()
		_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHo")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		took := x.drain()
		is.True(took >= headLinger && took < headLinger+100*time.Millisecond)
		is.Equal(x.served.Load(), int64(0))
	})
}

// TestStoppingReplicaAnswersItsAPI guards against an operator's request that a directory replica has read and whose
// connection it closes without an answer, because the replica has stopped meanwhile.
func TestStoppingReplicaAnswersItsAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := fakenet.New(time.Millisecond)
		l, err := network.Listen(callersAddress)
		is.NoErr(err)
		p := &directoryProcess{base: &base{cfg: Settings{Grace: 8 * time.Second, AnnounceInterval: time.Second}}}
		p.api.set(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, "answer") // an error shows in the answer
		}))
		p.serveAPI(t.Context(), l)
		conn, err := network.DialerFrom("10.0.0.2").DialContext(t.Context(), "tcp", callersAddress)
		is.NoErr(err)
		_, err = io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		p.drainAPI()
		p.close()
		is.True(time.Since(began) < 100*time.Millisecond)
		is.True(answered(conn))
		synctest.Wait()
	})
}
