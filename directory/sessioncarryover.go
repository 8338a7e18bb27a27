// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"log/slog"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how gateways' sessions outlive the leader where sessions are spread: a replica
// that becomes leader, stops leading, or follows a new leader keeps its gateways and sends them
// only the differences. The servers' handles belong to the replica ([registry.Handles]).
//
// If sessions ended with the term, all gateways would read the whole list after each leader change.
// That volume is gateways times servers, at the time when the new leader has the least capacity to
// spare.

// endTermBoundSessions closes the sessions that do not outlive the leader: those of relays, and of
// gateways whose version binds handles to one leader. Gateways are redirected to the replica named
// in to; "" means unknown.
func (h *hub) endTermBoundSessions(to string) {
	for s := range h.sessions {
		switch {
		case s.isRelay:
			s.out.Close()
			delete(h.sessions, s)
		case !s.keepsHandles:
			h.redirectSession(s, to)
		}
	}
}

// becomeRelay turns a former leader into a relay without a leader, which keeps its gateways.
func (h *hub) becomeRelay() {
	out, changes := h.d.state.HallsOut()
	r := &relay{
		h: h, serverList: registry.CopyOf(h.d.replica.Now(), h.registry, h.term, out, changes), feed: h.feed,
		lostAt: h.d.replica.Now(), servingReplicas: h.sentServingReplicas,
	}
	r.quarantine, r.parts = h.evidence.sentList, h.evidence.parts.sentList
	h.endTermBoundSessions("")
	h.relay, h.cachedList = r, nil
	for s := range h.sessions {
		r.aggregator.Open(s.gateway, s.supportsRollouts)
	}
}

// adoptGateways continues, at the beginning of a term, the sessions of the gateways that this
// replica served as a relay.
func (h *hub) adoptGateways(r *relay) {
	now := h.d.replica.Now()
	h.feed = r.feed
	set, missingLives := h.registry.Diff(now, &r.serverList)
	h.missingLives = missingLives
	m := h.listHeader()
	m.Set = set
	for s := range h.sessions {
		s.countedSeq = 0
		h.sendRollouts(s)
		h.sendQuarantine(s)
	}
	h.sendServerChanges(m.ToWire(h.registry.IsListed))
	h.pushDocument()
	h.d.cfg.Log.StateChange("gateway sessions kept", slog.Int("gateways", len(h.sessions)), slog.Int("changed", len(set)),
		slog.Int("missing", len(missingLives)))
}

// listHeader returns a list message without servers: its term, its handle space, and the halls that
// are out of service.
func (h *hub) listHeader() protocol.Servers {
	if h.relay != nil {
		return h.relay.serverList.Header()
	}
	out, changes := h.d.state.HallsOut()
	return protocol.Servers{Term: h.term, HandleSpace: h.handles.Space(), HallsOut: out, HallChanges: changes}
}
