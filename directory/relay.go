// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines relay, the state of a follower that serves gateways on the leader's behalf: those of
// a region other than the leader's, or, where sessions are spread, a part of those in the leader's own
// region. It forwards the leader's messages to them, and combines their reports into one.
//
// A relay has one session with the leader, as a gateway has. It reads documents from the replicated log,
// which it has anyway. In another region than the leader's, its gateways keep their sessions until the
// relay has a session with the next leader, for relayGracePeriod at most, and then open new ones. Where sessions are spread they
// outlive the leader (sessioncarryover.go).

const (
	// relayPollInterval is how often a replica checks whether to open a session with the leader, and how
	// long it waits after a failed one. A dial between regions takes longer.
	relayPollInterval = 50 * time.Millisecond
	// relayDialTimeout bounds a dial to the leader. It is the same as for gateways.
	relayDialTimeout = 700 * time.Millisecond
	// relayGracePeriod is how long a relay keeps its gateways without the leader. A replica that is cut off
	// from the others, but not from its gateways, detects that after registry.LeaderTimeout. After this period
	// its gateways have one second left to be sent a document within 3.5 s of its acknowledgement. The period
	// covers an election and a dial.
	relayGracePeriod = 1500 * time.Millisecond
)

// relay is the state of a replica that forwards the leader's messages. Everything runs in the hub's
// goroutine.
type relay struct {
	h               *hub
	out             *link.Outbox // to the leader; nil without a session
	lostAt          time.Duration
	serverList      registry.Copy
	aggregator      registry.ReportAggregator
	gatewaysChanged bool // since the leader was last sent the gateways
	nextReportAt    time.Duration

	loads       map[uint32]protocol.ServerLoad // the leader's load totals, by handle
	feed        registry.LoadFeed              // load totals that the gateways were sent
	fleet       *protocol.Fleet                // newest message without its loads; nil before the first
	fleetUnsent bool                           // fleet was not forwarded yet
	nextFleetAt time.Duration
	rollouts    *protocol.Rollouts

	servingReplicas []protocol.ServingReplica // those that serve the region's gateways; set at relays in the leader's region

	quarantine   quarantine.List
	parts        quarantine.PartList
	losses       []bufferedLoss        // not yet reported to the leader
	cleared      [][]byte              // keys not yet reported to the leader
	lostParts    []protocol.LostParts  // of losses
	servedLosses []protocol.ServedLoss // of losses
	begunParts   [][]byte              // keys not yet reported to the leader
	// refusedBy holds by condemned key the session whose gateway has refused such a request, since the last
	// report; probers holds those of the report before.
	refusedBy, probers map[quarantine.Key]*session
}

// relayFrom handles the messages of a session with the leader until it ends: first those that came
// before the first list, then the list and all that follows.
func (h *hub) relayFrom(ctx context.Context, l *link.Link, leader string, first protocol.Servers, preceding []protocol.Message) {
	var r *relay
	if err := h.do(ctx, func() (err error) { r, err = h.beginRelay(l, leader, first, preceding); return err }); err != nil {
		return
	}
	out := r.out
	defer out.Close()
	defer h.post(func() { r.disconnectLeader(out) })
	for {
		m, err := l.ReceiveWithIdleTimeout(ctx, registry.LeaderTimeout)
		if err != nil {
			return
		}
		if _, over := m.(protocol.WatchRedirect); over {
			return
		}
		h.post(func() {
			if h.relay == r && r.out == out {
				r.receive(m)
			}
		})
	}
}

// beginRelay starts a session with a leader. It returns [Unavailable] if this replica leads itself, or
// has seen a later term.
func (h *hub) beginRelay(l *link.Link, leader string, first protocol.Servers, preceding []protocol.Message) (*relay, error) {
	h.syncLeadership()
	if known := h.leadership.Load(); known.leads || first.Term < known.term {
		return nil, Unavailable{}
	}
	if h.relay != nil && h.relay.serverList.Term() != first.Term {
		h.carryOverSessions()
	}
	if h.relay == nil {
		h.relay, h.cachedList = &relay{h: h, serverList: registry.NewCopy(h.handles)}, nil
	}
	r := h.relay
	r.out, r.gatewaysChanged, r.nextReportAt = link.NewOutbox(l, sessionQueueSize), true, 0
	r.loads, r.fleet, r.fleetUnsent = map[uint32]protocol.ServerLoad{}, nil, false
	r.aggregator.Restart(first.Term)
	for _, m := range preceding {
		r.receive(m)
	}
	r.receive(first)
	r.tick()
	h.d.cfg.Log.StateChange("relaying", slog.String("leader", leader), slog.Uint64("term", first.Term),
		slog.Int("gateways", len(h.sessions)))
	return r, nil
}

// carryOverSessions keeps the gateways whose sessions outlive the leader, and ends the other sessions.
func (h *hub) carryOverSessions() {
	if !h.isSpread() {
		h.endRelay(h.d.Address())
		return
	}
	h.endTermBoundSessions(h.d.Address())
}

// disconnectLeader ends the session with the leader that uses this outbox. The gateways are kept for the
// grace period.
func (r *relay) disconnectLeader(out *link.Outbox) {
	if r.h.relay != r || r.out != out {
		return
	}
	r.out.Close()
	r.out, r.lostAt = nil, r.h.d.replica.Now()
	r.h.d.cfg.Log.StateChange("leader lost", slog.Uint64("term", r.serverList.Term()), slog.Int("gateways", len(r.h.sessions)))
}

