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

// This file defines the goroutine of a replica: first as a blank one that
// forms a group or waits to be repaired, then as a member.

// loop is what the replica's goroutine owns.
type loop struct {
	r         *Replica
	journal   *journal.Journal
	self      protocol.Peer
	formation *consensus.Formation // nil once there is a log
	member    *consensus.Replica   // nil until then
	waiting   map[uint64]waiter    // proposals by index
	leads     bool
	turned    time.Duration // when the last round began
	pause     time.Duration // between that and the one before it
}

// waiter is a proposal that has its place in the log.
type waiter struct {
	term   uint64
	answer chan outcome
}

const (
	// maxBatch is how many inputs share one sync. TestProposalsShareSyncs shows the sharing.
	maxBatch = 512
	// ticksPerHeartbeat is how often in a heartbeat the time is looked at when there is no input.
	ticksPerHeartbeat = 3
	// shortestTick bounds the timer's work for very short heartbeats.
	shortestTick = time.Millisecond
)

func (l *loop) init(r *Replica, j *journal.Journal, c journal.Contents) error {
	l.r, l.journal = r, j
	l.self = protocol.Peer{Name: r.cfg.Name, Incarnation: c.Incarnation}
	l.waiting = map[uint64]waiter{}
	if c.Snapshot.Group == 0 {
		l.formation = l.newFormation()
		if o := r.cfg.Open; o != nil && (!o.Bootstrap || !slices.Contains(r.cfg.Names, r.cfg.Name)) {
			l.formation.JoinOnly()
		}
		return nil
	}
	if err := l.restore(c.Snapshot.Data); err != nil {
		return err
	}
	l.begin(0, consensus.Durable{Hard: c.Hard, Snapshot: c.Snapshot, Entries: c.Entries})
	return nil
}

// restore gives the machine an image. A group's first snapshot has none, and the
// machine keeps its state.
func (l *loop) restore(image []byte) error {
	if len(image) == 0 {
		return nil
	}
	return l.r.cfg.Machine.Restore(image)
}

func (l *loop) newFormation() *consensus.Formation {
	cfg := l.r.cfg
	return consensus.NewFormation(cfg.Group, l.self, cfg.Names, cfg.Random(), cfg.Heartbeat)
}

// begin goes on as a member, with what the disk holds, or without a log if a
// leader repairs this replica.
func (l *loop) begin(now time.Duration, d consensus.Durable) {
	settings := l.r.cfg
	l.formation = nil
	cfg := consensus.Config{
		Name: settings.Group, Self: l.self, Election: settings.Election, Heartbeat: settings.Heartbeat,
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
	defer r.loop.journal.Close() // what it could still fail at was never acknowledged
	tick := time.NewTicker(max(r.cfg.Heartbeat/ticksPerHeartbeat, shortestTick))
	defer tick.Stop()
	for {
		var first input
		select {
		case <-ctx.Done():
			r.loop.failAll(Stopped{})
			return
		case first = <-r.inputs:
		case <-tick.C:
		}
		if err := r.loop.round(r.batch(first)); err != nil {
			r.err = err
			r.cfg.Log.Error("replica stopped", "group", r.cfg.Group, "error", err)
			r.loop.failAll(Stopped{Err: err})
			return
		}
	}
}

// batch returns the first input and those that wait behind it.
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

// round steps through one batch and makes its effects durable. An error is
// the disk's and final.
func (l *loop) round(in []input) error {
	now := l.r.Now()
	l.pause, l.turned = now-l.turned, now
	for _, i := range in {
		if err := l.take(now, i); err != nil {
			return err
		}
	}
	if l.member == nil {
		return l.tickFormation(now)
	}
	l.member.Tick(now)
	if l.member.RepairStopped() {
		l.r.cfg.Log.Info("repair stopped, looking for the group again", "group", l.r.cfg.Group)
		l.member, l.formation = nil, l.newFormation().JoinOnly()
		return nil
	}
	for {
		ready := l.member.Ready()
		if ready.Empty() {
			break
		}
		if err := l.carryOut(ready); err != nil {
			return err
		}
		l.member.Advance()
	}
	l.observe(now)
	return l.compact()
}

func (l *loop) take(now time.Duration, i input) error {
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
		// A leader repairs this replica: go on as a member without a log.
		l.begin(now, consensus.Durable{})
		l.member.Step(now, m)
		return nil
	}
	if s, ok := l.formation.Step(m); ok {
		return l.found(now, s)
	}
	return nil
}

// tickFormation sends what a blank replica has to send and founds the group if
// this replica may.
func (l *loop) tickFormation(now time.Duration) error {
	s, ok := l.formation.Tick(now)
	messages := l.formation.Messages()
	if ok {
		if err := l.found(now, s); err != nil {
			return err
		}
	}
	l.send(messages)
	return nil
}

