// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"slices"
	"strings"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines wholeList, the list with which sessions begin, and its parts.
//
// A session that has a part of the list is sent all changes. So each part is of the newest list
// ([registry.ListPart]).

// wholeList is the whole list as of the last changes that were sent, or a later one: a session gets all
// changes that are sent after it has opened, some perhaps twice.
type wholeList struct {
	servers protocol.Servers  // ordered by name
	encoded *protocol.Encoded // all of it; nil: it did not go out at once yet
}

// wholeList returns the whole list, which it makes anew if it has changed.
func (h *hub) wholeList() *wholeList {
	now := h.d.replica.Now()
	switch {
	case h.relay != nil && (h.list == nil || h.relay.list.AnyCold(now)):
		h.list = &wholeList{servers: h.relay.list.WholeList(now)}
	case h.relay == nil && (h.list == nil || h.registry.AnyCold(now)):
		h.list = &wholeList{servers: h.ledList()}
	}
	return h.list
}

// ledList is the whole list of the leader.
func (h *hub) ledList() protocol.Servers {
	out, changes := h.d.state.HallsOut()
	m := protocol.Servers{
		Term: h.term, Space: h.handles.Space(), Whole: true, Complete: h.complete,
		Set: h.registry.List(h.d.replica.Now()), Gone: h.recentDepartures(), HallsOut: out, HallChanges: changes,
		Relays: h.d.hasMultipleRegions() || h.isSpread(),
	}.Sent(h.registry.IsListed)
	slices.SortFunc(m.Set, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) }) // lives were in the order before
	return m
}

// encodeList encodes a part of the list; all of it once.
func (h *hub) encodeList(m protocol.Servers) (e protocol.Encoded, ok bool) {
	if !m.Whole || len(m.Set) < len(h.list.servers.Set) {
		return h.encode(m)
	}
	if h.list.encoded == nil {
		if e, ok = h.encode(m); !ok {
			return e, false
		}
		h.list.encoded = &e
	}
	return *h.list.encoded, true
}

// recentDepartures go out with a whole list, because one that is not complete does
// not show which backend servers a gateway must drop.
func (h *hub) recentDepartures() []string {
	_, total := h.d.state.DeparturesSince(h.departed)
	ids, _ := h.d.state.DeparturesSince(total - min(total, listedDepartures))
	return ids
}
