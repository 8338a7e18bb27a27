// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how a replica becomes candidate, leader and follower.

// resetDeadline draws the next time to campaign, between one and two election
// timeouts from now.
func (n *Node) resetDeadline() {
	n.deadline = n.now + n.cfg.Election + time.Duration(n.cfg.Rand(int64(n.cfg.Election)))
}

func (n *Node) becomeFollower(term uint64, leader protocol.Peer) {
	vote := n.hard.Vote
	if term > n.hard.Term {
		vote = protocol.Peer{}
	}
	n.setHard(term, vote)
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.peers = nil
	n.transferTo = protocol.Peer{}
	n.leaseLost = false
	n.resetDeadline()
}

// preVoteParts is how many times in an election timeout a pre-candidate asks.
const preVoteParts = 4

// resetPreVote draws the next time to ask for pre-votes again. It is soon:
// pre-votes change nothing, and replicas that have just started drop them for
// an election timeout, because they may have promised a leader so much before.
func (n *Node) resetPreVote() {
	pause := n.cfg.Election / preVoteParts
	n.deadline = n.now + pause + time.Duration(n.cfg.Rand(int64(pause)))
}

// campaign asks for votes. A pre-candidate asks whether it could win and
// changes no term; force marks an election that the leader itself asked for.
func (n *Node) campaign(role Role, force bool) {
	n.role = role
	n.leader = protocol.Peer{}
	if role == PreCandidate {
		n.resetPreVote()
	} else {
		n.resetDeadline()
	}
	kind, term := protocol.MsgPreVote, n.hard.Term+1
	if role == Candidate {
		kind = protocol.MsgVote
		n.setHard(term, n.cfg.Self)
	}
	n.votes = map[protocol.Peer]bool{n.cfg.Self: true}
	if n.wonVotes() {
		n.winRound()
		return
	}
	for _, p := range n.log.members().Voters {
		if p == n.cfg.Self {
			continue
		}
		n.send(protocol.Consensus{
			Kind: kind, To: p, Term: term, Force: force,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// winRound moves a pre-candidate to candidate and a candidate to leader.
func (n *Node) winRound() {
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) wonVotes() bool {
	granted := 0
	for _, p := range n.log.members().Voters {
		if n.votes[p] {
			granted++
		}
	}
	return granted >= n.quorum()
}

// ignoredVote reports whether a request for a vote must be dropped whole: a
// leader was heard recently, or the asker is no voter. Dropping, rather than
// rejecting, keeps the asker's term out of this replica.
func (n *Node) ignoredVote(m protocol.Consensus) bool {
	if m.Kind != protocol.MsgPreVote && m.Kind != protocol.MsgVote {
		return false
	}
	if !n.isVoter(n.cfg.Self) {
		return true
	}
	if !n.isVoter(m.From) {
		n.stepJoin(m)
		return true
	}
	if m.Force {
		return false
	}
	if n.role == Leader {
		return n.now < n.leaseEnd()
	}
	return n.now-n.leaderSeen < n.cfg.Election
}

// raisesTerm reports whether a message of a higher term makes this replica
// adopt the term. Pre-votes speak of a term that nobody has yet; a granted
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

// answerOldTerm tells a leader or candidate of an old term that it is over.
func (n *Node) answerOldTerm(m protocol.Consensus) {
	switch m.Kind {
	case protocol.MsgAppend, protocol.MsgSnapshot:
		n.send(protocol.Consensus{Kind: protocol.MsgAppendReply, To: m.From, Reject: true, Hint: n.log.last()})
	case protocol.MsgPreVote:
		n.send(protocol.Consensus{Kind: protocol.MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) stepVote(m protocol.Consensus) {
	upToDate := m.LogTerm > n.log.lastTerm() ||
		(m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last())
	if m.Kind == protocol.MsgPreVote {
		reply := protocol.Consensus{Kind: protocol.MsgPreVoteReply, To: m.From, Term: m.Term}
		if !upToDate || m.Term <= n.hard.Term {
			reply.Term, reply.Reject = n.hard.Term, true
		}
		n.send(reply)
		return
	}
	free := n.hard.Vote.IsZero() || n.hard.Vote == m.From
	grant := upToDate && free
	if grant {
		n.setHard(n.hard.Term, m.From)
		n.resetDeadline()
	}
	n.send(protocol.Consensus{Kind: protocol.MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) stepVoteReply(m protocol.Consensus) {
	wanted, term := Candidate, n.hard.Term
	if m.Kind == protocol.MsgPreVoteReply {
		wanted, term = PreCandidate, n.hard.Term+1
	}
	if n.role != wanted || m.Reject || m.Term != term {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.winRound()
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.Self
	n.votes = nil
	n.transferTo = protocol.Peer{}
	n.leaseLost = false
	n.peers = map[protocol.Peer]*progress{}
	n.syncPeers()
	n.nextBeat = n.now
	n.termStart = n.appendOwn(protocol.EntryCommand, nil).Index
}
