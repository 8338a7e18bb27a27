// SPDX-License-Identifier: Apache-2.0

package link

import "fmt"

// This file defines how a link fails.

// Unreachable says that no connection could be opened.
type Unreachable struct {
	Address string
	Err     error
}

// Error names the address.
func (e Unreachable) Error() string { return fmt.Sprintf("link: %s unreachable: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e Unreachable) Unwrap() error { return e.Err }

// Broken says that an open link failed. A message sent before may or may not
// have arrived.
type Broken struct {
	Peer string
	Err  error
}

// Error names the peer.
func (e Broken) Error() string { return fmt.Sprintf("link: to %q broken: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e Broken) Unwrap() error { return e.Err }

// WrongKey says that the other side does not know the fleet key.
type WrongKey struct{ Peer string }

// Error names what the other side called itself, unproven.
func (e WrongKey) Error() string {
	return fmt.Sprintf("link: %q does not know the fleet key", e.Peer)
}
