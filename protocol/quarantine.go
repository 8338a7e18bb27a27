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
