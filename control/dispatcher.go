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

// Bounds of the dispatcher's work.
const (
	// eventDepth is the number of events that may wait for the dispatcher; beyond it
	// their senders wait.
	eventDepth = 8192
	// maxEvents is the number of events taken together before slots are allocated.
	maxEvents = 1024
	// tickInterval is between two checks of the leases; the end of one is noticed that
	// much late at most.
	tickInterval = 20 * time.Millisecond
)

// dispatcher owns the allocator and the sessions. Other goroutines hand it events.
type dispatcher struct {
	c        *Control
	events   chan func()
	applied  chan struct{}    // a configuration was applied
	observed chan groupStatus // the newest only

	// Owned by run.
	group     groupStatus
	alloc     *slots.Allocator
	sessions  map[string]*session
	snapshots snapshotCache
	allocated time.Duration         // when slots were last allocated
	ending    map[claim.Holder]bool // processes whose end is being recorded
	opening   map[claim.Holder]int  // sessions being opened, by process
}

// groupStatus is what the replica's goroutine publishes of the configuration group.
type groupStatus struct {
	consensus.Status
	leads bool // this replica may act as the leader
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
		c: c, events: make(chan func(), eventDepth), applied: make(chan struct{}, 1),
		observed: make(chan groupStatus, 1), sessions: map[string]*session{}, ending: map[claim.Holder]bool{},
		opening: map[claim.Holder]int{},
	}
}

// configChanged is called by the replica's goroutine.
func (d *dispatcher) configChanged() {
	select {
	case d.applied <- struct{}{}:
	default:
	}
}

// observe is called by the replica's goroutine after every batch.
func (d *dispatcher) observe(s consensus.Status, leads bool) {
	select {
	case <-d.observed: // an older one, not taken yet
	default:
	}
	d.observed <- groupStatus{Status: s, leads: leads}
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
		case s := <-d.observed:
			d.setGroup(s)
		case <-d.applied:
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

// takeMore runs events that wait already, so that one allocation serves them all.
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
	return d.alloc != nil && d.now() < d.group.LeaseEnd
}

// setGroup begins an epoch when this replica may lead, and ends it when its
// lease has run out or another term has come.
func (d *dispatcher) setGroup(next groupStatus) {
	last := d.group
	d.group = next
	switch {
	case next.leads && (d.alloc == nil || last.Term != next.Term):
		d.beginEpoch(next.Term)
	case !next.leads && d.alloc != nil && (last.Term != next.Term || d.now() >= last.LeaseEnd):
		d.endEpoch()
	}
}

func (d *dispatcher) beginEpoch(term uint64) {
	d.dropSessions()
	var expected []slots.Process
	for _, h := range d.c.state.Routers() {
		expected = append(expected, slots.Process(h))
	}
	d.alloc = slots.NewAllocator(term, d.now(), d.c.cfg.Lease, d.c.cfg.Pace, expected)
	d.pushConfig()
	if at := d.c.cfg.Operators; at != "" && d.c.state.OperatorsAt(d.c.cfg.Identity.Name) != at {
		cmd := command{Advert: &advert{Replica: d.c.cfg.Identity.Name, Address: at}}
		// After an error the other replicas cannot give operators this address until it leads again.
		go func() { _, _ = propose(d.c.ctx, d.c.config, cmd) }()
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
	if !d.group.leads && !d.acting() {
		d.endEpoch()
		return
	}
	for _, name := range d.alloc.ExpireSessions(d.now()) {
		d.c.cfg.Log.Info("lease of router ran out", "router", name)
	}
	d.endExpired()
}

// endExpired records the end of listed processes whose lease has run out.
func (d *dispatcher) endExpired() {
	if !d.acting() || d.alloc.TakingOver(d.now()) {
		return
	}
	leased := map[claim.Holder]bool{}
	for _, p := range d.alloc.Processes() {
		leased[claim.Holder(p)] = true
	}
	for _, h := range d.c.state.Routers() {
		if !leased[h] && !d.ending[h] && d.opening[h] == 0 {
			d.ending[h] = true
			go d.recordEnd(h)
		}
	}
}

// recordEnd records in the logs that a process has ended: its claims become unknown
// first, so that no claim is left running by a crash in between. After an error the
// process is still listed, and a later tick tries again.
func (d *dispatcher) recordEnd(h claim.Holder) {
	defer d.post(func() { delete(d.ending, h) })
	if _, err := d.c.proposeClaim(d.c.ctx, claim.Command{Holder: h, Orphan: true}); err != nil {
		return
	}
	_, _ = propose(d.c.ctx, d.c.config, command{End: &h}) // see above
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

// allocatorView returns a configuration's servers and accounts for the allocator, by
// identifiers. over is the part of an engine's slots that is granted beyond them.
func allocatorView(cfg config.Config, over float64) ([]slots.Server, []slots.Account) {
	var servers []slots.Server
	for _, s := range cfg.Servers() {
		servers = append(servers, slots.Server{
			Name: s.ID, Pool: s.Pool, Slots: s.Slots, Overcommit: extra(s, over), Serving: s.Mark == config.Serving,
		})
	}
	var accounts []slots.Account
	for _, a := range cfg.Accounts() {
		accounts = append(accounts, slots.Account{Name: a.ID, Share: a.Share})
	}
	return servers, accounts
}

// extra returns how many slots of a server are granted beyond what it runs at
// once: their requests wait in its own queue and cover the time of the next grant's
// round trip. Plain services are not assumed to queue.
func extra(s config.Server, over float64) int {
	if s.Kind != config.Engine {
		return 0
	}
	return int(math.Ceil(over * float64(s.Slots)))
}

// pushTo sends cfg to a router: as a delta if every change since is remembered (and
// the delta can be encoded), else as a snapshot.
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
			d.c.cfg.Log.Error("configuration cannot be encoded", "revision", cfg.Revision(), "error", err)
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
	if early := d.allocated + slots.MinAllocationInterval - now; early > 0 {
		return time.After(early)
	}
	d.allocated = now
	d.alloc.Allocate(now)
	for _, o := range d.alloc.Views(now) {
		if s := d.sessions[o.Router]; s != nil {
			s.out.Send(o.View)
		}
		d.alloc.RecordSent(now, o, viewSize(o.View))
	}
	next, ok := d.alloc.NextView()
	if !ok {
		return nil
	}
	return time.After(max(next-now, 0))
}

// viewSize returns the bytes of a view on the link.
func viewSize(v protocol.View) int {
	b, err := protocol.Encode(v)
	if err != nil {
		return 0 // the outbox closes the link on the same error
	}
	return len(b)
}
