// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines log replication, commitment and the leader's lease.

// progress is the leader's record of one replica.
type progress struct {
	match         uint64        // highest index that the replica reported as durable
	next          uint64        // next index to send
	probing       bool          // next is an estimate: at most one message is in flight
	probeInFlight bool          // a probe awaits its reply
	inflight      int           // appends without a reply
	ackedSendTime time.Duration // send time, on the leader's clock, of the newest message with a reply
	sentAt        time.Duration // time of the last message
	roundTrip     time.Duration // round-trip time of the newest reply
	syncTime      time.Duration // time to make entries durable, as last reported
	outgoing      *outgoingSnapshot
}

// appendOwn appends an entry of this leader's term.
func (r *Replica) appendOwn(kind protocol.EntryKind, data []byte) protocol.Entry {
	e := protocol.Entry{Term: r.hard.Term, Index: r.log.lastIndex() + 1, Kind: kind, Data: data}
	r.log.append(e)
	if kind == protocol.EntryMembership {
		r.syncPeers()
	}
	return e
}

// syncPeers updates the progress table to hold exactly the members.
func (r *Replica) syncPeers() {
	m := r.log.members()
	all := slices.Concat(m.Voters, m.Learners)
	for _, p := range all {
		if r.peers[p] == nil {
			r.peers[p] = &progress{next: r.log.lastIndex() + 1, probing: true, ackedSendTime: r.now}
		}
	}
	maps.DeleteFunc(r.peers, func(p protocol.Peer, _ *progress) bool { return !slices.Contains(all, p) })
	if self := r.peers[r.cfg.Self]; self != nil {
		self.match = r.firstUnwritten - 1
	}
}

// tickLeader steps down without a majority (check-quorum), cancels a leadership
// transfer that timed out, sends heartbeats and starts a membership change that is due.
func (r *Replica) tickLeader() {
	if r.now >= r.lastQuorumContact()+r.cfg.ElectionTimeout {
		r.recordEnd(EndedWithoutQuorum)
		r.becomeFollower(r.hard.Term, protocol.Peer{})
		return
	}
	if !r.transferTo.IsZero() && r.now >= r.transferDeadline {
		r.abortTransfer()
		return
	}
	if r.now >= r.nextHeartbeat {
		r.nextHeartbeat = r.now + r.cfg.HeartbeatInterval
		for _, p := range r.otherMembers() {
			r.sendHeartbeat(p, r.peers[p])
		}
	}
	r.tickMembership()
}

// otherMembers returns the members other than this replica. The order does not depend
// on map iteration, so that a run can be repeated.
func (r *Replica) otherMembers() []protocol.Peer {
	m := r.log.members()
	all := slices.Concat(m.Voters, m.Learners)
	return slices.DeleteFunc(all, func(p protocol.Peer) bool { return p == r.cfg.Self })
}

// sendHeartbeat sends an append, even without new entries. A message without a reply
// within an election timeout counts as lost.
func (r *Replica) sendHeartbeat(p protocol.Peer, pr *progress) {
	if r.now-pr.sentAt >= r.cfg.ElectionTimeout || pr.probeInFlight {
		pr.probing, pr.probeInFlight, pr.inflight = true, false, 0
		if pr.outgoing != nil {
			r.sendChunk(p, pr)
			return
		}
		pr.next = max(min(pr.next, r.log.lastIndex()+1), pr.match+1)
	}
	if pr.outgoing == nil {
		r.sendAppend(p, pr)
	}
}

// sendAppends sends new entries to every replica that can accept more.
func (r *Replica) sendAppends() {
	for _, p := range r.otherMembers() {
		pr := r.peers[p]
		for r.canSend(pr) {
			r.sendAppend(p, pr)
		}
	}
}

func (r *Replica) canSend(pr *progress) bool {
	if pr.outgoing != nil || pr.next > r.log.lastIndex() {
		return false
	}
	if pr.probing {
		return !pr.probeInFlight
	}
	return pr.inflight < r.cfg.MaxInflight
}

