// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what is handed over between replicas in one go: a
// snapshot, piece by piece, and leadership.

// outgoingSnapshot is a snapshot on its way to one follower. It is held by
// value, so that a compaction during the transfer does not mix two snapshots.
type outgoingSnapshot struct {
	snapshot protocol.Snapshot
	offset   uint64
}

// incomingSnapshot is what a follower has received so far.
type incomingSnapshot struct {
	from  protocol.Peer
	index uint64
	term  uint64
	data  []byte
}

func (r *Replica) startSnapshot(p protocol.Peer, pr *progress) {
	pr.outgoing = &outgoingSnapshot{snapshot: r.log.snapshot}
	r.sendPiece(p, pr)
}

func (r *Replica) sendPiece(p protocol.Peer, pr *progress) {
	out := pr.outgoing
	data := out.snapshot.Data
	end := min(out.offset+uint64(r.cfg.MaxChunk), uint64(len(data)))
	piece := out.snapshot
	piece.Data = data[out.offset:end]
	pr.sent = r.now
	r.send(protocol.Consensus{
		Kind: protocol.MsgSnapshot, To: p, Snapshot: &piece, Sent: int64(r.now),
		Offset: out.offset, Total: uint64(len(data)), Commit: r.commit,
	})
}

// stepSnapshot takes a piece of a snapshot and installs the snapshot once it is
// whole. One that covers nothing new is answered as an append would be.
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
	if r.takePiece(m) {
		r.install(protocol.Snapshot{
			Group: s.Group, Index: s.Index, Term: s.Term, Members: s.Members, Data: r.incoming.data,
		})
		reply.Kind = protocol.MsgAppendReply
		r.incoming = nil
	} else {
		reply.Offset = uint64(len(r.incoming.data))
	}
	r.send(reply)
}

// takePiece adds one piece and reports whether the snapshot is whole.
func (r *Replica) takePiece(m protocol.Consensus) bool {
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

// install replaces the whole log by a snapshot.
func (r *Replica) install(s protocol.Snapshot) {
	r.log = newMemLog(s, nil)
	r.commit, r.applied = s.Index, s.Index
	r.unwritten = s.Index + 1
	r.pending.Snapshot, r.pending.Restore = &s, &s
	r.pending.Committed = nil
	r.hardChanged = true // the disk is rewritten, hard state included
}

func (r *Replica) stepSnapshotReply(m protocol.Consensus) {
	pr := r.peers[m.From]
	if r.role != Leader || pr == nil || pr.outgoing == nil || pr.outgoing.snapshot.Index != m.Index {
		return
	}
	pr.acked = max(pr.acked, time.Duration(m.Sent))
	pr.outgoing.offset = min(m.Offset, uint64(len(pr.outgoing.snapshot.Data)))
	r.sendPiece(m.From, pr)
}

// Transfer hands leadership to the voter of that name, or with an empty name
// to the voter that answered last. It reports whether a handover is under way:
// not if this replica does not lead or no other can.
func (r *Replica) Transfer(name string) bool {
	if r.role != Leader || !r.transferTo.IsZero() {
		return r.role == Leader
	}
	var best protocol.Peer
	for _, p := range r.log.members().Voters {
		if p == r.cfg.Self || (name != "" && p.Name != name) {
			continue
		}
		if best.IsZero() || r.better(p, best) {
			best = p
		}
	}
	if best.IsZero() {
		return false
	}
	r.transferTo = best
	r.transferEnd = r.now + r.cfg.Election
	r.tryHandover()
	return true
}

// better reports whether p answered more recently than q, or holds more.
func (r *Replica) better(p, q protocol.Peer) bool {
	a, b := r.peers[p], r.peers[q]
	if a.acked != b.acked {
		return a.acked > b.acked
	}
	return a.match > b.match
}

// tryHandover makes the successor campaign once it holds everything. From then
// on this leader's lease is void.
func (r *Replica) tryHandover() {
	pr := r.peers[r.transferTo]
	if pr == nil || pr.match < r.log.last() {
		return
	}
	r.leaseLost = true
	r.send(protocol.Consensus{Kind: protocol.MsgCampaignNow, To: r.transferTo})
}

// endTransfer gives up on a successor that did not campaign in time. If the
// message to do so was sent, the campaign may still come, so this leader cannot
// get its lease back within the term and steps down.
func (r *Replica) endTransfer() {
	r.transferTo = protocol.Peer{}
	if r.leaseLost {
		r.noteEnding(EndedByHandover)
		r.becomeFollower(r.hard.Term, protocol.Peer{})
	}
}

func (r *Replica) stepCampaignNow(m protocol.Consensus) {
	if r.role == Leader || m.From != r.leader || !r.isVoter(r.cfg.Self) {
		return
	}
	r.campaign(Candidate, true)
}
