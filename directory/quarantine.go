// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file implements the leader's side of quarantine. Package quarantine evaluates the server losses
// that gateways report; the leader writes condemned requests to the log and sends the list to the
// gateways. Everything runs in the hub's goroutine.
//
// The evidence is not replicated: gateways report their losses again when they open a session with the
// next leader. Condemned requests are in the log, because gateways and directory replicas may fail
// together, and none of them may try such a request again.

// condemnTimeout bounds one attempt to commit a condemned request; the next tick retries.
const condemnTimeout = time.Second

// evidence is the leader's state about server losses during one term.
type evidence struct {
	tracker           *quarantine.Evidence
	sentList          quarantine.List                       // as last sent to the gateways
	condemnedRevision uint64                                // of the log's condemned requests that the list includes
	unlogged          map[quarantine.Key]document.Condemned // condemned, not yet in the log
	proposing         bool                                  // whether a change is being proposed
	probes            *quarantine.Probes                    // of all that is condemned, parts included
	confirmed         bool                                  // a verdict on parts was confirmed and the list is not sent yet
	parts             partEvidence
}

// beginEvidence resets the evidence for a new term. The list starts with the log's condemned requests.
func (h *hub) beginEvidence() {
	settle := quarantine.SettleTime
	if h.d.hasMultipleRegions() {
		settle = quarantine.SettleTimeViaRelay
	}
	h.evidence = evidence{tracker: quarantine.NewEvidence(settle), unlogged: map[quarantine.Key]document.Condemned{}, probes: quarantine.NewProbes()}
	h.evidence.probes.Sync(h.d.replica.Now(), h.exclusions())
	condemned := h.condemnedEntries()
	for _, e := range condemned {
		h.evidence.tracker.AddCondemned(e)
	}
	h.beginPartEvidence(settle)
	h.evidence.sentList, h.evidence.condemnedRevision = quarantine.List{}.WithChanges(condemned, nil), h.d.state.condemnedRevision()
}

// addLosses adds the losses in a report of a gateway or a relay to the evidence.
func (h *hub) addLosses(u protocol.Usage) {
	now := h.d.replica.Now()
	parts := map[uint32]protocol.LostParts{}
	for _, l := range u.LostParts {
		parts[l.Loss] = l
	}
	served := map[uint32]protocol.ServedLoss{}
	for _, l := range u.ServedLosses {
		served[l.Loss] = l
	}
	var losses []quarantine.TimedLoss
	for i, l := range u.Losses {
		if loss, ok := timedLoss(now, l); ok {
			loss.Parts, loss.Model = parts[uint32(i)].Names, parts[uint32(i)].Model
			loss.Served, loss.ServedParts = served[uint32(i)].Request, served[uint32(i)].Parts
			losses = append(losses, loss)
			h.recordProbeLoss(loss)
			h.evidence.tracker.Add(now, loss)
		}
	}
	h.addPartLosses(losses)
	for _, b := range u.BegunParts {
		if k, ok := quarantine.KeyFrom(b); ok {
			h.clearPart(k)
		}
	}
	if len(u.Losses) > 0 {
		h.pushParts()
		h.pushQuarantine() // not with the next tick: until gateways have the list they retry the request
	}
	for _, b := range u.Cleared {
		if k, ok := quarantine.KeyFrom(b); ok {
			h.clearAnswered(k)
		}
	}
}

// timedLoss converts a reported loss. It returns false if the loss has no key.
func timedLoss(now time.Duration, l protocol.Loss) (quarantine.TimedLoss, bool) {
	k, ok := quarantine.KeyFrom(l.Key)
	return quarantine.TimedLoss{At: now - time.Duration(l.AgeMillis)*time.Millisecond, Loss: quarantine.Loss{
		Key: k, Hint: quarantine.Hint(l.Hint), Account: l.Account, Pool: l.Pool, Server: l.Server, Address: l.Address,
		RunTime: time.Duration(l.RanMillis) * time.Millisecond, Retry: l.AfterLoss, PoolAnswering: l.Serving,
	}}, ok
}

