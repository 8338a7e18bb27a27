// SPDX-License-Identifier: Apache-2.0

package control

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines dispatcher, the goroutine that owns the allocator and the
// routers' sessions while this replica leads.

const (
	eventDepth   = 8192
	tickInterval = 20 * time.Millisecond
	maxEvents    = 1024 // taken together before slots are allocated
)

type dispatcher struct {
	c      *Control
	events chan func()
	wake   chan struct{} // the configuration changed
	leadCh chan lead     // newest lead only

	// Owned by run.
	lead      lead
	alloc     *slots.Allocator
	sessions  map[string]*session
	snapshots snapshotCache
	turned    time.Duration         // when slots were last allocated
	ending    map[claim.Holder]bool // their end is being recorded
	opening   map[claim.Holder]int  // their session is being opened
}

// lead is what the replica's goroutine last said about leadership.
type lead struct {
	leads    bool
	term     uint64
	leader   string
	follows  bool
	pending  bool
	group    uint64
	leaseEnd time.Duration
	members  protocol.Membership
}

// session is one router's link.
type session struct {
	holder   claim.Holder
	out      *link.Outbox
	sent     uint64 // revision sent
	revision uint64 // revision confirmed
}

// snapshotCache keeps the encoding of the newest configuration, so that many
// routers that join at once cost one encoding.
type snapshotCache struct {
	revision uint64
	image    []byte
}

func newDispatcher(c *Control) *dispatcher {
	return &dispatcher{
		c: c, events: make(chan func(), eventDepth), wake: make(chan struct{}, 1),
		leadCh: make(chan lead, 1), sessions: map[string]*session{}, ending: map[claim.Holder]bool{},
		opening: map[claim.Holder]int{},
	}
}

// configChanged is called by the replica's goroutine.
func (d *dispatcher) configChanged() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// observe is called by the replica's goroutine after every batch.
func (d *dispatcher) observe(s consensus.Status, leads bool) {
	l := lead{
		leads: leads, term: s.Term, leader: s.Leader.Name, group: s.Group, leaseEnd: s.LeaseEnd,
		members: s.Members, follows: !s.Leader.IsZero(),
		pending: s.Last > s.Applied,
	}
	select {
	case <-d.leadCh: // an older one, not taken yet
	default:
	}
	d.leadCh <- l
}

// do runs f in the dispatcher's goroutine and reports whether it did.
func (d *dispatcher) do(f func()) bool {
	done := make(chan struct{})
	select {
	case d.events <- func() { f(); close(done) }:
	case <-d.c.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-d.c.ctx.Done():
		return false
	}
}

// post runs f later in the dispatcher's goroutine.
func (d *dispatcher) post(f func()) {
	select {
	case d.events <- f:
	case <-d.c.ctx.Done():
	}
}

func (d *dispatcher) now() time.Duration { return d.c.config.Now() }

func (d *dispatcher) run() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer d.dropSessions()
	var due <-chan time.Time
	for {
		select {
		case <-d.c.ctx.Done():
			return
		case l := <-d.leadCh:
			d.setLead(l)
		case <-d.wake:
			d.pushConfig()
		case f := <-d.events:
			f()
			d.takeMore()
		case <-tick.C:
			d.tick()
		case <-due:
		}
		due = d.allocate()
	}
}

// takeMore takes events that wait already, so that one allocation serves them
// all.
func (d *dispatcher) takeMore() {
	for range maxEvents {
		select {
		case f := <-d.events:
			f()
		default:
			return
		}
	}
}

// acting reports whether this replica may act as the allocator now.
func (d *dispatcher) acting() bool {
	return d.alloc != nil && d.now() < d.lead.leaseEnd
}

func (d *dispatcher) setLead(l lead) {
	was := d.lead
	d.lead = l
	switch {
	case l.leads && (d.alloc == nil || was.term != l.term):
		d.beginEpoch(l.term)
	case !l.leads && d.alloc != nil && d.now() >= was.leaseEnd:
		d.endEpoch()
	case !l.leads && l.term != was.term && d.alloc != nil:
		d.endEpoch()
	}
}

func (d *dispatcher) beginEpoch(term uint64) {
	d.dropSessions()
	var expected []slots.Process
	for _, h := range d.c.state.Routers() {
		expected = append(expected, slots.Process{Router: h.Router, Boot: h.Boot})
	}
	d.alloc = slots.NewAllocator(term, d.now(), d.c.cfg.Lease, d.c.cfg.Pace, expected)
	d.pushConfig()
	if at := d.c.cfg.Operators; at != "" && d.c.state.OperatorsAt(d.c.cfg.Identity.Name) != at {
		go func() {
			_ = d.c.proposeCommand(command{Advert: &advert{Replica: d.c.cfg.Identity.Name, Address: at}})
		}()
	}
	d.c.cfg.Log.Info("allocating", "epoch", term, "expected-routers", len(expected))
}

