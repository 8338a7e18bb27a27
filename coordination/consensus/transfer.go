// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the transfer of snapshots, in chunks, and of leadership.

// outgoingSnapshot is the transfer of a snapshot to one follower. It holds the
// snapshot by value, so that a compaction during the transfer does not mix two
// snapshots.
type outgoingSnapshot struct {
	snapshot protocol.Snapshot
	offset   uint64
}

// incomingSnapshot is the part of a snapshot that a follower has received.
type incomingSnapshot struct {
	from  protocol.Peer
	index uint64
	term  uint64
	data  []byte
}

func (r *Replica) startSnapshot(p protocol.Peer, pr *progress) {
	pr.outgoing = &outgoingSnapshot{snapshot: r.log.snapshot}
	r.sendChunk(p, pr)
}

func (r *Replica) sendChunk(p protocol.Peer, pr *progress) {
	out := pr.outgoing
	data := out.snapshot.Data
	end := min(out.offset+uint64(r.cfg.MaxChunk), uint64(len(data)))
	piece := out.snapshot
	piece.Data = data[out.offset:end]
	pr.sentAt = r.now
	r.send(protocol.Consensus{
		Kind: protocol.MsgSnapshot, To: p, Snapshot: &piece, Sent: int64(r.now),
		Offset: out.offset, Total: uint64(len(data)), Commit: r.commit,
	})
}

// stepSnapshot adds a chunk and installs the snapshot once it is complete. It replies
// to a snapshot without new entries as to an append.
func (r *Replica) stepSnapshot(m protocol.Consensus) {
	if r.role == Leader || m.Snapshot == nil {
		return
	}
	r.followLeader(m.From)
	s := m.Snapshot
	reply := protocol.Consensus{Kind: protocol.MsgSnapshotReply, To: m.From, Sent: m.Sent, Index: s.Index}
	if s.Index <= r.commit && r.log.snapshot.Group != 0 {
		reply.Kind, reply.Index = protocol.MsgAppendReply, r.commit
		r.send(reply)
		return
	}
	if r.addChunk(m) {
		r.installSnapshot(protocol.Snapshot{
			Group: s.Group, Index: s.Index, Term: s.Term, Members: s.Members, Data: r.incoming.data,
		})
		reply.Kind = protocol.MsgAppendReply
		r.incoming = nil
	} else {
		reply.Offset = uint64(len(r.incoming.data))
	}
	r.send(reply)
}

// addChunk adds one chunk and reports whether the snapshot is complete.
func (r *Replica) addChunk(m protocol.Consensus) bool {
	in, s := r.incoming, m.Snapshot
	if in == nil || in.from != m.From || in.index != s.Index || in.term != s.Term {
		r.incoming = &incomingSnapshot{from: m.From, index: s.Index, term: s.Term}
		in = r.incoming
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, s.Data...)
	}
	return uint64(len(in.data)) >= m.Total
}

// installSnapshot replaces the whole log with a snapshot.
func (r *Replica) installSnapshot(s protocol.Snapshot) {
	r.log = newMemLog(s, nil)
	r.commit, r.applied = s.Index, s.Index
	r.firstUnwritten = s.Index + 1
	r.pending.Snapshot, r.pending.Restore = &s, &s
	r.pending.Committed = nil
	r.hardChanged = true // the disk is rewritten, including the hard state
}

func (r *Replica) stepSnapshotReply(m protocol.Consensus) {
	pr := r.peers[m.From]
	if r.role != Leader || pr == nil || pr.outgoing == nil || pr.outgoing.snapshot.Index != m.Index {
		return
	}
	pr.ackedSendTime = max(pr.ackedSendTime, time.Duration(m.Sent))
	pr.outgoing.offset = min(m.Offset, uint64(len(pr.outgoing.snapshot.Data)))
	r.sendChunk(m.From, pr)
}

// Transfer starts a transfer of leadership to the named voter, or for an empty name
// to the voter that replied most recently. It reports whether a transfer is in
// progress, which requires that this replica leads and that another voter exists.
func (r *Replica) Transfer(name string) bool {
	if r.role != Leader || !r.transferTo.IsZero() {
		return r.role == Leader
	}
	var best protocol.Peer
	for _, p := range r.log.members().Voters {
		if p == r.cfg.Self || (name != "" && p.Name != name) {
			continue
		}
		if best.IsZero() || r.isBetterSuccessor(p, best) {
			best = p
		}
	}
	if best.IsZero() {
		return false
	}
	r.transferTo = best
	r.transferDeadline = r.now + r.cfg.ElectionTimeout
	r.trySendCampaignNow()
	return true
}

// isBetterSuccessor reports whether p replied more recently than q or, if both replied to
// messages of the same time, holds more of the log.
func (r *Replica) isBetterSuccessor(p, q protocol.Peer) bool {
	a, b := r.peers[p], r.peers[q]
	if a.ackedSendTime != b.ackedSendTime {
		return a.ackedSendTime > b.ackedSendTime
	}
	return a.match > b.match
}

// trySendCampaignNow sends the successor a request to campaign if the successor holds the
// whole log. The request voids this leader's lease.
func (r *Replica) trySendCampaignNow() {
	pr := r.peers[r.transferTo]
	if pr == nil || pr.match < r.log.lastIndex() {
		return
	}
	r.leaseVoid = true
	r.send(protocol.Consensus{Kind: protocol.MsgCampaignNow, To: r.transferTo})
}

// abortTransfer cancels a transfer whose successor did not campaign in time. If the
// request to campaign was sent, the campaign may still follow. The leader then cannot
// regain its lease within the term, so it steps down.
func (r *Replica) abortTransfer() {
	r.transferTo = protocol.Peer{}
	if r.leaseVoid {
		r.recordEnd(EndedByHandover)
		r.becomeFollower(r.hard.Term, protocol.Peer{})
	}
}

func (r *Replica) stepCampaignNow(m protocol.Consensus) {
	if r.role == Leader || m.From != r.leader || !r.isVoter(r.cfg.Self) {
		return
	}
	r.campaign(Candidate, true)
}
