// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which replica serves a gateway, in a fleet with several regions or with
// sessions that are spread.

const (
	// relayWait is how long a gateway waits at a replica that may serve it in a moment, and for how
	// long a new leader expects relays: below registry.SilenceLimit, after which a gateway leaves. A
	// dial between regions takes three of their round trips.
	relayWait = 600 * time.Millisecond
	// directStay is how long the leader serves a gateway itself that had lost a relay, before it names
	// one again. A gateway that reaches none is without the directory for the time of one dial or two
	// each time.
	directStay = 15 * time.Second
	// minMovesPerTick is the number of gateways that a replica sends to others in a tick, at the least:
	// each is sent the whole list there.
	minMovesPerTick = 8
)

// servedElsewhere refuses a gateway because another replica is to serve it.
type servedElsewhere struct{ by string } // fleet address

// Error names the replica.
func (e servedElsewhere) Error() string { return "the gateway is to be served by " + e.by }

// notYetServing refuses a gateway that this replica, or a relay that it knows then, may serve in a moment.
type notYetServing struct{}

// Error implements error.
func (notYetServing) Error() string { return "it shows in a moment who serves the gateway" }

// hasMultipleRegions reports whether the fleet has regions of which this replica knows its own.
func (d *Directory) hasMultipleRegions() bool {
	return d.cfg.Region != "" && d.cfg.Topology.MultipleRegions()
}

// unknownRegion labels, in metrics, nodes that have not named one of the fleet's regions.
const unknownRegion = "unknown"

// recordRegion keeps the region that a node names.
func (d *Directory) recordRegion(node, region string) {
	if slices.Contains(d.cfg.Topology.Regions(), region) {
		d.nodeRegions.Store(node, region)
	}
}

// regionOf returns the region of a node, for metrics.
func (d *Directory) regionOf(node string) string {
	if region, ok := d.nodeRegions.Load(node); ok {
		return region.(string)
	}
	return unknownRegion
}

// isOtherRegion reports whether a region that a node named is known to be another one.
func (h *hub) isOtherRegion(region string) bool {
	return h.d.hasMultipleRegions() && region != "" && region != h.d.cfg.Region
}

// checkServes returns nil if this replica is to serve a node, else as [hub.open] does.
func (h *hub) checkServes(w protocol.Watch, mayWait bool) error {
	if h.term != 0 {
		return h.mayLead(w, mayWait)
	}
	if w.Relay || !h.canRelay() || w.Region != h.d.cfg.Region {
		return Unavailable{}
	}
	switch r := h.relay; {
	case r != nil && r.out != nil && w.Term <= r.list.Term():
		return h.mayPassOn(r, w, mayWait)
	case mayWait && !h.isRelayRefused():
		return notYetServing{}
	}
	return Unavailable{}
}

// mayPassOn is mayServe at a relay that has a leader. A gateway that another replica has named this one
// to is served, unless one of its own data hall can: replicas may know of each other at other times.
func (h *hub) mayPassOn(r *relay, w protocol.Watch, mayWait bool) error {
	if !h.isSpread() {
		return nil
	}
	if r.places == nil && mayWait {
		return notYetServing{}
	}
	place := registry.SelectReplica(r.places, w.Hall, w.Gateway, w.Avoid)
	foreign := w.Hall != h.d.cfg.Hall && registry.AnyInHall(r.places, w.Hall)
	if place != "" && place != h.d.Address() && (!w.Named || foreign) {
		return servedElsewhere{by: place}
	}
	return nil
}

// mayLead is mayServe at the leader.
func (h *hub) mayLead(w protocol.Watch, mayWait bool) error {
	if w.Term > h.term {
		return Unavailable{}
	}
	if w.Relay {
		if !h.relayed(w.Region) {
			return servedElsewhere{by: h.d.Address()}
		}
		return nil
	}
	if !h.relayed(w.Region) {
		return nil
	}
	places := h.places(w.Region)
	if place := registry.SelectReplica(places, h.hallOf(w.Hall), w.Gateway, w.Avoid); place != "" && place != h.d.Address() {
		if mayWait && h.young() && h.hallOf(w.Hall) != "" && !registry.AnyInHall(places, w.Hall) {
			return notYetServing{} // its hall's relay may just be coming
		}
		return servedElsewhere{by: place}
	} else if place != "" {
		return nil
	}
	if mayWait && h.young() && !h.avoidsPreferred(w) {
		return notYetServing{}
	}
	return nil
}

// young reports whether relays may just be looking for this leader.
func (h *hub) young() bool { return h.d.replica.Now()-h.termBegan < relayWait }

// relayed reports whether gateways of a region are served by relays.
func (h *hub) relayed(region string) bool { return h.isOtherRegion(region) || h.isSpread() }

// avoidsPreferred reports whether a gateway has replicas to serve it that it is not to be sent to now.
func (h *hub) avoidsPreferred(w protocol.Watch) bool {
	if !h.relayed(w.Region) || len(w.Avoid) == 0 {
		return false
	}
	places := h.placesFor(w.Region)
	return registry.SelectReplica(places, h.hallOf(w.Hall), w.Gateway, nil) != registry.SelectReplica(places, h.hallOf(w.Hall), w.Gateway, w.Avoid)
}

// moveMisplacedSessions sends gateways that another replica is to serve to it, where there is one now.
func (h *hub) moveMisplacedSessions() {
	moved := 0
	places := map[string][]protocol.Place{}
	for s := range h.sessions {
		if s.relay {
			continue
		}
		if _, known := places[s.region]; !known {
			places[s.region] = h.placesFor(s.region)
		}
		there := places[s.region]
		place := registry.SelectReplica(there, h.hallOf(s.hall), s.gateway, nil)
		if place != "" && place != h.d.Address() && h.mayMove(s, there) && moved < h.maxMoves(len(there)) {
			h.redirectSession(s, place)
			moved++
		}
	}
}

// mayMove reports whether a gateway that should be elsewhere may be sent there now. One that came
// here since it could not be there, or was named this replica, stays for a while, unless one of its own
// data hall can serve it. A leader that has just begun to spread sessions waits for its hall's relays.
func (h *hub) mayMove(s *session, places []protocol.Place) bool {
	now := h.d.replica.Now()
	hall := h.hallOf(s.hall)
	abroad := hall != "" && hall != h.d.cfg.Hall
	switch {
	case s.avoidsRelays:
		return now-s.opened >= directStay
	case h.relay != nil && s.redirectedHere:
		return now-s.opened >= directStay || (abroad && registry.AnyInHall(places, hall))
	case h.relay == nil && hall != "" && !registry.AnyInHall(places, hall):
		return now-h.spreadSince >= relayWait
	}
	return true
}

// placesFor returns the replicas that may serve gateways of a region; none if that is not known.
func (h *hub) placesFor(region string) []protocol.Place {
	switch {
	case h.relay != nil && h.relay.out != nil && h.isSpread():
		return h.relay.places
	case h.relay == nil && h.relayed(region):
		return h.places(region)
	}
	return nil
}

// hallOf returns the data hall whose replicas go first for a gateway: its own, where sessions are
// spread.
func (h *hub) hallOf(hall string) string {
	if h.isSpread() {
		return hall
	}
	return ""
}
