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

// This file defines hub, the goroutine that owns the registry or the relay state, and the gateways'
// sessions.

const (
	// eventQueueSize is the number of announcements and reports that may be queued for the hub.
	// Beyond it, senders block.
	eventQueueSize = 8192
)

// leadership is the state that the replica's goroutine last published.
type leadership struct {
	leads    bool
	term     uint64
	leader   string // fleet address
	leaseEnd time.Duration
	voters   []string // fleet addresses
	inGroup  bool     // the replica has a log
	growing  bool     // the group expects further voters
}

// relayRefusal records that the leader of a term needed no relay here, and whether sessions were
// spread at that time.
type relayRefusal struct {
	term   uint64
	spread bool
}

type hub struct {
	d          *Directory
	events     chan func()
	wake       chan struct{} // signals a change of the applied state or the leadership
	leadership atomic.Pointer[leadership]

	// The remaining fields are owned by run.
	term              uint64 // 0 unless this replica leads
	registry          *registry.Registry
	appliedDepartures uint64 // number of departures applied to the registry
	// complete is whether every backend server has had time to announce itself to this leader. The
	// sessions are then told so ([protocol.Servers.Complete]).
	complete        bool
	unloggedJoins   []protocol.Registration // announced, not yet submitted to the log
	loggingJoins    bool                    // whether a batch of them is being logged
	sessions        map[*session]bool
	pendingChange   registry.Change // not yet sent to the sessions
	sentHallChanges uint64          // number of hall changes as of the last hall state sent
	cachedList      *wholeList      // for new sessions; nil means that it must be rebuilt
	usage           *usage
	feed            registry.LoadFeed
	nextFleetAt     time.Duration     // earliest time of the next Fleet message
	encodedDocument protocol.Document // newest document, encoded once

	rollouts       rollouts
	evidence       evidence
	streams        streamOrigins
	orderTimes     map[attemptKey]time.Duration // when active rollouts were ordered; kept across terms
	sharesLoggedAt time.Duration                // when the shares were last logged

	termBegan       time.Duration // start of the term
	nextPlacementAt time.Duration // next check of the leader's placement, in any term
	relay           *relay        // nil unless this replica is a relay
	lastRefusal     atomic.Pointer[relayRefusal]

	handles             *registry.Handles // handles of the servers that this replica lists to gateways
	spread              registry.Spread
	loggingSpread       bool                      // whether a spread decision is being logged
	lastNotSpread       time.Duration             // last time in this term at which sessions were not spread; 0 if they were throughout
	sentServingReplicas []protocol.ServingReplica // last sent to the relays
	missingLives        []string                  // identifiers of lives that gateways list from the previous leader and this one lacks

	listPace         registry.ListPace // limits the rate of whole lists, their changes and documents
	joinPace         registry.ListPace // limits the rate of logging registrations
	awaitingList     []*session        // sessions waiting for the whole list, oldest first
	documentsPending bool              // whether a session lacks the newest document
	deferredServers  registry.Change   // servers that wait until the link may carry them to gateways, in wire form
	sendTimer        *time.Timer       // fires when the next waiting document or list may be sent
	// listedHallChanges and listedTerm are those of the last list change sent.
	listedHallChanges, listedTerm uint64
}

func newHub(d *Directory) *hub {
	h := &hub{
		d: d, events: make(chan func(), eventQueueSize), wake: make(chan struct{}, 1),
		sessions: map[*session]bool{}, usage: newUsage(),
		handles: registry.NewHandles(d.cfg.Random()), sendTimer: time.NewTimer(time.Hour),
		listPace: registry.NewListPace(listLinkShare * d.cfg.LinkRate), joinPace: registry.NewListPace(joinLinkShare * d.cfg.LinkRate),
	}
	h.leadership.Store(&leadership{})
	return h
}

