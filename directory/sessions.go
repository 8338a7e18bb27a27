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

// This file defines the gateways' sessions: their opening, what is sent on them,
// and their end. All but serve runs in the hub's goroutine.
//
// What an outbox refuses is not sent again: a queue that is full closes its link, and
// the gateway's next session starts with the whole list.
//
// What a session costs the leader must not grow with the fleet. So what all get is
// encoded once, and changes of the registry are gathered until the next tick: sent one by
// one, the announcements of 3,000 backend servers that start overran the queues of 300
// sessions, each of which came back for the whole list (TestManyAnnounceAtOnce). What does
// grow with it, lists and their changes, goes out at the pace of the link (lists.go).

// sessionQueueSize is the number of messages that may wait for one gateway's link, at most ten of them a
// second being Fleet messages.
const sessionQueueSize = 256

// listedDepartures is the number of newest departures that go out with a whole list; earlier ones show
// in the first complete list.
const listedDepartures = 256

// session is one gateway's link, or at the leader one relay's.
type session struct {
	gateway    string // or the relay's fleet address
	out        *link.Outbox
	number     uint64 // of the newest document that the gateway has or was sent
	countedSeq uint64 // number of its last report in the sums
	// knowsHalls is whether the gateway's version obeys halls that are out of service.
	knowsHalls       bool
	supportsRollouts bool   // the same of rollouts
	bootID           uint64 // drawn at each start of the gateway
	region           string // empty if it did not name one
	opened           time.Duration
	keepsHandles     bool // its gateway's version does, so that it outlives the leader
	hall             string
	redirectedHere   bool   // another replica named this one to its gateway
	knows            bool   // its gateway knows servers from before
	listed           string // the last server of the list that it was sent in parts; empty: it has none, or all
	avoidsRelays     bool   // its region had relays, and it none that it could reach

	// Of a relay's session alone.
	relay  bool
	behind []protocol.BehindGateway
	loads  map[uint32]protocol.ServerLoad // by handle, as last reported
}

// pushChanges sends what has changed in the registry since the last time to every
// session, and with completed that the list is complete from now on.
func (h *hub) pushChanges(completed bool) {
	if h.pendingChange.Empty() && !completed {
		return
	}
	h.sendChanges()
}

