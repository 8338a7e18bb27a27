// SPDX-License-Identifier: Apache-2.0

// Package consensus keeps one log equal on several replicas, so that what a
// majority holds on disk is never lost, changed or reordered.
//
// The model is a pure step function, [Replica]: messages, proposals and the time
// go in; what to write, what to send and what to apply comes out as a
// [Ready]. The caller writes first, then sends, then calls [Replica.Advance].
// No clock, goroutine, socket or file is touched here, so a fault is a row in
// a table and a run can be repeated from a seed.
//
// The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice",
// 2014) with these parts, each in its own file:
//
//   - election.go: terms, pre-vote, votes. A replica that heard from a leader
//     within the election timeout refuses both, so one that was cut off does
//     not disturb the others when it is back. A restarted replica counts as
//     having just heard from one, because it may have.
//   - replicate.go: appending with pipelining, commitment, check-quorum and
//     the leader's lease.
//   - transfer.go: snapshots in pieces, and handing leadership over.
//   - membership.go: one change at a time, learners, and the repair of a
//     replica that lost its disk.
//   - formation.go: how blank replicas become a group. A closed group knows
//     its replicas' names from the start; an open one is found through seeds,
//     grows by whoever asks, and replaces voters that fell silent.
//
// Invariants: at most one leader a term; an entry that was reported as
// committed is in the log of every later leader; Ready.Committed is the same
// sequence everywhere; a replica whose disk was lost never votes from a blank
// log, because it is another [protocol.Peer] and no voter until it holds
// everything.
//
// The lease compares times of one clock only: the leader stamps what it
// sends, followers echo the stamp, and the lease runs from the stamp, not
// from the answer. It is shortened by [DriftMargin] for clocks that run at
// different speed.
package consensus
