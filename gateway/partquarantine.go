// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines partSuspicions: the parts of prompts whose requests crash backend servers, as listed by
// the directory's leader and as observed by this gateway, and the parts that it knows to be harmless.

// partSuspicions holds the suspected and condemned parts that this gateway has learned of.
type partSuspicions struct {
	now           func() time.Duration
	followsLeader *atomic.Bool // see suspicions
	list          atomic.Pointer[quarantine.PartList]
	recent        atomic.Pointer[quarantine.Recent] // stored while mu is held

	mu       sync.Mutex // leaf lock; guards the fields below
	evidence *quarantine.PartEvidence
	begun    quarantine.Begun
	cleared  []quarantine.Key // not yet reported

	keysMu sync.Mutex                         // leaf lock
	keys   map[quarantine.Part]quarantine.Key // of parts seen lately, at most maxPartKeys
}

// maxPartKeys bounds the keys that are kept because a hash costs more than a lookup.
const maxPartKeys = 2048

func newPartSuspicions(now func() time.Duration, followsLeader *atomic.Bool) *partSuspicions {
	p := &partSuspicions{now: now, followsLeader: followsLeader, evidence: quarantine.NewPartEvidence(quarantine.SettleTime), keys: map[quarantine.Part]quarantine.Key{}}
	p.list.Store(&quarantine.PartList{})
	p.recent.Store(&quarantine.Recent{})
	return p
}

// setRecent stores the next value of recent. The caller holds mu.
func (p *partSuspicions) setRecent(r quarantine.Recent) { p.recent.Store(&r) }

// isEmpty reports whether no part is suspected or condemned.
func (p *partSuspicions) isEmpty() bool {
	if !p.list.Load().Empty() || !p.recent.Load().Empty() {
		return false
	}
	if p.followsLeader.Load() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evidence.Empty()
}

// add records the parts of requests that were waiting for their answers at a server that has crashed.
func (p *partSuspicions) add(now time.Duration, lost []quarantine.TimedLoss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var losses []quarantine.TimedLoss // of parts
	for _, loss := range lost {
		p.evidence.Add(now, loss)
		for _, part := range quarantine.PartsOf(loss.Loss) {
			k := part.Key()
			if !p.begun.Since(k, loss.At) {
				losses = append(losses, quarantine.TimedLoss{At: loss.At, Loss: quarantine.Loss{
					Key: k, PoolAnswering: loss.PoolAnswering, KnownFailures: p.knownCrashes(k),
				}})
			}
		}
	}
	p.setRecent(p.recent.Load().WithLosses(now, losses))
}

// knownCrashes returns the number of crashes of a part that the gateway knows of.
func (p *partSuspicions) knownCrashes(k quarantine.Key) int {
	listed, _ := p.list.Load().Suspect(k)
	recent, _ := p.recent.Load().Find(p.now(), k)
	return max(listed.Crashes, recent.Failures)
}

// answerBegan records that a request with the given parts has begun to be answered, which clears them.
func (p *partSuspicions) answerBegan(parts []quarantine.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun.Record(p.now(), parts)
	for _, k := range parts {
		p.clear(k, p.followsLeader.Load())
	}
}

// clear clears a part that is suspected or condemned, and queues it for the next report if there is a leader
// to report to. The caller holds mu.
func (p *partSuspicions) clear(k quarantine.Key, hasLeader bool) {
	p.evidence.Clear(k)
	if recent := p.recent.Load(); !recent.Empty() {
		p.setRecent(recent.Without([]quarantine.Key{k}))
	}
	if p.list.Load().Holds(k) && hasLeader && len(p.cleared) < maxUnreported && !slices.Contains(p.cleared, k) {
		p.cleared = append(p.cleared, k)
	}
}

// applyList applies the leader's list. Listed parts of which an answer has begun here since their first
// crash are cleared at once.
func (p *partSuspicions) applyList(m protocol.Quarantine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	old := *p.list.Load()
	current := old.Apply(now, m)
	if m.Whole {
		p.setRecent(p.recent.Load().WithMissing(now, suspectEntries(old), suspectEntries(current)))
	}
	p.list.Store(&current)
	for k, s := range current.Suspects() {
		if p.begun.Since(k, s.Since) {
			p.clear(k, true)
		}
	}
	for _, b := range m.RemovedParts {
		if k, ok := quarantine.KeyFrom(b); ok {
			p.evidence.Clear(k)
			p.setRecent(p.recent.Load().Without([]quarantine.Key{k}))
		}
	}
}

// suspectEntries returns the suspects and the condemned parts of a list as entries of a [quarantine.List].
func suspectEntries(l quarantine.PartList) quarantine.List {
	var entries []quarantine.Entry
	for k, s := range l.Suspects() {
		entries = append(entries, quarantine.Entry{Key: k, Failures: s.Crashes})
	}
	for _, k := range l.CondemnedParts() {
		entries = append(entries, quarantine.Entry{Key: k, Failures: quarantine.UndecidedFailures})
	}
	return quarantine.List{}.WithChanges(entries, nil)
}

// addToReport adds the cleared parts to a report.
func (p *partSuspicions) addToReport(now time.Duration, u *protocol.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRecent(p.recent.Load().At(now))
	for _, k := range p.cleared {
		u.BegunParts = append(u.BegunParts, k[:])
	}
	p.cleared = nil
}

