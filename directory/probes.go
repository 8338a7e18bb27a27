// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"log/slog"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file implements the leader's side of probes: gateways report what they refuse as condemned, and the leader lets
// one of them send one such request when a probe is due (quarantine.Probes).

// exclusions returns all condemned requests and sets of parts, in the log or not.
func (h *hub) exclusions() map[quarantine.Key]quarantine.Exclusion {
	all := map[quarantine.Key]quarantine.Exclusion{}
	for _, c := range h.d.state.Condemned() {
		if k, ok := quarantine.KeyFrom(c.Key); ok {
			all[k] = quarantine.Exclusion{Pool: c.Pool, IsSet: len(c.Parts) > 0}
		}
	}
	for k, c := range h.evidence.unlogged {
		all[k] = quarantine.Exclusion{Pool: c.Pool}
	}
	for k := range h.evidence.parts.stale {
		delete(all, k)
	}
	for k, s := range h.evidence.parts.unlogged {
		all[k] = quarantine.Exclusion{Pool: s.Pool, IsSet: true}
	}
	return all
}

// grantProbes lets the gateway or relay of a session send one request for each of the keys of which a probe is due.
func (h *hub) grantProbes(s *session, refused [][]byte) {
	var granted [][]byte
	for _, b := range refused {
		k, ok := quarantine.KeyFrom(b)
		if !ok || !h.evidence.probes.Grant(h.d.replica.Now(), k, h.isCalm) {
			continue
		}
		granted = append(granted, b)
		h.d.cfg.Log.StateChange("condemned request probed", slog.String("key", k.String()), slog.String("gateway", s.gateway))
	}
	if len(granted) > 0 {
		s.out.Send(protocol.Quarantine{Probes: granted})
	}
}

// isCalm reports whether no server of a pool has crashed lately for an unknown cause.
func (h *hub) isCalm(pool string) bool { return h.evidence.tracker.IsCalm(h.d.replica.Now(), pool) }

// recordProbeLoss records that a server crashed under a condemned request or set of parts.
func (h *hub) recordProbeLoss(loss quarantine.TimedLoss) {
	keys := []quarantine.Key{loss.Key}
	if set, condemned := h.evidence.parts.tracker.Condemned(quarantine.PartKeysOf(loss.Loss)); condemned {
		keys = append(keys, set)
	}
	for _, k := range keys {
		if h.evidence.probes.RecordLoss(h.d.replica.Now(), k, loss.At-loss.RunTime) {
			h.d.cfg.Log.StateChange("condemnation confirmed", slog.String("key", k.String()), slog.String("backend", loss.Server))
			h.evidence.confirmed = true
		}
	}
}

// bufferRefused holds the keys that a gateway refuses as condemned until the next report to the leader.
func (r *relay) bufferRefused(s *session, refused [][]byte) {
	if r.refusedBy == nil {
		r.refusedBy = map[quarantine.Key]*session{}
	}
	for _, b := range refused {
		if k, ok := quarantine.KeyFrom(b); ok {
			r.refusedBy[k] = s
		}
	}
}

// takeRefused returns the buffered keys for a report.
func (r *relay) takeRefused() (keys [][]byte) {
	for k := range r.refusedBy {
		keys = append(keys, k[:])
	}
	r.probers, r.refusedBy = r.refusedBy, nil
	return keys
}

// passProbes passes the leader's probes on, each to a gateway that has refused such a request.
func (r *relay) passProbes(probes [][]byte) {
	for _, b := range probes {
		k, _ := quarantine.KeyFrom(b) // an unknown key has no session
		s := r.refusedBy[k]
		if s == nil {
			s = r.probers[k]
		}
		if s != nil && r.h.sessions[s] {
			s.out.Send(protocol.Quarantine{Probes: [][]byte{b}})
		}
	}
}
