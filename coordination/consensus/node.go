// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Node, its inputs and its output. What the inputs cause is
// in the files beside it.

// DriftMargin is the part of the election timeout by which a lease is
// shortened: clocks of two nodes may differ in speed by that much.
const DriftMargin = 0.1

// Config sets up one replica of one group.
type Config struct {
	Name      string        // of the group
	Self      protocol.Peer // this replica on this disk
	Election  time.Duration // shortest time without a leader before an election
	Heartbeat time.Duration // time between appends of an idle leader
	// Rand returns a value in [0, n). It spreads elections.
	Rand func(n int64) int64
	// Admit reports whether a replica of that name belongs to the group by
	// the settings. Nil admits names that are members already.
	Admit func(name string) bool
	// Voters is the number of voters of an open group: more replicas than
	// that stay learners until a voter has been silent for Silence, and then
	// take its place. 0 promotes every learner and replaces nobody.
	Voters  int
	Silence time.Duration
	// MaxAppend bounds the bytes of entries in one message.
	MaxAppend int
	// MaxPiece bounds the bytes of one piece of a snapshot.
	MaxPiece int
	// MaxInflight bounds unanswered appends to one follower.
	MaxInflight int
}

// defaultSilences is Config.Silence in election timeouts unless set.
const defaultSilences = 4

// withDefaults fills what was left zero.
func (c Config) withDefaults() Config {
	if c.MaxAppend == 0 {
		c.MaxAppend = 256 << 10
	}
	if c.MaxPiece == 0 {
		c.MaxPiece = 64 << 10
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = 32
	}
	if c.Silence == 0 {
		c.Silence = defaultSilences * c.Election
	}
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

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is one replica of one group. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	now  time.Duration
	role Role
	hard protocol.HardState
	log  memLog

	leader     protocol.Peer
	leaderSeen time.Duration // when a leader of this term was last heard
	deadline   time.Duration // when to campaign
	votes      map[protocol.Peer]bool

	commit  uint64
	applied uint64

	peers       map[protocol.Peer]*progress // leader only
	nextBeat    time.Duration
	termStart   uint64 // index of this leader's no-op
	transferTo  protocol.Peer
	transferEnd time.Duration
	leaseLost   bool // leadership was offered to another

	host     uint64 // group that repairs this blank replica
	incoming *incomingSnapshot
	nextJoin time.Duration

	hardChanged bool
	unwritten   uint64 // first index not yet handed out for writing
	pending     Ready
}

// New returns a replica that starts at time now with what its disk held.
func New(cfg Config, now time.Duration, d Durable) *Node {
	n := &Node{
		cfg:        cfg.withDefaults(),
		now:        now,
		hard:       d.Hard,
		log:        newMemLog(d.Snapshot, d.Entries),
		leaderSeen: now,
		commit:     d.Snapshot.Index,
		applied:    d.Snapshot.Index,
	}
	n.unwritten = n.log.last() + 1
	if n.log.lastTerm() > n.hard.Term {
		n.setHard(n.log.lastTerm(), protocol.Peer{}) // a founded group has no vote yet
	}
	n.resetDeadline()
	if v := n.log.members().Voters; len(v) == 1 && v[0] == cfg.Self {
		n.deadline = now // nobody else could lead, or have been promised anything
	}
	return n
}

// Tick tells the time, which never goes back.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.tickJoin()
	if n.now >= n.deadline && n.isVoter(n.cfg.Self) {
		n.campaign(PreCandidate, false)
	}
}

// Propose appends a command and returns the index and term that it will have
// if it is committed. The error is [NotLeader] or [Handover].
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, NotLeader{Leader: n.leader}
	}
	if !n.transferTo.IsZero() {
		return 0, 0, Handover{To: n.transferTo}
	}
	e := n.appendOwn(protocol.EntryCommand, data)
	return e.Index, e.Term, nil
}

// Step takes a message from another replica. Messages of another group, to
// another incarnation, or of nonsense are dropped.
func (n *Node) Step(now time.Duration, m protocol.Consensus) {
	n.now = max(n.now, now)
	if !n.addressed(m) {
		return
	}
	if m.Kind == protocol.MsgJoin {
		n.stepJoin(m)
		return
	}
	if n.ignoredVote(m) {
		return
	}
	if m.Term > n.hard.Term && raisesTerm(m) {
		n.becomeFollower(m.Term, protocol.Peer{})
	}
	if m.Term < n.hard.Term {
		n.answerOldTerm(m)
		return
	}
	n.dispatch(m)
}

func (n *Node) dispatch(m protocol.Consensus) {
	switch m.Kind {
	case protocol.MsgPreVote, protocol.MsgVote:
		n.stepVote(m)
	case protocol.MsgPreVoteReply, protocol.MsgVoteReply:
		n.stepVoteReply(m)
	case protocol.MsgAppend:
		n.stepAppend(m)
	case protocol.MsgAppendReply:
		n.stepAppendReply(m)
	case protocol.MsgSnapshot:
		n.stepSnapshot(m)
	case protocol.MsgSnapshotReply:
		n.stepSnapshotReply(m)
	case protocol.MsgCampaignNow:
		n.stepCampaignNow(m)
	}
}

