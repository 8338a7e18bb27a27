// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"log/slog"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how gateways' sessions outlive the leader where they are spread: a replica that
// begins to lead, ends to, or follows another leader goes on with its gateways, who are sent what
// differs. The servers' handles are the replica's own ([registry.Handles]).
//
// Sessions that ended with the term had all gateways read the whole list again after each change
// of leaders: gateways times servers, which is what a new leader bears least.

// endTermBoundSessions ends the sessions that do not outlive the leader: those of relays, and of gateways of
// versions that take handles for the leader's own. A gateway is told where to go, "" if that is
// not known.
func (h *hub) endTermBoundSessions(to string) {
	for s := range h.sessions {
		switch {
		case s.relay:
			s.out.Close()
			delete(h.sessions, s)
		case !s.keepsHandles:
			h.redirectSession(s, to)
		}
	}
}

// keepGateways makes a relay of a leader that leads no more, which has lost the leader.
func (h *hub) keepGateways() {
	out, changes := h.d.state.HallsOut()
	r := &relay{
		h: h, list: registry.CopyOf(h.d.replica.Now(), h.registry, h.term, out, changes), feed: h.feed,
		lostAt: h.d.replica.Now(), places: h.placesSent,
	}
	r.quarantine = h.evidence.list
	h.endTermBoundSessions("")
	h.relay, h.list = r, nil
	for s := range h.sessions {
		r.sums.Open(s.gateway, s.supportsRollouts)
	}
}

// adoptGateways goes on, as a leader whose term has just begun, with the gateways that this replica
// served as a relay.
func (h *hub) adoptGateways(r *relay) {
	now := h.d.replica.Now()
	h.feed = r.feed
	set, missing := h.registry.Diff(now, &r.list)
	h.missing = missing
	m := h.listHead()
	m.Set = set
	for s := range h.sessions {
		s.countedSeq = 0
		h.sendRollouts(s)
		h.sendQuarantine(s)
	}
	h.sendServerChanges(m.Sent(h.registry.IsListed))
	h.pushDocument()
	h.d.cfg.Log.StateChange("gateways kept", slog.Int("gateways", len(h.sessions)), slog.Int("changed", len(set)),
		slog.Int("missing", len(missing)))
}

// listHead returns a list without servers: it says whose handles come, of which leader, and which halls
// are out of service.
func (h *hub) listHead() protocol.Servers {
	if h.relay != nil {
		return h.relay.list.Header()
	}
	out, changes := h.d.state.HallsOut()
	return protocol.Servers{Term: h.term, Space: h.handles.Space(), HallsOut: out, HallChanges: changes}
}
