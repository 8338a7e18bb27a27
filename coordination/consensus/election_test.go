// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests votes of replicas that are no voters by their own logs.

// learnerGroup is the group of the tests in this file: a leads a, b and c in term 3, and d is a learner.
func learnerGroup() (leader, learner, stranger protocol.Peer, d DurableState) {
	leader, learner = protocol.Peer{Name: "a", Incarnation: 1}, protocol.Peer{Name: "d", Incarnation: 4}
	stranger = protocol.Peer{Name: "e", Incarnation: 5} // a voter by its own log
	d = DurableState{
		Hard: protocol.HardState{Term: 3},
		Snapshot: protocol.Snapshot{Group: 7, Index: 9, Term: 3, Members: protocol.Membership{
			Voters:   []protocol.Peer{leader, {Name: "b", Incarnation: 2}, {Name: "c", Incarnation: 3}},
			Learners: []protocol.Peer{learner},
		}},
	}
	return leader, learner, stranger, d
}

func startLearner(self protocol.Peer, now time.Duration, d DurableState) *Replica {
	return New(Config{
		Name: "g", Self: self, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		Rand:  func(int64) int64 { return 0 },
		Admit: func(string) bool { return true }, Voters: openVoters,
	}, now, d)
}

// stepVoteRequest delivers a vote request for term 4 and returns the replies to it.
func stepVoteRequest(r *Replica, now time.Duration, from protocol.Peer) (ready Ready, replies []protocol.Consensus) {
	r.Step(now, protocol.Consensus{
		Name: "g", Group: 7, Kind: protocol.MsgVote, From: from, To: r.cfg.Self, Term: 4, Index: 9, LogTerm: 3,
	})
	ready = r.Ready()
	r.Advance()
	for _, m := range ready.Messages {
		if m.Kind == protocol.MsgVoteReply {
			replies = append(replies, m)
		}
	}
	return ready, replies
}

// TestLearnerRespectsLease guards against two leaders with a lease. The leader may count the learner as a voter already,
// so the learner must ignore candidates as long as a voter does.
func TestLearnerRespectsLease(t *testing.T) {
	is := is.New(t)
	leader, self, candidate, d := learnerGroup()
	r := startLearner(self, 0, d)
	now := 3 * testElection
	r.Step(now, protocol.Consensus{
		Name: "g", Group: 7, Kind: protocol.MsgAppend, From: leader, To: self, Term: 3, Index: 9, LogTerm: 3,
	})
	r.Ready()
	r.Advance()
	_, replies := stepVoteRequest(r, now+testElection-1, candidate)
	is.Equal(len(replies), 0)
	is.Equal(r.Status().Term, uint64(3)) // nor does it adopt the candidate's term
	_, replies = stepVoteRequest(r, now+testElection, candidate)
	is.Equal(len(replies), 1)
	is.True(!replies[0].Reject)
}

// TestLearnerVotesOnceATerm guards against two leaders in a term: a learner that has voted does not vote for another
// candidate of that term, also after a restart.
func TestLearnerVotesOnceATerm(t *testing.T) {
	is := is.New(t)
	leader, self, candidate, d := learnerGroup()
	r := startLearner(self, 0, d)
	ready, replies := stepVoteRequest(r, testElection, candidate)
	is.Equal(len(replies), 1)
	is.True(!replies[0].Reject)
	is.True(ready.Hard != nil) // written before the reply is sent
	is.Equal(*ready.Hard, protocol.HardState{Term: 4, Vote: candidate})
	_, replies = stepVoteRequest(r, testElection, leader)
	is.Equal(len(replies), 1)
	is.True(replies[0].Reject)
	d.Hard = *ready.Hard
	r = startLearner(self, 2*testElection, d)
	_, replies = stepVoteRequest(r, 3*testElection, leader)
	is.Equal(len(replies), 1)
	is.True(replies[0].Reject)
}

// TestReplicaWithoutLogNeverVotes guards against two leaders in a term: a replica that has received a part of a snapshot
// forgets its term and vote if its repair stops.
func TestReplicaWithoutLogNeverVotes(t *testing.T) {
	is := is.New(t)
	leader, self, candidate, d := learnerGroup()
	r := startLearner(self, 0, DurableState{})
	part := d.Snapshot
	part.Data = []byte("half")
	r.Step(0, protocol.Consensus{
		Name: "g", Group: 7, Kind: protocol.MsgSnapshot, From: leader, To: self, Term: 3, Snapshot: &part, Total: 8,
	})
	r.Ready()
	r.Advance()
	_, replies := stepVoteRequest(r, 2*testElection, candidate)
	is.Equal(len(replies), 0)
	is.Equal(r.Status().Term, uint64(3))
}
