// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines the messages about the versions that began streams, see package streamversion.

// StreamsBegun are requests that brought the first events of streams, all from servers of one version.
type StreamsBegun struct {
	_       struct{} `cbor:",toarray"`
	Pool    string
	Version string // of the servers' software
	IDs     []byte // eight bytes for each request (streamversion.ID)
}

// Streams is sent by a gateway to the replica that serves it: the streams that began at the
// gateway, and that it has not reported in this session, of pools whose servers have several
// versions. The replica sends the newest ones on to all gateways that it serves.
type Streams struct {
	List []StreamsBegun `cbor:"1,keyasint"`
}

// StreamQuery asks which version began a stream. A gateway sends it to the replica that serves it, a
// relay that does not know passes it on to the leader, and the leader to its other relays.
type StreamQuery struct {
	Seq uint64 `cbor:"1,keyasint"` // repeated in the answer
	ID  uint64 `cbor:"2,keyasint"` // streamversion.ID
	// Pool is the only one that the stream's route leads to; empty if there are several.
	Pool string `cbor:"3,keyasint,omitempty"`
	// Versions are those of the pool's servers that the gateway lists or recently listed.
	Versions []string `cbor:"4,keyasint,omitempty"`
}

// StreamAnswer is the answer to a StreamQuery.
type StreamAnswer struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Known   bool   `cbor:"2,keyasint,omitempty"`
	Pool    string `cbor:"3,keyasint,omitempty"` // set only if Known, as Version
	Version string `cbor:"4,keyasint,omitempty"`
	// Inferred is set if the stream is in no report, but only one version can have begun it.
	Inferred bool `cbor:"5,keyasint,omitempty"`
}
