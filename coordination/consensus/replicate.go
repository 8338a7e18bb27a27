// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how a leader's log reaches the others, when an entry is
// committed, and how long the leader may believe that it still leads.

// progress is what a leader knows of one replica.
type progress struct {
	match    uint64        // highest index known to be durable there
	next     uint64        // next index to send
	probing  bool          // match is a guess: one message at a time
	waiting  bool          // a probe is unanswered
	inflight int           // unanswered appends
	acked    time.Duration // leader's clock stamped on the newest answered message
	sent     time.Duration // when something was last sent
	outgoing *outgoingSnapshot
}

// appendOwn appends an entry of this leader's term.
func (n *Node) appendOwn(kind protocol.EntryKind, data []byte) protocol.Entry {
	e := protocol.Entry{Term: n.hard.Term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(e)
	if kind == protocol.EntryMembership {
		n.syncPeers()
	}
	return e
}

// syncPeers makes the progress table hold exactly the members.
func (n *Node) syncPeers() {
	m := n.log.members()
	all := append(slices.Clone(m.Voters), m.Learners...)
	for _, p := range all {
		if n.peers[p] == nil {
			n.peers[p] = &progress{next: n.log.last() + 1, probing: true, acked: n.now}
		}
	}
	for p := range n.peers {
		if !contains(all, p) {
			delete(n.peers, p)
		}
	}
	if self := n.peers[n.cfg.Self]; self != nil {
		self.match = n.unwritten - 1
	}
}

func (n *Node) tickLeader() {
	if n.now >= n.lastQuorumContact()+n.cfg.Election {
		n.becomeFollower(n.hard.Term, protocol.Peer{}) // check-quorum
		return
	}
	if !n.transferTo.IsZero() && n.now >= n.transferEnd {
		n.endTransfer()
		return
	}
	if n.now >= n.nextBeat {
		n.nextBeat = n.now + n.cfg.Heartbeat
		for _, p := range n.others() {
			n.beat(p, n.peers[p])
		}
	}
	n.promoteLearner()
	n.dropSilentLearner()
}

// others returns the replicas to send to, in an order that does not depend on
// the map.
func (n *Node) others() []protocol.Peer {
	m := n.log.members()
	all := append(slices.Clone(m.Voters), m.Learners...)
	return slices.DeleteFunc(all, func(p protocol.Peer) bool { return p == n.cfg.Self })
}

// beat sends an append even when there is nothing new. An answer that does
// not come within an election timeout counts as lost.
func (n *Node) beat(p protocol.Peer, pr *progress) {
	if n.now-pr.sent >= n.cfg.Election || pr.waiting {
		pr.probing, pr.waiting, pr.inflight = true, false, 0
		if pr.outgoing != nil {
			n.sendPiece(p, pr)
			return
		}
		pr.next = max(min(pr.next, n.log.last()+1), pr.match+1)
	}
	if pr.outgoing == nil {
		n.sendAppend(p, pr)
	}
}

// sendAppends sends what is new to everybody who can take it.
func (n *Node) sendAppends() {
	for _, p := range n.others() {
		pr := n.peers[p]
		for n.canSend(pr) {
			n.sendAppend(p, pr)
		}
	}
}

func (n *Node) canSend(pr *progress) bool {
	if pr.outgoing != nil || pr.next > n.log.last() {
		return false
	}
	if pr.probing {
		return !pr.waiting
	}
	return pr.inflight < n.cfg.MaxInflight
}

// sendAppend sends one message: entries if there are any, a snapshot when the
// log no longer reaches back far enough.
func (n *Node) sendAppend(p protocol.Peer, pr *progress) {
	prev := pr.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.startSnapshot(p, pr)
		return
	}
	entries := n.log.from(pr.next, n.cfg.MaxAppend)
	pr.sent = n.now
	if pr.probing {
		pr.waiting = true
	} else {
		pr.next += uint64(len(entries))
	}
	if len(entries) > 0 {
		pr.inflight++
	}
	n.send(protocol.Consensus{
		Kind: protocol.MsgAppend, To: p, Index: prev, LogTerm: prevTerm,
		Commit: n.commit, Entries: entries, Sent: int64(n.now),
	})
}

// heardLeader records that the leader of this term is alive.
func (n *Node) heardLeader(p protocol.Peer) {
	if n.role != Follower || n.leader != p {
		n.becomeFollower(n.hard.Term, p)
	}
	n.leaderSeen = n.now
	n.resetDeadline()
}

