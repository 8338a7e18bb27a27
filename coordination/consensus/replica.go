// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"cmp"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Replica, its inputs and its output. The other files of the
// package handle the inputs.

// Config configures one replica of one group.
type Config struct {
	Name              string        // name of the group
	Self              protocol.Peer // this replica on this disk
	ElectionTimeout   time.Duration // shortest time without a leader before an election
	HeartbeatInterval time.Duration // time between appends of an idle leader
	// Rand returns a random value in [0, n), which spreads elections over time.
	Rand func(n int64) int64
	// Admit reports whether the settings allow a replica with that name in the group.
	Admit func(name string) bool
	// Voters is the number of voters of an open group. Further replicas stay
	// learners until a voter falls silent, and then replace it. Zero promotes
	// every learner and replaces no voter.
	Voters int
	// Limits on the traffic to one follower; zero means the default.
	MaxAppend   int // bytes of entries in one message, but at least one entry
	MaxChunk    int // bytes of snapshot data in one message
	MaxInflight int // unanswered appends
}

// Defaults of Config.
const (
	defaultMaxAppend   = 256 << 10 // bytes of entries in one message
	defaultMaxChunk    = 64 << 10  // bytes; a snapshot of 1 MB takes 15 round trips (docs/CAPACITY.md)
	defaultMaxInflight = 32        // appends
)

// withDefaults replaces zero limits with their defaults.
func (c Config) withDefaults() Config {
	c.MaxAppend = cmp.Or(c.MaxAppend, defaultMaxAppend)
	c.MaxChunk = cmp.Or(c.MaxChunk, defaultMaxChunk)
	c.MaxInflight = cmp.Or(c.MaxInflight, defaultMaxInflight)
	return c
}

// DurableState is the state that a replica recovered from its disk.
type DurableState struct {
	Hard     protocol.HardState
	Snapshot protocol.Snapshot // zero on a blank disk
	Entries  []protocol.Entry
}

// Ready is the pending work of a replica. The caller must, in this order: write
// Snapshot, Hard and Entries in one synced batch; send Messages; restore Restore;
// apply Committed; call Advance.
type Ready struct {
	Snapshot *protocol.Snapshot  // replaces the whole log on disk
	Hard     *protocol.HardState // nil when unchanged
	Entries  []protocol.Entry    // replace everything from Entries[0].Index on
	Messages []protocol.Consensus
	Restore  *protocol.Snapshot // its Data replaces the state of the state machine
	// Committed holds the entries to apply. Each entry appears exactly once
	// after the restored snapshot.
	Committed []protocol.Entry
}

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return r.Snapshot == nil && r.Hard == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && r.Restore == nil && len(r.Committed) == 0
}

// Role is the role of a replica in the current term.
type Role uint8

