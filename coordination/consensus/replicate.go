// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how a leader's log reaches the others, when an entry is
// committed, and how long the leader may act as one.

// progress is what a leader has learned of one replica.
type progress struct {
	match    uint64        // highest index that is durable there, by its answers
	next     uint64        // next index to send
	probing  bool          // next is a guess: one message at a time
	waiting  bool          // a probe is unanswered
	inflight int           // unanswered appends
	acked    time.Duration // leader's clock stamped on the newest answered message
	sent     time.Duration // when something was last sent
	took     time.Duration // from sending the newest answered message to its answer
	sync     time.Duration // what it takes to make entries durable, as it said last
	outgoing *outgoingSnapshot
}

// appendOwn appends an entry of this leader's term.
func (r *Replica) appendOwn(kind protocol.EntryKind, data []byte) protocol.Entry {
	e := protocol.Entry{Term: r.hard.Term, Index: r.log.last() + 1, Kind: kind, Data: data}
	r.log.append(e)
	if kind == protocol.EntryMembership {
		r.syncPeers()
	}
	return e
}

// syncPeers makes the progress table hold exactly the members.
func (r *Replica) syncPeers() {
	m := r.log.members()
	all := slices.Concat(m.Voters, m.Learners)
	for _, p := range all {
		if r.peers[p] == nil {
			r.peers[p] = &progress{next: r.log.last() + 1, probing: true, acked: r.now}
		}
	}
	maps.DeleteFunc(r.peers, func(p protocol.Peer, _ *progress) bool { return !slices.Contains(all, p) })
	if self := r.peers[r.cfg.Self]; self != nil {
		self.match = r.unwritten - 1
	}
}

// tickLeader steps down without a majority (check-quorum), gives up a handover
// that takes too long, sends heartbeats and changes the membership if one is due.
func (r *Replica) tickLeader() {
	if r.now >= r.lastQuorumContact()+r.cfg.Election {
		r.noteEnding(EndedWithoutQuorum)
		r.becomeFollower(r.hard.Term, protocol.Peer{})
		return
	}
	if !r.transferTo.IsZero() && r.now >= r.transferEnd {
		r.endTransfer()
		return
	}
	if r.now >= r.nextBeat {
		r.nextBeat = r.now + r.cfg.Heartbeat
		for _, p := range r.others() {
			r.beat(p, r.peers[p])
		}
	}
	r.tickMembership()
}

// others returns the replicas to send to, in an order that does not depend on
// the map.
func (r *Replica) others() []protocol.Peer {
	m := r.log.members()
	all := slices.Concat(m.Voters, m.Learners)
	return slices.DeleteFunc(all, func(p protocol.Peer) bool { return p == r.cfg.Self })
}

// beat sends an append even when there is nothing new. An answer that does
// not come within an election timeout counts as lost.
func (r *Replica) beat(p protocol.Peer, pr *progress) {
	if r.now-pr.sent >= r.cfg.Election || pr.waiting {
		pr.probing, pr.waiting, pr.inflight = true, false, 0
		if pr.outgoing != nil {
			r.sendPiece(p, pr)
			return
		}
		pr.next = max(min(pr.next, r.log.last()+1), pr.match+1)
	}
	if pr.outgoing == nil {
		r.sendAppend(p, pr)
	}
}

// sendAppends sends what is new to every replica that can take it.
func (r *Replica) sendAppends() {
	for _, p := range r.others() {
		pr := r.peers[p]
		for r.canSend(pr) {
			r.sendAppend(p, pr)
		}
	}
}

func (r *Replica) canSend(pr *progress) bool {
	if pr.outgoing != nil || pr.next > r.log.last() {
		return false
	}
	if pr.probing {
		return !pr.waiting
	}
	return pr.inflight < r.cfg.MaxInflight
}

// sendAppend sends one message: entries if there are any, a snapshot when the
// log no longer reaches back far enough.
func (r *Replica) sendAppend(p protocol.Peer, pr *progress) {
	prev := pr.next - 1
	prevTerm, ok := r.log.term(prev)
	if !ok {
		r.startSnapshot(p, pr)
		return
	}
	entries := r.log.from(pr.next, r.cfg.MaxAppend)
	pr.sent = r.now
	if pr.probing {
		pr.waiting = true
	} else {
		pr.next += uint64(len(entries))
	}
	if len(entries) > 0 {
		pr.inflight++
	}
	r.send(protocol.Consensus{
		Kind: protocol.MsgAppend, To: p, Index: prev, LogTerm: prevTerm,
		Commit: r.commit, Entries: entries, Sent: int64(r.now),
	})
}

// followLeader records a message of the leader of this term.
func (r *Replica) followLeader(p protocol.Peer) {
	if r.role != Follower || r.leader != p {
		r.becomeFollower(r.hard.Term, p)
	}
	r.leaderContact = r.now
	r.resetDeadline()
}

