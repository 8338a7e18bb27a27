// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"cmp"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Replica, its inputs and its output. What the inputs cause is
// in the files beside it.

// Config sets up one replica of one group.
type Config struct {
	Name      string        // of the group
	Self      protocol.Peer // this replica on this disk
	Election  time.Duration // shortest time without a leader before an election
	Heartbeat time.Duration // time between appends of an idle leader
	// Rand returns a value in [0, n). It spreads elections.
	Rand func(n int64) int64
	// Admit reports whether a replica of that name belongs to the group by
	// the settings.
	Admit func(name string) bool
	// Voters is the number of voters of an open group: more replicas than
	// that stay learners until a voter is silent, and then take its place. 0
	// promotes every learner and replaces none.
	Voters int
	// Bounds on what is sent to one follower; 0 is the default.
	MaxAppend   int // bytes of entries in one message, but at least one entry
	MaxChunk    int // bytes of one piece of a snapshot
	MaxInflight int // unanswered appends
}

// Defaults of Config.
const (
	defaultMaxAppend   = 256 << 10 // bytes of entries in one message
	defaultMaxPiece    = 64 << 10  // bytes; a snapshot of 1 MB takes 15 round trips (docs/CAPACITY.md)
	defaultMaxInflight = 32        // appends
)

// withDefaults replaces what is zero.
func (c Config) withDefaults() Config {
	c.MaxAppend = cmp.Or(c.MaxAppend, defaultMaxAppend)
	c.MaxChunk = cmp.Or(c.MaxChunk, defaultMaxPiece)
	c.MaxInflight = cmp.Or(c.MaxInflight, defaultMaxInflight)
	return c
}

// Durable is what a replica found on its disk.
type Durable struct {
	Hard     protocol.HardState
	Snapshot protocol.Snapshot // zero on a blank disk
	Entries  []protocol.Entry
}

// Ready is what a caller must do, in this order: write Snapshot, Hard and
// Entries in one synced batch; send Messages; restore Restore; apply
// Committed; call Advance.
type Ready struct {
	Snapshot *protocol.Snapshot  // replaces the whole log on disk
	Hard     *protocol.HardState // nil when unchanged
	Entries  []protocol.Entry    // replace everything from Entries[0].Index on
	Messages []protocol.Consensus
	Restore  *protocol.Snapshot // hand Data to the state machine
	// Committed are the entries to apply, each exactly once since the
	// restored snapshot.
	Committed []protocol.Entry
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.Snapshot == nil && r.Hard == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && r.Restore == nil && len(r.Committed) == 0
}

// Role is what a replica is doing.
type Role uint8

// The roles of a replica. They are neither sent nor stored.
const (
	Follower     Role = iota
	PreCandidate      // finds out whether it could win an election
	Candidate         // has voted for itself and requests votes
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Replica is the step function of one replica of one group. The Replica of
// package replica runs one, in a goroutine with a clock and a disk. It is not
// safe for concurrent use.
type Replica struct {
	cfg  Config
	now  time.Duration
	role Role
	hard protocol.HardState
	log  memLog

	leader        protocol.Peer
	leaderContact time.Duration // time of the newest message of a leader, or of the start
	deadline      time.Duration // when to campaign
	votes         map[protocol.Peer]bool

	commit  uint64
	applied uint64

	peers       map[protocol.Peer]*progress // leader only
	nextBeat    time.Duration
	termStart   uint64 // index of this leader's no-op
	transferTo  protocol.Peer
	transferEnd time.Duration
	leaseLost   bool          // leadership was offered to another in this term
	ending      LeadershipEnd // of this replica's last lead

	host     uint64 // group whose leader repairs this blank replica
	incoming *incomingSnapshot
	nextJoin time.Duration

	hardChanged bool
	unwritten   uint64 // first index not yet handed out for writing
	pending     Ready
}

// New returns a replica that starts at time now with what its disk held.
func New(cfg Config, now time.Duration, d Durable) *Replica {
	r := &Replica{
		cfg:           cfg.withDefaults(),
		now:           now,
		hard:          d.Hard,
		log:           newMemLog(d.Snapshot, d.Entries),
		leaderContact: now,
		commit:        d.Snapshot.Index,
		applied:       d.Snapshot.Index,
	}
	r.unwritten = r.log.last() + 1
	if r.log.lastTerm() > r.hard.Term {
		r.setHard(r.log.lastTerm(), protocol.Peer{}) // a founded group has no vote yet
	}
	r.resetDeadline()
	if v := r.log.members().Voters; len(v) == 1 && v[0] == cfg.Self {
		r.deadline = now // no other replica can lead or have this one's vote
	}
	return r
}

// Tick advances the time, which never goes back, and does what is due.
func (r *Replica) Tick(now time.Duration) {
	r.now = max(r.now, now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	r.tickJoin()
	if r.now >= r.deadline && r.isVoter(r.cfg.Self) {
		r.campaign(PreCandidate, false)
	}
}

// Propose appends a command and returns the index and term that it will have
// if it is committed. The error is [NotLeader] or [Handover].
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, NotLeader{Leader: r.leader}
	}
	if !r.transferTo.IsZero() {
		return 0, 0, Handover{To: r.transferTo}
	}
	e := r.appendOwn(protocol.EntryCommand, data)
	return e.Index, e.Term, nil
}