// The roles of a replica. They are neither sent nor stored.
const (
	Follower     Role = iota
	PreCandidate      // checks whether it could win an election
	Candidate         // has voted for itself and requests votes
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Replica is the step function of one replica of one group. Package replica runs
// it in a goroutine, with a clock and a disk. It is not safe for concurrent use.
type Replica struct {
	cfg  Config
	now  time.Duration
	role Role
	hard protocol.HardState
	log  memLog

	leader            protocol.Peer
	grewAt            time.Duration // leader: time of the election or of the newest membership change
	lastLeaderContact time.Duration // time of the newest message from a leader, or of the start
	campaignAt        time.Duration // when to campaign
	votes             map[protocol.Peer]bool

	commit  uint64
	applied uint64

	peers            map[protocol.Peer]*progress // leader only
	nextHeartbeat    time.Duration
	noopIndex        uint64 // index of the no-op that begins this leader's term
	transferTo       protocol.Peer
	transferDeadline time.Duration
	leaseVoid        bool          // leadership was offered to another replica in this term
	lastEnd          LeadershipEnd // end of this replica's last leadership

	repairGroup uint64 // group whose leader repairs this blank replica
	incoming    *incomingSnapshot
	nextJoin    time.Duration
	contacts    []protocol.Peer // members that are not in the log, as others named them; empty once a leader is found

	hardChanged    bool
	firstUnwritten uint64 // first index that no Ready has returned for writing
	pending        Ready
}

// New returns a replica that starts at time now with the state from its disk.
func New(cfg Config, now time.Duration, d DurableState) *Replica {
	r := &Replica{
		cfg:               cfg.withDefaults(),
		now:               now,
		hard:              d.Hard,
		log:               newMemLog(d.Snapshot, d.Entries),
		lastLeaderContact: now,
		commit:            d.Snapshot.Index,
		applied:           d.Snapshot.Index,
	}
	r.firstUnwritten = r.log.lastIndex() + 1
	if r.log.lastTerm() > r.hard.Term {
		// The log is newer than the hard state only right after the group was formed, and
		// no replica voted in the term of the first snapshot.
		r.setHard(r.log.lastTerm(), protocol.Peer{})
	}
	r.resetElectionTimer()
	if v := r.log.members().Voters; len(v) == 1 && v[0] == cfg.Self {
		r.campaignAt = now // the only voter: no other replica can be the leader or need its vote
	}
	return r
}

// Tick advances the time, which never decreases, and runs the timers that are due.
func (r *Replica) Tick(now time.Duration) {
	r.now = max(r.now, now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	r.tickJoin()
	if r.now >= r.campaignAt && r.isVoter(r.cfg.Self) {
		r.campaign(PreCandidate, false)
	}
}

// Propose appends a command and returns its index and term, which it keeps if it
// is committed. The error is [NotLeader] or [TransferPending].
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, NotLeader{Leader: r.leader}
	}
	if !r.transferTo.IsZero() {
		return 0, 0, TransferPending{To: r.transferTo}
	}
	e := r.appendOwn(protocol.EntryCommand, data)
	return e.Index, e.Term, nil
}

// Step handles a message from another replica. It drops messages of another
// group, for another incarnation and of an unknown kind.
func (r *Replica) Step(now time.Duration, m protocol.Consensus) {
	r.now = max(r.now, now)
	if !r.isAddressee(m) {
		return
	}
	switch m.Kind {
	case protocol.MsgJoin:
		r.stepJoin(m)
		return
	case protocol.MsgBlankReply:
		r.stepMembers(m)
		return
	}
	if r.ignoresVoteRequest(m) {
		return
	}
	if m.Term > r.hard.Term && raisesTerm(m) {
		r.recordEnd(EndedByTerm)
		r.becomeFollower(m.Term, protocol.Peer{})
	}
	if m.Term < r.hard.Term {
		r.replyToOldTerm(m)
		return
	}
	r.dispatch(m)
}

func (r *Replica) dispatch(m protocol.Consensus) {
	switch m.Kind {
	case protocol.MsgPreVote, protocol.MsgVote:
		r.stepVote(m)
	case protocol.MsgPreVoteReply, protocol.MsgVoteReply:
		r.stepVoteReply(m)
	case protocol.MsgAppend:
		r.stepAppend(m)
	case protocol.MsgAppendReply:
		r.stepAppendReply(m)
	case protocol.MsgSnapshot:
		r.stepSnapshot(m)
	case protocol.MsgSnapshotReply:
		r.stepSnapshotReply(m)
	case protocol.MsgCampaignNow:
		r.stepCampaignNow(m)
	}
}

// Ready returns the pending work. The caller must call Advance before any other
// method that changes the replica.
func (r *Replica) Ready() Ready {
	if r.role == Leader {
		r.sendAppends()
	}
	ready := r.pending
	r.pending = Ready{}
	if r.hardChanged {
		hard := r.hard
		ready.Hard = &hard
		r.hardChanged = false
	}
	ready.Entries = r.log.entriesFrom(r.firstUnwritten, 0)
	r.firstUnwritten = r.log.lastIndex() + 1
	ready.Committed = r.log.entriesBetween(r.applied+1, min(r.commit, r.log.lastIndex()))
	r.applied += uint64(len(ready.Committed))
	return ready
}

