// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"slices"
	"strings"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines wholeList, the server list with which sessions begin, and its parts.
//
// A session with a partial list is sent all changes. Each part is therefore cut from the newest
// list ([registry.ListPart]).

// wholeList is the whole list, at least as new as the last changes sent. A session is sent all
// changes made after it has opened, so it may receive some twice.
type wholeList struct {
	servers protocol.Servers  // ordered by ID
	encoded *protocol.Encoded // the whole list encoded; nil until it was first sent in one piece
}

// wholeList returns the whole list, and rebuilds it if it has changed.
func (h *hub) wholeList() *wholeList {
	now := h.d.replica.Now()
	switch {
	case h.relay != nil && (h.cachedList == nil || h.relay.serverList.AnyCold(now)):
		h.cachedList = &wholeList{servers: h.relay.serverList.WholeList(now)}
		h.cachedList.servers.AnswersStreams = true
	case h.relay == nil && (h.cachedList == nil || h.registry.AnyCold(now)):
		h.cachedList = &wholeList{servers: h.leaderList()}
	}
	return h.cachedList
}

// leaderList returns the leader's whole list.
func (h *hub) leaderList() protocol.Servers {
	out, changes := h.d.state.HallsOut()
	m := protocol.Servers{
		Term: h.term, HandleSpace: h.handles.Space(), Whole: true, Complete: h.complete,
		Set: h.registry.List(h.d.replica.Now()), Removed: h.recentDepartures(), HallsOut: out, HallChanges: changes,
		Relays: h.d.hasMultipleRegions() || h.isSpread(), AnswersStreams: true,
	}.ToWire(h.registry.IsListed)
	slices.SortFunc(m.Set, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) }) // the registry orders by the name without the start time
	return m
}

// encodeList encodes a part of the list. The encoding of the whole list is cached.
func (h *hub) encodeList(m protocol.Servers) (e protocol.Encoded, ok bool) {
	if !m.Whole || len(m.Set) < len(h.cachedList.servers.Set) {
		return h.encode(m)
	}
	if h.cachedList.encoded == nil {
		if e, ok = h.encode(m); !ok {
			return e, false
		}
		h.cachedList.encoded = &e
	}
	return *h.cachedList.encoded, true
}

// recentDepartures returns the departures to send with a whole list: an incomplete list does not
// show which backend servers a gateway must drop.
func (h *hub) recentDepartures() []string {
	_, total := h.d.state.DeparturesSince(h.appliedDepartures)
	ids, _ := h.d.state.DeparturesSince(total - min(total, maxListedDepartures))
	return ids
}