// Step takes a message from another replica. Messages of another group, to
// another incarnation or of an unknown kind are dropped.
func (r *Replica) Step(now time.Duration, m protocol.Consensus) {
	r.now = max(r.now, now)
	if !r.addressed(m) {
		return
	}
	if m.Kind == protocol.MsgJoin {
		r.stepJoin(m)
		return
	}
	if r.ignoredVote(m) {
		return
	}
	if m.Term > r.hard.Term && raisesTerm(m) {
		r.noteEnding(EndedByTerm)
		r.becomeFollower(m.Term, protocol.Peer{})
	}
	if m.Term < r.hard.Term {
		r.answerOldTerm(m)
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

// Ready returns what to do now. Nothing else may be called before Advance.
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
	ready.Entries = r.log.from(r.unwritten, 0)
	r.unwritten = r.log.last() + 1
	ready.Committed = r.log.between(r.applied+1, min(r.commit, r.log.last()))
	r.applied += uint64(len(ready.Committed))
	return ready
}

// Advance reports that everything of the last Ready was written and sent.
func (r *Replica) Advance() {
	if r.role != Leader {
		return
	}
	if self := r.peers[r.cfg.Self]; self != nil {
		self.match = r.unwritten - 1
		self.acked = r.now
	}
	r.advanceCommit()
}

// Compact replaces the log up to what is applied by a snapshot and returns it.
// data is the state machine's image; the caller writes the snapshot with
// [Replica.Tail].
func (r *Replica) Compact(data []byte) protocol.Snapshot {
	r.log.compact(r.applied, data)
	return r.log.snapshot
}

// Tail returns the entries behind the snapshot, for rewriting the disk.
func (r *Replica) Tail() (protocol.HardState, []protocol.Entry) {
	return r.hard, r.log.from(r.log.snapshot.Index+1, 0)
}

// Status is the state of a group as one replica has it.
type Status struct {
	Group         uint64
	Role          Role
	Term          uint64
	Leader        protocol.Peer // zero when none is known
	Commit        uint64
	Applied       uint64
	Last          uint64 // index of the newest entry
	First         uint64 // index of the snapshot
	Members       protocol.Membership
	LeaseEnd      time.Duration // on the clock that the replica is given; 0 without a lease
	LeadershipEnd LeadershipEnd // of this replica's last lead
}

// Status returns the current state.
func (r *Replica) Status() Status {
	return Status{
		Group: r.log.snapshot.Group, Role: r.role, Term: r.hard.Term,
		Leader: r.leader, Commit: r.commit, Applied: r.applied, Last: r.log.last(),
		First: r.log.snapshot.Index, Members: r.log.members(), LeaseEnd: r.leaseEnd(), LeadershipEnd: r.endingNow(),
	}
}

// Leads reports whether this replica may act as the leader at time now: it
// has a lease, and everything that earlier leaders committed is applied.
func (r *Replica) Leads(now time.Duration) bool {
	return r.role == Leader && now < r.leaseEnd() && r.applied >= r.termStart
}

// addressed reports whether the message is for this replica of this group.
func (r *Replica) addressed(m protocol.Consensus) bool {
	own := r.log.snapshot.Group
	if m.Name != r.cfg.Name || m.From == r.cfg.Self || m.To != r.cfg.Self {
		return false
	}
	if m.Kind == protocol.MsgJoin {
		return own != 0
	}
	if own == 0 && (m.Kind == protocol.MsgSnapshot || m.Kind == protocol.MsgAppend) {
		r.host = m.Group // a blank replica belongs to the group that repairs it
	}
	return m.Group != 0 && m.Group == r.group()
}

// send queues a message, filling in what every message carries.
func (r *Replica) send(m protocol.Consensus) {
	m.Name = r.cfg.Name
	m.Group = r.group()
	m.From = r.cfg.Self
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.pending.Messages = append(r.pending.Messages, m)
}

// group returns the identity of the group, or of the one that is repairing
// this replica.
func (r *Replica) group() uint64 {
	if own := r.log.snapshot.Group; own != 0 {
		return own
	}
	return r.host
}

func (r *Replica) setHard(term uint64, vote protocol.Peer) {
	h := protocol.HardState{Term: term, Vote: vote}
	if h != r.hard {
		r.hard = h
		r.hardChanged = true
	}
}

func (r *Replica) isVoter(p protocol.Peer) bool { return slices.Contains(r.log.members().Voters, p) }

func (r *Replica) quorum() int { return len(r.log.members().Voters)/2 + 1 }
