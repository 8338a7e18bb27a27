// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines suspicions: the requests during which backend servers crashed, as listed by the
// directory's leader and as observed by this gateway.

const (
	// maxUnreported bounds the losses that wait to be reported, and likewise the cleared keys. If
	// many servers crash at once, excess losses are not reported, and excess keys are cleared by
	// the next answer to their request.
	maxUnreported = 1024
	// maxLossesPerReport bounds the losses in one report, at about 100 bytes each. It is the number
	// of slots of a large engine.
	maxLossesPerReport = 64
)

// suspicions holds the suspected and condemned requests that this gateway has learned of.
type suspicions struct {
	now    func() time.Duration
	list   atomic.Pointer[quarantine.List]
	recent atomic.Pointer[quarantine.Recent] // stored while mu is held
	// followsLeader says whether list comes from a leader with which the gateway has a session.
	// Otherwise the gateway decides by its own evidence.
	followsLeader atomic.Bool
	listedAt      atomic.Int64 // nanoseconds on the gateway's clock; when the last whole list arrived

	parts      *partSuspicions
	unreported chan struct{} // has a capacity of one; filled while losses wait to be reported

	mu        sync.Mutex // leaf lock; guards the fields below
	evidence  *quarantine.Evidence
	losses    []quarantine.TimedLoss // not yet reported
	cleared   []quarantine.Key       // not yet reported
	probes    probeGrants
	served    quarantine.Begun                  // requests that were answered in full
	undecided map[quarantine.Key]undecidedEntry // in list
}

func newSuspicions(now func() time.Duration) *suspicions {
	s := &suspicions{now: now, evidence: quarantine.NewEvidence(quarantine.SettleTime), probes: newProbeGrants(), undecided: map[quarantine.Key]undecidedEntry{}, unreported: make(chan struct{}, 1)}
	s.parts = newPartSuspicions(now, &s.followsLeader)
	s.list.Store(&quarantine.List{})
	s.recent.Store(&quarantine.Recent{})
	return s
}

// setRecent stores the next value of recent. The caller holds mu.
func (s *suspicions) setRecent(r quarantine.Recent) { s.recent.Store(&r) }

// add records requests that were running at a server that has crashed.
func (s *suspicions) add(now time.Duration, lost []quarantine.TimedLoss) {
	s.parts.add(now, lost)
	sets := s.parts.condemnedSets(lost)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, loss := range lost {
		s.probes.recordLoss(now, loss, sets[i])
		s.evidence.Add(now, loss)
		if len(s.losses) < maxUnreported {
			s.losses = append(s.losses, loss)
		}
	}
	s.setRecent(s.recent.Load().WithLosses(now, lost))
	s.requestReport()
}

// requestReport makes the next report due at once.
func (s *suspicions) requestReport() {
	select {
	case s.unreported <- struct{}{}:
	default:
	}
}

// clear records a whole answer to a request that is listed or was lost at this gateway.
func (s *suspicions) clear(k quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.Clear(k)
	s.probes.own.Release(k)
	s.setRecent(s.recent.Load().Without([]quarantine.Key{k}))
	if s.followsLeader.Load() && len(s.cleared) < maxUnreported && !slices.Contains(s.cleared, k) {
		s.cleared = append(s.cleared, k)
	}
}

// isEmpty reports whether no request is suspected or condemned.
func (s *suspicions) isEmpty() bool {
	if !s.list.Load().Empty() || !s.recent.Load().Empty() || !s.parts.isEmpty() {
		return false
	}
	if s.followsLeader.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.Empty()
}

// find returns the entry of a request, if there is one. key is called only if the hint matches or
// the gateway decides by its own evidence.
//
// The list alone is not enough: it is as old as the last message of a leader that may be gone, and
// the first list of the next leader lacks what gateways have not reported again.
func (s *suspicions) find(hint quarantine.Hint, key func() quarantine.Key) (e quarantine.Entry, found bool) {
	consider := func(o quarantine.Entry, listed bool) {
		if listed {
			e, found = e.OrStronger(o), true
		}
	}
	if l := s.list.Load(); l.HasHint(hint) {
		consider(l.Find(key()))
	}
	if r := s.recent.Load(); r.HasHint(hint) {
		consider(r.Find(s.now(), key()))
	}
	if !s.followsLeader.Load() {
		s.mu.Lock()
		defer s.mu.Unlock()
		consider(s.evidence.Find(key()))
	}
	return e, found
}