// clearAnswered clears a listed request that was answered in full. If it was condemned while it was still
// running, it is released.
func (h *hub) clearAnswered(k quarantine.Key) {
	h.evidence.tracker.Clear(k)
	delete(h.evidence.unlogged, k)
	if e, listed := h.evidence.sentList.Find(k); listed && e.Condemned {
		h.d.cfg.Log.StateChange("request released", slog.String("key", k.String()), slog.String("why", "answered"))
		h.proposeCondemned(document.CondemnedChange{Release: k[:]})
	}
}

// stepEvidence condemns the requests with sufficient evidence, and sends changes of the list to the
// gateways.
func (h *hub) stepEvidence() {
	e := &h.evidence
	for _, verdict := range e.tracker.Evaluate(h.d.replica.Now(), h.registry.PoolSize) {
		h.d.cfg.Log.StateChange("request condemned", slog.String("key", verdict.Key.String()),
			slog.String("tenant", verdict.Account), slog.String("pool", verdict.Pool),
			slog.Any("backends", verdict.Servers), slog.Float64("chance", verdict.Probability))
		e.unlogged[verdict.Key] = document.Condemned{
			Key: verdict.Key[:], Hint: uint32(verdict.Hint), Account: verdict.Account, Pool: verdict.Pool, Servers: verdict.Servers,
		}
	}
	h.stepParts()
	e.probes.Sync(h.d.replica.Now(), h.exclusions())
	h.proposeUnlogged()
	if revision := h.d.state.condemnedRevision(); revision != e.condemnedRevision || e.tracker.TakeChanged() {
		e.condemnedRevision = revision
		h.pushQuarantine()
	}
}

// proposeUnlogged proposes the condemned requests that are not in the log, one at a time.
func (h *hub) proposeUnlogged() {
	if h.evidence.proposing {
		return
	}
	for _, c := range h.evidence.unlogged {
		h.proposeCondemned(document.CondemnedChange{Condemn: &c})
		return
	}
}

// proposeCondemned proposes a change of the condemned requests without waiting for the result.
func (h *hub) proposeCondemned(c document.CondemnedChange) {
	h.evidence.proposing = true
	term := h.term
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, condemnTimeout)
		defer cancel()
		err := h.d.propose(ctx, command{Condemned: &c})
		h.post(func() {
			if h.term != term {
				return
			}
			h.evidence.proposing = false
			if err == nil {
				h.recordLogged(c)
			}
		})
	}()
}

// recordLogged records that a change of the condemned requests and parts is in the log.
func (h *hub) recordLogged(c document.CondemnedChange) {
	b := c.Release
	if c.Condemn != nil {
		b = c.Condemn.Key
	}
	k, _ := quarantine.KeyFrom(b) // valid: it was made from a key
	if c.Condemn == nil {
		delete(h.evidence.parts.stale, k)
		return
	}
	delete(h.evidence.unlogged, k)
	delete(h.evidence.parts.unlogged, k)
}

// condemnedEntries returns the log's condemned requests as list entries.
func (h *hub) condemnedEntries() (all []quarantine.Entry) {
	for _, c := range h.d.state.Condemned() {
		if len(c.Parts) > 0 {
			continue
		}
		if k, ok := quarantine.KeyFrom(c.Key); ok {
			all = append(all, quarantine.Entry{Key: k, Hint: quarantine.Hint(c.Hint), Failures: len(c.Servers), Condemned: true})
		}
	}
	return all
}

// pushQuarantine sends changes of the list to the gateways.
func (h *hub) pushQuarantine() {
	current := h.evidence.tracker.Suspects()
	for _, e := range h.condemnedEntries() {
		current[e.Key] = e
	}
	var set []quarantine.Entry
	var gone []quarantine.Key
	for k, e := range current {
		if previous, listed := h.evidence.sentList.Find(k); !listed || previous != e {
			set = append(set, e)
		}
	}
	for k := range h.evidence.sentList.Entries() {
		if _, remains := current[k]; !remains {
			gone = append(gone, k)
		}
	}
	if len(set)+len(gone) == 0 {
		return
	}
	h.evidence.sentList = h.evidence.sentList.WithChanges(set, gone)
	h.broadcast(quarantineMessage(set, gone))
}

