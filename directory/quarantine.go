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

// This file defines how the leader finds the requests under which backend servers end: it has
// package quarantine decide on what gateways report, puts what is condemned into the log, and
// sends gateways the list. All runs in the hub's goroutine.
//
// The evidence is lost with the leader. Gateways report again what they have seen when they open
// a session with the next one. What is condemned is in the log, since gateways and directory may
// end together, and none of them is to try such a request anew.

// condemnTimeout bounds one try to put a condemned request into the log. Until one succeeds the next
// tick tries again.
const condemnTimeout = time.Second

// evidence is what the leader of one term knows of ends.
type evidence struct {
	seen     *quarantine.Evidence
	list     quarantine.List // as gateways were last sent it
	revision uint64          // of the condemned requests of the log, in list
	unlogged map[quarantine.Key]document.Condemned
	logging  bool
}

func (h *hub) beginEvidence() {
	settle := quarantine.SettleTime
	if h.d.hasMultipleRegions() {
		settle = quarantine.SettleViaRelay
	}
	h.evidence = evidence{seen: quarantine.NewEvidence(settle), unlogged: map[quarantine.Key]document.Condemned{}}
	condemned := h.condemned()
	for _, e := range condemned {
		h.evidence.seen.AddCondemned(e)
	}
	h.evidence.list, h.evidence.revision = quarantine.List{}.WithChanges(condemned, nil), h.d.state.condemnedRevision()
}

// addLosses takes what a gateway or a relay reports of ends.
func (h *hub) addLosses(u protocol.Usage) {
	now := h.d.replica.Now()
	for _, l := range u.Losses {
		if loss, ok := timedLoss(now, l); ok {
			h.evidence.seen.Add(now, loss)
		}
	}
	if len(u.Losses) > 0 {
		h.pushQuarantine() // not with the next tick: until gateways know they try it twice
	}
	for _, b := range u.Cleared {
		if k, ok := quarantine.KeyFrom(b); ok {
			h.clearKey(k)
		}
	}
}

// timedLoss translates a reported loss. It reports false for one without a key.
func timedLoss(now time.Duration, l protocol.Loss) (quarantine.TimedLoss, bool) {
	k, ok := quarantine.KeyFrom(l.Key)
	return quarantine.TimedLoss{At: now - time.Duration(l.Age)*time.Millisecond, Loss: quarantine.Loss{
		Key: k, Hint: quarantine.Hint(l.Hint), Account: l.Account, Pool: l.Pool, Server: l.Server, Address: l.Address,
		RunTime: time.Duration(l.Ran) * time.Millisecond, Retry: l.Again, PoolAnswering: l.Serving,
	}}, ok
}

// clearKey takes a whole answer to a listed request. One that was condemned meanwhile was so
// by mistake: it was still running when it was.
func (h *hub) clearKey(k quarantine.Key) {
	h.evidence.seen.Clear(k)
	delete(h.evidence.unlogged, k)
	if e, listed := h.evidence.list.Find(k); listed && e.Condemned {
		h.d.cfg.Log.StateChange("request released", slog.String("key", k.String()), slog.String("why", "answered"))
		h.logCondemned(document.CondemnedChange{Release: k[:]})
	}
}

// stepEvidence condemns what the evidence is enough for, and sends gateways what has changed.
func (h *hub) stepEvidence() {
	v := &h.evidence
	for _, verdict := range v.seen.Evaluate(h.d.replica.Now(), h.registry.PoolSize) {
		h.d.cfg.Log.StateChange("request condemned", slog.String("key", verdict.Key.String()),
			slog.String("tenant", verdict.Account), slog.String("pool", verdict.Pool),
			slog.Any("backends", verdict.Servers), slog.Float64("chance", verdict.Probability))
		v.unlogged[verdict.Key] = document.Condemned{
			Key: verdict.Key[:], Hint: uint32(verdict.Hint), Account: verdict.Account, Pool: verdict.Pool, Servers: verdict.Servers,
		}
	}
	h.logUnlogged()
	if revision := h.d.state.condemnedRevision(); revision != v.revision || v.seen.TakeChanged() {
		v.revision = revision
		h.pushQuarantine()
	}
}

// logUnlogged puts what was condemned into the log, one after the other.
func (h *hub) logUnlogged() {
	if h.evidence.logging {
		return
	}
	for _, c := range h.evidence.unlogged {
		h.logCondemned(document.CondemnedChange{Condemn: &c})
		return
	}
}