// applyList applies the leader's list. Requests that are no longer listed have been cleared by
// another gateway's answer, so their local evidence is dropped. A whole list drops nothing, since a
// new leader's list lacks what gateways have not reported again.
func (s *suspicions) applyList(m protocol.Quarantine) {
	if len(m.Probes) > 0 {
		s.allowProbes(m.Probes)
		return
	}
	s.parts.applyList(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.list.Load()
	current := old.Apply(m)
	if m.Whole {
		s.setRecent(s.recent.Load().WithMissing(s.now(), old, current))
		s.listedAt.Store(int64(s.now()))
	}
	var removed []quarantine.Key
	for _, b := range m.Removed {
		if k, ok := quarantine.KeyFrom(b); ok {
			s.evidence.Clear(k)
			removed = append(removed, k)
		}
	}
	s.setRecent(s.recent.Load().Without(removed))
	s.recordUndecided(current)
	s.list.Store(&current)
	s.followsLeader.Store(true)
}

// beginSession queues all local evidence for the next report, since a new leader may lack it.
func (s *suspicions) beginSession() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses, s.cleared = s.evidence.Losses(), nil
	if len(s.losses) > 0 {
		s.requestReport()
	}
}

// addToReport adds the queued losses and cleared keys to a report.
func (s *suspicions) addToReport(now time.Duration, u *protocol.Usage) {
	s.parts.addToReport(now, u)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRecent(s.recent.Load().At(now))
	n := min(len(s.losses), maxLossesPerReport)
	for _, loss := range s.losses[:n] {
		if len(loss.Parts) > 0 {
			u.LostParts = append(u.LostParts, protocol.LostParts{Loss: uint32(len(u.Losses)), Model: loss.Model, Names: loss.Parts})
		}
		if loss.Served || len(loss.ServedParts) > 0 {
			u.ServedLosses = append(u.ServedLosses, protocol.ServedLoss{Loss: uint32(len(u.Losses)), Request: loss.Served, Parts: loss.ServedParts})
		}
		u.Losses = append(u.Losses, protocol.Loss{
			Key: loss.Key[:], Hint: uint32(loss.Hint), Account: loss.Account, Pool: loss.Pool, Server: loss.Server, Address: loss.Address,
			RanMillis: uint32(loss.RunTime.Milliseconds()), AgeMillis: uint32((now - loss.At).Milliseconds()), AfterLoss: loss.Retry,
			Serving: loss.PoolAnswering,
		})
	}
	s.losses = s.losses[n:]
	for _, k := range s.cleared {
		u.Cleared = append(u.Cleared, k[:])
	}
	s.cleared = nil
	u.Refused = s.probes.takeRefused()
}

// condemn condemns requests by local evidence while no leader decides, and returns the new
// verdicts.
func (s *suspicions) condemn(now time.Duration, servers func(pool string) int) []quarantine.Verdict {
	if s.followsLeader.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.Evaluate(now, servers)
}

// condemnParts is like condemn for parts of prompts. Their crashes are no evidence against other requests.
func (s *suspicions) condemnParts(now time.Duration, servers func(pool string) int) []quarantine.PartVerdict {
	verdicts := s.parts.condemn(now, servers)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range verdicts {
		for _, id := range v.Crashes {
			s.evidence.Explain(id)
		}
	}
	return verdicts
}

// condemnLocally condemns requests and parts by local evidence while the gateway has no session.
func (g *Gateway) condemnLocally() {
	for _, v := range g.suspicions.condemn(g.now(), g.table.poolSize) {
		g.suspicions.beginProbes(v.Key, quarantine.Exclusion{Pool: v.Pool})
		g.cfg.Log.StateChange("request condemned", slog.String("key", v.Key.String()), slog.String("tenant", v.Account),
			slog.String("pool", v.Pool), slog.Any("backends", v.Servers), slog.Float64("chance", v.Probability))
	}
	for _, v := range g.suspicions.condemnParts(g.now(), g.table.poolSize) {
		g.suspicions.beginProbes(v.Key(), quarantine.Exclusion{Pool: v.Pool, IsSet: true})
		g.cfg.Log.StateChange("parts condemned", slog.String("key", v.Key().String()), slog.Any("parts", v.Names), slog.String("pool", v.Pool),
			slog.Any("backends", v.Servers), slog.Float64("chance", v.Probability))
	}
}

// decisionPollInterval is how often a waiting request checks whether it has been condemned or
// cleared.
const decisionPollInterval = 20 * time.Millisecond

// checkQuarantine refuses the request if it is condemned. A request that is about to be condemned
// waits for the decision, because sending it now could crash one more server.
func (c *call) checkQuarantine() error {
	if c.g.suspicions.isEmpty() {
		return nil
	}
	hint := c.hint()
	c.findSuspicion(hint)
	if c.isUndecided() && !c.awaitDecision(hint) {
		return callerLeft{}
	}
	return c.refuseCondemned()
}

// findSuspicion looks up the request and the parts of its prompt.
func (c *call) findSuspicion(hint quarantine.Hint) {
	c.suspicion, c.hasSuspicion = c.g.suspicions.find(hint, c.key)
	c.findPartSuspicion()
}

// isUndecided reports whether the request or one of its parts is about to be condemned.
func (c *call) isUndecided() bool {
	if c.suspicion.Condemned || c.partSuspicion.condemned {
		return false
	}
	return c.isRequestUndecided() || c.partSuspicion.undecided()
}