// stateChanged wakes the hub. The replica's goroutine calls it, so it must not block.
func (h *hub) stateChanged() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// observe publishes the leadership. The replica's goroutine calls it after every batch.
func (h *hub) observe(s consensus.Status, leads bool) {
	old := h.leadership.Load()
	next := &leadership{leads: leads, term: s.Term, leader: s.Leader.Name, leaseEnd: s.LeaseEnd, inGroup: true, growing: s.Growing}
	for _, p := range s.Members.Voters {
		next.voters = append(next.voters, p.Name)
	}
	h.leadership.Store(next)
	if !slices.Equal(old.voters, next.voters) {
		h.d.mesh.KeepOpen(next.voters)
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

// do runs f in the hub's goroutine and returns its error, or [Unavailable] if ctx or the replica
// ends first.
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
	defer h.sendTimer.Stop()
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
		case <-h.sendTimer.C:
			h.sendQueued()
		}
	}
}

func (h *hub) tick() {
	h.syncLeadership()
	h.dropOldQueries()
	h.shareStreams()
	h.sendDeferredServers()
	if h.relay != nil {
		h.relay.tick()
		h.moveMisplacedSessions()
	}
	if h.term == 0 {
		return
	}
	now := h.d.replica.Now()
	h.observeVersions(now)
	h.pendingChange = h.pendingChange.Merge(h.registry.ExpireSilent(now))
	h.divideColdRates(now)
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
	h.pushServingReplicas()
	h.moveMisplacedSessions()
	h.checkPlacement(now)
}

// divideColdRates divides the rates of cold backend servers among the gateways.
func (h *hub) divideColdRates(now time.Duration) {
	if !h.registry.AnyCold(now) {
		return
	}
	names := slices.Sorted(maps.Keys(h.gateways()))
	change := h.registry.DivideColdRates(now, names, h.d.state.coldRates())
	for _, s := range change.Set {
		h.d.cfg.Log.StateChange("cold backend rate divided", slog.String("backend", s.ID),
			slog.Int64("left_ms", s.Cold.Remaining.Milliseconds()), slog.Any("shares", s.Cold.Shares))
	}
	h.pendingChange = h.pendingChange.Merge(change)
}

// pushDepartures removes departed backend servers from the registry and sends the departures to
// every session, because a gateway may list a server that the registry lacks.
func (h *hub) pushDepartures() {
	departures, total := h.d.state.DeparturesSince(h.appliedDepartures)
	h.appliedDepartures = total
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
	held, ok := h.d.state.CurrentDocument()
	if !ok {
		return
	}
	if h.encodedDocument.Number != held.Document.Number || h.encodedDocument.Data == nil {
		data, err := cbor.Marshal(held.Document)
		if err != nil {
			h.d.cfg.Log.StateChange("document encoding failed", slog.String("error", err.Error()))
			return
		}
		h.encodedDocument = protocol.Document{Number: held.Document.Number, Data: data}
		h.d.cfg.Log.StateChange("document in force", slog.Uint64("number", h.encodedDocument.Number), slog.Int("bytes", len(data)))
	}
	h.sendDocuments()
	h.scheduleSend()
}

// announce applies an announcement in the hub's goroutine. The error is [Unavailable].
func (h *hub) announce(ctx context.Context, a registry.Announcement) error {
	return h.do(ctx, func() error { return h.applyAnnouncement(a) })
}

// listedLife returns the identifier of the life that is listed for a server's name, or the name
// itself if none is listed. The error is [Unavailable].
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

// applyAnnouncement applies an announcement to the registry. The error is [Unavailable].
func (h *hub) applyAnnouncement(a registry.Announcement) error {
	switch {
	case h.term == 0:
		return Unavailable{}
	case h.d.state.Departed(a.ID):
		return nil // it departed meanwhile, or the announcement is late
	case a.ColdLeft > 0 && h.d.state.coldRates()[a.Pool] == 0:
		a.ColdLeft = 0 // the pool states no rate for cold servers
	}
	change := h.registry.Announce(h.d.replica.Now(), a)
	for _, s := range change.Set {
		h.d.cfg.Log.StateChange("backend announced", slog.String("backend", s.ID), slog.String("pool", s.Pool),
			slog.String("address", s.Address), slog.String("version", s.Version), slog.Any("replaces", change.Gone))
		h.unloggedJoins = append(h.unloggedJoins, s.Registration.ToWire())
	}
	h.pendingChange = h.pendingChange.Merge(change)
	return nil
}
