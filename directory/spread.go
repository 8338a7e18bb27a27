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

// This file defines how the gateways' sessions are spread over the replicas of the leader's region
// once one replica cannot serve them all ([registry.Spread]). Every other replica there is then a
// relay for a part of the gateways, and the leader serves a part itself.
//
// The log records whether sessions are spread, so that every replica has this state as soon as it
// has started. The replica for a gateway follows from the gateway's name and the replicas of its
// data hall: a change of the leader moves no gateway, and the loss of a replica moves only its own.
//
// Alternatives considered: one relay per data hall (a hall without a replica has none, and its
// gateways need the path to the leader anyway); a configured number of gateways (no setting states
// it); independent decisions of the replicas (they would disagree while the fleet starts).

// isSpread reports whether several replicas serve this region's gateways.
func (h *hub) isSpread() bool { return h.d.state.Spread() }

// spreadTimeout limits one attempt to log a decision. A later tick retries.
const spreadTimeout = time.Second

// decideSpread logs whether sessions are to be spread, if that changes.
func (h *hub) decideSpread(now time.Duration) {
	spread := h.isSpread()
	if !spread {
		h.lastNotSpread = now
	}
	wanted := h.spread.Decide(now, spread, len(h.gateways()), h.registry.Len(), h.d.cfg.LinkRate)
	if wanted == spread || h.loggingSpread || h.d.hasMultipleRegions() {
		return
	}
	h.loggingSpread = true
	h.d.cfg.Log.StateChange("session spreading decided", slog.Bool("spread", wanted), slog.Int("gateways", len(h.gateways())),
		slog.Int("backends", h.registry.Len()))
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, spreadTimeout)
		defer cancel()
		_ = h.d.propose(ctx, command{Spread: &wanted}) // a later tick retries
		h.post(func() { h.loggingSpread, h.cachedList = false, nil })
	}()
}

// servingReplicas returns the replicas that serve gateways of a region: the leader's relays there
// that have the list or will have it soon, and, where sessions are spread, the leader itself.
func (h *hub) servingReplicas(region string) (all []protocol.ServingReplica) {
	for s := range h.sessions {
		if s.isRelay && s.region == region && h.willHaveListSoon(s) {
			all = append(all, protocol.ServingReplica{Address: s.gateway, Hall: s.hall})
		}
	}
	if h.isSpread() && !h.isOtherRegion(region) {
		all = append(all, protocol.ServingReplica{Address: h.d.Address(), Hall: h.d.cfg.Hall})
	}
	return all
}

// willHaveListSoon reports whether a relay has the list, or will have it before a gateway waiting
// there gives up. A relay that waits longer cannot serve gateways: on a link that takes a second
// per list, its gateways were without the directory for 4.3 s
// (TestAllGatewaysConnectOverSlowerLinks). If the wait is short, excluding the relay would send
// the gateways all lists twice, first from the leader.
func (h *hub) willHaveListSoon(s *session) bool {
	ahead := slices.Index(h.awaitingList, s)
	if ahead < 0 {
		return true
	}
	relays := 0
	for _, waiting := range h.awaitingList[:ahead+1] {
		if waiting.isRelay {
			relays++
		}
	}
	return h.listPace.TimeToSend(h.d.replica.Now(), relays, h.listSize()) < relayWait/2
}

// pushServingReplicas sends the relays the list of replicas that serve gateways, if it has changed.
// Each relay can then redirect a gateway to the right replica without asking the leader.
func (h *hub) pushServingReplicas() {
	replicas := h.servingReplicas(h.d.cfg.Region)
	slices.SortFunc(replicas, func(a, b protocol.ServingReplica) int { return cmp.Compare(a.Address, b.Address) })
	if !h.isSpread() || slices.Equal(replicas, h.sentServingReplicas) {
		return
	}
	h.sentServingReplicas = replicas
	for s := range h.sessions {
		if s.isRelay && s.region == h.d.cfg.Region {
			s.out.Send(protocol.ServingReplicas{List: replicas})
		}
	}
}

// maxMoves returns how many gateways may be moved in a tick to the other replicas: as many as these
// can send their lists to in that time, assuming links like this replica's.
func (h *hub) maxMoves(replicas int) int {
	lists := h.listPace.ListsWithin(registry.FleetPeriod, h.listSize())
	return max(int(lists*float64(replicas-1)), minMovesPerTick)
}

// listSize returns the number of servers that this replica lists.
func (h *hub) listSize() int {
	if h.relay != nil {
		return h.relay.serverList.Len()
	}
	return h.registry.Len()
}