// syncRelay ends a session with a leader of an older term, and a relay that has been without the leader
// for the grace period.
func (h *hub) syncRelay(l *leadership) {
	r := h.relay
	switch {
	case r == nil:
	case r.out != nil && l.term > r.serverList.Term():
		r.disconnectLeader(r.out)
	case r.out == nil && h.d.replica.Now()-r.lostAt > relayGracePeriod:
		h.endRelay(anyReplica)
	}
}

// anyReplica is the target of a redirect to any other replica. A relay without a leader may be cut off from all of them, so
// it does not name itself.
const anyReplica = ""

// endRelay ends the sessions of all gateways and redirects them to a replica.
func (h *hub) endRelay(to string) {
	if h.relay == nil {
		return
	}
	h.d.cfg.Log.StateChange("stopped relaying", slog.Uint64("term", h.relay.serverList.Term()), slog.Int("gateways", len(h.sessions)))
	for s := range h.sessions {
		h.redirectSession(s, to)
	}
	if h.relay.out != nil {
		h.relay.out.Close()
	}
	h.relay, h.cachedList, h.deferredServers = nil, nil, registry.Change{}
}

// redirectSession ends a gateway's session and names the replica to connect to.
func (h *hub) redirectSession(s *session, to string) {
	h.closeSession(s)
	s.out.Send(protocol.WatchRedirect{Leader: to, Members: h.leadership.Load().voters})
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, link.WriteTimeout)
		defer cancel()
		s.out.Drain(ctx)
	}()
}

// receive handles a message from the leader.
func (r *relay) receive(m protocol.Message) {
	switch m := m.(type) {
	case protocol.Servers:
		r.h.cachedList = nil
		r.h.sendServerChanges(r.serverList.Apply(r.h.d.replica.Now(), m))
	case protocol.Rollouts:
		r.rollouts = &m
		r.aggregator.ApplyRollouts(m)
		r.h.broadcast(m)
	case protocol.Quarantine:
		r.applyQuarantine(m)
	case protocol.StreamQuery:
		r.answerLeader(m)
	case protocol.StreamAnswer:
		r.h.handleStreamAnswer(nil, m)
	case protocol.ServingReplicas:
		r.servingReplicas = m.List
	case protocol.Counted:
		r.aggregator.RecordCounted(m.Seq)
	case protocol.Fleet:
		registry.ApplyLoads(r.loads, r.serverList.WithOwnHandles(m.Loads))
		m.Loads = nil
		r.fleet, r.fleetUnsent = &m, true
		r.pushFleet()
	}
}

// addGateway adds a gateway whose session opens.
func (r *relay) addGateway(s *session) {
	r.aggregator.Open(s.gateway, s.supportsRollouts)
	r.gatewaysChanged = true
}

// sendLoadTotals sends a gateway, after its list, the load totals that the others were sent.
func (r *relay) sendLoadTotals(s *session) {
	if sent := r.feed.Sent(); r.fleet != nil && len(sent) > 0 {
		m := *r.fleet
		m.Loads = sent
		s.out.Send(protocol.Counted{Seq: r.aggregator.CountedReport(s.gateway)})
		s.out.Send(m)
	}
}

// sendRollouts sends the leader's rollouts to a gateway that opens a session.
func (r *relay) sendRollouts(s *session) {
	if r.rollouts != nil {
		s.out.Send(*r.rollouts)
	}
}

// tick sends the gateways' combined report to the leader, and due messages to the gateways.
func (r *relay) tick() {
	if r.out == nil {
		for s := range r.h.sessions { // keeps the sessions open: gateways leave a silent relay
			s.out.Send(protocol.Counted{Seq: r.aggregator.CountedReport(s.gateway)})
		}
		return
	}
	r.pushFleet()
	if r.gatewaysChanged {
		r.gatewaysChanged = false
		var m protocol.RelayGateways
		for s := range r.h.sessions {
			m.Gateways = append(m.Gateways, s.gateways()...)
		}
		r.out.Send(m)
	}
	now := r.h.d.replica.Now()
	if now < r.nextReportAt {
		return
	}
	report := r.appendLosses(r.aggregator.Next())
	report.Loads = r.serverList.WithLeaderHandles(report.Loads)
	if m, ok := r.h.encode(report); ok {
		r.nextReportAt = now + registry.RelayReportPause(m.Size())
		r.out.Send(m)
	}
}

// pushFleet sends the gateways the load totals of the fleet, as often as a link's budget allows.
func (r *relay) pushFleet() {
	now := r.h.d.replica.Now()
	if !r.fleetUnsent || now < r.nextFleetAt || len(r.h.sessions) == 0 {
		return
	}
	fleet := *r.fleet
	budget, links := r.h.fleetBudget(fleet.Gateways)
	fleet.Loads = r.feed.Next(registry.SortedLoads(r.loads), budget.Loads(links))
	m, ok := r.h.encode(fleet)
	if !ok {
		return
	}
	r.fleetUnsent, r.nextFleetAt = false, now+budget.Pause(m.Size(), links)
	for s := range r.h.sessions {
		s.out.Send(protocol.Counted{Seq: r.aggregator.CountedReport(s.gateway)})
		s.out.Send(m)
	}
}
