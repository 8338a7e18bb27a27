// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file decides which replica serves a gateway, in a fleet with several regions or with spread
// sessions.

const (
	// relayWait is how long a gateway waits at a replica that may serve it shortly, and how long a new
	// leader expects relays to connect. It is below registry.LeaderTimeout, after which a gateway leaves. A
	// dial between regions takes three round trips.
	relayWait = 600 * time.Millisecond
	// directServeTime is how long the leader itself serves a gateway that had lost a relay, before it
	// redirects the gateway to one again. Each redirect to an unreachable relay costs the gateway one or
	// two dials without the directory.
	directServeTime = 15 * time.Second
	// minMovesPerTick is the lower bound of the number of gateways that a replica may redirect per tick.
	// Each of them is sent the whole list by its new replica.
	minMovesPerTick = 8
)

// servedElsewhere is the error for a gateway that another replica is to serve.
type servedElsewhere struct{ by string } // fleet address

// Error names the replica.
func (e servedElsewhere) Error() string { return "the gateway is assigned to " + e.by }

// notYetServing is the error for a gateway that this replica, or a relay that connects meanwhile, may
// serve shortly.
type notYetServing struct{}

// Error implements error.
func (notYetServing) Error() string { return "no replica serves the gateway yet" }

// hasMultipleRegions reports whether the fleet has several regions and this replica's region is set.
func (d *Directory) hasMultipleRegions() bool {
	return d.cfg.Region != "" && d.cfg.Topology.MultipleRegions()
}

// unknownRegion is the metric label of nodes that have not named one of the fleet's regions.
const unknownRegion = "unknown"

// recordRegion stores the region that a node names, if the fleet has it.
func (d *Directory) recordRegion(node, region string) {
	if slices.Contains(d.cfg.Topology.Regions(), region) {
		d.nodeRegions.Store(node, region)
	}
}

// regionOf returns a node's region, for metrics.
func (d *Directory) regionOf(node string) string {
	if region, ok := d.nodeRegions.Load(node); ok {
		return region.(string)
	}
	return unknownRegion
}

// isOtherRegion reports whether a region that a node named differs from this replica's.
func (h *hub) isOtherRegion(region string) bool {
	return h.d.hasMultipleRegions() && region != "" && region != h.d.cfg.Region
}

// checkServes returns nil if this replica is to serve a node, and otherwise the error of
// [hub.openSession].
func (h *hub) checkServes(w protocol.Watch, mayWait bool) error {
	if h.term != 0 {
		return h.checkLeaderServes(w, mayWait)
	}
	if w.Relay || !h.canRelay() || w.Region != h.d.cfg.Region {
		return Unavailable{}
	}
	switch r := h.relay; {
	case r != nil && r.out != nil && w.Term <= r.serverList.Term():
		return h.checkRelayServes(r, w, mayWait)
	case mayWait && !h.isRelayRefused():
		return notYetServing{}
	}
	return Unavailable{}
}

// checkRelayServes is checkServes at a relay that has a session with the leader. A gateway that was
// redirected here is served, unless a replica in its own data hall can serve it: replicas may learn of
// each other at different times.
func (h *hub) checkRelayServes(r *relay, w protocol.Watch, mayWait bool) error {
	if !h.isSpread() {
		return nil
	}
	if r.servingReplicas == nil && mayWait {
		return notYetServing{}
	}
	assigned := registry.SelectReplica(r.servingReplicas, w.Hall, w.Gateway, w.Avoid)
	ownHallServes := w.Hall != h.d.cfg.Hall && registry.AnyInHall(r.servingReplicas, w.Hall)
	if assigned != "" && assigned != h.d.Address() && (!w.Redirected || ownHallServes) {
		return servedElsewhere{by: assigned}
	}
	return nil
}

