// SPDX-License-Identifier: Apache-2.0

package protocol

import "fmt"

// This file defines what the replicas of one group exchange to keep a replicated
// log, and what they write to their disks.

// Peer is one replica on one disk. A replica that lost its disk comes back
// under the same name and another incarnation, and is another peer.
type Peer struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// String returns "name#incarnation".
func (p Peer) String() string { return fmt.Sprintf("%s#%x", p.Name, p.Incarnation) }

// IsZero reports whether p is no replica.
func (p Peer) IsZero() bool { return p == Peer{} }

// Membership is the replicas of a group. Voters make quorums; learners
// receive the log and count for nothing.
type Membership struct {
	Voters   []Peer `cbor:"1,keyasint"`
	Learners []Peer `cbor:"2,keyasint,omitempty"`
}

// EntryKind is the meaning of an entry's data.
type EntryKind uint8

// The kinds of entry. The numbers are on the wire and on disks.
const (
	EntryCommand    EntryKind = 0 // for the state machine; empty data is a no-op
	EntryMembership EntryKind = 1 // a CBOR Membership
)

// Entry is one place of a replicated log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a replica must have on disk before it answers.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote Peer   `cbor:"2,keyasint"`
}

// Snapshot replaces a prefix of the log.
type Snapshot struct {
	Group   uint64     `cbor:"1,keyasint"` // identity of the group, fixed at its formation
	Index   uint64     `cbor:"2,keyasint"`
	Term    uint64     `cbor:"3,keyasint"`
	Members Membership `cbor:"4,keyasint"`
	Data    []byte     `cbor:"5,keyasint,omitempty"`
}

// ConsensusKind is what a consensus message requests or answers.
type ConsensusKind uint8

// The kinds of consensus message. The numbers are on the wire.
const (
	MsgPreVote       ConsensusKind = 1  // whether a vote in Term would be granted; changes nothing
	MsgPreVoteReply  ConsensusKind = 2  // granted, unless Reject; then Term is the sender's
	MsgVote          ConsensusKind = 3  // request for a vote in Term
	MsgVoteReply     ConsensusKind = 4  // granted, unless Reject
	MsgAppend        ConsensusKind = 5  // the leader's entries behind Index; none: a heartbeat
	MsgAppendReply   ConsensusKind = 6  // durable up to Index, or Reject with a Hint
	MsgSnapshot      ConsensusKind = 7  // one piece of a snapshot, from Offset on
	MsgSnapshotReply ConsensusKind = 8  // received up to Offset; MsgAppendReply once it is whole
	MsgCampaignNow   ConsensusKind = 9  // leadership transfer: campaign at once
	MsgJoin          ConsensusKind = 10 // a replica that is no member requests to become one
	MsgBlankQuery    ConsensusKind = 11 // formation: whether the receiver's disk is blank
	MsgBlankReply    ConsensusKind = 12 // blank if Group is 0, else Snapshot has the members
	MsgFound         ConsensusKind = 13 // formation: the first snapshot
)

// Consensus is a message of one replica to another of its group, whenever the step
// function of coordination/consensus has one to send.
type Consensus struct {
	Name     string        `cbor:"1,keyasint"` // of the group, such as "config"
	Group    uint64        `cbor:"2,keyasint"` // identity of the group; 0 before formation
	Kind     ConsensusKind `cbor:"3,keyasint"`
	From     Peer          `cbor:"4,keyasint"`
	To       Peer          `cbor:"5,keyasint"`
	Term     uint64        `cbor:"6,keyasint,omitempty"`
	Index    uint64        `cbor:"7,keyasint,omitempty"` // preceding entry, or the match in a reply
	LogTerm  uint64        `cbor:"8,keyasint,omitempty"` // term of the preceding or last entry
	Commit   uint64        `cbor:"9,keyasint,omitempty"`
	Entries  []Entry       `cbor:"10,keyasint,omitempty"`
	Reject   bool          `cbor:"11,keyasint,omitempty"`
	Hint     uint64        `cbor:"12,keyasint,omitempty"` // where to try next after a rejection
	Sent     int64         `cbor:"13,keyasint,omitempty"` // the leader's clock, echoed by replies
	Force    bool          `cbor:"14,keyasint,omitempty"` // the leader itself requested the election
	Snapshot *Snapshot     `cbor:"15,keyasint,omitempty"` // Data holds one piece
	Offset   uint64        `cbor:"16,keyasint,omitempty"`
	Total    uint64        `cbor:"17,keyasint,omitempty"`
	// Sync is, in a MsgAppendReply, how long the sender takes to make entries durable, in
	// nanoseconds; 0 if it does not say.
	Sync int64 `cbor:"18,keyasint,omitempty"`
}
