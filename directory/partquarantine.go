// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file implements the leader's side of the quarantine of prompt parts, which works like that of
// requests: gateways report losses with their parts and the answers that have begun, the leader judges, and
// condemned sets of parts are in the log.

// partEvidence is the leader's state about prompt parts during one term.
type partEvidence struct {
	tracker  *quarantine.PartEvidence
	sentList quarantine.PartList                   // as last sent to the gateways
	unlogged map[quarantine.Key]quarantine.PartSet // condemned, not yet in the log
	stale    map[quarantine.Key]bool               // in the log, no longer condemned
}

// beginPartEvidence resets the evidence for a new term. The list starts with the log's condemned sets.
func (h *hub) beginPartEvidence(settle time.Duration) {
	p := partEvidence{
		tracker: quarantine.NewPartEvidence(settle), unlogged: map[quarantine.Key]quarantine.PartSet{}, stale: map[quarantine.Key]bool{},
	}
	for _, c := range h.d.state.Condemned() {
		if len(c.Parts) > 0 {
			p.tracker.AddCondemned(quarantine.PartSet{Pool: c.Pool, Model: c.Model, Names: c.Parts, Servers: c.Servers})
		}
	}
	p.sentList = p.tracker.List(h.d.replica.Now()).WithProvisional(h.evidence.probes.IsProvisional)
	h.evidence.parts = p
}

// addPartLosses adds the losses of a report.
func (h *hub) addPartLosses(losses []quarantine.TimedLoss) {
	for _, loss := range losses {
		if h.evidence.parts.tracker.Add(h.d.replica.Now(), loss) {
			h.evidence.tracker.Explain(quarantine.CrashID{Server: loss.Server, At: loss.At})
		}
	}
}

// clearPart clears a part of which an answer has begun. Condemned sets with it are replaced or released.
func (h *hub) clearPart(k quarantine.Key) {
	p := &h.evidence.parts
	before := p.tracker.Sets()
	p.tracker.Clear(k)
	after := p.tracker.Sets()
	for _, s := range before {
		if !containsSet(after, s) {
			h.d.cfg.Log.StateChange("parts released", slog.String("key", s.Key().String()), slog.Any("parts", s.Names), slog.String("why", "answered"))
			h.dropSet(s.Key())
		}
	}
	for _, s := range after {
		if !containsSet(before, s) {
			p.unlogged[s.Key()] = s
		}
	}
}

func containsSet(sets []quarantine.PartSet, s quarantine.PartSet) bool {
	return slices.ContainsFunc(sets, func(o quarantine.PartSet) bool { return o.Key() == s.Key() })
}

// dropSet queues the removal of a set from the log.
func (h *hub) dropSet(set quarantine.Key) {
	delete(h.evidence.parts.unlogged, set)
	h.evidence.parts.stale[set] = true
}

// stepParts condemns the parts with sufficient evidence, and sends changes of the list to the gateways.
func (h *hub) stepParts() {
	p := &h.evidence.parts
	for _, v := range p.tracker.Evaluate(h.d.replica.Now(), h.registry.PoolSize) {
		h.d.cfg.Log.StateChange("parts condemned", slog.String("key", v.Key().String()), slog.Any("parts", v.Names), slog.String("pool", v.Pool),
			slog.Any("backends", v.Servers), slog.Float64("chance", v.Probability))
		p.unlogged[v.Key()] = v.PartSet
		delete(p.stale, v.Key())
		h.evidence.probes.CondemnSet(h.d.replica.Now(), v.Key(), v.Pool)
		for _, id := range v.Crashes {
			h.evidence.tracker.Explain(id)
		}
	}
	h.proposePartSets()
	if p.tracker.TakeChanged() || h.evidence.confirmed {
		h.evidence.confirmed = false
		h.pushParts()
	}
}

// proposePartSets proposes one change of the log's condemned sets, if one is due and none is being proposed.
func (h *hub) proposePartSets() {
	if h.evidence.proposing {
		return
	}
	for set := range h.evidence.parts.stale {
		h.proposeCondemned(document.CondemnedChange{Release: set[:]})
		return
	}
	for set, s := range h.evidence.parts.unlogged {
		h.proposeCondemned(document.CondemnedChange{Condemn: &document.Condemned{
			Key: set[:], Pool: s.Pool, Model: s.Model, Parts: s.Names, Servers: s.Servers,
		}})
		return
	}
}

// pushParts sends changes of the list of parts to the gateways.
func (h *hub) pushParts() {
	now, p := h.d.replica.Now(), &h.evidence.parts
	current := p.tracker.List(now).WithProvisional(h.evidence.probes.IsProvisional)
	var m protocol.Quarantine
	if p.sentList.AppendChanges(now, current, &m) {
		h.broadcast(m)
	}
	p.sentList = current
}