// logCondemned puts a change of the condemned requests into the log, with nobody waiting.
func (h *hub) logCondemned(c document.CondemnedChange) {
	h.evidence.logging = true
	term := h.term
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, condemnTimeout)
		defer cancel()
		err := h.d.propose(ctx, command{Condemned: &c})
		h.post(func() {
			if h.term != term {
				return
			}
			h.evidence.logging = false
			if err == nil && c.Condemn != nil {
				k, _ := quarantine.KeyFrom(c.Condemn.Key) // it was made from one
				delete(h.evidence.unlogged, k)
			}
		})
	}()
}

// condemned returns the entries of what the log holds.
func (h *hub) condemned() (all []quarantine.Entry) {
	for _, c := range h.d.state.Condemned() {
		if k, ok := quarantine.KeyFrom(c.Key); ok {
			all = append(all, quarantine.Entry{Key: k, Hint: quarantine.Hint(c.Hint), Ends: len(c.Servers), Condemned: true})
		}
	}
	return all
}

// pushQuarantine sends gateways what has changed in the list.
func (h *hub) pushQuarantine() {
	now := h.evidence.seen.Suspects()
	for _, e := range h.condemned() {
		now[e.Key] = e
	}
	var set []quarantine.Entry
	var gone []quarantine.Key
	for k, e := range now {
		if before, listed := h.evidence.list.Find(k); !listed || before != e {
			set = append(set, e)
		}
	}
	for k := range h.evidence.list.Entries() {
		if _, still := now[k]; !still {
			gone = append(gone, k)
		}
	}
	if len(set)+len(gone) == 0 {
		return
	}
	h.evidence.list = h.evidence.list.WithChanges(set, gone)
	h.broadcast(quarantineMessage(set, gone))
}

// quarantineMessage returns the message for a change of a list.
func quarantineMessage(set []quarantine.Entry, gone []quarantine.Key) protocol.Quarantine {
	slices.SortFunc(set, func(a, b quarantine.Entry) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	slices.SortFunc(gone, func(a, b quarantine.Key) int { return bytes.Compare(a[:], b[:]) })
	var m protocol.Quarantine
	for _, e := range set {
		m.Set = append(m.Set, protocol.Quarantined{
			Key: e.Key[:], Hint: uint32(e.Hint), Ends: uint8(min(e.Ends, 255)), Condemned: e.Condemned,
		})
	}
	for _, k := range gone {
		m.Gone = append(m.Gone, k[:])
	}
	return m
}

// wholeQuarantine returns the list with which a session opens.
func wholeQuarantine(l quarantine.List) protocol.Quarantine {
	var all []quarantine.Entry
	for _, e := range l.Entries() {
		all = append(all, e)
	}
	m := quarantineMessage(all, nil)
	m.Whole = true
	return m
}

// sendQuarantine sends a gateway or a relay that opens a session the whole list.
func (h *hub) sendQuarantine(s *session) {
	l := h.evidence.list
	if h.relay != nil {
		l = h.relay.quarantine
	}
	s.out.Send(wholeQuarantine(l))
}

// takeQuarantine takes the leader's list, and passes it on.
func (r *relay) takeQuarantine(m protocol.Quarantine) {
	r.quarantine = r.quarantine.Apply(m)
	r.h.broadcast(m)
}

// bufferLosses keeps what a gateway reports of ends until the next report to the leader.
func (r *relay) bufferLosses(u protocol.Usage) {
	now := r.h.d.replica.Now()
	for _, l := range u.Losses {
		r.losses = append(r.losses, agedLoss{Loss: l, came: now})
	}
	r.cleared = append(r.cleared, u.Cleared...)
}

// takeLosses adds to a report what was kept, as old as it is by now.
func (r *relay) takeLosses(u protocol.Usage) protocol.Usage {
	now := r.h.d.replica.Now()
	for _, l := range r.losses {
		l.Age += uint32((now - l.came).Milliseconds())
		u.Losses = append(u.Losses, l.Loss)
	}
	u.Cleared = r.cleared
	r.losses, r.cleared = nil, nil
	return u
}

// agedLoss is a loss that waits at a relay.
type agedLoss struct {
	protocol.Loss
	came time.Duration
}
