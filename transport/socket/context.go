// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"context"
	"net"
)

// This file defines contexts that hold the connection on which a request arrived.

type connKey struct{}

// WithConn returns a context that holds a connection. It serves as ConnContext of an [http.Server].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnFrom returns the connection that a context holds, or nil.
func ConnFrom(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// ResetConn makes the connection of a request end with a reset, see [ResetOnClose].
func ResetConn(ctx context.Context) error { return ResetOnClose(ConnFrom(ctx)) }

// AbortConn closes the connection of a request at once, as ResetConn or CloseConnInOrder has set. A TLS connection
// around it cannot state its end any more.
func AbortConn(ctx context.Context) error {
	k, err := innermost(ConnFrom(ctx))
	if err != nil {
		return err
	}
	return k.Close()
}

// CloseConnInOrder makes the connection of a request end in order again, after ResetConn.
func CloseConnInOrder(ctx context.Context) error { return setLinger(ConnFrom(ctx), defaultLinger) }
