// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which replica serves a gateway in a fleet with several regions.

const (
	// relayWait is how long a gateway waits at a replica that may serve it in a moment, and for
	// how long a new leader expects relays: below registry.SilenceLimit, after which a gateway
	// leaves. Chosen, not measured: a dial between regions takes three of their round trips.
	relayWait = 600 * time.Millisecond
	// directStay is how long the leader serves a gateway itself that had lost a relay, before it
	// names one again. Chosen, not measured: a gateway that reaches none is without the directory
	// for the time of one dial or two each time.
	directStay = 15 * time.Second
	// movesAtOnce is the number of gateways that the leader sends to relays in a tick: each is
	// sent the whole list there. Chosen, not measured.
	movesAtOnce = 8
)

// served refuses a gateway because another replica is to serve it.
type served struct{ by string } // fleet address

// Error names the replica.
func (e served) Error() string { return "the gateway is to be served by " + e.by }

// soon refuses a gateway that this replica, or a relay that it knows then, may serve in a moment.
type soon struct{}

// Error implements error.
func (soon) Error() string { return "it shows in a moment who serves the gateway" }

// several reports whether the fleet has regions of which this replica knows its own.
func (d *Directory) several() bool { return d.cfg.Region != "" && d.cfg.Topology.Several() }

// unknownRegion labels, in metrics, nodes that have not named one of the fleet's regions.
const unknownRegion = "unknown"

// noteRegion keeps the region that a node names.
func (d *Directory) noteRegion(node, region string) {
	if slices.Contains(d.cfg.Topology.Regions(), region) {
		d.regions.Store(node, region)
	}
}

// regionOf returns the region of a node, for metrics.
func (d *Directory) regionOf(node string) string {
	if region, ok := d.regions.Load(node); ok {
		return region.(string)
	}
	return unknownRegion
}

// far reports whether a region that a node named is known to be another one.
func (h *hub) far(region string) bool {
	return h.d.several() && region != "" && region != h.d.cfg.Region
}

// mayServe returns nil if this replica is to serve a node, else as [hub.open] does.
func (h *hub) mayServe(w protocol.Watch, mayWait bool) error {
	if h.term != 0 {
		return h.mayLead(w, mayWait)
	}
	if w.Relay || !h.d.several() || w.Region != h.d.cfg.Region {
		return Unavailable{}
	}
	l := h.leadership.Load()
	switch r := h.relay; {
	case r != nil && r.out != nil && w.Term <= r.list.Term():
		return nil
	case mayWait && h.refused.Load() != l.term:
		return soon{}
	}
	return Unavailable{}
}

// mayLead is mayServe at the leader.
func (h *hub) mayLead(w protocol.Watch, mayWait bool) error {
	if w.Term > h.term {
		return Unavailable{}
	}
	if w.Relay {
		if !h.far(w.Region) {
			return served{by: h.d.Address()}
		}
		return nil
	}
	if !h.far(w.Region) {
		return nil
	}
	if relay := h.relayOf(w.Region, w.Gateway, w.Avoid); relay != "" {
		return served{by: relay}
	}
	if young := h.d.replica.Now()-h.began < relayWait; mayWait && young && !h.avoids(w) {
		return soon{}
	}
	return nil
}

// avoids reports whether a gateway has relays that it is not to be sent to now.
func (h *hub) avoids(w protocol.Watch) bool {
	return h.far(w.Region) && h.relayOf(w.Region, w.Gateway, nil) != "" && h.relayOf(w.Region, w.Gateway, w.Avoid) == ""
}

// relayOf returns the relay for a gateway of a region, "" if there is none but those to
// avoid. Each relay is given an equal part of the gateways, and one that ends moves only its own.
func (h *hub) relayOf(region, gateway string, avoid []string) string {
	best, weight := "", uint64(0)
	for s := range h.sessions {
		if !s.relay || s.region != region || slices.Contains(avoid, s.gateway) {
			continue
		}
		hash := fnv.New64a()
		_, _ = io.WriteString(hash, gateway+" "+s.gateway) // a hash takes all
		if w := mixed(hash.Sum64()); best == "" || w > weight {
			best, weight = s.gateway, w
		}
	}
	return best
}

// mixed spreads a hash over all its bits: names that differ in their last byte have hashes
// that differ in few. The constants are those of MurmurHash3's finalizer.
func mixed(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// moveToRelays sends gateways of other regions that the leader serves itself to a relay, where
// there is one now.
func (h *hub) moveToRelays() {
	now, moved := h.d.replica.Now(), 0
	for s := range h.sessions {
		if s.relay || !h.far(s.region) || (s.avoided && now-s.opened < directStay) {
			continue
		}
		if relay := h.relayOf(s.region, s.gateway, nil); relay != "" && moved < movesAtOnce {
			h.dismiss(s, relay)
			moved++
		}
	}
}
