// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines the gateways' sessions: opening, sending and closing. Everything except
// serveSession runs in the hub's goroutine.
//
// A message that an outbox rejects is not sent again: a full queue closes the link, and the
// gateway's next session starts with the whole list.
//
// The leader's cost per session must not grow with the fleet. Messages to all sessions are
// therefore encoded once, and registry changes are batched until the next tick. Sent one by one,
// the announcements of 3,000 starting backend servers overflowed the queues of 300 sessions, and
// each reconnected for the whole list (TestManyServersAnnounceAtOnce). Lists and their changes do grow
// with the fleet; their rate is limited to the link's capacity (lists.go).

// sessionQueueSize is the number of messages that may be queued for one gateway's link. At most ten
// Fleet messages per second are queued.
const sessionQueueSize = 256

// maxListedDepartures is the number of newest departures sent with a whole list. Earlier ones take
// effect with the first list that is marked Complete.
const maxListedDepartures = 256

// session is the link of one gateway, or at the leader that of one relay.
type session struct {
	gateway        string // fleet address of the gateway or relay
	out            *link.Outbox
	documentNumber uint64 // newest document that the gateway has or was sent
	countedSeq     uint64 // Seq of the last report included in the load totals
	// supportsHalls is whether the gateway's version handles halls that are out of service.
	supportsHalls    bool
	supportsRollouts bool          // whether the gateway's version handles rollouts
	bootID           uint64        // random, new at each start of the gateway
	region           string        // empty if the gateway named none
	opened           time.Duration // when the session opened
	keepsHandles     bool          // whether the gateway accepts stable handles, so that the session outlives the leader
	hall             string
	redirectedHere   bool   // another replica redirected the gateway here
	hasServers       bool   // the gateway already had servers when the session opened
	lastListed       string // last server sent of a partially sent list; empty if no part or all of it was sent
	avoidsRelays     bool   // opened here because the gateway could reach no relay of its region

	// Set on relays' sessions only.
	isRelay         bool
	relayedGateways []protocol.RelayGateway
	loads           map[uint32]protocol.ServerLoad // by handle, from the last report
}

// pushChanges sends the pending registry changes to every session, if there are any. completed is
// whether the registry has just become complete.
func (h *hub) pushChanges(completed bool) {
	if h.pendingChange.Empty() && !completed {
		return
	}
	h.sendChanges()
}

// sendChanges sends the pending registry changes to every session.
func (h *hub) sendChanges() {
	out, changes := h.d.state.HallsOut()
	m := protocol.Servers{
		Term: h.term, HandleSpace: h.handles.Space(), Set: h.pendingChange.Set, Removed: h.pendingChange.Gone, Complete: h.complete,
		HallsOut: out, HallChanges: changes,
	}
	if h.complete && len(h.missingLives) > 0 {
		m.Unlisted, h.missingLives = h.registry.ReleaseUnlisted(h.missingLives), nil
	}
	h.pendingChange, h.cachedList = registry.Change{}, nil
	h.sendServerChanges(m.ToWire(h.registry.IsListed))
}

// broadcast sends a message to every session.
func (h *hub) broadcast(m protocol.Message) {
	encoded, ok := h.encode(m)
	if !ok {
		return
	}
	for s := range h.sessions {
		s.out.Send(encoded)
	}
}

// encode encodes a message once for several sessions.
func (h *hub) encode(m protocol.Message) (e protocol.Encoded, ok bool) {
	e, err := protocol.EncodeOnce(m)
	if err != nil {
		h.d.cfg.Log.StateChange("message encoding failed", slog.String("error", err.Error()))
	}
	return e, err == nil
}

// serveSession runs one session until its link ends.
func (h *hub) serveSession(ctx context.Context, l *link.Link, w protocol.Watch) {
	h.d.recordRegion(l.Peer(), w.Region)
	s, err := h.admit(ctx, l, w)
	if err != nil {
		leadership := h.leadership.Load()
		m := protocol.WatchRedirect{Leader: leadership.leader, Members: leadership.voters}
		var elsewhere servedElsewhere
		if errors.As(err, &elsewhere) {
			m.Leader = elsewhere.by
		}
		// The link is closed in any case, and the gateway tries the next replica.
		_ = l.Send(ctx, m)
		return
	}
	defer s.out.Close()
	defer h.post(func() { h.closeSession(s) })
	silence := registry.ReportTimeout
	if s.isRelay {
		silence = registry.RelayTimeout
	}
	for {
		m, err := l.ReceiveWithIdleTimeout(ctx, silence)
		if err != nil {
			return
		}
		h.post(func() { h.handleMessage(s, m) })
	}
}

