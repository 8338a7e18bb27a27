// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how sessions are sent the whole list: at once if the box's link has capacity,
// otherwise in turn, with documents ahead of lists. A waiting session receives all other messages,
// and its gateway keeps using the list that it has. Relays go first. Departures are never delayed,
// because gateways must stop sending to those servers.
//
// Without this rate limit, a fleet of 985 gateways and 9,998 servers never had a leader for longer than
// 1.4 s: the lists delayed its heartbeats (TestAllGatewaysConnectAtOnce).

// listLinkShare is the fraction of the box's link that whole lists and their changes may use. The
// rest is for heartbeats, documents, reports and answers.
const listLinkShare = 0.5

// sendOrQueueList sends a session the whole list, or a substitute until its turn comes. It returns
// false if the list cannot be encoded.
func (h *hub) sendOrQueueList(s *session) bool {
	if len(h.awaitingList) > 0 || h.listPace.Wait(h.d.replica.Now()) > 0 {
		if !s.isRelay { // a relay takes its first list for the whole one
			s.out.Send(h.listHeader())
		}
		h.awaitingList = append(h.awaitingList, s)
		h.scheduleSend()
		return true
	}
	done, ok := h.sendList(s)
	if !done {
		h.awaitingList = append(h.awaitingList, s)
		h.scheduleSend()
	}
	return ok
}

// sendList sends a session the whole list, or the next part of it that the link allows. done
// reports whether the session has the whole list.
func (h *hub) sendList(s *session) (done, ok bool) {
	m, last := registry.ListPart(h.wholeList().servers, s.lastListed, h.listPace.PartSize())
	list, ok := h.encodeList(m)
	if !ok {
		return false, false
	}
	s.out.Send(list)
	h.listPace.RecordSent(h.d.replica.Now(), list.Size())
	if !last {
		s.lastListed = m.Set[len(m.Set)-1].ID
		return false, true
	}
	s.lastListed = ""
	h.sendLoadTotals(s)
	if s.isRelay && len(h.sentServingReplicas) > 0 { // a relay ignores serving replicas sent before its list
		s.out.Send(protocol.ServingReplicas{List: h.sentServingReplicas})
	}
	return true, true
}

// sendLoadTotals sends a session the load totals that the other sessions were last sent. They follow
// the list.
func (h *hub) sendLoadTotals(s *session) {
	if h.relay != nil {
		h.relay.sendLoadTotals(s)
	} else if sent := h.feed.Sent(); len(sent) > 0 {
		s.out.Send(protocol.Counted{Seq: s.countedSeq})
		s.out.Send(h.fleetMessage(sent))
	}
}

// sendDocuments sends the newest document to the sessions that lack it, as long as the link has
// capacity: a document of 38 KB to 985 gateways takes a gigabit link 0.3 s. Relays get documents
// from the log.
func (h *hub) sendDocuments() {
	h.documentsPending = false
	for s := range h.sessions {
		if s.isRelay || s.documentNumber >= h.encodedDocument.Number {
			continue
		}
		if h.listPace.Wait(h.d.replica.Now()) > 0 {
			h.documentsPending = true
			return
		}
		s.out.Send(h.encodedDocument)
		s.documentNumber = h.encodedDocument.Number
		h.listPace.RecordSent(h.d.replica.Now(), len(h.encodedDocument.Data))
	}
}

// sendQueued sends as many queued documents and lists as the link allows. Lists go to relays first,
// then to sessions that have a part of theirs, then to gateways without servers, then in the order
// in which the sessions opened.
func (h *hub) sendQueued() {
	h.awaitingList = slices.DeleteFunc(h.awaitingList, func(s *session) bool { return !h.sessions[s] })
	h.sendDocuments()
	for len(h.awaitingList) > 0 && h.listPace.Wait(h.d.replica.Now()) == 0 {
		next := h.nextListIndex()
		s := h.awaitingList[next]
		done, ok := h.sendList(s)
		if done || !ok {
			h.awaitingList = slices.Delete(h.awaitingList, next, next+1)
		}
		if !ok {
			h.closeSession(s)
			s.out.Close()
		}
	}
	h.scheduleSend()
}

// isRelaySession reports whether a session is that of a relay.
func isRelaySession(s *session) bool { return s.isRelay }

// relayAwaitsList reports whether a relay is waiting for the list. Until it has the list, the
// leader also serves its gateways.
func (h *hub) relayAwaitsList() bool { return slices.ContainsFunc(h.awaitingList, isRelaySession) }

// nextListIndex returns the index of the session to be sent a list next.
func (h *hub) nextListIndex() int {
	if i := slices.IndexFunc(h.awaitingList, isRelaySession); i >= 0 {
		return i
	}
	if i := slices.IndexFunc(h.awaitingList, func(s *session) bool { return s.lastListed != "" }); i >= 0 {
		return i
	}
	return max(slices.IndexFunc(h.awaitingList, func(s *session) bool { return !s.hasServers }), 0)
}

// scheduleSend sets the timer for the next document or list that waits for the link.
func (h *hub) scheduleSend() {
	now := h.d.replica.Now()
	if h.documentsPending || len(h.awaitingList) > 0 {
		h.sendTimer.Reset(max(h.listPace.Wait(now), minSendDelay))
	}
}

// minSendDelay limits how often the timer fires. It is half of the time by which lists may run ahead
// of their rate limit.
const minSendDelay = 10 * time.Millisecond