func (n *Node) stepAppend(m protocol.Consensus) {
	if n.role == Leader {
		return // two leaders in one term cannot be; never obey
	}
	n.heardLeader(m.From)
	reply := protocol.Consensus{Kind: protocol.MsgAppendReply, To: m.From, Sent: m.Sent}
	if n.log.snapshot.Group == 0 {
		reply.Reject = true // a blank log starts with a snapshot
		n.send(reply)
		return
	}
	if m.Index < n.commit {
		m = n.skipCommitted(m)
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = n.conflictHint(m.Index, m.LogTerm)
		n.send(reply)
		return
	}
	n.accept(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, reply.Index))
	n.send(reply)
}

// skipCommitted cuts off what is committed here already: committed entries
// match by definition, and the log may no longer hold them.
func (n *Node) skipCommitted(m protocol.Consensus) protocol.Consensus {
	skip := min(n.commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = n.commit
	m.LogTerm, _ = n.log.term(n.commit)
	return m
}

// accept appends the entries that the log does not hold yet. An entry that is
// held already is left alone: an old message must not cut off newer entries.
func (n *Node) accept(entries []protocol.Entry) {
	for _, e := range entries {
		if t, ok := n.log.term(e.Index); ok && t == e.Term {
			continue
		}
		n.log.append(e)
		n.unwritten = min(n.unwritten, e.Index)
	}
}

// conflictHint returns the highest index at which this log could agree with
// one that has term at index.
func (n *Node) conflictHint(index, term uint64) uint64 {
	hint := min(index-1, n.log.last())
	for hint > n.commit {
		t, ok := n.log.term(hint)
		if !ok || t <= term {
			break
		}
		hint--
	}
	return hint
}

func (n *Node) stepAppendReply(m protocol.Consensus) {
	pr := n.peers[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	pr.acked = max(pr.acked, time.Duration(m.Sent))
	if m.Reject {
		n.retreat(pr, m)
		return
	}
	pr.inflight = max(pr.inflight-1, 0)
	if pr.outgoing != nil && m.Index >= pr.outgoing.snapshot.Index {
		pr.outgoing = nil
		pr.probing = true
	}
	if pr.probing {
		pr.probing, pr.waiting, pr.inflight = false, false, 0
		pr.next = m.Index + 1
	}
	pr.next = max(pr.next, m.Index+1)
	if m.Index > pr.match {
		pr.match = m.Index
		n.advanceCommit()
	}
	if m.From == n.transferTo {
		n.tryHandover()
	}
}

// retreat finds out how far a follower's log agrees.
func (n *Node) retreat(pr *progress, m protocol.Consensus) {
	pr.probing, pr.waiting, pr.inflight = true, false, 0
	if m.Hint < pr.match && m.Index <= pr.match {
		return // an old answer: durable entries do not go away
	}
	pr.next = max(min(m.Hint+1, n.log.last()+1), pr.match+1)
}

// advanceCommit commits what a majority of the voters holds on disk. Only
// entries of the leader's own term are counted (Raft, section 3.6.2).
func (n *Node) advanceCommit() {
	voters := n.log.members().Voters
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, 0, len(voters))
	for _, p := range voters {
		matches = append(matches, n.peers[p].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorum()]
	if t, ok := n.log.term(index); ok && t == n.hard.Term && index > n.commit {
		n.commitTo(index)
		n.nextBeat = n.now // tell the followers with the next tick
		n.stepDownIfRemoved()
	}
}

func (n *Node) commitTo(index uint64) { n.commit = max(n.commit, min(index, n.log.last())) }

// lastQuorumContact returns the newest time at which a majority, this leader
// included, is known to have followed it.
func (n *Node) lastQuorumContact() time.Duration {
	voters := n.log.members().Voters
	times := make([]time.Duration, 0, len(voters))
	for _, p := range voters {
		if p == n.cfg.Self {
			times = append(times, n.now)
			continue
		}
		if pr := n.peers[p]; pr != nil {
			times = append(times, pr.acked)
		}
	}
	if len(times) < n.quorum() {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-n.quorum()]
}

// leaseEnd returns when this leader must stop believing that it leads. Until
// then no other replica can have won an election: a majority has promised not
// to vote for an election timeout after hearing from this leader.
func (n *Node) leaseEnd() time.Duration {
	if n.role != Leader || n.leaseLost {
		return 0
	}
	lease := time.Duration(float64(n.cfg.Election) * (1 - DriftMargin))
	return n.lastQuorumContact() + lease
}