// found makes the group's first snapshot durable and begins with it.
func (l *loop) found(now time.Duration, s protocol.Snapshot) error {
	if err := l.journal.Rotate(s, protocol.HardState{Term: s.Term}, nil); err != nil {
		return err
	}
	l.r.cfg.Log.Info("group formed", "group", l.r.cfg.Group, "voters", len(s.Members.Voters))
	l.begin(now, consensus.Durable{Hard: protocol.HardState{Term: s.Term}, Snapshot: s})
	return nil
}

// propose appends a command; its answer follows when the entry is applied.
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
	l.waiting[index] = waiter{term: term, answer: p.answer}
}

// carryOut carries out a Ready in its order: write, send, restore, apply.
func (l *loop) carryOut(ready consensus.Ready) error {
	if err := l.persist(ready); err != nil {
		return err
	}
	l.send(ready.Messages)
	if ready.Restore != nil {
		if err := l.restore(ready.Restore.Data); err != nil {
			return err
		}
		l.failBelow(ready.Restore.Index)
	}
	for _, e := range ready.Committed {
		l.apply(e)
	}
	return nil
}

func (l *loop) persist(ready consensus.Ready) error {
	if ready.Snapshot == nil && len(ready.Entries) > 0 {
		defer l.measure(l.r.Now())
	}
	if ready.Snapshot == nil {
		return l.journal.Save(ready.Hard, ready.Entries)
	}
	return l.rotate(*ready.Snapshot)
}

// syncParts is the part of one sync in the average, inverted. Eight syncs outweigh what was before.
const syncParts = 8

// measure averages the time of a sync that began at a time.
func (l *loop) measure(began time.Duration) {
	took, average := int64(l.r.Now()-began), l.r.syncTime.Load()
	if average != 0 {
		took = average + (took-average)/syncParts
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
		result = l.r.cfg.Machine.Apply(e.Data)
	}
	w, ok := l.waiting[e.Index]
	if !ok {
		return
	}
	delete(l.waiting, e.Index)
	if w.term != e.Term {
		w.answer <- outcome{err: consensus.NotLeader{Leader: l.member.Status().Leader}}
		return
	}
	w.answer <- outcome{result: result}
}

// observe gives the owner the group's state and fails proposals that this replica
// can no longer decide.
func (l *loop) observe(now time.Duration) {
	s := l.member.Status()
	if s.Role != consensus.Leader && len(l.waiting) > 0 {
		l.failAll(nil)
	}
	leads := l.member.Leads(now)
	if leads != l.leads {
		l.leads = leads
		l.logLead(s)
	}
	if l.r.cfg.Observe != nil {
		l.r.cfg.Observe(s, leads)
	}
}

// logLead logs that this replica leads now, or why it does not any more: the age of the last
// quorum, what its answers took, how long ago this loop last turned, and what waits for it. A loop that is late has a
// large pause; answers that are late have not.
func (l *loop) logLead(s consensus.Status) {
	log := l.r.cfg.Log.With("group", l.r.cfg.Group, "leads", l.leads, "term", s.Term)
	if l.leads {
		log.Info("lead changed")
		return
	}
	log.Info("lead changed", "why", s.LeadershipEnd.Cause, "quorum_ms", s.LeadershipEnd.SinceQuorum.Milliseconds(),
		"round_trip_ms", s.LeadershipEnd.RoundTrip.Milliseconds(), "pause_ms", l.pause.Milliseconds(), "inputs", len(l.r.inputs))
}

// compact replaces the log by a snapshot once it has grown to Tuning.CompactAt.
func (l *loop) compact() error {
	if l.r.cfg.CompactAt <= 0 || l.journal.Size() < l.r.cfg.CompactAt {
		return nil
	}
	s := l.member.Status()
	if s.Applied <= s.First {
		return nil
	}
	image, err := l.r.cfg.Machine.Snapshot()
	if err != nil {
		return err
	}
	return l.rotate(l.member.Compact(image))
}

// rotate makes a snapshot and what is behind it durable, in place of all before.
func (l *loop) rotate(s protocol.Snapshot) error {
	hard, entries := l.member.Tail()
	return l.journal.Rotate(s, hard, entries)
}

func (l *loop) failBelow(index uint64) {
	for i, w := range l.waiting {
		if i <= index {
			w.answer <- outcome{err: Undecided{}}
			delete(l.waiting, i)
		}
	}
}

// failAll fails the proposals that have their place in the log. They may be committed
// all the same, whatever the cause.
func (l *loop) failAll(cause error) {
	for i, w := range l.waiting {
		w.answer <- outcome{err: Undecided{Err: cause}}
		delete(l.waiting, i)
	}
}
