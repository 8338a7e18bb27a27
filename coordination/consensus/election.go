// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines elections: the transitions between follower, candidate and leader.

// resetElectionTimer sets the next time to campaign at random, one to two election
// timeouts from now.
func (r *Replica) resetElectionTimer() {
	r.campaignAt = r.now + r.cfg.ElectionTimeout + time.Duration(r.cfg.Rand(int64(r.cfg.ElectionTimeout)))
}

// becomeFollower follows leader, which is zero if unknown, in a term that is not
// lower than the current one.
func (r *Replica) becomeFollower(term uint64, leader protocol.Peer) {
	vote := r.hard.Vote
	if term > r.hard.Term {
		vote = protocol.Peer{}
	}
	r.setHard(term, vote)
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.peers = nil
	r.transferTo = protocol.Peer{}
	r.leaseVoid = false
	r.resetElectionTimer()
}

// preVotesPerElection is the highest number of times that a pre-candidate sends its requests in an
// election timeout. Frequent requests shorten the election after all replicas restarted
// one after the other (TestStaggeredRestartElectsLeaderSoon).
const preVotesPerElection = 4

// resetPreVoteTimer sets the next time to request pre-votes at random. The interval is
// short: pre-votes change no state, and replicas that have just started ignore them
// for an election timeout, because they may have followed a leader before they stopped.
func (r *Replica) resetPreVoteTimer() {
	pause := r.cfg.ElectionTimeout / preVotesPerElection
	r.campaignAt = r.now + pause + time.Duration(r.cfg.Rand(int64(pause)))
}

// campaign requests votes. A pre-candidate only checks whether it could win, and
// does not raise the term. force marks an election that the leader itself requested.
func (r *Replica) campaign(role Role, force bool) {
	r.role = role
	r.leader = protocol.Peer{}
	if role == PreCandidate {
		r.resetPreVoteTimer()
	} else {
		r.resetElectionTimer()
	}
	kind, term := protocol.MsgPreVote, r.hard.Term+1
	if role == Candidate {
		kind = protocol.MsgVote
		r.setHard(term, r.cfg.Self)
	}
	r.votes = map[protocol.Peer]bool{r.cfg.Self: true}
	if r.hasVoteQuorum() {
		r.advanceElection()
		return
	}
	for _, p := range r.log.members().Voters {
		if p == r.cfg.Self {
			continue
		}
		r.send(protocol.Consensus{
			Kind: kind, To: p, Term: term, Force: force,
			Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
		})
	}
}

// advanceElection turns a pre-candidate into a candidate and a candidate into the leader.
func (r *Replica) advanceElection() {
	if r.role == PreCandidate {
		r.campaign(Candidate, false)
		return
	}
	r.becomeLeader()
}

func (r *Replica) hasVoteQuorum() bool {
	granted := 0
	for _, p := range r.log.members().Voters {
		if r.votes[p] {
			granted++
		}
	}
	return granted >= r.quorum()
}

// ignoresVoteRequest reports whether this replica must drop a vote request: it has no log,
// so that it would forget its vote (see RepairStopped), or it received a message from a
// leader within an election timeout. The request is dropped and not rejected, so that this
// replica does not adopt the candidate's term.
//
// The membership in this replica's log does not matter, neither for itself nor for the
// candidate: the change that made either a voter may not have arrived yet, and the
// candidate may need the vote (Raft, section 4.2.2). The candidate counts the votes of its
// own voters only. A leader repairs a candidate that is not a member.
func (r *Replica) ignoresVoteRequest(m protocol.Consensus) bool {
	if m.Kind != protocol.MsgPreVote && m.Kind != protocol.MsgVote {
		return false
	}
	if r.log.snapshot.Group == 0 {
		return true
	}
	r.stepJoin(m)
	if m.Force {
		return false
	}
	if r.role == Leader {
		return r.now < r.leaseEnd()
	}
	return r.now-r.lastLeaderContact < r.cfg.ElectionTimeout
}

// raisesTerm reports whether this replica adopts the higher term of a message. The
// term of a pre-vote request is hypothetical: no replica has adopted it yet, and a
// granted pre-vote echoes it.
func raisesTerm(m protocol.Consensus) bool {
	switch m.Kind {
	case protocol.MsgPreVote:
		return false
	case protocol.MsgPreVoteReply:
		return m.Reject
	}
	return true
}

// replyToOldTerm replies to a leader or candidate of an old term with the current term.
func (r *Replica) replyToOldTerm(m protocol.Consensus) {
	switch m.Kind {
	case protocol.MsgAppend, protocol.MsgSnapshot:
		r.send(protocol.Consensus{Kind: protocol.MsgAppendReply, To: m.From, Reject: true, Hint: r.log.lastIndex()})
	case protocol.MsgPreVote:
		r.send(protocol.Consensus{Kind: protocol.MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// stepVote grants its vote to the first candidate of a term whose log is at least as
// up to date as its own, and a pre-vote to every such candidate.
func (r *Replica) stepVote(m protocol.Consensus) {
	upToDate := m.LogTerm > r.log.lastTerm() ||
		(m.LogTerm == r.log.lastTerm() && m.Index >= r.log.lastIndex())
	if m.Kind == protocol.MsgPreVote {
		reply := protocol.Consensus{Kind: protocol.MsgPreVoteReply, To: m.From, Term: m.Term}
		if !upToDate || m.Term <= r.hard.Term {
			reply.Term, reply.Reject = r.hard.Term, true
		}
		r.send(reply)
		if !reply.Reject && r.role == PreCandidate && r.yieldsTo(m) {
			r.role, r.votes = Follower, nil
			r.resetElectionTimer()
		}
		return
	}
	canVote := r.hard.Vote.IsZero() || r.hard.Vote == m.From
	grant := upToDate && canVote
	if grant {
		r.setHard(r.hard.Term, m.From)
		r.resetElectionTimer()
	}
	r.send(protocol.Consensus{Kind: protocol.MsgVoteReply, To: m.From, Reject: !grant})
}

// yieldsTo reports whether this pre-candidate leaves the election to another one whose log is at
// least as up to date. Otherwise all replicas without a leader grant each other pre-votes and
// become candidates in the same term, more often the longer messages take. The votes then split,
// and the next attempt begins an election timeout later.
func (r *Replica) yieldsTo(m protocol.Consensus) bool {
	newer := m.LogTerm > r.log.lastTerm() || m.Index > r.log.lastIndex()
	return newer || m.From.Name < r.cfg.Self.Name
}

func (r *Replica) stepVoteReply(m protocol.Consensus) {
	role, term := Candidate, r.hard.Term
	if m.Kind == protocol.MsgPreVoteReply {
		role, term = PreCandidate, r.hard.Term+1
	}
	if r.role != role || m.Reject || m.Term != term {
		return
	}
	r.votes[m.From] = true
	if r.hasVoteQuorum() {
		r.advanceElection()
	}
}

// becomeLeader begins the term with a no-op, whose commitment also commits the
// entries of earlier terms (see advanceCommit).
func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.cfg.Self
	r.votes = nil
	r.transferTo = protocol.Peer{}
	r.leaseVoid = false
	r.peers = map[protocol.Peer]*progress{}
	r.syncPeers()
	r.nextHeartbeat, r.grewAt = r.now, r.now
	r.noopIndex = r.appendOwn(protocol.EntryCommand, nil).Index
}
