// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines hub, the goroutine that owns the registry and the
// gateways' sessions while this replica leads.

const (
	// eventDepth is the number of announcements and reports that may wait for the hub; beyond it their
	// senders wait.
	eventDepth = 8192
)

// leadership is what the replica's goroutine last published.
type leadership struct {
	leads    bool
	term     uint64
	leader   string // fleet address
	leaseEnd time.Duration
	voters   []string // fleet addresses
	formed   bool     // the replica has a log
}

// refusal is a leader that needed no relay here, in its term, while sessions were spread or not.
type refusal struct {
	term   uint64
	spread bool
}

type hub struct {
	d          *Directory
	events     chan func()
	wake       chan struct{} // the applied state or the lead changed
	leadership atomic.Pointer[leadership]

	// Owned by run.
	term            uint64 // 0 unless this replica leads
	registry        *registry.Registry
	departed        uint64                  // departures applied to the registry
	complete        bool                    // the registry is, and the sessions were sent the whole list since
	unloggedJoins   []protocol.Registration // announced, not yet put into the log
	joining         bool                    // some are being put into it
	sessions        map[*session]bool
	pendingChange   registry.Change // not sent to the sessions yet
	sentHallChanges uint64          // in the last halls that the sessions were sent
	list            *wholeList      // for sessions that open; nil: to be made anew
	usage           *usage
	feed            registry.Feed
	nextFleetAt     time.Duration     // of the next Fleet message
	encodedDocument protocol.Document // newest document, encoded once

	rollouts     rollouts
	evidence     evidence
	ordered      map[attemptKey]time.Duration // rollouts under way, in every term
	sharesLogged time.Duration                // when

	termBegan time.Duration // of the term
	placeDue  time.Duration // when to look next where the leader should stand, in any term
	relay     *relay        // nil unless this replica passes on what the leader sends
	refused   atomic.Pointer[refusal]

	handles     *registry.Handles // of all that this replica sends gateways
	spread      registry.Spread
	spreading   bool             // what was decided is being logged
	spreadSince time.Duration    // when this leader first saw that sessions are spread
	placesSent  []protocol.Place // to the relays
	missing     []string         // lives that gateways have from the leader before, and this one has not

	listPace     registry.ListPace
	joinPace     registry.ListPace // of what the log gets of servers
	listless     []*session        // that wait for the whole list, oldest first
	undocumented bool              // some session lacks the newest document
	heldServers  registry.Change   // servers that gateways are still to be sent, as messages have them
	turn         *time.Timer       // of the next list, or of what is held
	// hallsTold and termTold are of the last change of the list.
	hallsTold, termTold uint64
}

func newHub(d *Directory) *hub {
	h := &hub{
		d: d, events: make(chan func(), eventDepth), wake: make(chan struct{}, 1),
		sessions: map[*session]bool{}, usage: newUsage(),
		handles: registry.NewHandles(d.cfg.Random()), turn: time.NewTimer(time.Hour),
		listPace: registry.NewListPace(listPart * d.cfg.LinkRate), joinPace: registry.NewListPace(joinPart * d.cfg.LinkRate),
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
	next := &leadership{leads: leads, term: s.Term, leader: s.Leader.Name, leaseEnd: s.LeaseEnd, formed: true}
	for _, p := range s.Members.Voters {
		next.voters = append(next.voters, p.Name)
	}
	h.leadership.Store(next)
	if !slices.Equal(old.voters, next.voters) {
		h.d.mesh.Keep(next.voters)
	}
	if old.leads != leads || old.term != s.Term || old.leader != next.leader {
		h.stateChanged()
	}
}

// post queues f for the hub's goroutine.
func (h *hub) post(f func()) {
	select {
	case h.events <- f:
	case <-h.d.ctx.Done():
	}
}

// do runs f in the hub's goroutine and returns its error, or [Unavailable] if it cannot
// wait for it.
func (h *hub) do(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	h.post(func() { done <- f() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return Unavailable{Err: ctx.Err()}
	case <-h.d.ctx.Done():
		return Unavailable{Err: h.d.ctx.Err()}
	}
}

func (h *hub) run() {
	tick := time.NewTicker(registry.FleetPeriod)
	defer tick.Stop()
	defer h.turn.Stop()
	defer func() {
		h.endTerm()
		h.endRelay("")
	}()
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
		case <-h.turn.C:
			h.sendLists()
		}
	}
}

