// SPDX-License-Identifier: Apache-2.0

package replica

import (
	"context"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/journal"
)

// This file defines the goroutine of a replica. A blank replica first forms a group
// or waits to be repaired, and then runs as a member.

// loop is the state that the replica's goroutine owns.
type loop struct {
	r             *Replica
	journal       *journal.Journal
	self          protocol.Peer
	formation     *consensus.Formation       // nil once the replica is a member
	member        *consensus.Replica         // nil while the replica is blank
	proposals     map[uint64]pendingProposal // proposals by log index
	leads         bool
	roundStart    time.Duration // start of the current round
	roundInterval time.Duration // time between the starts of the current and the previous round
}

// pendingProposal is an appended proposal that awaits its outcome.
type pendingProposal struct {
	term   uint64
	answer chan outcome
}

const (
	// maxBatch is the largest number of inputs that share one sync (TestProposalsShareSyncs).
	maxBatch = 512
	// ticksPerHeartbeat is the number of timer ticks per heartbeat interval without input.
	ticksPerHeartbeat = 3
	// minTick limits the timer's rate for very short heartbeats.
	minTick = time.Millisecond
)

func (l *loop) init(r *Replica, j *journal.Journal, c journal.Contents) error {
	l.r, l.journal = r, j
	l.self = protocol.Peer{Name: r.cfg.Name, Incarnation: c.Incarnation}
	l.proposals = map[uint64]pendingProposal{}
	if c.Snapshot.Group == 0 {
		l.formation = l.newFormation()
		switch {
		case r.cfg.Open == nil:
		case !slices.Contains(r.cfg.Names, r.cfg.Name):
			l.formation.JoinOnly()
		case c.FirstStart || r.cfg.Open.Bootstrap:
			l.formation.WithStart(protocol.FirstStart)
		default:
			l.formation.WithStart(protocol.LaterStart)
		}
		return nil
	}
	if err := l.restore(c.Snapshot.Data); err != nil {
		return err
	}
	l.startMember(0, consensus.DurableState{Hard: c.Hard, Snapshot: c.Snapshot, Entries: c.Entries})
	return nil
}

// restore restores the state machine from an image. A group's first snapshot has no
// image, and the state machine then keeps its state.
func (l *loop) restore(image []byte) error {
	if len(image) == 0 {
		return nil
	}
	return l.r.cfg.StateMachine.Restore(image)
}

func (l *loop) newFormation() *consensus.Formation {
	cfg := l.r.cfg
	return consensus.NewFormation(cfg.Group, l.self, cfg.Names, cfg.Random(), cfg.HeartbeatInterval)
}

// startMember runs the replica as a member, with the state from its disk or, if a leader
// repairs it, without a log.
func (l *loop) startMember(now time.Duration, d consensus.DurableState) {
	settings := l.r.cfg
	l.formation = nil
	cfg := consensus.Config{
		Name: settings.Group, Self: l.self, ElectionTimeout: settings.ElectionTimeout, HeartbeatInterval: settings.HeartbeatInterval,
		Rand: func(n int64) int64 { return int64(settings.Random() % uint64(n)) },
		Admit: func(name string) bool {
			return settings.Open != nil || slices.Contains(settings.Names, name)
		},
	}
	if settings.Open != nil {
		cfg.Voters = settings.Open.Voters
	}
	l.member = consensus.New(cfg, now, d)
}

func (r *Replica) run(ctx context.Context) {
	defer close(r.stopped)
	defer r.loop.journal.Close() // anything that Close fails to write was never acknowledged
	tick := time.NewTicker(max(r.cfg.HeartbeatInterval/ticksPerHeartbeat, minTick))
	defer tick.Stop()
	for {
		var first input
		select {
		case <-ctx.Done():
			r.loop.failAllProposals(Stopped{})
			return
		case first = <-r.inputs:
		case <-tick.C:
		}
		if err := r.loop.runRound(r.batch(first)); err != nil {
			r.err = err
			r.cfg.Log.Error("replica stopped", "group", r.cfg.Group, "error", err)
			r.loop.failAllProposals(Stopped{Err: err})
			return
		}
	}
}

