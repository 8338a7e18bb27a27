// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"slices"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how list changes are sent: to relays at once, to gateways at the rate that the
// box's link allows ([registry.ListPace]).

// sendServerChanges sends a list change: all of it to relays, and to gateways everything except the
// servers that exceed the link's capacity, which are deferred.
func (h *hub) sendServerChanges(m protocol.Servers) {
	h.sendListChange(m, true)
	h.deferredServers = h.deferredServers.Merge(registry.Change{Set: m.Set, Gone: m.Removed})
	h.deferredServers.Gone, m.Set = nil, nil
	hasOtherChanges := len(m.Removed) > 0 || len(m.Unlisted) > 0 || m.Complete || m.HallChanges != h.listedHallChanges || m.Term != h.listedTerm
	h.listedHallChanges, h.listedTerm = m.HallChanges, m.Term
	if m.Set = h.takeSendable(); hasOtherChanges || len(m.Set) > 0 {
		h.sendListChange(m, false)
	}
	h.scheduleSend()
}

// takeSendable removes from the deferred servers as many as may be sent to all gateways now.
func (h *hub) takeSendable() (set []protocol.Server) {
	n := len(h.deferredServers.Set)
	if h.relayAwaitsList() {
		n = 0
	}
	n = min(n, h.listPace.EntryAllowance(h.d.replica.Now(), len(h.sessions)))
	set, h.deferredServers.Set = h.deferredServers.Set[:n:n], h.deferredServers.Set[n:]
	return set
}

// sendDeferredServers sends gateways as many deferred servers as the link's capacity allows. It is called once per
// tick.
func (h *hub) sendDeferredServers() {
	if set := h.takeSendable(); len(set) > 0 && len(h.sessions) > 0 {
		m := h.listHeader()
		m.Set = set
		h.sendListChange(m, false)
	}
}

// sendListChange sends a list change to all relays or to all gateways. Sessions with a partial list
// get it without the Complete flag; otherwise they would drop the servers that they have not been
// sent yet.
func (h *hub) sendListChange(m protocol.Servers, relays bool) {
	h.sendToSessions(m, func(s *session) bool {
		// A waiting relay gets the change with its list.
		return s.isRelay == relays && s.lastListed == "" && !(relays && slices.Contains(h.awaitingList, s))
	})
	m.Complete = false
	h.sendToSessions(m, func(s *session) bool { return s.isRelay == relays && s.lastListed != "" })
}

// sendToSessions sends a list change to the selected sessions, and counts its bytes.
func (h *hub) sendToSessions(m protocol.Servers, to func(s *session) bool) {
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
