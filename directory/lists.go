// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how sessions get the whole list and its changes: at once where the box's link has
// room, else in turn, and documents before them. Meanwhile a session has all the rest, and its gateway
// goes on with the list that it has. Relays go first, and servers that have gone wait for nothing: those
// who send to them must know.
//
// Without the turns a fleet of 985 gateways and 9,998 servers never had a leader for longer than
// 1.4 s (TestCrowdComesAtOnce: 12 to 14 terms led in 10 s, one with them).

// listPart is the part of the box's link that whole lists and their changes may have: the other half
// is for what keeps a leader, documents, reports and answers.
const listPart = 0.5

// giveList sends a session the whole list, or what comes in its place until it is its turn. It
// returns false if the list cannot be encoded.
func (h *hub) giveList(s *session) bool {
	if len(h.listless) > 0 || h.listPace.Wait(h.d.replica.Now()) > 0 {
		if !s.relay { // which takes the first list that it is sent for the whole one
			s.out.Send(h.listHead())
		}
		h.listless = append(h.listless, s)
		h.awaitTurn()
		return true
	}
	done, ok := h.sendList(s)
	if !done {
		h.listless = append(h.listless, s)
		h.awaitTurn()
	}
	return ok
}

// sendList sends a session the whole list now, or as many servers of it as may go at once, after those that
// it has been sent. done is whether it has all.
func (h *hub) sendList(s *session) (done, ok bool) {
	m, last := registry.ListPart(h.wholeList().servers, s.listed, h.listPace.PartSize())
	list, ok := h.encodeList(m)
	if !ok {
		return false, false
	}
	s.out.Send(list)
	h.listPace.RecordSent(h.d.replica.Now(), list.Size())
	if !last {
		s.listed = m.Set[len(m.Set)-1].ID
		return false, true
	}
	s.listed = ""
	h.sendSums(s)
	if s.relay && len(h.placesSent) > 0 { // what comes before the list is not taken
		s.out.Send(protocol.Places{List: h.placesSent})
	}
	return true, true
}

// sendSums sends a session, after its list, what the others were sent of what runs.
func (h *hub) sendSums(s *session) {
	if h.relay != nil {
		h.relay.sendSums(s)
	} else if sent := h.feed.Sent(); len(sent) > 0 {
		s.out.Send(protocol.Counted{Seq: s.countedSeq})
		s.out.Send(h.fleetMessage(sent))
	}
}

// sendDocuments sends the newest document to the sessions that lack it, as long as the link has room:
// a document of 38 KB to 985 gateways is 0.3 s of a gigabit. A relay has the log.
func (h *hub) sendDocuments() {
	h.undocumented = false
	for s := range h.sessions {
		if s.relay || s.number >= h.encodedDocument.Number {
			continue
		}
		if h.listPace.Wait(h.d.replica.Now()) > 0 {
			h.undocumented = true
			return
		}
		s.out.Send(h.encodedDocument)
		s.number = h.encodedDocument.Number
		h.listPace.RecordSent(h.d.replica.Now(), len(h.encodedDocument.Data))
	}
}

// sendLists sends what waits for the link's room: documents, and the list to sessions whose turn it is,
// relays first, then who has a part of it, then those whose gateways know no servers, then in the order in
// which they opened.
func (h *hub) sendLists() {
	h.listless = slices.DeleteFunc(h.listless, func(s *session) bool { return !h.sessions[s] })
	h.sendDocuments()
	for len(h.listless) > 0 && h.listPace.Wait(h.d.replica.Now()) == 0 {
		next := h.nextTurn()
		s := h.listless[next]
		done, ok := h.sendList(s)
		if done || !ok {
			h.listless = slices.Delete(h.listless, next, next+1)
		}
		if !ok {
			h.closeSession(s)
			s.out.Close()
		}
	}
	h.awaitTurn()
}

// isRelay reports whether a session is a relay's.
func isRelay(s *session) bool { return s.relay }

// relayWaits reports whether a relay waits for the list: until it has it, the leader serves its
// gateways as well.
func (h *hub) relayWaits() bool { return slices.ContainsFunc(h.listless, isRelay) }

// nextTurn returns the index of the session whose turn is next.
func (h *hub) nextTurn() int {
	if i := slices.IndexFunc(h.listless, isRelay); i >= 0 {
		return i
	}
	if i := slices.IndexFunc(h.listless, func(s *session) bool { return s.listed != "" }); i >= 0 {
		return i
	}
	return max(slices.IndexFunc(h.listless, func(s *session) bool { return !s.knows }), 0)
}

// awaitTurn sets the timer for the next turn.
func (h *hub) awaitTurn() {
	now := h.d.replica.Now()
	if h.undocumented || len(h.listless) > 0 {
		h.turn.Reset(max(h.listPace.Wait(now), shortestTurn))
	}
}

// shortestTurn bounds the timer's work. Half of what lists may be ahead.
const shortestTurn = 10 * time.Millisecond
