// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
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
// sessions, each of which came back for the whole list (TestManyAnnounceAtOnce).

// sessionQueue is the number of messages that may wait for one gateway's link, at
// most ten of them a second being Fleet messages. Chosen, not measured.
const sessionQueue = 256

// listedDepartures is the number of newest departures that go out with a whole list;
// earlier ones show in the first complete list. Chosen, not measured.
const listedDepartures = 256

// session is one gateway's link.
type session struct {
	gateway string
	out     *link.Outbox
	number  uint64 // of the newest document that the gateway has or was sent
	counted uint64 // number of its last report in the sums
	// knowsHalls is whether the gateway's version obeys halls that are out of service.
	knowsHalls bool
	// knowsVersions is whether it obeys rollouts.
	knowsVersions bool
	boot          uint64 // drawn at each start of the gateway
	relay         bool   // it reports the sums of a region's gateways
}

// pushChanges sends what has changed in the registry since the last time to every
// session, and with completed that the list is complete from now on.
func (h *hub) pushChanges(completed bool) {
	if h.pending.Empty() && !completed {
		return
	}
	h.sendChanges()
}

// sendChanges sends what has changed in the registry since the last time to every session.
func (h *hub) sendChanges() {
	out, changes := h.d.state.HallsOut()
	m := protocol.Servers{
		Term: h.term, Set: h.pending.Set, Gone: h.pending.Gone, Complete: h.complete, HallsOut: out, HallChanges: changes,
	}
	h.pending, h.list = registry.Change{}, nil
	h.sendAll(m)
}

// sendAll sends a message to every session.
func (h *hub) sendAll(m protocol.Message) {
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

// wholeList returns the whole list as of the last changes that were sent, or a later one:
// a session gets all changes that are sent after it has opened, some perhaps twice.
func (h *hub) wholeList() (list protocol.Encoded, ok bool) {
	now := h.d.replica.Now()
	if h.list == nil || h.registry.AnyCold(now) {
		out, changes := h.d.state.HallsOut()
		list, ok = h.encode(protocol.Servers{
			Term: h.term, Whole: true, Complete: h.complete,
			Set: h.registry.List(now), Gone: h.recentDepartures(), HallsOut: out, HallChanges: changes,
		})
		if !ok {
			return list, false
		}
		h.list = &list
	}
	return *h.list, true
}

// recentDepartures go out with a whole list, because one that is not complete does
// not show which backend servers a gateway must drop.
func (h *hub) recentDepartures() []string {
	_, total := h.d.state.DeparturesSince(h.departed)
	ids, _ := h.d.state.DeparturesSince(total - min(total, listedDepartures))
	return ids
}

// serve runs one gateway's session until its link ends.
func (h *hub) serve(ctx context.Context, l *link.Link, w protocol.Watch) {
	var s *session
	err := h.do(ctx, func() (err error) { s, err = h.open(l, w); return err })
	if err != nil {
		leadership := h.leadership.Load()
		// The link closes now in any case, and the gateway tries the next replica.
		_ = l.Send(ctx, protocol.WatchRedirect{Leader: leadership.leader, Members: leadership.voters})
		return
	}
	defer s.out.Close()
	defer h.post(func() { h.close(s) })
	for {
		m, err := l.ReceiveWithin(ctx, registry.ReportSilence)
		if err != nil {
			return
		}
		if u, ok := m.(protocol.Usage); ok {
			h.post(func() { h.usage.add(s, u); h.addOutcomes(s, u) })
		}
	}
}

// open admits a gateway. It returns [Unavailable] if this replica does not lead, or
// leads in an older term than the gateway has seen.
func (h *hub) open(l *link.Link, w protocol.Watch) (*session, error) {
	h.syncLeadership()
	if h.term == 0 || w.Term > h.term || w.Gateway != l.Peer() {
		return nil, Unavailable{}
	}
	for old := range h.sessions {
		if old.gateway == w.Gateway {
			h.close(old)
			old.out.Close()
		}
	}
	s := &session{
		gateway: w.Gateway, out: link.NewOutbox(l, sessionQueue), number: w.Number,
		knowsHalls: w.KnowsHalls, knowsVersions: w.KnowsVersions, boot: w.Boot, relay: w.Relay,
	}
	list, ok := h.wholeList()
	if !ok {
		s.out.Close()
		return nil, Unavailable{}
	}
	h.sessions[s] = true
	h.sendRollouts(s) // first, or the new servers would be used by load until it comes
	s.out.Send(list)
	if sent := h.feed.Sent(); len(sent) > 0 {
		s.out.Send(protocol.Counted{})
		s.out.Send(h.fleetMessage(sent))
	}
	h.pushDocument()
	h.d.cfg.Log.StateChange("gateway watches", slog.String("gateway", w.Gateway), slog.Uint64("document", w.Number))
	return s, nil
}

func (h *hub) close(s *session) {
	if h.sessions[s] {
		delete(h.sessions, s)
		h.d.cfg.Log.StateChange("gateway lost", slog.String("gateway", s.gateway))
	}
	h.usage.forget(s)
	h.forgetOutcomes(s)
}

// pushFleet sends every gateway the sums over all of them, as often as the budget of a
// link allows.
func (h *hub) pushFleet() {
	held, _ := h.d.state.Held()
	now := h.d.replica.Now()
	h.usage.sum()
	h.usage.demand.Settle(now, held.Document.Limits.TokensPerSecond)
	h.logShares(now)
	if now < h.fleetDue || len(h.sessions) == 0 {
		return
	}
	m, ok := h.encode(h.fleetMessage(h.feed.Next(h.usage.total, registry.FleetLoads(len(h.sessions)))))
	if !ok {
		return
	}
	h.fleetDue = now + registry.FleetPause(m.Size(), len(h.sessions))
	for s := range h.sessions {
		s.out.Send(protocol.Counted{Seq: s.counted})
		s.out.Send(m)
	}
}

// fleetMessage returns a message with these sums.
func (h *hub) fleetMessage(loads []protocol.ServerLoad) protocol.Fleet {
	demand := h.usage.demand
	return protocol.Fleet{
		Gateways: len(h.sessions), Loads: loads, Entitlements: demand.Entitlements(), Late: demand.Late(),
		Members: h.leadership.Load().voters, Short: demand.Short(), Unknown: !demand.Known(), Most: demand.Most(),
	}
}

// Lines with the shares. Chosen, not measured.
const (
	sharesPeriod   = time.Second
	loggedAccounts = 8 // with the largest demands
)

// logShares logs once a second, while any account demands more than its share, what
// the shares follow from and what the accounts are given.
func (h *hub) logShares(now time.Duration) {
	if now-h.sharesLogged < sharesPeriod || len(h.usage.demand.Entitlements()) == 0 {
		return
	}
	h.sharesLogged = now
	r := h.usage.demand.Rates(loggedAccounts)
	h.d.cfg.Log.StateChange("shares", slog.Int64("level", r.Level), slog.Int64("extra_level", r.Extra),
		slog.Int64("started", r.Started), slog.Int64("missed", r.Missed), slog.Bool("short", h.usage.demand.Short()),
		slog.Any("accounts", r.Accounts))
}
