// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how a replica becomes candidate, leader and follower.

// resetDeadline draws the next time to campaign, between one and two election
// timeouts from now.
func (r *Replica) resetDeadline() {
	r.deadline = r.now + r.cfg.Election + time.Duration(r.cfg.Rand(int64(r.cfg.Election)))
}

// becomeFollower follows leader, or none yet, in a term that is not lower.
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
	r.leaseLost = false
	r.resetDeadline()
}

// preVoteParts is how many times in an election timeout, at most, a pre-candidate repeats its
// requests, so that a restart in turn elects soon (TestRestartInTurnElectsSoon).
const preVoteParts = 4

// resetPreVote draws the next time to request pre-votes. It is soon: pre-votes
// change nothing, and replicas that have just started drop them for an election
// timeout, because before they stopped they may have followed a leader.
func (r *Replica) resetPreVote() {
	pause := r.cfg.Election / preVoteParts
	r.deadline = r.now + pause + time.Duration(r.cfg.Rand(int64(pause)))
}

// campaign requests votes. A pre-candidate finds out whether it could win and
// changes no term; force marks an election that the leader itself requested.
func (r *Replica) campaign(role Role, force bool) {
	r.role = role
	r.leader = protocol.Peer{}
	if role == PreCandidate {
		r.resetPreVote()
	} else {
		r.resetDeadline()
	}
	kind, term := protocol.MsgPreVote, r.hard.Term+1
	if role == Candidate {
		kind = protocol.MsgVote
		r.setHard(term, r.cfg.Self)
	}
	r.votes = map[protocol.Peer]bool{r.cfg.Self: true}
	if r.wonVotes() {
		r.winRound()
		return
	}
	for _, p := range r.log.members().Voters {
		if p == r.cfg.Self {
			continue
		}
		r.send(protocol.Consensus{
			Kind: kind, To: p, Term: term, Force: force,
			Index: r.log.last(), LogTerm: r.log.lastTerm(),
		})
	}
}

// winRound moves a pre-candidate to candidate and a candidate to leader.
func (r *Replica) winRound() {
	if r.role == PreCandidate {
		r.campaign(Candidate, false)
		return
	}
	r.becomeLeader()
}

func (r *Replica) wonVotes() bool {
	granted := 0
	for _, p := range r.log.members().Voters {
		if r.votes[p] {
			granted++
		}
	}
	return granted >= r.quorum()
}

// ignoredVote reports whether a request for a vote must be dropped whole: a
// leader sent something within an election timeout, or the candidate is no voter
// (then the request proves that it is alive, and the leader repairs it). Dropping,
// rather than rejecting, keeps the candidate's term out of this replica.
func (r *Replica) ignoredVote(m protocol.Consensus) bool {
	if m.Kind != protocol.MsgPreVote && m.Kind != protocol.MsgVote {
		return false
	}
	if !r.isVoter(r.cfg.Self) {
		return true
	}
	if !r.isVoter(m.From) {
		r.stepJoin(m)
		return true
	}
	if m.Force {
		return false
	}
	if r.role == Leader {
		return r.now < r.leaseEnd()
	}
	return r.now-r.leaderContact < r.cfg.Election
}

// raisesTerm reports whether a message of a higher term makes this replica
// adopt the term. The term of a pre-vote is one that no replica has yet; a granted
// pre-vote echoes it.
func raisesTerm(m protocol.Consensus) bool {
	switch m.Kind {
	case protocol.MsgPreVote:
		return false
	case protocol.MsgPreVoteReply:
		return m.Reject
	}
	return true
}

// answerOldTerm answers a leader or candidate of an old term with the newer one.
func (r *Replica) answerOldTerm(m protocol.Consensus) {
	switch m.Kind {
	case protocol.MsgAppend, protocol.MsgSnapshot:
		r.send(protocol.Consensus{Kind: protocol.MsgAppendReply, To: m.From, Reject: true, Hint: r.log.last()})
	case protocol.MsgPreVote:
		r.send(protocol.Consensus{Kind: protocol.MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// stepVote grants a vote to the first candidate of a term whose log is at least
// as new as this one; a pre-vote to any such candidate.
func (r *Replica) stepVote(m protocol.Consensus) {
	upToDate := m.LogTerm > r.log.lastTerm() ||
		(m.LogTerm == r.log.lastTerm() && m.Index >= r.log.last())
	if m.Kind == protocol.MsgPreVote {
		reply := protocol.Consensus{Kind: protocol.MsgPreVoteReply, To: m.From, Term: m.Term}
		if !upToDate || m.Term <= r.hard.Term {
			reply.Term, reply.Reject = r.hard.Term, true
		}
		r.send(reply)
		if !reply.Reject && r.role == PreCandidate && r.yields(m) {
			r.role, r.votes = Follower, nil
			r.resetDeadline()
		}
		return
	}
	free := r.hard.Vote.IsZero() || r.hard.Vote == m.From
	grant := upToDate && free
	if grant {
		r.setHard(r.hard.Term, m.From)
		r.resetDeadline()
	}
	r.send(protocol.Consensus{Kind: protocol.MsgVoteReply, To: m.From, Reject: !grant})
}

// yields reports whether this pre-candidate leaves the election to another one, whose log is
// at least as new. Else all that miss a leader grant each other pre-votes and become
// candidates of one term, the more often the longer messages take: none has a majority then,
// and the next try begins an election timeout later.
func (r *Replica) yields(m protocol.Consensus) bool {
	newer := m.LogTerm > r.log.lastTerm() || m.Index > r.log.last()
	return newer || m.From.Name < r.cfg.Self.Name
}

func (r *Replica) stepVoteReply(m protocol.Consensus) {
	wanted, term := Candidate, r.hard.Term
	if m.Kind == protocol.MsgPreVoteReply {
		wanted, term = PreCandidate, r.hard.Term+1
	}
	if r.role != wanted || m.Reject || m.Term != term {
		return
	}
	r.votes[m.From] = true
	if r.wonVotes() {
		r.winRound()
	}
}

// becomeLeader begins the term with a no-op: entries of earlier terms are
// committed with it (see advanceCommit).
func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.cfg.Self
	r.votes = nil
	r.transferTo = protocol.Peer{}
	r.leaseLost = false
	r.peers = map[protocol.Peer]*progress{}
	r.syncPeers()
	r.nextBeat = r.now
	r.termStart = r.appendOwn(protocol.EntryCommand, nil).Index
}
