// SPDX-License-Identifier: Apache-2.0

package fakenet

import (
	"io"
	"net"
)

// This file defines Serve, a server of connections without a protocol.

// Serve listens at an address and handles each connection in a goroutine of its own, which closes it in order at the end.
// It returns the listener, whose close ends the serving.
func (n *Network) Serve(address string, handle func(conn net.Conn)) (io.Closer, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return l, nil
}
