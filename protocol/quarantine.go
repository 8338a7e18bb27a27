// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines what gateways and the directory's leader tell each other of requests under
// which backend servers end. Keys are those of package quarantine, 16 bytes.

// Loss is a request that ran at a backend server when that ended, in a gateway's report.
type Loss struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Hint    uint32 // of the request without its body
	Account string
	Pool    string
	Server  string // its identifier
	Address string
	Ran     uint32 // ms, from the request's sending to the server's end
	Age     uint32 // ms, since the server's end, as of sending
	Again   bool   // another attempt of the same arrival was lost before this one began
	Serving bool   // other servers of the pool gave whole answers lately
}

// Quarantined is a request that backend servers ended under.
type Quarantined struct {
	_         struct{} `cbor:",toarray"`
	Key       []byte
	Hint      uint32
	Ends      uint8 // in a row
	Condemned bool  // it is not to be sent to any server
}

// Quarantine is sent by the leader to every gateway: all when the session opens, before the
// list of backend servers, then what has changed. Earlier versions ignore it.
type Quarantine struct {
	// Whole is set if Set is all; what is not in it is not listed any more.
	Whole bool          `cbor:"1,keyasint,omitempty"`
	Set   []Quarantined `cbor:"2,keyasint,omitempty"`
	Gone  [][]byte      `cbor:"3,keyasint,omitempty"` // keys
}

// QuarantineOrder is sent by an operator's command to any directory replica, as the first message
// of a link: to list the condemned requests, or to release one. It may be sent again.
type QuarantineOrder struct {
	Release []byte `cbor:"1,keyasint,omitempty"` // key; empty: list
}

// QuarantineAnswer is the answer to a [QuarantineOrder], on the same link.
type QuarantineAnswer struct {
	Outcome   OrderOutcome       `cbor:"1,keyasint"`
	Reason    string             `cbor:"2,keyasint,omitempty"` // unless done
	Leader    string             `cbor:"3,keyasint,omitempty"` // fleet address, if elsewhere
	Condemned []CondemnedRequest `cbor:"4,keyasint,omitempty"` // after the order, oldest first, if done
}

// CondemnedRequest is one request that is sent to no backend server.
type CondemnedRequest struct {
	Key     []byte   `cbor:"1,keyasint"`
	Account string   `cbor:"2,keyasint,omitempty"`
	Pool    string   `cbor:"3,keyasint,omitempty"`
	Servers []string `cbor:"4,keyasint,omitempty"` // that ended under it
}
