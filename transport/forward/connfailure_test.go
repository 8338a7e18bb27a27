// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// This file tests that a call's error names the failure that ended its connection, whichever of
// its consequences net/http returns.

// failingConn fails its writes and reads with given errors.
type failingConn struct {
	net.Conn
	writeErr, readErr error
}

func (c failingConn) Write([]byte) (int, error) { return 0, c.writeErr }
func (c failingConn) Read([]byte) (int, error)  { return 0, c.readErr }
func (c failingConn) Close() error              { return nil }

// startCall opens a connection for a call and returns both.
func startCall(t *testing.T, inner failingConn, abandoned func() bool) (*callTrace, *countingConn) {
	conns := &connections{open: map[string]map[*countingConn]bool{}}
	c := conns.add("10.0.0.1:80", inner)
	s := &callTrace{abandoned: abandoned}
	ctx := s.attach(t.Context())
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{Conn: c})
	return s, c
}

// TestAbandonedCallIsNamedAfterItsConnectionClosed checks that an abandoned call is recognized
// where net/http returns the read error that follows the failed write.
func TestAbandonedCallIsNamedAfterItsConnectionClosed(t *testing.T) {
	is := is.New(t)
	s, c := startCall(t, failingConn{readErr: net.ErrClosed}, func() bool { return true })
	_, err := c.Write([]byte("GET"))
	is.True(IsAbandoned(err))
	c.Close()
	_, err = c.Read(nil)
	err = s.withConnFailure(err)
	is.True(IsAbandoned(err))
	is.True(errors.Is(err, net.ErrClosed))
	is.True(!s.mayHaveSent())
}

// TestConnTimeoutIsNamedAfterItsConnectionClosed checks the same for a write to a peer that no
// longer acknowledges data.
func TestConnTimeoutIsNamedAfterItsConnectionClosed(t *testing.T) {
	is := is.New(t)
	s, c := startCall(t, failingConn{writeErr: syscall.ETIMEDOUT, readErr: io.EOF}, nil)
	_, _ = c.Write([]byte("GET"))
	_, err := c.Read(nil)
	is.True(IsConnTimeout(s.withConnFailure(err)))
}

// TestOwnCloseIsNoFailure checks that errors after the connection was closed here do not change
// the error of a call.
func TestOwnCloseIsNoFailure(t *testing.T) {
	is := is.New(t)
	s, c := startCall(t, failingConn{readErr: net.ErrClosed}, nil)
	c.Close()
	_, _ = c.Read(nil)
	is.Equal(s.withConnFailure(context.Canceled), context.Canceled)
}