func (d *dispatcher) endEpoch() {
	d.c.cfg.Log.Info("allocation ended", "epoch", d.alloc.Epoch())
	d.alloc = nil
	d.dropSessions()
}

func (d *dispatcher) dropSessions() {
	for name, s := range d.sessions {
		s.out.Close()
		delete(d.sessions, name)
	}
}

func (d *dispatcher) tick() {
	if d.alloc == nil {
		return
	}
	if !d.lead.leads && !d.acting() {
		d.endEpoch()
		return
	}
	for _, name := range d.alloc.Tick(d.now()) {
		d.c.cfg.Log.Info("lease of router ran out", "router", name)
	}
	d.endVanished()
}

// endVanished records the end of processes that may still be listed as
// holding slots but whose lease has run out.
func (d *dispatcher) endVanished() {
	if !d.acting() || d.alloc.TakingOver(d.now()) {
		return
	}
	known := map[claim.Holder]bool{}
	for _, p := range d.alloc.Processes() {
		known[claim.Holder{Router: p.Router, Boot: p.Boot}] = true
	}
	for _, h := range d.c.state.Routers() {
		if !known[h] && !d.ending[h] && d.opening[h] == 0 {
			d.ending[h] = true
			go d.recordEnd(h)
		}
	}
}

// recordEnd tells the logs that a process is gone: its claims become unknown
// first, so that no claim is left behind by a crash in between.
func (d *dispatcher) recordEnd(h claim.Holder) {
	defer d.post(func() { delete(d.ending, h) })
	if err := d.c.orphanClaims(h); err != nil {
		return
	}
	_ = d.c.proposeCommand(command{End: &h})
}

// pushConfig brings allocator and routers to the applied configuration.
func (d *dispatcher) pushConfig() {
	if d.alloc == nil {
		return
	}
	cfg := d.c.state.Config()
	d.alloc.Configure(allocatorView(cfg, d.c.cfg.Overcommit))
	for _, s := range d.sessions {
		d.pushTo(s, cfg)
	}
}

// allocatorView returns what the allocator needs of a configuration, by
// identifiers. over is the part of a server's slots that is granted beyond.
func allocatorView(cfg config.Config, over float64) ([]slots.Server, []slots.Account) {
	var servers []slots.Server
	for _, s := range cfg.Servers() {
		servers = append(servers, slots.Server{
			Name: s.ID, Pool: s.Pool, Slots: s.Slots, Extra: extra(s, over), Serving: s.Mark == config.Serving,
		})
	}
	var accounts []slots.Account
	for _, a := range cfg.Accounts() {
		accounts = append(accounts, slots.Account{Name: a.ID, Share: a.Share})
	}
	return servers, accounts
}

// extra returns how many slots of a server are granted beyond what it runs at
// once, to wait in its own queue and hide the way of the next grant. Plain
// services are not assumed to queue.
func extra(s config.Server, over float64) int {
	if s.Kind != config.Engine {
		return 0
	}
	return int(math.Ceil(over * float64(s.Slots)))
}

// pushTo sends what leads a router to cfg: a delta if the past is remembered,
// else a snapshot.
func (d *dispatcher) pushTo(s *session, cfg config.Config) {
	if s.sent >= cfg.Revision() {
		return
	}
	if delta, ok := d.c.state.DeltaFrom(s.sent); ok && s.sent > 0 {
		if b, err := cbor.Marshal(delta); err == nil {
			s.out.Send(protocol.Configure{Delta: b})
			s.sent = delta.To()
			return
		}
	}
	if d.snapshots.revision != cfg.Revision() {
		b, err := cbor.Marshal(cfg.Snapshot())
		if err != nil {
			return
		}
		d.snapshots = snapshotCache{revision: cfg.Revision(), image: b}
	}
	s.out.Send(protocol.Configure{Snapshot: d.snapshots.image})
	s.sent = cfg.Revision()
}

// allocate grants what can be granted, sends the views that are due, and
// returns when the next one is.
func (d *dispatcher) allocate() <-chan time.Time {
	if !d.acting() {
		return nil
	}
	now := d.now()
	if early := d.turned + slots.TurnGap - now; early > 0 {
		return time.After(early)
	}
	d.turned = now
	d.alloc.Allocate(now)
	for _, o := range d.alloc.Views(now) {
		if s := d.sessions[o.Router]; s != nil {
			s.out.Send(o.View)
		}
		d.alloc.Sent(now, o, viewSize(o.View))
	}
	next, ok := d.alloc.NextView()
	if !ok {
		return nil
	}
	return time.After(max(next-now, 0))
}

// viewSize returns the bytes that a view takes on the link.
func viewSize(v protocol.View) int {
	b, err := protocol.Encode(v)
	if err != nil {
		return 0
	}
	return len(b)
}
