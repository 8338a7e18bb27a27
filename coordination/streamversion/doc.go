// SPDX-License-Identifier: Apache-2.0

// Package streamversion knows which version of a pool's backend servers began a stream.
//
// What two versions of a server's software write does not fit together, and servers do not check
// it: a stream that breaks may go on only at a server of the version that began it. The caller, who
// may take it up at any gateway, names only the request that brought its first event. Gateways
// therefore report the requests that began streams, and the directory answers the question which
// version began one:
//
//   - [Records] hold the versions of streams that have begun. They are bounded by number and age.
//   - [Versions] are those of a pool that may have begun a stream that can still be taken up. A stream
//     without a record may go on only if there is a single one; otherwise its version is unknown, and
//     it must not go on.
//
// Alternatives considered:
//   - All gateways hold all records: at the size of docs/CAPACITY.md each would receive 1.2 MB a
//     second, 120 times the budget of a gateway's link.
//   - The version follows from the request's identifier by a hash: the shares of the versions change
//     while servers are replaced, and a version without capacity would refuse new requests.
//   - The log holds the records: each event that begins a stream would cost the directory a sync.
//
// The package is pure: times are arguments of one monotonic clock. Nothing is safe for concurrent use.
package streamversion
