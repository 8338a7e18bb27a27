// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"slices"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how sessions are sent what has changed in the list: relays all of it at once, gateways at
// the pace of the box's link ([registry.ListPace]).

// sendServerChanges sends what has changed in the list: relays all of it, gateways all but the servers for
// which the link has no room now.
func (h *hub) sendServerChanges(m protocol.Servers) {
	h.sendTo(m, true)
	h.heldServers = h.heldServers.Merge(registry.Change{Set: m.Set, Gone: m.Gone})
	h.heldServers.Gone, m.Set = nil, nil
	news := len(m.Gone) > 0 || len(m.Unlisted) > 0 || m.Complete || m.HallChanges != h.hallsTold || m.Term != h.termTold
	h.hallsTold, h.termTold = m.HallChanges, m.Term
	if m.Set = h.admitted(); news || len(m.Set) > 0 {
		h.sendTo(m, false)
	}
	h.awaitTurn()
}

// admitted takes from what is held as many servers as may go to all gateways now.
func (h *hub) admitted() (set []protocol.Server) {
	n := len(h.heldServers.Set)
	if h.relayWaits() {
		n = 0
	}
	n = min(n, h.listPace.EntryAllowance(h.d.replica.Now(), len(h.sessions)))
	set, h.heldServers.Set = h.heldServers.Set[:n:n], h.heldServers.Set[n:]
	return set
}

// sendHeld sends gateways servers that are held, as many as may go now. It is called once a tick.
func (h *hub) sendHeld() {
	if set := h.admitted(); len(set) > 0 && len(h.sessions) > 0 {
		m := h.listHead()
		m.Set = set
		h.sendTo(m, false)
	}
}

// sendTo sends a change of the list to all relays, or to all gateways. To who has a part
// of the list it is not complete yet, or they would take the rest of it for servers that have gone.
func (h *hub) sendTo(m protocol.Servers, relays bool) {
	h.sendEach(m, func(s *session) bool {
		return s.relay == relays && s.listed == "" && !(relays && slices.Contains(h.listless, s)) // its list will have it
	})
	m.Complete = false
	h.sendEach(m, func(s *session) bool { return s.relay == relays && s.listed != "" })
}

// sendEach sends a change of the list to the sessions that are to have it, and counts its bytes.
func (h *hub) sendEach(m protocol.Servers, to func(s *session) bool) {
	var all []*session
	for s := range h.sessions {
		if to(s) {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return
	}
	encoded, ok := h.encode(m)
	if !ok {
		return
	}
	for _, s := range all {
		s.out.Send(encoded)
	}
	h.listPace.RecordEntries(h.d.replica.Now(), encoded.Size(), len(m.Set), len(all))
}
