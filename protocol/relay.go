// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines what a directory replica that serves the gateways of its region sends the
// leader besides a gateway's messages: a relay's session is one like a gateway's.

// Behind is sent by a relay to the leader when the gateways that it serves have changed: all
// of them.
type Behind struct {
	Gateways []BehindGateway `cbor:"1,keyasint,omitempty"`
}

// BehindGateway is one gateway, as its [Watch] describes it.
type BehindGateway struct {
	Gateway       string `cbor:"1,keyasint"`
	KnowsHalls    bool   `cbor:"2,keyasint,omitempty"`
	KnowsVersions bool   `cbor:"3,keyasint,omitempty"`
}
