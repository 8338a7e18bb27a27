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
// Three conversations use it: the replicas of one consensus group, of control or of a
// directory, among each other (consensus.go); a router with the leading control replica
// (session.go, claim.go); a gateway with the leading directory replica (watch.go). The
// first message on a link shows which one it is. Operators and backend servers do not
// use it: they have the protobuf schema in protocol/operator, or a platform's own HTTP.
//
// What replicas write to their disks in the same form is here too: entries, snapshots
// and the registrations of backend servers.
package protocol
