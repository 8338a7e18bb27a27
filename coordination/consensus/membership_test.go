// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestLearnerIsPromotedOnlyWhenCaughtUp checks that a leader does not promote a
// learner that replies in time but lacks the newest committed entry, nor one that
// holds the entry but is silent.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	is := is.New(t)
	a, b := protocol.Peer{Name: "a", Incarnation: 1}, protocol.Peer{Name: "b", Incarnation: 2}
	learner := protocol.Peer{Name: "c", Incarnation: 3}
	r := New(Config{
		Name: "g", Self: a, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, Rand: func(int64) int64 { return 0 },
	}, 0, DurableState{
		Hard: protocol.HardState{Term: 3},
		Snapshot: protocol.Snapshot{Group: 7, Index: 1, Term: 1, Members: protocol.Membership{
			Voters: []protocol.Peer{a, b}, Learners: []protocol.Peer{learner},
		}},
	})
	now := 2 * testElection
	reply := func(from protocol.Peer, m protocol.Consensus) {
		m.Name, m.Group, m.From, m.To, m.Term, m.Sent = "g", 7, from, a, 4, int64(now)
		r.Step(now, m)
		r.Ready()
		r.Advance()
	}
	tick := func(d time.Duration) {
		now += d
		reply(b, protocol.Consensus{Kind: protocol.MsgAppendReply, Index: r.log.lastIndex()})
		r.Tick(now)
	}
	r.Tick(now)
	reply(b, protocol.Consensus{Kind: protocol.MsgPreVoteReply})
	reply(b, protocol.Consensus{Kind: protocol.MsgVoteReply})
	tick(0)
	is.Equal(r.Status().Role, Leader)
	is.Equal(r.Status().Commit, uint64(2)) // the no-op of the term

	reply(learner, protocol.Consensus{Kind: protocol.MsgAppendReply, Index: 1})
	tick(testHeartbeat)
	is.True(!r.isVoter(learner)) // it lacks the no-op

	reply(learner, protocol.Consensus{Kind: protocol.MsgAppendReply, Index: 2})
	now += testElection
	tick(1)
	is.True(!r.isVoter(learner)) // it holds the no-op, but has been silent for an election timeout

	reply(learner, protocol.Consensus{Kind: protocol.MsgAppendReply, Index: 2})
	tick(testHeartbeat)
	is.True(r.isVoter(learner))
}
