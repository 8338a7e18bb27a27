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

// This file defines the gateways' sessions: their opening, what goes out on them,
// and their end. All but serve runs in the hub's goroutine.

// session is one gateway's link.
type session struct {
	gateway string
	out     *link.Outbox
	sent    uint64        // number of the document sent
	due     time.Duration // of the next Fleet message
}

func (h *hub) broadcast(c registry.Change) {
	if c.Empty() {
		return
	}
	m := protocol.Servers{Term: h.term, Set: protocolServers(c.Set), Gone: c.Gone}
	for s := range h.sessions {
		s.out.Send(m)
	}
}

func (h *hub) wholeList() protocol.Servers {
	return protocol.Servers{
		Term: h.term, Whole: true, Complete: h.complete,
		Set: protocolServers(h.registry.List()), Gone: h.recentDepartures(),
	}
}

// recentDepartures are told with a whole list, because an incomplete list
// does not say who is gone.
func (h *hub) recentDepartures() []string {
	const recent = 256
	_, total := h.d.state.DeparturesSince(h.departed)
	ids, _ := h.d.state.DeparturesSince(total - min(total, recent))
	return ids
}

func protocolServers(servers []registry.Server) []protocol.Server {
	out := make([]protocol.Server, 0, len(servers))
	for _, b := range servers {
		out = append(out, protocol.Server{
			ID: b.ID, Pool: b.Pool, Address: b.Address, Hall: b.Hall, Slots: b.Slots, Handle: b.Handle,
		})
	}
	return out
}

// serve runs one gateway's session until its link ends.
func (h *hub) serve(ctx context.Context, l *link.Link, w protocol.Watch) {
	var s *session
	err := h.do(ctx, func() { s = h.open(l, w) })
	if err != nil || s == nil {
		leadership := h.leadership.Load()
		_, _ = l.Send(ctx, protocol.WatchRedirect{Leader: leadership.leader, Members: leadership.members})
		return
	}
	defer s.out.Close()
	defer h.post(func() { h.close(s) })
	for {
		m, err := l.Receive(ctx)
		if err != nil {
			return
		}
		if u, ok := m.(protocol.Usage); ok {
			h.post(func() { h.usage.report(s, u) })
		}
	}
}

// open admits a gateway if this replica leads.
func (h *hub) open(l *link.Link, w protocol.Watch) *session {
	h.syncLeadership()
	if h.term == 0 || w.Term > h.term || w.Gateway != l.Peer() {
		return nil
	}
	for old := range h.sessions {
		if old.gateway == w.Gateway {
			h.close(old)
			old.out.Close()
		}
	}
	s := &session{gateway: w.Gateway, out: link.NewOutbox(l, sessionQueue), sent: w.Number}
	h.sessions[s] = true
	s.out.Send(h.wholeList())
	h.pushDocument()
	h.d.cfg.Log.StateChange("gateway watches", slog.String("gateway", w.Gateway), slog.Uint64("document", w.Number))
	return s
}

func (h *hub) close(s *session) {
	if h.sessions[s] {
		delete(h.sessions, s)
		h.d.cfg.Log.StateChange("gateway lost", slog.String("gateway", s.gateway))
	}
	h.usage.forget(s)
}

// pushFleet tells every gateway how all of them together stand, as often as
// the budget of its link allows.
func (h *hub) pushFleet() {
	held, _ := h.d.state.Held()
	now := h.d.replica.Now()
	h.usage.sum()
	h.usage.demand.Settle(now, held.Document.Limits.TokensPerSecond)
	members := h.leadership.Load().members
	for s := range h.sessions {
		if now < s.due {
			continue
		}
		m := protocol.Fleet{
			Gateways: len(h.sessions), Loads: h.usage.others(s),
			Entitlements: h.usage.demand.Entitlements(), Members: members, Short: h.usage.demand.Short(),
		}
		s.out.Send(m)
		s.due = now + fleetPause(m)
	}
}

// fleetPause is how long a link rests after a message so that it keeps to its
// budget.
func fleetPause(m protocol.Fleet) time.Duration {
	b, err := protocol.Encode(m)
	if err != nil {
		return fleetLongest
	}
	byBudget := time.Duration(float64(len(b)) / fleetBudget * float64(time.Second))
	return min(max(byBudget, fleetPeriod), fleetLongest) - fleetPeriod/2 // the tick that is nearest
}
