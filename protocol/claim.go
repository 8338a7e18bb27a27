// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines the messages by which a router claims the right to run a keyed request and
// reports the request's end.

// ClaimState is the state of a claim.
type ClaimState uint8

// The states of a claim. The numbers are on the wire and in the log of claims.
const (
	ClaimGranted  ClaimState = 1 // the claiming router may run the request
	ClaimRunning  ClaimState = 2 // another router or another arrival of the request holds the claim; wait, or claim again
	ClaimRan      ClaimState = 3 // the request ran; Answer is set if it was small enough
	ClaimUnknown  ClaimState = 4 // the claiming router was lost; the request may have run
	ClaimMismatch ClaimState = 5 // the key was used with different content
	ClaimRetry    ClaimState = 6 // the replica could not decide the claim; resend it to the leader
	ClaimReleased ClaimState = 7 // the request has not run
)

// Claim is sent by a router to the leading control replica before it runs a request that has a
// key, to obtain the right to run it. A resend by the same router with the same Attempt gets
// the same answer.
type Claim struct {
	Call    uint64 `cbor:"1,keyasint"` // matches the Claimed to this message
	Account string `cbor:"2,keyasint"`
	Key     string `cbor:"3,keyasint"`
	Digest  uint64 `cbor:"4,keyasint"`           // digest of the request's content
	Attempt uint64 `cbor:"5,keyasint"`           // random, drawn by the router for each arrival
	Wait    bool   `cbor:"6,keyasint,omitempty"` // wait until another claim has ended instead of answering ClaimRunning
}

// Settle is sent by a router to the leading control replica when a claimed request has ended.
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

// Answer is a backend server's answer that is small enough to be stored with the claim.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
}
