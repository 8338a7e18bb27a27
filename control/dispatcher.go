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

// Limits of the dispatcher.
const (
	// eventQueueDepth is the number of events that may be queued for the dispatcher. If the
	// queue is full, senders block.
	eventQueueDepth = 8192
	// maxEventBatch is the number of further queued events that run after an event, before
	// slots are allocated.
	maxEventBatch = 1024
	// tickInterval is the interval between checks of the leases, and so the maximum delay
	// before an expired lease is detected.
	tickInterval = 20 * time.Millisecond
)

// dispatcher owns the allocator and the sessions. Other goroutines send it events.
type dispatcher struct {
	c             *Control
	events        chan func()
	configApplied chan struct{}    // signals that a configuration was applied
	statusUpdates chan groupStatus // holds at most one status, the newest

	// The fields below are owned by run.
	group           groupStatus
	alloc           *slots.Allocator
	sessions        map[string]*session
	snapshots       snapshotCache
	lastAllocation  time.Duration         // when slots were last allocated
	recordingEnd    map[claim.Holder]bool // router processes whose end is being recorded in the logs
	openingSessions map[claim.Holder]int  // number of sessions being opened, by router process
}

// groupStatus is the status of the configuration group that its replica's goroutine publishes.
type groupStatus struct {
	consensus.Status
	leads bool // this replica may act as the leader
}

// session is the control side of one router's link.
type session struct {
	holder            claim.Holder
	out               *link.Outbox
	sentRevision      uint64 // newest revision sent to the router
	confirmedRevision uint64 // newest revision that the router confirmed
}

// snapshotCache holds the encoded newest configuration, so that it is encoded only once
// when many routers join at the same time.
type snapshotCache struct {
	revision uint64
	image    []byte
}

func newDispatcher(c *Control) *dispatcher {
	return &dispatcher{
		c: c, events: make(chan func(), eventQueueDepth), configApplied: make(chan struct{}, 1),
		statusUpdates: make(chan groupStatus, 1), sessions: map[string]*session{}, recordingEnd: map[claim.Holder]bool{},
		openingSessions: map[claim.Holder]int{},
	}
}

// configChanged signals that a configuration was applied. The replica's goroutine calls it.
func (d *dispatcher) configChanged() {
	select {
	case d.configApplied <- struct{}{}:
	default:
	}
}

// publishStatus passes the status of the configuration group to run, in place of any status that
// run has not received yet. The replica's goroutine calls it after every batch.
func (d *dispatcher) publishStatus(s consensus.Status, leads bool) {
	select {
	case <-d.statusUpdates: // an older status that run has not received yet
	default:
	}
	d.statusUpdates <- groupStatus{Status: s, leads: leads}
}

// call runs f in the dispatcher's goroutine, waits for it and reports whether it ran.
func (d *dispatcher) call(f func()) bool {
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

// post queues f to run in the dispatcher's goroutine and does not wait for it.
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
		case s := <-d.statusUpdates:
			d.setGroup(s)
		case <-d.configApplied:
			d.pushConfig()
		case f := <-d.events:
			f()
			d.runPending()
		case <-tick.C:
			d.tick()
		case <-due:
		}
		due = d.allocate()
	}
}

// runPending runs the events that are already queued, so that one allocation serves them all.
func (d *dispatcher) runPending() {
	for range maxEventBatch {
		select {
		case f := <-d.events:
			f()
		default:
			return
		}
	}
}

// isAllocator reports whether this replica may currently act as the allocator.
func (d *dispatcher) isAllocator() bool {
	return d.alloc != nil && d.now() < d.group.LeaseEnd
}

