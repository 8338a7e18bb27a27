// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines the additional message of a relay, a directory replica that serves the
// gateways of its region. A relay's session with the leader is otherwise like a gateway's.

// RelayGateways is sent by a relay to the leader when the set of gateways that it serves has
// changed. It lists all of them.
type RelayGateways struct {
	Gateways []RelayGateway `cbor:"1,keyasint,omitempty"`
}

// RelayGateway is one gateway, as its [Watch] describes it.
type RelayGateway struct {
	Gateway          string `cbor:"1,keyasint"`
	SupportsHalls    bool   `cbor:"2,keyasint,omitempty"`
	SupportsRollouts bool   `cbor:"3,keyasint,omitempty"`
}