// sendChanges sends what has changed in the registry since the last time to every session.
func (h *hub) sendChanges() {
	out, changes := h.d.state.HallsOut()
	m := protocol.Servers{
		Term: h.term, Space: h.handles.Space(), Set: h.pendingChange.Set, Gone: h.pendingChange.Gone, Complete: h.complete,
		HallsOut: out, HallChanges: changes,
	}
	if h.complete && len(h.missing) > 0 {
		m.Unlisted, h.missing = h.registry.ForgetUnlisted(h.missing), nil
	}
	h.pendingChange, h.list = registry.Change{}, nil
	h.sendServerChanges(m.Sent(h.registry.IsListed))
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

// encode encodes a message for several sessions.
func (h *hub) encode(m protocol.Message) (e protocol.Encoded, ok bool) {
	e, err := protocol.EncodeOnce(m)
	if err != nil {
		h.d.cfg.Log.StateChange("message cannot be encoded", slog.String("error", err.Error()))
	}
	return e, err == nil
}

// serve runs one gateway's session until its link ends.
func (h *hub) serve(ctx context.Context, l *link.Link, w protocol.Watch) {
	h.d.recordRegion(l.Peer(), w.Region)
	s, err := h.admit(ctx, l, w)
	if err != nil {
		leadership := h.leadership.Load()
		m := protocol.WatchRedirect{Leader: leadership.leader, Members: leadership.voters}
		var elsewhere servedElsewhere
		if errors.As(err, &elsewhere) {
			m.Leader = elsewhere.by
		}
		// The link closes now in any case, and the gateway tries the next replica.
		_ = l.Send(ctx, m)
		return
	}
	defer s.out.Close()
	defer h.post(func() { h.closeSession(s) })
	silence := registry.ReportSilence
	if s.relay {
		silence = registry.RelaySilence
	}
	for {
		m, err := l.ReceiveWithin(ctx, silence)
		if err != nil {
			return
		}
		h.post(func() { h.receive(s, m) })
	}
}

// receive takes a message of a session, unless that has ended.
func (h *hub) receive(s *session, m protocol.Message) {
	if !h.sessions[s] {
		return
	}
	switch m := m.(type) {
	case protocol.Usage:
		if h.relay != nil {
			h.relay.sums.Add(s.gateway, m)
			h.relay.bufferLosses(m)
			return
		}
		h.usage.add(s, m)
		h.addOutcomes(s, m)
		h.addLosses(m)
	case protocol.Behind:
		s.behind = m.Gateways
	}
}

// admit opens a session. A replica of a fleet with several regions that may serve the gateway
// in a moment, because it or a relay to name is just looking for the leader, keeps it waiting
// for as long. The error is [served] or [Unavailable].
func (h *hub) admit(ctx context.Context, l *link.Link, w protocol.Watch) (s *session, err error) {
	until := time.Now().Add(relayWait)
	for {
		err = h.do(ctx, func() (err error) { s, err = h.open(l, w, time.Now().Before(until)); return err })
		if !errors.As(err, new(notYetServing)) || !sleep.For(ctx, relayPollInterval) {
			return s, err
		}
	}
}

// open admits a gateway or a relay. It returns [Unavailable] if this replica neither leads nor
// relays, or does so in an older term than the other side has seen, [served] if another one is
// to serve the gateway, and with mayWait [soon] if it shows in a moment what to do.
func (h *hub) open(l *link.Link, w protocol.Watch, mayWait bool) (*session, error) {
	h.syncLeadership()
	if w.Gateway != l.Peer() {
		return nil, Unavailable{}
	}
	if err := h.checkServes(w, mayWait); err != nil {
		return nil, err
	}
	h.closeOthers(w.Gateway)
	s := &session{
		gateway: w.Gateway, out: link.NewOutbox(l, sessionQueueSize), number: w.Number, knowsHalls: w.KnowsHalls,
		supportsRollouts: w.KnowsVersions, bootID: w.Boot, region: w.Region, opened: h.d.replica.Now(), avoidsRelays: h.avoidsPreferred(w),
		knows: w.Known > 0, keepsHandles: w.KeepsHandles, hall: w.Hall, redirectedHere: w.Named, relay: w.Relay, loads: map[uint32]protocol.ServerLoad{},
	}
	h.sessions[s] = true
	if h.relay != nil {
		h.relay.addGateway(s)
	}
	h.sendRollouts(s) // first, or the new servers would be used by load until it comes
	h.sendQuarantine(s)
	if !h.giveList(s) {
		h.closeSession(s)
		s.out.Close()
		return nil, Unavailable{}
	}
	if s.relay {
		h.placesSent = nil // the new one lacks them
		h.pushPlaces()
	}
	h.pushDocument()
	h.d.cfg.Log.StateChange("gateway watches", slog.String("gateway", w.Gateway), slog.Uint64("document", w.Number),
		slog.String("region", w.Region), slog.Bool("relay", w.Relay))
	return s, nil
}

// closeOthers ends the earlier session of a gateway.
func (h *hub) closeOthers(gateway string) {
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
		h.relay.sums.Close(s.gateway)
		h.relay.gatewaysChanged = true
		return
	}
	h.usage.forget(s)
	h.removeOutcomes(s)
}

// gateways returns all gateways of the fleet that have a session here or behind a relay, by
// name: one that moves may be at two.
func (h *hub) gateways() map[string]protocol.BehindGateway {
	all := map[string]protocol.BehindGateway{}
	for s := range h.sessions {
		for _, g := range s.gateways() {
			all[g.Gateway] = g
		}
	}
	return all
}

// gateways returns the gateways that a session serves.
func (s *session) gateways() []protocol.BehindGateway {
	if s.relay {
		return s.behind
	}
	return []protocol.BehindGateway{{Gateway: s.gateway, KnowsHalls: s.knowsHalls, KnowsVersions: s.supportsRollouts}}
}
