// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines how a replica that is not the leader opens a relay session with the leader.

// runRelayLoop keeps a session with the leader open, unless this replica leads or the leader needs
// no relay here.
func (h *hub) runRelayLoop() {
	for h.d.ctx.Err() == nil {
		l := h.leadership.Load()
		if h.canRelay() && l.leader != "" && l.leader != h.d.Address() && !h.isRelayRefused() {
			h.runLeaderSession(l.leader, l.term)
		}
		sleep.For(h.d.ctx, relayPollInterval) // the loop condition checks ctx
	}
}

// canRelay reports whether a leader may use this replica as a relay.
func (h *hub) canRelay() bool { return h.d.hasMultipleRegions() || h.isSpread() }

// isRelayRefused reports whether the current leader has refused a relay here, with sessions spread
// as they are now.
func (h *hub) isRelayRefused() bool {
	r := h.lastRefusal.Load()
	return r != nil && *r == relayRefusal{h.leadership.Load().term, h.isSpread()}
}

// runLeaderSession runs one session with the leader.
func (h *hub) runLeaderSession(leader string, term uint64) {
	ctx, cancel := context.WithCancel(h.d.ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, relayDialTimeout)
	l, err := link.Dial(dialCtx, leader, h.d.cfg.Identity, h.d.meter)
	cancelDial()
	if err != nil {
		return
	}
	defer l.Close()
	if err := l.Send(ctx, h.relayHello(term)); err != nil {
		return
	}
	var preceding []protocol.Message // messages that precede the list: rollouts, if there are any, and the quarantine list
	for {
		m, err := l.ReceiveWithIdleTimeout(ctx, registry.LeaderTimeout)
		if err != nil {
			return
		}
		switch m := m.(type) {
		case protocol.Rollouts, protocol.Quarantine:
			preceding = append(preceding, m)
			continue
		case protocol.WatchRedirect:
			if m.Leader == leader { // the leader needs no relay here
				h.stopRelaying(leader, term)
			}
		case protocol.Servers:
			if m.Relays {
				h.relayFrom(ctx, l, leader, m, preceding)
			} else { // an older version, which takes this replica for a gateway
				h.stopRelaying(leader, term)
			}
		default: // periodic messages may arrive before the list
			continue
		}
		return
	}
}

// relayHello returns the message that opens a relay session with the leader of a term.
func (h *hub) relayHello(term uint64) protocol.Watch {
	return protocol.Watch{
		Gateway: h.d.Address(), BootID: h.d.cfg.Random(), Term: term, SupportsHalls: true, SupportsRollouts: true,
		Region: h.d.cfg.Region, Hall: h.d.cfg.Hall, Relay: true,
	}
}

// stopRelaying ends the relay and records that the leader of this term has refused it.
func (h *hub) stopRelaying(leader string, term uint64) {
	h.lastRefusal.Store(&relayRefusal{term, h.isSpread()})
	h.post(func() { h.endRelay(leader) })
}
