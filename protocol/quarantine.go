// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines the messages between gateways and the directory's leader about requests
// whose backend servers ended while running them. Keys are those of package quarantine, 16
// bytes.

// Loss is a request that was running on a backend server when the server ended, as reported by
// a gateway.
type Loss struct {
	_         struct{} `cbor:",toarray"`
	Key       []byte
	Hint      uint32 // hash of the request with only the length of its body
	Account   string
	Pool      string
	Server    string // the server's identifier
	Address   string
	RanMillis uint32 // from sending the request to the end of the server
	AgeMillis uint32 // since the end of the server, as of sending
	AfterLoss bool   // another attempt of the same arrival was lost before this one began
	Serving   bool   // other servers of the pool gave complete answers recently
}

// Quarantined is a request whose backend servers ended while running it.
type Quarantined struct {
	_         struct{} `cbor:",toarray"`
	Key       []byte
	Hint      uint32
	Ends      uint8 // number of consecutive ends
	Condemned bool  // the request must not be sent to any server
}

// Quarantine is sent by the leader to every gateway: the whole list when the session opens,
// before the list of backend servers, and then the changes. Earlier versions ignore it.
type Quarantine struct {
	// Whole is set if Set is the whole list, which replaces the previous one.
	Whole   bool          `cbor:"1,keyasint,omitempty"`
	Set     []Quarantined `cbor:"2,keyasint,omitempty"`
	Removed [][]byte      `cbor:"3,keyasint,omitempty"` // keys
	// SuspectParts and CondemnedParts are parts of prompts. RemovedParts are the keys of parts and of
	// condemned sets that are no longer listed.
	SuspectParts   []SuspectPart    `cbor:"4,keyasint,omitempty"`
	CondemnedParts []CondemnedParts `cbor:"5,keyasint,omitempty"`
	RemovedParts   [][]byte         `cbor:"6,keyasint,omitempty"`
	// Provisional are the keys of those sets of CondemnedParts that no probe has confirmed. Earlier
	// versions take them for confirmed.
	Provisional [][]byte `cbor:"7,keyasint,omitempty"`
	// Probes are keys of condemned requests and sets of which the receiver may send one request. They
	// change no list. Earlier versions ignore them.
	Probes [][]byte `cbor:"8,keyasint,omitempty"`
}

// SuspectPart is a part of prompts whose requests were waiting for their answers on servers that ended.
type SuspectPart struct {
	_         struct{} `cbor:",toarray"`
	Key       []byte
	Crashes   uint8
	AgeMillis uint32 // since the first crash, as of sending
}

// CondemnedParts is a set of parts. A request with all of them must not be sent to any server.
type CondemnedParts struct {
	_     struct{} `cbor:",toarray"`
	Parts [][]byte // keys, sorted
}

// LostParts are the parts of the prompt of a [Loss] of the same report, if its answer had not begun.
type LostParts struct {
	_     struct{} `cbor:",toarray"`
	Loss  uint32   // index in Usage.Losses
	Model string
	Names []string
}

// ServedLoss says what of a [Loss] of the same report its gateway had served before.
type ServedLoss struct {
	_       struct{} `cbor:",toarray"`
	Loss    uint32   // index in Usage.Losses
	Request bool     // the request was answered in full
	Parts   []string // parts of its prompt of which an answer had begun
}

// QuarantineOrder is sent by an operator's command to any directory replica, as the first
// message of a link. It lists the condemned requests or releases one. Resending it is safe.
type QuarantineOrder struct {
	Release []byte `cbor:"1,keyasint,omitempty"` // key; empty to list
}

// QuarantineAnswer is the answer to a [QuarantineOrder], on the same link.
type QuarantineAnswer struct {
	Outcome   OrderOutcome       `cbor:"1,keyasint"`
	Reason    string             `cbor:"2,keyasint,omitempty"` // unless OrderDone
	Leader    string             `cbor:"3,keyasint,omitempty"` // fleet address, if OrderNotLeader
	Condemned []CondemnedRequest `cbor:"4,keyasint,omitempty"` // after the order, oldest first, if OrderDone
}

// CondemnedRequest is a request that is sent to no backend server.
type CondemnedRequest struct {
	Key     []byte   `cbor:"1,keyasint"`
	Account string   `cbor:"2,keyasint,omitempty"`
	Pool    string   `cbor:"3,keyasint,omitempty"`
	Servers []string `cbor:"4,keyasint,omitempty"` // servers that ended while running it
	// Parts are set instead of Account if all requests with these parts in their prompts are condemned.
	Parts []string `cbor:"5,keyasint,omitempty"`
	Model string   `cbor:"6,keyasint,omitempty"`
}