// setGroup stores a new status of the group. It begins an epoch when this replica may
// act as the leader, and ends the epoch when the lease has expired or the term changed.
func (d *dispatcher) setGroup(next groupStatus) {
	prev := d.group
	d.group = next
	switch {
	case next.leads && (d.alloc == nil || prev.Term != next.Term):
		d.beginEpoch(next.Term)
	case !next.leads && d.alloc != nil && (prev.Term != next.Term || d.now() >= prev.LeaseEnd):
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
	if operatorsAddr := d.c.cfg.OperatorsAddress; operatorsAddr != "" && d.c.state.OperatorsAddress(d.c.cfg.Identity.Name) != operatorsAddr {
		cmd := command{Advert: &advertisedAddress{Replica: d.c.cfg.Identity.Name, Address: operatorsAddr}}
		// After an error, the other replicas cannot direct operators to this one until it leads again.
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
	if !d.group.leads && !d.isAllocator() {
		d.endEpoch()
		return
	}
	for _, name := range d.alloc.ExpireSessions(d.now()) {
		d.c.cfg.Log.Info("router lease expired", "router", name)
	}
	d.recordExpired()
}

// recordExpired records the end of listed router processes whose lease has expired.
func (d *dispatcher) recordExpired() {
	if !d.isAllocator() || d.alloc.TakingOver(d.now()) {
		return
	}
	leased := map[claim.Holder]bool{}
	for _, p := range d.alloc.Processes() {
		leased[claim.Holder(p)] = true
	}
	for _, h := range d.c.state.Routers() {
		if !leased[h] && !d.recordingEnd[h] && d.openingSessions[h] == 0 {
			d.recordingEnd[h] = true
			go d.recordEnd(h)
		}
	}
}

// recordEnd records in the logs that a router process has ended. Its claims become unknown
// first, so that a crash between the two proposals leaves no claim in the running state.
// After an error, the process is still listed and a later tick tries again.
func (d *dispatcher) recordEnd(h claim.Holder) {
	defer d.post(func() { delete(d.recordingEnd, h) })
	if _, err := d.c.proposeClaim(d.c.ctx, claim.Command{Holder: h, Orphan: true}); err != nil {
		return
	}
	_, _ = propose(d.c.ctx, d.c.config, command{End: &h}) // see above
}

// pushConfig passes the applied configuration to the allocator and the routers.
func (d *dispatcher) pushConfig() {
	if d.alloc == nil {
		return
	}
	cfg := d.c.state.Config()
	d.alloc.Configure(allocatorView(cfg, d.c.cfg.Overcommit))
	for _, s := range d.sessions {
		d.pushConfigTo(s, cfg)
	}
}

// allocatorView returns the servers and accounts of a configuration for the allocator, which
// names them by identifier. overcommit is Settings.Overcommit.
func allocatorView(cfg config.Config, overcommit float64) ([]slots.Server, []slots.Account) {
	var servers []slots.Server
	for _, s := range cfg.Servers() {
		servers = append(servers, slots.Server{
			Name: s.ID, Pool: s.Pool, Slots: s.Slots, Overcommit: overcommitSlots(s, overcommit), Serving: s.Mark == config.Serving,
		})
	}
	var accounts []slots.Account
	for _, a := range cfg.Accounts() {
		accounts = append(accounts, slots.Account{Name: a.ID, Share: a.Share})
	}
	return servers, accounts
}

// overcommitSlots returns how many slots of a server are granted beyond the number of requests
// that it runs at once. The additional requests wait in the server's own queue and keep it
// busy during the round trip of the next grant. Plain services are not assumed to queue.
func overcommitSlots(s config.Server, overcommit float64) int {
	if s.Kind != config.Engine {
		return 0
	}
	return int(math.Ceil(overcommit * float64(s.Slots)))
}

// pushConfigTo sends cfg to a router: as a delta if all changes since the revision that the
// router has are still stored and the delta can be encoded, otherwise as a snapshot.
func (d *dispatcher) pushConfigTo(s *session, cfg config.Config) {
	if s.sentRevision >= cfg.Revision() {
		return
	}
	if delta, ok := d.c.state.DeltaFrom(s.sentRevision); ok && s.sentRevision > 0 {
		if b, err := cbor.Marshal(delta); err == nil {
			s.out.Send(protocol.Configure{Delta: b})
			s.sentRevision = delta.To()
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
	s.sentRevision = cfg.Revision()
}

// allocate grants free slots, sends the views that are due, and returns a channel that
// fires when allocate should run again, or nil if there is no such time.
func (d *dispatcher) allocate() <-chan time.Time {
	if !d.isAllocator() {
		return nil
	}
	now := d.now()
	if untilAllowed := d.lastAllocation + slots.MinAllocationInterval - now; untilAllowed > 0 {
		return time.After(untilAllowed)
	}
	d.lastAllocation = now
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

// viewSize returns the encoded size of a view in bytes.
func viewSize(v protocol.View) int {
	b, err := protocol.Encode(v)
	if err != nil {
		return 0 // the outbox fails with the same error and closes the link
	}
	return len(b)
}
