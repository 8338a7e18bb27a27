// SPDX-License-Identifier: Apache-2.0

// Package protocol defines the messages that the fleet's own processes
// exchange, and nothing else: no decision, no clock, no connection.
//
// A message is a CBOR map with small integer keys inside an [Envelope] that
// names its kind. Unknown kinds and unknown fields are skipped by the
// receiver, so that boxes of neighbouring versions can talk; a malformed
// message is a typed error and ends the link. Sizes are bounded before
// anything is decoded.
//
// Two conversations use it: control replicas among each other (consensus.go)
// and a router with a control replica (session.go, claim.go). Operators do
// not: their interface is the protobuf schema in protocol/operator.
package protocol
