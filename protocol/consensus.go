// SPDX-License-Identifier: Apache-2.0

package protocol

import "fmt"

// This file defines the messages by which the replicas of one group maintain a replicated log,
// and the records that they write to their disks.

// Peer is one replica on one disk. A replica that lost its disk returns under the same name
// with another incarnation, and is a different peer.
type Peer struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// String returns "name#incarnation".
func (p Peer) String() string { return fmt.Sprintf("%s#%x", p.Name, p.Incarnation) }

// IsZero reports whether p is the zero Peer, which denotes no replica.
func (p Peer) IsZero() bool { return p == Peer{} }

// Membership is the set of replicas of a group. Voters form quorums; learners receive the log
// without voting.
type Membership struct {
	Voters   []Peer `cbor:"1,keyasint"`
	Learners []Peer `cbor:"2,keyasint,omitempty"`
}

// EntryKind is the kind of an entry's data.
type EntryKind uint8

// The kinds of entry. The numbers are on the wire and on disks.
const (
	EntryCommand    EntryKind = 0 // for the state machine; empty data is a no-op
	EntryMembership EntryKind = 1 // a CBOR Membership
)

// Entry is one entry of a replicated log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that a replica must make durable before it answers.
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

// ConsensusKind is the kind of a consensus message.
type ConsensusKind uint8

// The kinds of consensus message. The numbers are on the wire.
const (
	MsgPreVote       ConsensusKind = 1  // queries whether a vote in Term would be granted; changes nothing
	MsgPreVoteReply  ConsensusKind = 2  // granted, unless Reject; then Term is the sender's
	MsgVote          ConsensusKind = 3  // request for a vote in Term
	MsgVoteReply     ConsensusKind = 4  // granted, unless Reject
	MsgAppend        ConsensusKind = 5  // the leader's entries after Index; none: a heartbeat
	MsgAppendReply   ConsensusKind = 6  // durable up to Index, or Reject with a Hint
	MsgSnapshot      ConsensusKind = 7  // one chunk of a snapshot, starting at Offset
	MsgSnapshotReply ConsensusKind = 8  // received up to Offset; MsgAppendReply once it is whole
	MsgCampaignNow   ConsensusKind = 9  // leadership transfer: campaign at once
	MsgJoin          ConsensusKind = 10 // a non-member requests to join
	MsgBlankQuery    ConsensusKind = 11 // formation: queries whether the receiver's disk is blank
	MsgBlankReply    ConsensusKind = 12 // blank if Group is 0, else Snapshot has the members; also replies to MsgJoin
	MsgFound         ConsensusKind = 13 // formation: the first snapshot
)

// Consensus is a message from one replica to another of its group. The step function of
// coordination/consensus decides when to send one.
type Consensus struct {
	Name     string        `cbor:"1,keyasint"` // name of the group, such as "config"
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
	Hint     uint64        `cbor:"12,keyasint,omitempty"` // index to try next after a rejection
	Sent     int64         `cbor:"13,keyasint,omitempty"` // the leader's clock, echoed by replies
	Force    bool          `cbor:"14,keyasint,omitempty"` // the election is part of a leadership transfer by the leader
	Snapshot *Snapshot     `cbor:"15,keyasint,omitempty"` // Data holds one chunk
	Offset   uint64        `cbor:"16,keyasint,omitempty"`
	Total    uint64        `cbor:"17,keyasint,omitempty"`
	// Sync, in a MsgAppendReply, is the time that the sender takes to make entries durable, in
	// nanoseconds; 0 if it is not reported.
	Sync int64 `cbor:"18,keyasint,omitempty"`
	// Start, in a MsgBlankQuery or MsgBlankReply of a blank seed, is what the seed knows of the group's start.
	Start GroupStart `cbor:"19,keyasint,omitempty"`
}

// GroupStart is what a blank seed of an open group knows of the group's start.
type GroupStart uint8

// Knowledge of a group's start. Seeds that run an earlier version of this program, and replicas of closed groups,
// state nothing.
const (
	StartNotStated GroupStart = 0
	FirstStart     GroupStart = 1 // there was no group when the replica's disk was first used
	LaterStart     GroupStart = 2 // there may have been a group
)