// batch returns the first input and the inputs queued after it, up to maxBatch.
func (r *Replica) batch(first input) []input {
	in := []input{first}
	for len(in) < maxBatch {
		select {
		case next := <-r.inputs:
			in = append(in, next)
		default:
			return in
		}
	}
	return in
}

// runRound processes one batch and makes its effects durable. An error comes from the
// disk or the state machine and is final.
func (l *loop) runRound(in []input) error {
	now := l.r.Now()
	l.roundInterval, l.roundStart = now-l.roundStart, now
	for _, i := range in {
		if err := l.handle(now, i); err != nil {
			return err
		}
	}
	if l.member == nil {
		return l.tickFormation(now)
	}
	l.member.Tick(now)
	if l.member.RepairStopped() {
		l.r.cfg.Log.Info("repair stopped; searching for the group again", "group", l.r.cfg.Group)
		l.member, l.formation = nil, l.newFormation().JoinOnly()
		return nil
	}
	for {
		ready := l.member.Ready()
		if ready.Empty() {
			break
		}
		if err := l.processReady(ready); err != nil {
			return err
		}
		l.member.Advance()
	}
	l.reportStatus(now)
	return l.compact()
}

func (l *loop) handle(now time.Duration, i input) error {
	switch {
	case i.message != nil:
		return l.deliver(now, *i.message)
	case i.proposal != nil:
		l.propose(*i.proposal)
	case i.inspect != nil:
		i.inspect(now, l.member)
	}
	return nil
}

func (l *loop) deliver(now time.Duration, m protocol.Consensus) error {
	if l.member != nil {
		if !l.member.AnswerBlankQuery(now, m) {
			l.member.Step(now, m)
		}
		return nil
	}
	if m.To == l.self && (m.Kind == protocol.MsgAppend || m.Kind == protocol.MsgSnapshot) {
		// A leader repairs this replica: run as a member without a log.
		l.startMember(now, consensus.DurableState{})
		l.member.Step(now, m)
		return nil
	}
	if s, ok := l.formation.Step(m); ok {
		return l.joinFormedGroup(now, s)
	}
	return nil
}

// tickFormation sends the messages of a blank replica and founds the group if this
// replica may.
func (l *loop) tickFormation(now time.Duration) error {
	s, ok := l.formation.Tick(now)
	messages := l.formation.Messages()
	if ok {
		if err := l.joinFormedGroup(now, s); err != nil {
			return err
		}
	}
	l.send(messages)
	return nil
}

// joinFormedGroup makes the group's first snapshot durable and runs the replica as a member.
func (l *loop) joinFormedGroup(now time.Duration, s protocol.Snapshot) error {
	if err := l.journal.Rotate(s, protocol.HardState{Term: s.Term}, nil); err != nil {
		return err
	}
	l.r.cfg.Log.Info("group formed", "group", l.r.cfg.Group, "voters", len(s.Members.Voters))
	l.startMember(now, consensus.DurableState{Hard: protocol.HardState{Term: s.Term}, Snapshot: s})
	return nil
}

// propose appends a command. The outcome is sent when the entry is applied.
func (l *loop) propose(p proposal) {
	if l.member == nil {
		p.answer <- outcome{err: consensus.NotLeader{}}
		return
	}
	index, term, err := l.member.Propose(p.data)
	if err != nil {
		p.answer <- outcome{err: err}
		return
	}
	l.proposals[index] = pendingProposal{term: term, answer: p.answer}
}

// processReady processes a Ready in the required order: write, send, restore, apply.
func (l *loop) processReady(ready consensus.Ready) error {
	if err := l.persist(ready); err != nil {
		return err
	}
	l.send(ready.Messages)
	if ready.Restore != nil {
		if err := l.restore(ready.Restore.Data); err != nil {
			return err
		}
		l.failProposalsUpTo(ready.Restore.Index)
	}
	for _, e := range ready.Committed {
		l.apply(e)
	}
	return nil
}