// condemn condemns parts by local evidence while no leader decides, and returns the new verdicts.
func (p *partSuspicions) condemn(now time.Duration, servers func(pool string) int) []quarantine.PartVerdict {
	if p.followsLeader.Load() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evidence.Evaluate(now, servers)
}

// partSuspicion is what a gateway knows of the parts of one request.
type partSuspicion struct {
	condemned   bool
	provisional bool           // condemned, and no probe has confirmed it
	set         quarantine.Key // condemned
	crashes     int            // the most that one of the parts was at
}

// find returns what is known of the given parts. The sources are those of [suspicions.find].
func (p *partSuspicions) find(parts []quarantine.Key) (s partSuspicion) {
	list := p.list.Load()
	if s.set, s.condemned = list.Condemned(parts); s.condemned {
		s.provisional = list.IsProvisional(s.set)
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	isLocal := !p.followsLeader.Load()
	if isLocal {
		if set, condemned := p.evidence.Condemned(parts); condemned {
			return partSuspicion{condemned: true, set: set}
		}
	}
	for _, k := range parts {
		if p.begun.Has(k) {
			continue // crashes alone say little about it, and only its answers can clear it
		}
		s.crashes = max(s.crashes, p.knownCrashes(k))
		if isLocal {
			s.crashes = max(s.crashes, p.evidence.Crashes(k))
		}
	}
	return s
}

// condemnedSets returns for each of the lost requests the key of the condemned set that it had, or the zero key.
func (p *partSuspicions) condemnedSets(lost []quarantine.TimedLoss) []quarantine.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	sets := make([]quarantine.Key, len(lost))
	for i, loss := range lost {
		sets[i], _ = p.evidence.Condemned(quarantine.PartKeysOf(loss.Loss))
	}
	return sets
}

// undecided reports whether the parts were at so many crashes that one of them is about to be condemned.
func (s partSuspicion) undecided() bool {
	return quarantine.Entry{Failures: s.crashes, Condemned: s.condemned}.Undecided()
}

// mayRetry reports whether a request may be sent again after losses of its own.
func (s partSuspicion) mayRetry(losses int) bool {
	return !s.condemned && quarantine.Entry{Failures: s.crashes}.MayRetry(losses)
}

// logAttrs returns the attributes of log lines.
func (s partSuspicion) logAttrs() []slog.Attr {
	switch {
	case s.condemned:
		return []slog.Attr{slog.String("part_key", s.set.String())}
	case s.crashes > 0:
		return []slog.Attr{slog.Int("part_ends", s.crashes)}
	}
	return nil
}

// keyOf returns the key of a part.
func (p *partSuspicions) keyOf(part quarantine.Part) quarantine.Key {
	p.keysMu.Lock()
	defer p.keysMu.Unlock()
	k, known := p.keys[part]
	if !known {
		if len(p.keys) >= maxPartKeys {
			clear(p.keys)
		}
		k = part.Key()
		p.keys[part] = k
	}
	return k
}

// partKeys returns the keys of the prompt's shared parts that count. They are looked up on first use.
func (c *call) partKeys() []quarantine.Key {
	shared := c.head.Prompt.Shared
	if c.cachedPartKeys != nil || len(shared) == 0 {
		return c.cachedPartKeys
	}
	shared = shared[max(len(shared)-quarantine.MaxPartsPerRequest, 0):]
	c.cachedPartKeys = make([]quarantine.Key, 0, len(shared))
	for _, part := range shared {
		k := c.g.suspicions.parts.keyOf(quarantine.Part{Pool: c.pool.Name, Model: c.head.Prompt.Model, Name: part.Name})
		c.cachedPartKeys = append(c.cachedPartKeys, k)
	}
	return c.cachedPartKeys
}

// partNames returns the names of the prompt's shared parts.
func (c *call) partNames() (names []string) {
	for _, part := range c.head.Prompt.Shared {
		names = append(names, part.Name)
	}
	return names
}

// unansweredParts returns the names of the prompt's shared parts, or nil if the server has begun to answer.
func (c *call) unansweredParts(a *assignment) []string {
	if a.answering {
		return nil
	}
	return c.partNames()
}

// servedParts returns the names of the prompt's shared parts of which an answer has begun here lately.
func (c *call) servedParts() (names []string) {
	if len(c.partKeys()) == 0 {
		return nil
	}
	shared := c.head.Prompt.Shared
	shared = shared[len(shared)-len(c.partKeys()):]
	p := c.g.suspicions.parts
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, k := range c.partKeys() {
		if p.begun.Has(k) {
			names = append(names, shared[i].Name)
		}
	}
	return names
}

// partsBegun records that a successful answer to the request has begun.
func (c *call) partsBegun() {
	if parts := c.partKeys(); len(parts) > 0 {
		c.g.suspicions.parts.answerBegan(parts)
	}
}

// findPartSuspicion looks up the prompt's parts.
func (c *call) findPartSuspicion() {
	c.partSuspicion = partSuspicion{}
	if !c.g.suspicions.parts.isEmpty() {
		c.partSuspicion = c.g.suspicions.parts.find(c.partKeys())
	}
}

// checkPartsBeforeSend refuses a request whose parts were condemned while it waited for a server.
func (c *call) checkPartsBeforeSend(a *assignment) error {
	if c.counts.Arrived > 0 {
		return nil // handleFailure has checked
	}
	c.findPartSuspicion()
	err := c.refuseCondemned()
	if err != nil {
		c.g.returnServer(a)
	}
	return err
}
