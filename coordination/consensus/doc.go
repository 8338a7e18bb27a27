// SPDX-License-Identifier: Apache-2.0

// Package consensus replicates one log to several replicas, so that an entry that
// a majority holds on disk is never lost, changed or reordered.
//
// [Replica] is a pure step function: its inputs are messages, proposals and the
// time, and its output is a [Ready] with what to write, send and apply. The caller
// writes first, then sends, then calls [Replica.Advance]. The package uses no clock,
// goroutine, socket or file, so a test can inject any fault and repeat a run from its
// seed. Package replica is the caller: its Replica runs one step function in a
// goroutine, with a journal and a clock.
//
// # Standard Raft
//
// The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014):
// terms, votes, appending with pipelining and a hint after a mismatch, commitment
// by count only in the leader's own term, a no-op at the start of a term, chunked
// snapshots, learners, membership changes of one voter at a time that take effect
// when appended, pre-vote, check-quorum, leadership transfer.
//
// # Differences from Raft, with their tests
//
//   - A replica ignores vote requests for an election timeout after a leader's
//     message. It drops the request instead of rejecting it, so that it does not
//     adopt the candidate's term: a replica that was partitioned does not depose the
//     leader when it returns (TestReturningLeaderDoesNotDeposeSuccessor). A replica
//     that starts behaves as if it had just received a leader's message, because it
//     may have received one before the crash (TestRestartedReplicaRespectsLease). A
//     pre-candidate therefore repeats its request after a quarter to a half of an
//     election timeout (TestStaggeredRestartElectsLeaderSoon).
//   - The leader's lease relies on that rule. The leader stamps its messages with
//     its own clock, replies echo the stamp, and the lease runs from the stamp, not
//     from the arrival of the reply. Only times of one clock are compared;
//     [DriftMargin] allows for clocks that run at different speeds. The lease is void
//     as soon as the leader offers leadership to another replica
//     (TestLeadershipTransfer).
//   - A replica is identified by a [protocol.Peer]: a name and the incarnation of its
//     disk. A replica that lost its disk is a different peer and not a voter, and it
//     never votes from a blank log (TestBlankReplicaNeverVotes,
//     TestReplicaWithoutLogNeverVotes). The leader removes the lost peer, adds the new
//     one as a learner and promotes it (TestLostDiskIsRepaired) once it holds everything
//     (TestLearnerIsPromotedOnlyWhenCaughtUp). A blank replica whose leader fails
//     during the repair searches for its group again (TestRepairSurvivesLossOfLeader).
//   - A closed group has the names of its replicas in the settings and forms only
//     when all of them report blank disks (TestGroupFormsAndCommits). An open group
//     is found through seeds and accepts any replica that requests to join
//     (TestNonSeedsJoinOpenGroup, TestBlankReplicaJoinsThroughFollower); it forms only
//     if the operator marks the start as the first one
//     (TestBlankReplicasNeverFoundSecondGroup).
//   - A replica that is outside the group, but a member by its own log, finds a leader that
//     its log does not contain through the members that others name
//     (TestLearnerOfLostChangeFindsLeaderThatJoinedLater,
//     TestRemovedVoterFindsLeaderThatJoinedLater).
//   - An open group has a fixed number of voters. A learner replaces a silent voter:
//     the learner is promoted first and the silent voter removed afterwards. Without
//     a learner the silent replica stays a voter (TestBlankReplicaReplacesStoppedVoter,
//     TestSilentVoterIsKeptWithoutReplacement).
//
// TestRandomSchedules and TestRandomOpenSchedules combine all of this with lost,
// delayed, duplicated and reordered messages, lost disks and killed replicas.
//
// # Files
//
//   - replica.go: Replica, its inputs and outputs; memlog.go: the log in memory.
//   - election.go: terms, pre-vote, votes.
//   - replicate.go: appending, commitment, check-quorum, the lease.
//   - transfer.go: chunked snapshots, leadership transfer.
//   - leadership_end.go: the reason for the end of a leadership.
//   - membership.go: membership changes, learners, repair of a lost disk.
//   - formation.go: [Formation], which forms a group from blank replicas.
//
// # Invariants
//
//   - Each term has at most one leader.
//   - The log of every later leader contains every entry that was reported as committed.
//   - Ready.Committed yields the same sequence on every replica.
//   - While a replica leads, its table of peers holds exactly the members.
package consensus
