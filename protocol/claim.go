// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines how a router claims the right to run a keyed request, and
// how it reports the request's end.

// ClaimState is the state of a claim.
type ClaimState uint8

// The states of a claim. The numbers are on the wire and in the log of claims.
const (
	ClaimGranted  ClaimState = 1 // to the router that claims: run it
	ClaimRunning  ClaimState = 2 // another router or arrival holds it; wait, or claim again
	ClaimRan      ClaimState = 3 // it ran; Answer is set if it was small enough
	ClaimUnknown  ClaimState = 4 // its router was lost; it may have run
	ClaimMismatch ClaimState = 5 // the key was used with another content
	ClaimRetry    ClaimState = 6 // undecided at this replica; send it again to the leader
	ClaimReleased ClaimState = 7 // it has not run
)

// Claim is sent by a router to the leading control replica, before it runs a request
// that has a key, for the right to do so. A resend by the same router with the same
// Attempt gets the same answer.
type Claim struct {
	Call    uint64 `cbor:"1,keyasint"` // pairs the Claimed with this
	Account string `cbor:"2,keyasint"`
	Key     string `cbor:"3,keyasint"`
	Digest  uint64 `cbor:"4,keyasint"`           // of the request's content
	Attempt uint64 `cbor:"5,keyasint"`           // drawn by the router for this arrival
	Wait    bool   `cbor:"6,keyasint,omitempty"` // until another one has ended, instead of ClaimRunning
}

// Settle is sent by a router to the leading control replica when a request that it
// claimed has ended.
type Settle struct {
	Call    uint64     `cbor:"1,keyasint"`
	Account string     `cbor:"2,keyasint"`
	Key     string     `cbor:"3,keyasint"`
	Attempt uint64     `cbor:"4,keyasint"`
	State   ClaimState `cbor:"5,keyasint"` // ClaimRan, ClaimReleased or ClaimUnknown
	Answer  *Answer    `cbor:"6,keyasint,omitempty"`
}

// Claimed is the control replica's answer to a Claim or a Settle.
type Claimed struct {
	Call   uint64     `cbor:"1,keyasint"`
	State  ClaimState `cbor:"2,keyasint"`
	Answer *Answer    `cbor:"3,keyasint,omitempty"`
}

// Answer is a stored answer, small enough to be kept.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
}
