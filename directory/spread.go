// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how the gateways' sessions are spread over the replicas of the leader's own
// region, once one replica cannot serve them all ([registry.Spread]). Each replica but the leader is
// a relay then, and the leader serves its part of the gateways as a relay does.
//
// The log says whether it is so, which every replica knows as soon as it has started. Who serves a
// gateway follows from its name and the replicas of its data hall, so that a change of the leader
// moves no gateway, and a lost replica only its own.
//
// Weighed: a relay for each data hall alone (a hall without a replica has none, and its gateways
// the way to the leader); the number of gateways in the settings (none names it); a decision of
// each replica by itself (they would disagree while the fleet starts).

// isSpread reports whether this region's gateways are served by several replicas.
func (h *hub) isSpread() bool { return h.d.state.Spread() }

// spreadTimeout bounds one try to log whether sessions are spread; a later tick tries again.
const spreadTimeout = time.Second

// decideSpread puts into the log whether sessions are to be spread, if that changes.
func (h *hub) decideSpread(now time.Duration) {
	spread := h.isSpread()
	if !spread {
		h.spreadSince = now
	}
	wanted := h.spread.Decide(now, spread, len(h.gateways()), h.registry.Len(), h.d.cfg.LinkRate)
	if wanted == spread || h.spreading || h.d.hasMultipleRegions() {
		return
	}
	h.spreading = true
	h.d.cfg.Log.StateChange("sessions to be spread", slog.Bool("spread", wanted), slog.Int("gateways", len(h.gateways())),
		slog.Int("backends", h.registry.Len()))
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, spreadTimeout)
		defer cancel()
		_ = h.d.propose(ctx, command{Spread: &wanted}) // it is tried again
		h.post(func() { h.spreading, h.list = false, nil })
	}()
}

// places returns the replicas that serve gateways of a region: the leader's relays there that have the list, or
// will have it soon, and where sessions are spread the leader itself.
func (h *hub) places(region string) (all []protocol.Place) {
	for s := range h.sessions {
		if s.relay && s.region == region && h.hasListSoon(s) {
			all = append(all, protocol.Place{Address: s.gateway, Hall: s.hall})
		}
	}
	if h.isSpread() && !h.isOtherRegion(region) {
		all = append(all, protocol.Place{Address: h.d.Address(), Hall: h.d.cfg.Hall})
	}
	return all
}

// hasListSoon reports whether a relay has the list, or has it before a gateway that waits there gives up. One that
// waits for longer serves nobody: on a link that a list takes for a second its gateways were without the directory for
// 4.3 s (TestFirstCrowdComesAtOnceOnSlowerLinks). Where it is a moment, the gateways would else be sent all
// lists twice, first by the leader.
func (h *hub) hasListSoon(s *session) bool {
	ahead := slices.Index(h.listless, s)
	if ahead < 0 {
		return true
	}
	relays := 0
	for _, waiting := range h.listless[:ahead+1] {
		if waiting.relay {
			relays++
		}
	}
	return h.listPace.TimeToSend(h.d.replica.Now(), relays, h.listed()) < relayWait/2
}

// pushPlaces tells the relays who serves gateways, if that has changed, so that each sends a
// gateway that comes to it to the right one, and the leader is not asked.
func (h *hub) pushPlaces() {
	places := h.places(h.d.cfg.Region)
	slices.SortFunc(places, func(a, b protocol.Place) int { return cmp.Compare(a.Address, b.Address) })
	if !h.isSpread() || slices.Equal(places, h.placesSent) {
		return
	}
	h.placesSent = places
	for s := range h.sessions {
		if s.relay && s.region == h.d.cfg.Region {
			s.out.Send(protocol.Places{List: places})
		}
	}
}

// maxMoves returns how many gateways may be moved in a tick, to the rest of some replicas: as many
// as these can send their lists to meanwhile, if their links are as this one.
func (h *hub) maxMoves(replicas int) int {
	lists := h.listPace.ListsWithin(registry.FleetPeriod, h.listed())
	return max(int(lists*float64(replicas-1)), minMovesPerTick)
}

// listed returns how many servers this replica lists.
func (h *hub) listed() int {
	if h.relay != nil {
		return h.relay.list.Len()
	}
	return h.registry.Len()
}