func (l *loop) persist(ready consensus.Ready) error {
	if ready.Snapshot == nil && len(ready.Entries) > 0 {
		defer l.recordSyncTime(l.r.Now())
	}
	if ready.Snapshot == nil {
		return l.journal.Save(ready.Hard, ready.Entries)
	}
	return l.rotate(*ready.Snapshot)
}

// syncTimeWindow is the inverse of a new sample's weight in the exponential moving average of sync
// times. After eight syncs the new samples outweigh the earlier ones.
const syncTimeWindow = 8

// recordSyncTime adds a sync that began at the given time to the moving average.
func (l *loop) recordSyncTime(began time.Duration) {
	took, average := int64(l.r.Now()-began), l.r.syncTime.Load()
	if average != 0 {
		took = average + (took-average)/syncTimeWindow
	}
	l.r.syncTime.Store(took)
}

func (l *loop) send(messages []protocol.Consensus) {
	for _, m := range messages {
		if m.Kind == protocol.MsgAppendReply {
			m.Sync = int64(l.r.SyncTime())
		}
		l.r.cfg.Send(m)
	}
}

func (l *loop) apply(e protocol.Entry) {
	var result any
	if e.Kind == protocol.EntryCommand && len(e.Data) > 0 {
		result = l.r.cfg.StateMachine.Apply(e.Data)
	}
	p, ok := l.proposals[e.Index]
	if !ok {
		return
	}
	delete(l.proposals, e.Index)
	if p.term != e.Term {
		p.answer <- outcome{err: consensus.NotLeader{Leader: l.member.Status().Leader}}
		return
	}
	p.answer <- outcome{result: result}
}

// reportStatus reports the group's state to the owner and fails the proposals that this
// replica can no longer decide.
func (l *loop) reportStatus(now time.Duration) {
	s := l.member.Status()
	if s.Role != consensus.Leader && len(l.proposals) > 0 {
		l.failAllProposals(nil)
	}
	leads := l.member.Leads(now)
	if leads != l.leads {
		l.leads = leads
		l.logLeadershipChange(s)
	}
	if l.r.cfg.Observe != nil {
		l.r.cfg.Observe(s, leads)
	}
}

// logLeadershipChange logs that this replica became the leader, or why it ceased to be: the age of
// the last quorum, the round-trip time of its replies, the time since the previous round of this
// loop, and the length of the input queue. A long pause shows that this loop was delayed;
// otherwise the replies were late.
func (l *loop) logLeadershipChange(s consensus.Status) {
	log := l.r.cfg.Log.With("group", l.r.cfg.Group, "leads", l.leads, "term", s.Term)
	if l.leads {
		log.Info("lead changed")
		return
	}
	log.Info("lead changed", "why", s.LeadershipEnd.Cause, "quorum_ms", s.LeadershipEnd.SinceQuorum.Milliseconds(),
		"round_trip_ms", s.LeadershipEnd.RoundTrip.Milliseconds(), "pause_ms", l.roundInterval.Milliseconds(), "inputs", len(l.r.inputs))
}

// compact replaces the log with a snapshot once it has grown to Tuning.CompactAt.
func (l *loop) compact() error {
	if l.r.cfg.CompactAt <= 0 || l.journal.Size() < l.r.cfg.CompactAt {
		return nil
	}
	s := l.member.Status()
	if s.Applied <= s.SnapshotIndex {
		return nil
	}
	image, err := l.r.cfg.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	return l.rotate(l.member.Compact(image))
}

// rotate replaces the journal with a snapshot and the entries after it.
func (l *loop) rotate(s protocol.Snapshot) error {
	hard, entries := l.member.Tail()
	return l.journal.Rotate(s, hard, entries)
}

func (l *loop) failProposalsUpTo(index uint64) {
	for i, p := range l.proposals {
		if i <= index {
			p.answer <- outcome{err: Undecided{}}
			delete(l.proposals, i)
		}
	}
}

// failAllProposals fails the appended proposals as undecided: they may still be committed,
// whatever the cause.
func (l *loop) failAllProposals(cause error) {
	for i, p := range l.proposals {
		p.answer <- outcome{err: Undecided{Err: cause}}
		delete(l.proposals, i)
	}
}
