// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines unframedBody, a body that only the end of its connection ends.
//
// The kernel closes the connections of a process that dies in order, and with them its listener. So the end of such a
// body is that of a whole one only if its server still accepts connections, or had announced that it stops. Until it
// has accepted one that was opened afterwards, the end is not passed on.

const (
	// confirmDelay is the time from the end of a body until its server is dialled. The kernel closes the descriptors
	// of a process that dies one after the other, within a few milliseconds.
	confirmDelay = 20 * time.Millisecond
	// confirmInterval is the time between two dials to a server that does not respond.
	confirmInterval = 50 * time.Millisecond
)

// ServerEnded is the error of a body without framing whose server has ended with it. Nothing shows whether the body is
// complete.
type ServerEnded struct{ Server string } // address

// Error implements error.
func (e ServerEnded) Error() string {
	return "backend " + e.Server + " has ended with its answer, whose end nothing states"
}

// unframedBody is a body whose io.EOF the client confirms.
type unframedBody struct {
	io.ReadCloser
	confirm func() error // returns io.EOF if the body may have ended as it should
	end     error        // of all reads after the end of the connection
}

// Read implements [io.Reader]. It returns the last bytes without waiting for the confirmation of the end.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err != io.EOF:
		return n, err
	case n == 0:
		b.end = b.confirm()
	}
	return n, b.end
}

// confirmEnd waits until the server at address accepts a connection and then returns io.EOF. It returns [ServerEnded]
// if the server refuses connections and has not announced that it stops, and the error of ctx if that ends before. A
// server that does not respond may be silent for a moment only.
func (c *Client) confirmEnd(ctx context.Context, address string, leaving func() bool) error {
	for wait := confirmDelay; sleep.For(ctx, wait); wait = confirmInterval {
		conn, err := c.dial(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
			return io.EOF
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			if leaving != nil && leaving() {
				return io.EOF
			}
			return ServerEnded{Server: address}
		}
	}
	return ctx.Err()
}