func (r *Replica) stepAppend(m protocol.Consensus) {
	if r.role == Leader {
		return // two leaders in one term cannot be
	}
	r.followLeader(m.From)
	reply := protocol.Consensus{Kind: protocol.MsgAppendReply, To: m.From, Sent: m.Sent}
	if r.log.snapshot.Group == 0 {
		reply.Reject = true // a blank log starts with a snapshot
		r.send(reply)
		return
	}
	if m.Index < r.commit {
		m = r.skipCommitted(m)
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = r.conflictHint(m.Index, m.LogTerm)
		r.send(reply)
		return
	}
	r.accept(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, reply.Index))
	r.send(reply)
}

// skipCommitted cuts off what is committed here already: committed entries
// match by definition, and the log may no longer hold them.
func (r *Replica) skipCommitted(m protocol.Consensus) protocol.Consensus {
	skip := min(r.commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = r.commit
	m.LogTerm, _ = r.log.term(r.commit)
	return m
}

// accept appends the entries that the log does not hold yet. An entry that is
// held already is left alone: an old message must not cut off newer entries.
func (r *Replica) accept(entries []protocol.Entry) {
	for _, e := range entries {
		if t, ok := r.log.term(e.Index); ok && t == e.Term {
			continue
		}
		r.log.append(e)
		r.unwritten = min(r.unwritten, e.Index)
	}
}

// conflictHint returns the highest index at which this log could agree with
// one that has term at index.
func (r *Replica) conflictHint(index, term uint64) uint64 {
	hint := min(index-1, r.log.last())
	for hint > r.commit {
		t, ok := r.log.term(hint)
		if !ok || t <= term {
			break
		}
		hint--
	}
	return hint
}

func (r *Replica) stepAppendReply(m protocol.Consensus) {
	pr := r.peers[m.From]
	if r.role != Leader || pr == nil {
		return
	}
	pr.acked = max(pr.acked, time.Duration(m.Sent))
	pr.took = r.now - time.Duration(m.Sent)
	pr.sync = time.Duration(m.Sync)
	if m.Reject {
		r.retreat(pr, m)
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
		r.advanceCommit()
	}
	if m.From == r.transferTo {
		r.tryHandover()
	}
}

// FollowerProgress reports, at the leader, whether another replica holds all of the log and has answered
// lately, and how long it takes to make entries durable; 0 if it has not said.
func (r *Replica) FollowerProgress(p protocol.Peer) (ready bool, sync time.Duration) {
	pr := r.peers[p]
	if r.role != Leader || pr == nil {
		return false, 0
	}
	return pr.match >= r.log.last() && r.now-pr.acked <= r.cfg.Election/2, pr.sync
}

// retreat moves next back to where a follower's log may agree.
func (r *Replica) retreat(pr *progress, m protocol.Consensus) {
	pr.probing, pr.waiting, pr.inflight = true, false, 0
	if m.Hint < pr.match && m.Index <= pr.match {
		return // an old answer: durable entries do not go away
	}
	pr.next = max(min(m.Hint+1, r.log.last()+1), pr.match+1)
}

// advanceCommit commits what a majority of the voters holds on disk. Only
// entries of the leader's own term are counted (Raft, section 3.6.2).
func (r *Replica) advanceCommit() {
	index := reachedByQuorum(r, func(p protocol.Peer) uint64 { return r.peers[p].match })
	if t, ok := r.log.term(index); ok && t == r.hard.Term && index > r.commit {
		r.commitTo(index)
		r.nextBeat = r.now // the followers learn of it with the next tick
		r.stepDownIfRemoved()
	}
}

// reachedByQuorum returns the highest value that a majority of the voters has
// reached, zero in a group without voters.
func reachedByQuorum[T cmp.Ordered](r *Replica, valueOf func(protocol.Peer) T) T {
	var values []T
	for _, p := range r.log.members().Voters {
		values = append(values, valueOf(p))
	}
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[len(values)-r.quorum()]
}

func (r *Replica) commitTo(index uint64) { r.commit = max(r.commit, min(index, r.log.last())) }

// lastQuorumContact returns the newest time at which a majority, this leader
// included, has confirmed that it follows.
func (r *Replica) lastQuorumContact() time.Duration {
	return reachedByQuorum(r, func(p protocol.Peer) time.Duration {
		if p == r.cfg.Self {
			return r.now
		}
		return r.peers[p].acked
	})
}

// DriftMargin is the part of the election timeout by which a lease is shortened: clocks of two boxes
// may differ in speed by that much.
const DriftMargin = 0.1

// leaseEnd returns when this leader must stop acting as one. Until then no other
// replica can have won an election: a majority refuses to vote for an election
// timeout after a message of this leader.
func (r *Replica) leaseEnd() time.Duration {
	if r.role != Leader || r.leaseLost {
		return 0
	}
	lease := time.Duration(float64(r.cfg.Election) * (1 - DriftMargin))
	return r.lastQuorumContact() + lease
}