func (h *hub) tick() {
	h.syncLeadership()
	h.sendHeld()
	if h.relay != nil {
		h.relay.tick()
		h.moveMisplacedSessions()
	}
	if h.term == 0 {
		return
	}
	now := h.d.replica.Now()
	h.pendingChange = h.pendingChange.Merge(h.registry.ExpireSilent(now))
	h.divideCold(now)
	completed := !h.complete && h.registry.Complete(now)
	if completed {
		h.complete = true
		h.d.cfg.Log.StateChange("registry complete", slog.Int("backends", h.registry.Len()))
	}
	h.pushChanges(completed)
	h.stepEvidence()
	h.logJoins()
	h.pushFleet()
	h.decideSpread(now)
	h.pushPlaces()
	h.moveMisplacedSessions()
	h.checkPlacement(now)
}

// divideCold gives the rates of cold backend servers to gateways.
func (h *hub) divideCold(now time.Duration) {
	if !h.registry.AnyCold(now) {
		return
	}
	names := slices.Sorted(maps.Keys(h.gateways()))
	change := h.registry.DivideColdRates(now, names, h.d.state.coldRates())
	for _, s := range change.Set {
		h.d.cfg.Log.StateChange("cold backend divided", slog.String("backend", s.ID),
			slog.Int64("left_ms", s.Cold.Left.Milliseconds()), slog.Any("shares", s.Cold.Shares))
	}
	h.pendingChange = h.pendingChange.Merge(change)
}

// pushDepartures removes departed backend servers from the registry and sends their
// departures to every session, whose gateway may list one that the registry lacks.
func (h *hub) pushDepartures() {
	departures, total := h.d.state.DeparturesSince(h.departed)
	h.departed = total
	for _, id := range departures {
		h.registry.Remove(id)
	}
	if len(departures) > 0 {
		h.pendingChange = h.pendingChange.Merge(registry.Change{Gone: departures})
		h.pushChanges(false)
	}
}

// pushDocument sends the newest document to every session that lacks it.
func (h *hub) pushDocument() {
	held, ok := h.d.state.Held()
	if !ok {
		return
	}
	if h.encodedDocument.Number != held.Document.Number || h.encodedDocument.Data == nil {
		data, err := cbor.Marshal(held.Document)
		if err != nil {
			h.d.cfg.Log.StateChange("document cannot be encoded", slog.String("error", err.Error()))
			return
		}
		h.encodedDocument = protocol.Document{Number: held.Document.Number, Data: data}
		h.d.cfg.Log.StateChange("document in force", slog.Uint64("number", h.encodedDocument.Number), slog.Int("bytes", len(data)))
	}
	h.sendDocuments()
	h.awaitTurn()
}

// announce takes an announcement in the hub's goroutine. The error is [Unavailable].
func (h *hub) announce(ctx context.Context, a registry.Announcement) error {
	return h.do(ctx, func() error { return h.applyAnnouncement(a) })
}

// listedLife returns the identifier under which a server is listed that names itself alone: its own
// if none is. The error is [Unavailable].
func (h *hub) listedLife(ctx context.Context, name string) (id string, err error) {
	id = name
	err = h.do(ctx, func() error {
		switch {
		case h.term == 0:
			return Unavailable{}
		case h.registry.NewestLife(name) != "":
			id = h.registry.NewestLife(name)
		}
		return nil
	})
	return id, err
}

// applyAnnouncement takes an announcement. The error is [Unavailable].
func (h *hub) applyAnnouncement(a registry.Announcement) error {
	switch {
	case h.term == 0:
		return Unavailable{}
	case h.d.state.Departed(a.ID):
		return nil // since the announcement came, or it is late
	case a.ColdLeft > 0 && h.d.state.coldRates()[a.Pool] == 0:
		a.ColdLeft = 0 // nothing says what it bears
	}
	change := h.registry.Announce(h.d.replica.Now(), a)
	for _, s := range change.Set {
		h.d.cfg.Log.StateChange("backend announced", slog.String("backend", s.ID), slog.String("pool", s.Pool),
			slog.String("address", s.Address), slog.Any("replaces", change.Gone))
		h.unloggedJoins = append(h.unloggedJoins, s.Registration.Sent())
	}
	h.pendingChange = h.pendingChange.Merge(change)
	return nil
}