// Advance confirms that the work of the last Ready was written and sent.
func (r *Replica) Advance() {
	if r.role != Leader {
		return
	}
	if self := r.peers[r.cfg.Self]; self != nil {
		self.match = r.firstUnwritten - 1
		self.ackedSendTime = r.now
	}
	r.advanceCommit()
}

// Compact replaces the applied part of the log with a snapshot and returns it.
// data is the image of the state machine. The caller writes the snapshot together
// with the result of [Replica.Tail].
func (r *Replica) Compact(data []byte) protocol.Snapshot {
	r.log.compact(r.applied, data)
	return r.log.snapshot
}

// Tail returns the hard state and the entries after the snapshot, for rewriting
// the disk.
func (r *Replica) Tail() (protocol.HardState, []protocol.Entry) {
	return r.hard, r.log.entriesFrom(r.log.snapshot.Index+1, 0)
}

// Status is one replica's view of its group.
type Status struct {
	Group         uint64
	Role          Role
	Term          uint64
	Leader        protocol.Peer // zero when none is known
	Commit        uint64
	Applied       uint64
	LastIndex     uint64 // index of the newest entry
	SnapshotIndex uint64 // index of the snapshot
	Members       protocol.Membership
	LeaseEnd      time.Duration // on the replica's clock; zero without a lease
	LeadershipEnd LeadershipEnd // end of this replica's last leadership
	Growing       bool          // this leader of an open group expects further voters, see [Replica.growing]
}

// Status returns the current state.
func (r *Replica) Status() Status {
	return Status{
		Group: r.log.snapshot.Group, Role: r.role, Term: r.hard.Term,
		Leader: r.leader, Commit: r.commit, Applied: r.applied, LastIndex: r.log.lastIndex(),
		SnapshotIndex: r.log.snapshot.Index, Members: r.log.members(), LeaseEnd: r.leaseEnd(), LeadershipEnd: r.leadershipEnd(), Growing: r.growing(),
	}
}

// Leads reports whether this replica may act as the leader at time now: it holds
// a lease and has applied every entry that earlier leaders committed.
func (r *Replica) Leads(now time.Duration) bool {
	return r.role == Leader && now < r.leaseEnd() && r.applied >= r.noopIndex
}

// isAddressee reports whether the message is addressed to this replica in this group.
func (r *Replica) isAddressee(m protocol.Consensus) bool {
	own := r.log.snapshot.Group
	if m.Name != r.cfg.Name || m.From == r.cfg.Self || m.To != r.cfg.Self {
		return false
	}
	if m.Kind == protocol.MsgJoin {
		return own != 0
	}
	if own == 0 && (m.Kind == protocol.MsgSnapshot || m.Kind == protocol.MsgAppend) {
		r.repairGroup = m.Group // a blank replica adopts the group that repairs it
	}
	return m.Group != 0 && m.Group == r.group()
}

// send queues a message and fills in the fields common to all messages.
func (r *Replica) send(m protocol.Consensus) {
	m.Name = r.cfg.Name
	m.Group = r.group()
	m.From = r.cfg.Self
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.pending.Messages = append(r.pending.Messages, m)
}

// group returns the identifier of this replica's group, or of the group that is
// repairing this replica.
func (r *Replica) group() uint64 {
	if own := r.log.snapshot.Group; own != 0 {
		return own
	}
	return r.repairGroup
}

func (r *Replica) setHard(term uint64, vote protocol.Peer) {
	h := protocol.HardState{Term: term, Vote: vote}
	if h != r.hard {
		r.hard = h
		r.hardChanged = true
	}
}

func (r *Replica) isVoter(p protocol.Peer) bool { return slices.Contains(r.log.members().Voters, p) }

func (r *Replica) isMember(p protocol.Peer) bool {
	return r.isVoter(p) || slices.Contains(r.log.members().Learners, p)
}

func (r *Replica) quorum() int { return len(r.log.members().Voters)/2 + 1 }