// isRequestUndecided reports whether the request itself is about to be condemned. One that was served
// lately is not held back, since only its answers can clear it, and neither is one on which the leader has
// had the time to decide: without another crash there is nothing to decide.
func (c *call) isRequestUndecided() bool {
	return c.suspicion.Undecided() && !c.g.suspicions.hasServed(c.key()) && !c.g.suspicions.hadTimeToDecide(c.suspicion)
}

// awaitDecision waits until the request is condemned or cleared, or the maximum wait is over. A
// leader whose list arrives meanwhile has the whole wait to decide, since gateways report to it
// only then. It returns false if the caller has left.
func (c *call) awaitDecision(hint quarantine.Hint) bool {
	arrived := c.g.now()
	// A part is shared by requests that may all have little time: if none of them were sent, none of their
	// answers could clear it.
	partDue := arrived + c.timeLeft()/2
	for c.isUndecided() && c.g.now() < c.g.suspicions.decisionDue(arrived) {
		if !c.isRequestUndecided() && c.g.now() >= partDue {
			break
		}
		if !sleep.For(c.r.Context(), decisionPollInterval) {
			return false
		}
		c.findSuspicion(hint)
	}
	return true
}

// decisionDue returns the time by which a leader has decided on a request that arrived at the
// given time. Leaders that change again and again extend the wait only once.
func (s *suspicions) decisionDue(arrived time.Duration) time.Duration {
	due := arrived + quarantine.DecisionWait
	listedAt := time.Duration(s.listedAt.Load())
	return min(max(arrived, listedAt), due) + quarantine.DecisionWait
}

// hint returns the request's hint, see package quarantine.
func (c *call) hint() quarantine.Hint {
	return quarantine.HintOf(c.account.Name, c.r.Method, c.r.Host, c.r.RequestURI, len(c.body))
}

// knownFailures returns the number of consecutive server failures under the request that this
// gateway knows of.
func (c *call) knownFailures() int { return c.suspicion.Failures + c.losses }

// recordLoss records an attempt whose connection broke while the request was running.
func (c *call) recordLoss(a *assignment) {
	c.g.crashDetector.add(c.lossAt(a))
	c.losses++
}

// lossAt returns the loss of the request if the server of an attempt has crashed.
func (c *call) lossAt(a *assignment) quarantine.TimedLoss {
	now := c.g.now()
	return quarantine.TimedLoss{At: now, Loss: quarantine.Loss{
		Key: c.key(), Hint: c.hint(), Account: c.account.Name, Pool: c.pool.Name, Server: a.serverID, Address: a.address, RunTime: now - a.startedAt, Retry: c.losses > 0,
		PoolAnswering: c.g.table.othersAnswering(c.pool.Name, a.serverID), KnownFailures: c.knownFailures(),
		Parts: c.unansweredParts(a), Model: c.head.Prompt.Model,
		Served: c.g.suspicions.hasServed(c.key()), ServedParts: c.servedParts(),
	}}
}

// maxServedBody bounds the bodies, in bytes, of requests of which answers are remembered. What is requested often is
// small, and larger bodies cost more to hash.
const maxServedBody = 4 << 10

// recordServed records a whole answer to a request.
func (s *suspicions) recordServed(k quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served.Record(s.now(), []quarantine.Key{k})
}

// undecidedTime is how long after a change of a suspect the leader may still condemn it for that. It covers
// [quarantine.SettleTimeViaRelay] and the messages before and after it.
const undecidedTime = 1500 * time.Millisecond

// hadTimeToDecide reports whether the leader's list has had an entry for longer than the leader needs.
func (s *suspicions) hadTimeToDecide(e quarantine.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, known := s.undecided[e.Key]
	return known && listed.failures == e.Failures && s.now()-listed.at > undecidedTime
}

// recordUndecided records when the leader's list has changed to what it says of an undecided request. The
// caller holds mu.
func (s *suspicions) recordUndecided(current quarantine.List) {
	for k := range s.undecided {
		if e, listed := current.Find(k); !listed || !e.Undecided() {
			delete(s.undecided, k)
		}
	}
	for k, e := range current.Entries() {
		if e.Undecided() && s.undecided[k].failures != e.Failures {
			s.undecided[k] = undecidedEntry{failures: e.Failures, at: s.now()}
		}
	}
}

// undecidedEntry is an undecided request in the leader's list.
type undecidedEntry struct {
	failures int
	at       time.Duration // when the number of failures was listed
}

// hasServed reports whether a request was answered in full lately.
func (s *suspicions) hasServed(k quarantine.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served.Has(k)
}

// clearSuspicion records a whole answer, and reports it if the request is listed or was lost before.
func (c *call) clearSuspicion() {
	if len(c.body) <= maxServedBody {
		c.g.suspicions.recordServed(c.key())
	}
	if !c.hasSuspicion && c.losses == 0 {
		return
	}
	c.g.crashDetector.forget(c.key())
	c.g.suspicions.clear(c.key())
}