// handleMessage processes a message of a session, unless the session has been closed.
func (h *hub) handleMessage(s *session, m protocol.Message) {
	if !h.sessions[s] {
		return
	}
	switch m := m.(type) {
	case protocol.StreamQuery:
		h.handleStreamQuery(s, m)
	case protocol.StreamAnswer:
		h.handleStreamAnswer(s, m)
	case protocol.Streams:
		h.addStreams(m.List)
	case protocol.Usage:
		if h.relay != nil {
			h.relay.aggregator.Add(s.gateway, m)
			h.relay.bufferLosses(s, m)
			return
		}
		h.usage.addReport(s, m)
		h.addOutcomes(s, m)
		h.addLosses(m)
		h.grantProbes(s, m.Refused)
	case protocol.RelayGateways:
		s.relayedGateways = m.Gateways
	}
}

// admit opens a session. In a fleet with several regions it retries for a while if this replica may
// soon be able to serve the gateway, because it or the right relay is still connecting to the
// leader. The error is [servedElsewhere] or [Unavailable].
func (h *hub) admit(ctx context.Context, l *link.Link, w protocol.Watch) (s *session, err error) {
	until := time.Now().Add(relayWait)
	for {
		err = h.do(ctx, func() (err error) { s, err = h.openSession(l, w, time.Now().Before(until)); return err })
		if !errors.As(err, new(notYetServing)) || !sleep.For(ctx, relayPollInterval) {
			return s, err
		}
	}
}

// openSession opens the session of a gateway or a relay. It returns [Unavailable] if this replica
// neither leads nor relays, or does so in an older term than the peer has observed;
// [servedElsewhere] if another replica is responsible; and, with mayWait, [notYetServing] if the
// responsible replica will be determined shortly.
func (h *hub) openSession(l *link.Link, w protocol.Watch, mayWait bool) (*session, error) {
	h.syncLeadership()
	if w.Gateway != l.Peer() {
		return nil, Unavailable{}
	}
	if err := h.checkServes(w, mayWait); err != nil {
		return nil, err
	}
	h.closeEarlierSessions(w.Gateway)
	s := &session{
		gateway: w.Gateway, out: link.NewOutbox(l, sessionQueueSize), documentNumber: w.DocumentNumber, supportsHalls: w.SupportsHalls,
		supportsRollouts: w.SupportsRollouts, bootID: w.BootID, region: w.Region, opened: h.d.replica.Now(), avoidsRelays: h.avoidsPreferred(w),
		hasServers: w.KnownServers > 0, keepsHandles: w.KeepsHandles, hall: w.Hall, redirectedHere: w.Redirected, isRelay: w.Relay, loads: map[uint32]protocol.ServerLoad{},
	}
	h.sessions[s] = true
	if h.relay != nil {
		h.relay.addGateway(s)
	}
	h.sendRollouts(s) // before the servers; otherwise gateways would select servers of a new version by load alone
	h.sendQuarantine(s)
	if !h.sendOrQueueList(s) {
		h.closeSession(s)
		s.out.Close()
		return nil, Unavailable{}
	}
	if s.isRelay {
		h.sentServingReplicas = nil // the new relay has none
		h.pushServingReplicas()
	}
	h.pushDocument()
	h.d.cfg.Log.StateChange("gateway watches", slog.String("gateway", w.Gateway), slog.Uint64("document", w.DocumentNumber),
		slog.String("region", w.Region), slog.Bool("relay", w.Relay))
	return s, nil
}

// closeEarlierSessions closes any earlier session of a gateway.
func (h *hub) closeEarlierSessions(gateway string) {
	for old := range h.sessions {
		if old.gateway == gateway {
			h.closeSession(old)
			old.out.Close()
		}
	}
}

func (h *hub) closeSession(s *session) {
	if !h.sessions[s] {
		return
	}
	delete(h.sessions, s)
	h.d.cfg.Log.StateChange("gateway lost", slog.String("gateway", s.gateway))
	if h.relay != nil {
		h.relay.aggregator.Close(s.gateway)
		h.relay.gatewaysChanged = true
		return
	}
	h.usage.forget(s)
	h.removeOutcomes(s)
}

// gateways returns all gateways of the fleet that have a session here or behind a relay, by name: a
// gateway that is being moved may have two sessions.
func (h *hub) gateways() map[string]protocol.RelayGateway {
	all := map[string]protocol.RelayGateway{}
	for s := range h.sessions {
		for _, g := range s.gateways() {
			all[g.Gateway] = g
		}
	}
	return all
}

// gateways returns the gateways behind a session.
func (s *session) gateways() []protocol.RelayGateway {
	if s.isRelay {
		return s.relayedGateways
	}
	return []protocol.RelayGateway{{Gateway: s.gateway, SupportsHalls: s.supportsHalls, SupportsRollouts: s.supportsRollouts}}
}
