// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines hub, the goroutine that owns the registry and the
// gateways' sessions while this replica leads.

const (
	eventDepth   = 8192
	sessionQueue = 256
	fleetPeriod  = 100 * time.Millisecond // between two Fleet messages
	fleetLongest = 600 * time.Millisecond // gateways take a leader that is silent for longer for lost
	fleetBudget  = 8 << 10                // bytes a second of Fleet messages on one link
	joinTimeout  = 2 * time.Second        // for joins to be logged
)

// leadership is what the replica's goroutine last said.
type leadership struct {
	leads    bool
	term     uint64
	leader   string // fleet address
	leaseEnd time.Duration
	members  []string
	formed   bool // the replica has a log
}

type hub struct {
	d          *Directory
	events     chan func()
	wake       chan struct{} // the applied state or the lead changed
	leadership atomic.Pointer[leadership]

	// Owned by run.
	term     uint64 // 0 unless this replica leads
	registry *registry.Registry
	departed uint64 // departures applied to the registry
	complete bool
	unlogged []document.Server // announced, not yet put into the log
	sessions map[*session]bool
	usage    *usage
	encoded  protocol.Document // newest document, encoded once
}

func newHub(d *Directory) *hub {
	h := &hub{
		d: d, events: make(chan func(), eventDepth), wake: make(chan struct{}, 1),
		sessions: map[*session]bool{}, usage: newUsage(),
	}
	h.leadership.Store(&leadership{})
	return h
}

// stateChanged is called by the replica's goroutine.
func (h *hub) stateChanged() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// observe is called by the replica's goroutine after every batch.
func (h *hub) observe(s consensus.Status, leads bool) {
	old := h.leadership.Load()
	next := &leadership{leads: leads, term: s.Term, leader: s.Leader.Name, leaseEnd: s.LeaseEnd, members: old.members, formed: true}
	if !sameMembers(old.members, s.Members) {
		next.members = nil
		for _, p := range s.Members.Voters {
			next.members = append(next.members, p.Name)
		}
	}
	h.leadership.Store(next)
	if old.leads != leads || old.term != s.Term || old.leader != next.leader {
		h.stateChanged()
	}
}

func sameMembers(names []string, m protocol.Membership) bool {
	return slices.EqualFunc(names, m.Voters, func(name string, p protocol.Peer) bool { return name == p.Name })
}

func (h *hub) post(f func()) {
	select {
	case h.events <- f:
	case <-h.d.ctx.Done():
	}
}

// do runs f in the hub's goroutine and waits for it.
func (h *hub) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	h.post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Unavailable{Err: ctx.Err()}
	case <-h.d.ctx.Done():
		return Unavailable{Err: h.d.ctx.Err()}
	}
}

func (h *hub) run() {
	tick := time.NewTicker(fleetPeriod)
	defer tick.Stop()
	defer h.endTerm()
	for {
		select {
		case <-h.d.ctx.Done():
			return
		case <-h.wake:
			h.syncLeadership()
		case f := <-h.events:
			f()
		case <-tick.C:
			h.tick()
		}
	}
}

// syncLeadership brings the hub to the present lead and state.
func (h *hub) syncLeadership() {
	l := h.leadership.Load()
	switch {
	case l.leads && h.term != l.term:
		h.endTerm()
		h.beginTerm(l.term)
	case !l.leads && h.term != 0:
		h.endTerm()
	}
	if h.term != 0 {
		h.pushDepartures()
		h.pushDocument()
	}
}

func (h *hub) beginTerm(term uint64) {
	h.term = term
	h.registry = registry.New(h.d.replica.Now(), h.d.cfg.Interval)
	h.departed = 0
	h.complete = false
	h.unlogged = nil
	for _, b := range h.d.state.Joined() {
		h.registry.Restore(h.d.replica.Now(), registry.Announcement{
			ID: b.ID, Pool: b.Pool, Address: b.Address, Hall: b.Hall, Slots: b.Slots,
		})
	}
	h.usage = newUsage()
	h.d.cfg.Log.StateChange("leading", slog.Uint64("term", term), slog.Any("members", h.leadership.Load().members))
}

func (h *hub) endTerm() {
	if h.term == 0 {
		return
	}
	h.d.cfg.Log.StateChange("leading no more", slog.Uint64("term", h.term), slog.String("leader", h.leadership.Load().leader))
	h.term = 0
	for s := range h.sessions {
		s.out.Close()
		delete(h.sessions, s)
	}
}

func (h *hub) tick() {
	h.syncLeadership()
	if h.term == 0 {
		return
	}
	h.broadcast(h.registry.ExpireSilent(h.d.replica.Now()))
	if !h.complete && h.registry.Complete(h.d.replica.Now()) {
		h.complete = true
		h.d.cfg.Log.StateChange("registry complete", slog.Int("backends", h.registry.Size()))
		for s := range h.sessions {
			s.out.Send(h.wholeList())
		}
	}
	h.logJoins()
	h.pushFleet()
}

// logJoins puts what was announced since the last tick into the log. What is
// lost on the way is heard again by a later leader.
func (h *hub) logJoins() {
	if len(h.unlogged) == 0 {
		return
	}
	c := command{Join: h.unlogged}
	h.unlogged = nil
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, joinTimeout)
		defer cancel()
		_, _ = h.d.propose(ctx, c)
	}()
}

// pushDepartures takes departed backend servers out of the registry and tells
// everybody.
func (h *hub) pushDepartures() {
	departures, total := h.d.state.DeparturesSince(h.departed)
	h.departed = total
	var change registry.Change
	for _, id := range departures {
		change.Gone = append(change.Gone, h.registry.Remove(id).Gone...)
	}
	h.broadcast(change)
}

// pushDocument sends the newest document to every session that lacks it.
func (h *hub) pushDocument() {
	held, ok := h.d.state.Held()
	if !ok {
		return
	}
	if h.encoded.Number != held.Document.Number || h.encoded.Data == nil {
		data, err := cbor.Marshal(held.Document)
		if err != nil {
			h.d.cfg.Log.StateChange("document cannot be encoded", slog.String("error", err.Error()))
			return
		}
		h.encoded = protocol.Document{Number: held.Document.Number, Data: data}
		h.d.cfg.Log.StateChange("document in force", slog.Uint64("number", h.encoded.Number), slog.Int("bytes", len(data)))
	}
	for s := range h.sessions {
		if s.sent < h.encoded.Number {
			s.out.Send(h.encoded)
			s.sent = h.encoded.Number
		}
	}
}

func (h *hub) announce(ctx context.Context, a registry.Announcement) error {
	known := false
	err := h.do(ctx, func() {
		if h.term == 0 || h.d.state.Departed(a.ID) {
			return
		}
		known = true
		change := h.registry.Announce(h.d.replica.Now(), a)
		for _, b := range change.Set {
			h.d.cfg.Log.StateChange("backend announced", slog.String("backend", b.ID), slog.String("pool", b.Pool),
				slog.String("address", b.Address), slog.Any("replaces", change.Gone))
			h.unlogged = append(h.unlogged, document.Server{
				ID: b.ID, Pool: b.Pool, Address: b.Address, Hall: b.Hall, Slots: b.Slots,
			})
		}
		h.broadcast(change)
	})
	if err == nil && !known && !h.d.state.Departed(a.ID) {
		return Unavailable{}
	}
	return err
}
