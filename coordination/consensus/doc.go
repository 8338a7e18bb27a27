// SPDX-License-Identifier: Apache-2.0

// Package consensus keeps one log equal on several replicas, so that what a
// majority holds on disk is never lost, changed or reordered.
//
// The model is a pure step function, [Replica]: messages, proposals and the time
// go in; what to write, what to send and what to apply comes out as a [Ready].
// The caller writes first, then sends, then calls [Replica.Advance]. No clock,
// goroutine, socket or file is touched here, so a fault is a row in a table and a
// run can be repeated from a seed. Package replica is the caller: its Replica is
// the running process of one such step function, with a journal and a clock.
//
// # What is standard
//
// The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014):
// terms, votes, appending with pipelining and a hint after a mismatch, commitment
// by count only in the leader's own term, a no-op at the start of a term,
// snapshots in pieces, learners, membership changes of one voter at a time, in
// force as soon as they are appended, pre-vote, check-quorum, leadership transfer.
//
// # What differs, why, and the test that shows it
//
//   - Votes are refused within an election timeout of a leader's message, and the
//     request is dropped whole rather than rejected, so that its term does not
//     spread: a replica that was cut off does not disturb the others when it is
//     back (TestLeaderCutOffInSilence). A replica that starts counts as having just
//     had such a message, because before its crash it may have
//     (TestRestartedReplicaKeepsItsPromise); a pre-candidate therefore repeats its
//     request after a quarter to a half of an election timeout
//     (TestRestartInTurnElectsSoon).
//   - The leader's lease rests on that refusal. The leader puts its own clock into
//     what it sends, answers echo it, and the lease runs from that time, not from
//     the answer's. Times of one clock only are compared; [DriftMargin] allows for
//     clocks of different speed. It is void at once when leadership is offered to
//     another (TestLeadershipIsHandedOver).
//   - A replica is a [protocol.Peer]: a name and the incarnation of its disk. One
//     that lost its disk is another peer and no voter: it never votes from a blank
//     log (TestBlankReplicaNeverVotes). The leader removes the lost peer, takes the
//     new one in as a learner and promotes it (TestLostDiskIsRepaired) once it holds
//     everything (TestLearnerIsPromotedOnlyWithEverything); a blank
//     replica whose leader is lost during that looks for its group again
//     (TestRepairerIsLost).
//   - A closed group has the names of its replicas in the settings and forms only
//     when all of them report blank disks (TestGroupFormsAndCommits). An open group
//     is found through seeds and takes in any replica that requests it
//     (TestOpenGroupFormsAroundItsSeeds, TestJoinsThroughAnyMember); it forms only
//     if the operator marks the start as the first one
//     (TestBlankReplicasNeverFoundTwice).
//   - An open group has a fixed number of voters. A silent voter is replaced by a
//     learner, promoted first and the silent one removed after, and stays a voter
//     while there is no learner (TestReplacedReplica,
//     TestSilentVoterIsKeptWithoutReplacement).
//
// All of it runs together, with messages lost, late, twice and out of order, disks
// lost and replicas killed, in TestRandomSchedules and TestRandomOpenSchedules.
//
// # Files
//
//   - replica.go: Replica, its inputs and outputs; memlog.go: the log in memory.
//   - election.go: terms, pre-vote, votes.
//   - replicate.go: appending, commitment, check-quorum, the lease.
//   - transfer.go: snapshots in pieces, handing leadership over.
//   - membership.go: changes of membership, learners, repair of a lost disk.
//   - formation.go: [Formation], how blank replicas become a group.
//
// # Invariants
//
// At most one leader a term; an entry that was reported as committed is in the log
// of every later leader; Ready.Committed is the same sequence everywhere; while
// this replica leads, its table of peers holds exactly the members.
package consensus