// Ready returns what to do now. Nothing else may be called before Advance.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.sendAppends()
	}
	r := n.pending
	n.pending = Ready{}
	if n.hardChanged {
		hard := n.hard
		r.Hard = &hard
		n.hardChanged = false
	}
	r.Entries = n.log.from(n.unwritten, 0)
	n.unwritten = n.log.last() + 1
	r.Committed = n.log.between(n.applied+1, min(n.commit, n.log.last()))
	n.applied += uint64(len(r.Committed))
	return r
}

// Advance tells that everything of the last Ready was written and sent.
func (n *Node) Advance() {
	if n.role != Leader {
		return
	}
	if self := n.peers[n.cfg.Self]; self != nil {
		self.match = n.unwritten - 1
		self.acked = n.now
	}
	n.advanceCommit()
}

// Compact replaces the log up to index by a snapshot of the state machine at
// that index and returns the snapshot to write. The caller writes it with
// [Node.Tail].
func (n *Node) Compact(index uint64, data []byte) (protocol.Snapshot, error) {
	if index > n.applied || index < n.log.snapshot.Index {
		return protocol.Snapshot{}, OutOfRange{Index: index, First: n.log.snapshot.Index, Last: n.applied}
	}
	n.log.compact(index, data)
	return n.log.snapshot, nil
}

// Tail returns the entries behind the snapshot, for rewriting the disk.
func (n *Node) Tail() (protocol.HardState, []protocol.Entry) {
	return n.hard, n.log.from(n.log.snapshot.Index+1, 0)
}

// Status is what a replica knows about its group.
type Status struct {
	Self     protocol.Peer
	Group    uint64
	Role     Role
	Term     uint64
	Leader   protocol.Peer
	Commit   uint64
	Applied  uint64
	Last     uint64
	First    uint64 // index of the snapshot
	Members  protocol.Membership
	LeaseEnd time.Duration // leader only; 0 without a lease
}

// Status returns the current state.
func (n *Node) Status() Status {
	return Status{
		Self: n.cfg.Self, Group: n.log.snapshot.Group, Role: n.role, Term: n.hard.Term,
		Leader: n.leader, Commit: n.commit, Applied: n.applied, Last: n.log.last(),
		First: n.log.snapshot.Index, Members: n.log.members(), LeaseEnd: n.leaseEnd(),
	}
}

// Leads reports whether this replica may act as the leader at time now: it
// has a lease, and everything that earlier leaders committed is applied.
func (n *Node) Leads(now time.Duration) bool {
	return n.role == Leader && now < n.leaseEnd() && n.applied >= n.termStart
}

// FollowsLeader reports whether this replica has heard from a leader of its
// term within the election timeout, or is one.
func (n *Node) FollowsLeader(now time.Duration) bool {
	if n.role == Leader {
		return now < n.leaseEnd()
	}
	return !n.leader.IsZero() && now-n.leaderSeen < n.cfg.Election
}

// addressed reports whether the message is for this replica of this group.
func (n *Node) addressed(m protocol.Consensus) bool {
	own := n.log.snapshot.Group
	if m.Name != n.cfg.Name || m.From == n.cfg.Self || m.To != n.cfg.Self {
		return false
	}
	if m.Kind == protocol.MsgJoin {
		return own != 0
	}
	if own == 0 && (m.Kind == protocol.MsgSnapshot || m.Kind == protocol.MsgAppend) {
		n.host = m.Group // a blank replica belongs to whoever repairs it
	}
	return m.Group != 0 && m.Group == n.group()
}

// send queues a message, filling in what every message carries.
func (n *Node) send(m protocol.Consensus) {
	m.Name = n.cfg.Name
	m.Group = n.group()
	m.From = n.cfg.Self
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.pending.Messages = append(n.pending.Messages, m)
}

// group returns the identity of the group, or of the one that is repairing
// this replica.
func (n *Node) group() uint64 {
	if own := n.log.snapshot.Group; own != 0 {
		return own
	}
	return n.host
}

func (n *Node) setHard(term uint64, vote protocol.Peer) {
	h := protocol.HardState{Term: term, Vote: vote}
	if h != n.hard {
		n.hard = h
		n.hardChanged = true
	}
}

func (n *Node) isVoter(p protocol.Peer) bool { return contains(n.log.members().Voters, p) }

func (n *Node) quorum() int { return len(n.log.members().Voters)/2 + 1 }

func contains(peers []protocol.Peer, p protocol.Peer) bool {
	for _, q := range peers {
		if q == p {
			return true
		}
	}
	return false
}
