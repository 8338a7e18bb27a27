// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"log/slog"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
)

// This file defines how the hub handles a change of the leader.

// syncLeadership begins or ends a term if the leader has changed, and sends out changes of the
// applied state.
func (h *hub) syncLeadership() {
	h.recordOrderTimes()
	l := h.leadership.Load()
	switch {
	case l.leads && h.term != l.term:
		h.endTerm()
		h.becomeLeader(l.term)
	case !l.leads && h.term != 0:
		h.endTerm()
	}
	h.syncRelay(l)
	switch {
	case h.term != 0:
		h.pushDepartures()
		h.pushHalls()
		h.pushDocument()
		h.stepRollouts()
	case h.relay != nil:
		h.pushDocument()
	}
}

// becomeLeader begins a term. Where sessions are spread, this replica keeps the gateways that it
// served as a relay.
func (h *hub) becomeLeader(term uint64) {
	oldRelay := h.relay
	if oldRelay == nil || !h.isSpread() {
		h.endRelay(h.d.Address())
		h.beginTerm(term)
		return
	}
	if oldRelay.out != nil {
		oldRelay.out.Close()
	}
	h.relay = nil
	h.beginTerm(term)
	h.endTermBoundSessions(h.d.Address())
	h.adoptGateways(oldRelay)
}

func (h *hub) beginTerm(term uint64) {
	h.term, h.termBegan = term, h.d.replica.Now()
	h.registry = registry.New(h.d.replica.Now(), h.d.cfg.AnnounceInterval, h.handles)
	h.appliedDepartures = 0
	h.complete = false
	h.unloggedJoins = nil
	for _, s := range h.d.state.Joined() {
		h.registry.Restore(h.d.replica.Now(), s)
	}
	h.usage, h.feed, h.nextFleetAt = newUsage(), registry.LoadFeed{}, 0
	h.pendingChange, h.cachedList, h.sentHallChanges = registry.Change{}, nil, 0
	h.missingLives, h.sentServingReplicas, h.lastNotSpread = nil, nil, 0
	h.beginRollouts()
	h.beginEvidence()
	h.beginStreams()
	h.d.cfg.Metrics.GetOrCreateCounter("badgerspoke_directory_terms_led_total").Inc()
	h.d.cfg.Log.StateChange("leading", slog.Uint64("term", term), slog.Any("members", h.leadership.Load().voters))
}

func (h *hub) endTerm() {
	if h.term == 0 {
		return
	}
	h.d.cfg.Log.StateChange("leading no more", slog.Uint64("term", h.term), slog.String("leader", h.leadership.Load().leader),
		slog.Int("sessions", len(h.sessions)), slog.Int("events", len(h.events)))
	if h.isSpread() {
		h.becomeRelay()
	}
	h.term = 0
	if h.relay != nil {
		return
	}
	h.deferredServers = registry.Change{}
	for s := range h.sessions {
		s.out.Close()
		delete(h.sessions, s)
	}
}