// sendAppend sends one message: the next entries, or a snapshot if the log no
// longer holds the entry before them.
func (r *Replica) sendAppend(p protocol.Peer, pr *progress) {
	prev := pr.next - 1
	prevTerm, ok := r.log.term(prev)
	if !ok {
		r.startSnapshot(p, pr)
		return
	}
	entries := r.log.entriesFrom(pr.next, r.cfg.MaxAppend)
	pr.sentAt = r.now
	if pr.probing {
		pr.probeInFlight = true
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

// followLeader records a message from the leader of this term.
func (r *Replica) followLeader(p protocol.Peer) {
	if r.role != Follower || r.leader != p {
		r.becomeFollower(r.hard.Term, p)
	}
	r.lastLeaderContact = r.now
	r.contacts = nil
	r.resetElectionTimer()
}

func (r *Replica) stepAppend(m protocol.Consensus) {
	if r.role == Leader {
		return // cannot happen: a term has at most one leader
	}
	r.followLeader(m.From)
	reply := protocol.Consensus{Kind: protocol.MsgAppendReply, To: m.From, Sent: m.Sent}
	if r.log.snapshot.Group == 0 {
		reply.Reject = true // a blank replica needs a snapshot first
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
	r.appendMissing(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, reply.Index))
	r.send(reply)
}

// skipCommitted removes the entries that are already committed here: committed
// entries match by definition, and the log may no longer hold them.
func (r *Replica) skipCommitted(m protocol.Consensus) protocol.Consensus {
	skip := min(r.commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = r.commit
	m.LogTerm, _ = r.log.term(r.commit)
	return m
}

// appendMissing appends the entries that the log does not hold yet. It leaves
// existing entries in place: a delayed message must not truncate newer entries.
func (r *Replica) appendMissing(entries []protocol.Entry) {
	for _, e := range entries {
		if t, ok := r.log.term(e.Index); ok && t == e.Term {
			continue
		}
		r.log.append(e)
		r.firstUnwritten = min(r.firstUnwritten, e.Index)
	}
}

// conflictHint returns the highest index at which this log may match a log that
// has the given term at index.
func (r *Replica) conflictHint(index, term uint64) uint64 {
	hint := min(index-1, r.log.lastIndex())
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
	pr.ackedSendTime = max(pr.ackedSendTime, time.Duration(m.Sent))
	pr.roundTrip = r.now - time.Duration(m.Sent)
	pr.syncTime = time.Duration(m.Sync)
	if m.Reject {
		r.backtrack(pr, m)
		return
	}
	pr.inflight = max(pr.inflight-1, 0)
	if pr.outgoing != nil && m.Index >= pr.outgoing.snapshot.Index {
		pr.outgoing = nil
		pr.probing = true
	}
	if pr.probing {
		pr.probing, pr.probeInFlight, pr.inflight = false, false, 0
		pr.next = m.Index + 1
	}
	pr.next = max(pr.next, m.Index+1)
	if m.Index > pr.match {
		pr.match = m.Index
		r.advanceCommit()
	}
	if m.From == r.transferTo {
		r.trySendCampaignNow()
	}
}

// FollowerProgress reports, at the leader, whether another replica holds the whole log and replied
// within half an election timeout, and the time that it takes to make entries durable, or zero if
// unknown.
func (r *Replica) FollowerProgress(p protocol.Peer) (caughtUp bool, syncTime time.Duration) {
	pr := r.peers[p]
	if r.role != Leader || pr == nil {
		return false, 0
	}
	return pr.match >= r.log.lastIndex() && r.now-pr.ackedSendTime <= r.cfg.ElectionTimeout/2, pr.syncTime
}

// backtrack moves next back to where the follower's log may match.
func (r *Replica) backtrack(pr *progress, m protocol.Consensus) {
	pr.probing, pr.probeInFlight, pr.inflight = true, false, 0
	if m.Hint < pr.match && m.Index <= pr.match {
		return // a delayed reply: durable entries are never lost
	}
	pr.next = max(min(m.Hint+1, r.log.lastIndex()+1), pr.match+1)
}

// advanceCommit commits the entries that a majority of the voters holds on disk.
// Only entries of the leader's own term are counted (Raft, section 3.6.2).
func (r *Replica) advanceCommit() {
	index := quorumValue(r, func(p protocol.Peer) uint64 { return r.peers[p].match })
	if t, ok := r.log.term(index); ok && t == r.hard.Term && index > r.commit {
		r.commitTo(index)
		r.nextHeartbeat = r.now // the next tick sends the commit index to the followers
		r.stepDownIfRemoved()
	}
}

// quorumValue returns the highest value that a majority of the voters has reached,
// or zero in a group without voters.
func quorumValue[T cmp.Ordered](r *Replica, valueOf func(protocol.Peer) T) T {
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

func (r *Replica) commitTo(index uint64) { r.commit = max(r.commit, min(index, r.log.lastIndex())) }

// lastQuorumContact returns the newest time for which a majority, including this
// leader, has confirmed the leadership.
func (r *Replica) lastQuorumContact() time.Duration {
	return quorumValue(r, func(p protocol.Peer) time.Duration {
		if p == r.cfg.Self {
			return r.now
		}
		return r.peers[p].ackedSendTime
	})
}

// DriftMargin is the fraction of the election timeout by which a lease is shortened. It bounds the
// difference in speed between the clocks of two boxes.
const DriftMargin = 0.1

// leaseEnd returns the time at which this leader must stop acting as one, or zero
// without a lease. Until then no other replica can win an election, because a
// majority ignores vote requests for an election timeout after a message from this
// leader.
func (r *Replica) leaseEnd() time.Duration {
	if r.role != Leader || r.leaseVoid {
		return 0
	}
	lease := time.Duration(float64(r.cfg.ElectionTimeout) * (1 - DriftMargin))
	return r.lastQuorumContact() + lease
}
