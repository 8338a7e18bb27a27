// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what is handed over between replicas in one go: a
// snapshot, piece by piece, and leadership.

// outgoingSnapshot is a snapshot on its way to one follower. It is held by
// value, so that compaction meanwhile does not mix two snapshots.
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

func (n *Node) startSnapshot(p protocol.Peer, pr *progress) {
	pr.outgoing = &outgoingSnapshot{snapshot: n.log.snapshot}
	n.sendPiece(p, pr)
}

func (n *Node) sendPiece(p protocol.Peer, pr *progress) {
	out := pr.outgoing
	data := out.snapshot.Data
	end := min(out.offset+uint64(n.cfg.MaxPiece), uint64(len(data)))
	piece := out.snapshot
	piece.Data = data[out.offset:end]
	pr.sent = n.now
	n.send(protocol.Consensus{
		Kind: protocol.MsgSnapshot, To: p, Snapshot: &piece, Sent: int64(n.now),
		Offset: out.offset, Total: uint64(len(data)), Commit: n.commit,
	})
}

func (n *Node) stepSnapshot(m protocol.Consensus) {
	if n.role == Leader || m.Snapshot == nil {
		return
	}
	n.heardLeader(m.From)
	s := m.Snapshot
	reply := protocol.Consensus{Kind: protocol.MsgSnapshotReply, To: m.From, Sent: m.Sent, Index: s.Index}
	if s.Index <= n.commit && n.log.snapshot.Group != 0 {
		reply.Kind, reply.Index = protocol.MsgAppendReply, n.commit
		n.send(reply)
		return
	}
	if n.takePiece(m) {
		n.install(protocol.Snapshot{
			Group: s.Group, Index: s.Index, Term: s.Term, Members: s.Members, Data: n.incoming.data,
		})
		reply.Kind = protocol.MsgAppendReply
		n.incoming = nil
	} else {
		reply.Offset = uint64(len(n.incoming.data))
	}
	n.send(reply)
}

// takePiece adds one piece and reports whether the snapshot is whole.
func (n *Node) takePiece(m protocol.Consensus) bool {
	in, s := n.incoming, m.Snapshot
	if in == nil || in.from != m.From || in.index != s.Index || in.term != s.Term {
		n.incoming = &incomingSnapshot{from: m.From, index: s.Index, term: s.Term}
		in = n.incoming
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, s.Data...)
	}
	return uint64(len(in.data)) >= m.Total
}

// install replaces the whole log by a snapshot.
func (n *Node) install(s protocol.Snapshot) {
	n.log = newMemLog(s, nil)
	n.commit, n.applied = s.Index, s.Index
	n.unwritten = s.Index + 1
	n.pending.Snapshot, n.pending.Restore = &s, &s
	n.pending.Committed = nil
	n.hardChanged = true // the disk is rewritten, hard state included
}

func (n *Node) stepSnapshotReply(m protocol.Consensus) {
	pr := n.peers[m.From]
	if n.role != Leader || pr == nil || pr.outgoing == nil || pr.outgoing.snapshot.Index != m.Index {
		return
	}
	pr.acked = max(pr.acked, time.Duration(m.Sent))
	pr.outgoing.offset = min(m.Offset, uint64(len(pr.outgoing.snapshot.Data)))
	n.sendPiece(m.From, pr)
}

// Transfer hands leadership to the voter of that name, or with an empty name
// to the voter that was heard last. It reports whether a handover is under
// way: not if this replica does not lead or nobody else can.
func (n *Node) Transfer(name string) bool {
	if n.role != Leader || !n.transferTo.IsZero() {
		return n.role == Leader
	}
	var best protocol.Peer
	for _, p := range n.log.members().Voters {
		if p == n.cfg.Self || (name != "" && p.Name != name) {
			continue
		}
		if best.IsZero() || n.better(p, best) {
			best = p
		}
	}
	if best.IsZero() {
		return false
	}
	n.transferTo = best
	n.transferEnd = n.now + n.cfg.Election
	n.tryHandover()
	return true
}

// better reports whether p was heard more recently than q, or has more.
func (n *Node) better(p, q protocol.Peer) bool {
	a, b := n.peers[p], n.peers[q]
	if a.acked != b.acked {
		return a.acked > b.acked
	}
	return a.match > b.match
}

// tryHandover tells the successor to campaign once it holds everything. From
// then on this leader's lease is void.
func (n *Node) tryHandover() {
	pr := n.peers[n.transferTo]
	if pr == nil || pr.match < n.log.last() {
		return
	}
	n.leaseLost = true
	n.send(protocol.Consensus{Kind: protocol.MsgCampaignNow, To: n.transferTo})
}

// endTransfer gives up on a successor that did not campaign in time. If it was
// told to, its campaign may still come, so this leader cannot earn its lease
// back within the term and steps down.
func (n *Node) endTransfer() {
	n.transferTo = protocol.Peer{}
	if n.leaseLost {
		n.becomeFollower(n.hard.Term, protocol.Peer{})
	}
}

func (n *Node) stepCampaignNow(m protocol.Consensus) {
	if n.role == Leader || m.From != n.leader || !n.isVoter(n.cfg.Self) {
		return
	}
	n.campaign(Candidate, true)
}
