// SPDX-License-Identifier: Apache-2.0

package link

import "fmt"

// This file defines the errors of a link.

// Unreachable is the error of a connection that could not be opened.
type Unreachable struct {
	Address string
	Err     error
}

// Error names the address.
func (e Unreachable) Error() string { return fmt.Sprintf("link: %s unreachable: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e Unreachable) Unwrap() error { return e.Err }

// Broken is the error of an open link that failed. Messages sent before the failure
// may or may not have arrived.
type Broken struct {
	Peer string
	Err  error
}

// Error names the peer.
func (e Broken) Error() string {
	return fmt.Sprintf("link: connection to %q failed: %v", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e Broken) Unwrap() error { return e.Err }

// WrongKey is the error of a peer that did not prove that it has the fleet key.
type WrongKey struct{ Peer string }

// Error names the peer by the name that it claimed, which is unproven.
func (e WrongKey) Error() string {
	return fmt.Sprintf("link: %q did not prove that it has the fleet key", e.Peer)
}
