// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines how a replica that does not lead finds the leader and opens a session with it as a
// relay.

// findLeader keeps a session with the leader, unless this replica leads or the leader needs no
// relay here.
func (h *hub) findLeader() {
	for h.d.ctx.Err() == nil {
		l := h.leadership.Load()
		if h.canRelay() && l.leader != "" && l.leader != h.d.Address() && !h.isRelayRefused() {
			h.followLeader(l.leader, l.term)
		}
		sleep.For(h.d.ctx, relayPollInterval) // the loop looks whether ctx has ended
	}
}

// canRelay reports whether a leader may want this replica as a relay.
func (h *hub) canRelay() bool { return h.d.hasMultipleRegions() || h.isSpread() }

// isRelayRefused reports whether the leader of this term needs no relay here, as it is now.
func (h *hub) isRelayRefused() bool {
	r := h.refused.Load()
	return r != nil && *r == refusal{h.leadership.Load().term, h.isSpread()}
}

// followLeader runs one session with the leader.
func (h *hub) followLeader(leader string, term uint64) {
	ctx, cancel := context.WithCancel(h.d.ctx)
	defer cancel()
	dialing, dialed := context.WithTimeout(ctx, relayDialTimeout)
	l, err := link.Dial(dialing, leader, h.d.cfg.Identity, h.d.meter)
	dialed()
	if err != nil {
		return
	}
	defer l.Close()
	if err := l.Send(ctx, h.relayHello(term)); err != nil {
		return
	}
	var before []protocol.Message // the list: rollouts, if there are any, and the quarantine
	for {
		m, err := l.ReceiveWithin(ctx, registry.SilenceLimit)
		if err != nil {
			return
		}
		switch m := m.(type) {
		case protocol.Rollouts, protocol.Quarantine:
			before = append(before, m)
			continue
		case protocol.WatchRedirect:
			if m.Leader == leader { // it needs no relay here
				h.doWithout(leader, term)
			}
		case protocol.Servers:
			if m.Relays {
				h.relayFrom(ctx, l, leader, m, before)
			} else { // it takes this replica for a gateway
				h.doWithout(leader, term)
			}
		default: // of what comes with time, before the turn of the list
			continue
		}
		return
	}
}

// relayHello opens a session with the leader of a term.
func (h *hub) relayHello(term uint64) protocol.Watch {
	return protocol.Watch{
		Gateway: h.d.Address(), Boot: h.d.cfg.Random(), Term: term, KnowsHalls: true, KnowsVersions: true,
		Region: h.d.cfg.Region, Hall: h.d.cfg.Hall, Relay: true,
	}
}

// doWithout ends a relay that a leader does not serve in its term.
func (h *hub) doWithout(leader string, term uint64) {
	h.refused.Store(&refusal{term, h.isSpread()})
	h.post(func() { h.endRelay(leader) })
}