// quarantineMessage returns the message for a change of the list.
func quarantineMessage(set []quarantine.Entry, gone []quarantine.Key) protocol.Quarantine {
	slices.SortFunc(set, func(a, b quarantine.Entry) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	slices.SortFunc(gone, func(a, b quarantine.Key) int { return bytes.Compare(a[:], b[:]) })
	var m protocol.Quarantine
	for _, e := range set {
		m.Set = append(m.Set, protocol.Quarantined{
			Key: e.Key[:], Hint: uint32(e.Hint), Ends: uint8(min(e.Failures, 255)), Condemned: e.Condemned,
		})
	}
	for _, k := range gone {
		m.Removed = append(m.Removed, k[:])
	}
	return m
}

// fullQuarantine returns the message with the whole lists, which a session starts with.
func fullQuarantine(now time.Duration, l quarantine.List, parts quarantine.PartList) protocol.Quarantine {
	var all []quarantine.Entry
	for _, e := range l.Entries() {
		all = append(all, e)
	}
	m := quarantineMessage(all, nil)
	m.Whole = true
	parts.AppendTo(now, &m)
	return m
}

// sendQuarantine sends the whole list to a gateway or a relay that opens a session.
func (h *hub) sendQuarantine(s *session) {
	l, parts := h.evidence.sentList, h.evidence.parts.sentList
	if h.relay != nil {
		l, parts = h.relay.quarantine, h.relay.parts
	}
	s.out.Send(fullQuarantine(h.d.replica.Now(), l, parts))
}

// applyQuarantine applies a list message of the leader and forwards it to the gateways.
func (r *relay) applyQuarantine(m protocol.Quarantine) {
	if len(m.Probes) > 0 {
		r.passProbes(m.Probes)
		return
	}
	r.quarantine, r.parts = r.quarantine.Apply(m), r.parts.Apply(r.h.d.replica.Now(), m)
	r.h.broadcast(m)
}

// bufferLosses holds the losses that a gateway reports until the next report to the leader.
func (r *relay) bufferLosses(s *session, u protocol.Usage) {
	r.bufferRefused(s, u.Refused)
	now := r.h.d.replica.Now()
	first := len(r.losses)
	for _, l := range u.Losses {
		r.losses = append(r.losses, bufferedLoss{Loss: l, receivedAt: now})
	}
	for _, l := range u.LostParts {
		if int(l.Loss) < len(u.Losses) {
			l.Loss += uint32(first)
			r.lostParts = append(r.lostParts, l)
		}
	}
	for _, l := range u.ServedLosses {
		if int(l.Loss) < len(u.Losses) {
			l.Loss += uint32(first)
			r.servedLosses = append(r.servedLosses, l)
		}
	}
	r.cleared = append(r.cleared, u.Cleared...)
	for _, k := range u.BegunParts {
		if !slices.ContainsFunc(r.begunParts, func(o []byte) bool { return bytes.Equal(o, k) }) {
			r.begunParts = append(r.begunParts, k)
		}
	}
}

// appendLosses moves the buffered losses to a report and updates their ages.
func (r *relay) appendLosses(u protocol.Usage) protocol.Usage {
	now := r.h.d.replica.Now()
	for _, l := range r.losses {
		l.AgeMillis += uint32((now - l.receivedAt).Milliseconds())
		u.Losses = append(u.Losses, l.Loss)
	}
	u.Cleared, u.LostParts, u.ServedLosses, u.BegunParts = r.cleared, r.lostParts, r.servedLosses, r.begunParts
	r.losses, r.cleared, r.lostParts, r.servedLosses, r.begunParts = nil, nil, nil, nil, nil
	u.Refused = r.takeRefused()
	return u
}

// bufferedLoss is a loss that waits at a relay.
type bufferedLoss struct {
	protocol.Loss
	receivedAt time.Duration
}
