// SPDX-License-Identifier: Apache-2.0

// Package protocol defines the messages that the fleet's processes exchange. It makes no
// decisions and uses no clock and no connection.
//
// A message is a CBOR map with small integer keys inside an [Envelope] that names its kind.
// Receivers skip unknown kinds and unknown fields, so that boxes of neighbouring versions can
// communicate. A malformed message is reported as a typed error and closes the link. Sizes are
// checked before decoding.
//
// The messages are exchanged between the replicas of one consensus group, of control or of a
// directory (consensus.go); between a router and the leading control replica (session.go,
// claim.go); and between a gateway and the leading directory replica (watch.go). The first
// message on a link determines which of these the link carries. Operators and backend servers do
// not use this package: they use the protobuf schema in protocol/operator, or a platform's own
// HTTP interface.
//
// The package also defines records that replicas write to their disks in the same form:
// entries, snapshots and the registrations of backend servers.
package protocol