// checkLeaderServes is checkServes at the leader.
func (h *hub) checkLeaderServes(w protocol.Watch, mayWait bool) error {
	if w.Term > h.term {
		return Unavailable{}
	}
	if w.Relay {
		if !h.isRelayServed(w.Region) {
			return servedElsewhere{by: h.d.Address()}
		}
		return nil
	}
	if !h.isRelayServed(w.Region) {
		return nil
	}
	replicas := h.servingReplicas(w.Region)
	if assigned := registry.SelectReplica(replicas, h.preferredHall(w.Hall), w.Gateway, w.Avoid); assigned != "" && assigned != h.d.Address() {
		if mayWait && h.isTermNew() && h.preferredHall(w.Hall) != "" && !registry.AnyInHall(replicas, w.Hall) {
			return notYetServing{} // its hall's relay may be about to connect
		}
		return servedElsewhere{by: assigned}
	} else if assigned != "" {
		return nil
	}
	if mayWait && h.isTermNew() && !h.avoidsPreferred(w) {
		return notYetServing{}
	}
	return nil
}

// isTermNew reports whether relays may still be looking for this leader.
func (h *hub) isTermNew() bool { return h.d.replica.Now()-h.termBegan < relayWait }

// isRelayServed reports whether relays serve the gateways of a region.
func (h *hub) isRelayServed(region string) bool { return h.isOtherRegion(region) || h.isSpread() }

// avoidsPreferred reports whether a gateway avoids, for now, the replica that is preferred for it.
func (h *hub) avoidsPreferred(w protocol.Watch) bool {
	if !h.isRelayServed(w.Region) || len(w.Avoid) == 0 {
		return false
	}
	replicas := h.knownServingReplicas(w.Region)
	return registry.SelectReplica(replicas, h.preferredHall(w.Hall), w.Gateway, nil) != registry.SelectReplica(replicas, h.preferredHall(w.Hall), w.Gateway, w.Avoid)
}

// moveMisplacedSessions redirects gateways that another available replica is to serve.
func (h *hub) moveMisplacedSessions() {
	moved := 0
	replicasByRegion := map[string][]protocol.ServingReplica{}
	for s := range h.sessions {
		if s.isRelay {
			continue
		}
		if _, known := replicasByRegion[s.region]; !known {
			replicasByRegion[s.region] = h.knownServingReplicas(s.region)
		}
		candidates := replicasByRegion[s.region]
		assigned := registry.SelectReplica(candidates, h.preferredHall(s.hall), s.gateway, nil)
		if assigned != "" && assigned != h.d.Address() && h.canMove(s, candidates) && moved < h.maxMoves(len(candidates)) {
			h.redirectSession(s, assigned)
			moved++
		}
	}
}

// canMove reports whether a gateway that belongs elsewhere may be redirected now. A gateway that came
// here because it reached no relay stays for directServeTime. So does one that was redirected here,
// unless a replica in its own data hall can serve it. A leader in whose term sessions have just been
// spread waits for the relays of the gateway's hall.
func (h *hub) canMove(s *session, replicas []protocol.ServingReplica) bool {
	now := h.d.replica.Now()
	hall := h.preferredHall(s.hall)
	inOtherHall := hall != "" && hall != h.d.cfg.Hall
	switch {
	case s.avoidsRelays:
		return now-s.opened >= directServeTime
	case h.relay != nil && s.redirectedHere:
		return now-s.opened >= directServeTime || (inOtherHall && registry.AnyInHall(replicas, hall))
	case h.relay == nil && hall != "" && !registry.AnyInHall(replicas, hall):
		return now-h.lastNotSpread >= relayWait
	}
	return true
}

// knownServingReplicas returns the replicas that may serve the gateways of a region, or nil if they are
// not known.
func (h *hub) knownServingReplicas(region string) []protocol.ServingReplica {
	switch {
	case h.relay != nil && h.relay.out != nil && h.isSpread():
		return h.relay.servingReplicas
	case h.relay == nil && h.isRelayServed(region):
		return h.servingReplicas(region)
	}
	return nil
}

// preferredHall returns the data hall whose replicas are preferred for a gateway: its own hall if
// sessions are spread, otherwise none.
func (h *hub) preferredHall(hall string) string {
	if h.isSpread() {
		return hall
	}
	return ""
}
