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
	list atomic.Pointer[quarantine.List]
	// followsLeader says whether list comes from a leader with which the gateway has a session.
	// Otherwise the gateway decides by its own evidence.
	followsLeader atomic.Bool

	unreported chan struct{} // has a capacity of one; filled while losses wait to be reported

	mu       sync.Mutex // leaf lock; guards the fields below
	evidence *quarantine.Evidence
	losses   []quarantine.TimedLoss // not yet reported
	cleared  []quarantine.Key       // not yet reported
}

func newSuspicions() *suspicions {
	s := &suspicions{evidence: quarantine.NewEvidence(quarantine.SettleTime), unreported: make(chan struct{}, 1)}
	s.list.Store(&quarantine.List{})
	return s
}

// add records requests that were running at a server that has crashed.
func (s *suspicions) add(now time.Duration, lost []quarantine.TimedLoss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, loss := range lost {
		s.evidence.Add(now, loss)
		if len(s.losses) < maxUnreported {
			s.losses = append(s.losses, loss)
		}
	}
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
	if s.followsLeader.Load() && len(s.cleared) < maxUnreported && !slices.Contains(s.cleared, k) {
		s.cleared = append(s.cleared, k)
	}
}

// isEmpty reports whether no request is suspected or condemned.
func (s *suspicions) isEmpty() bool {
	if !s.list.Load().Empty() {
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
func (s *suspicions) find(hint quarantine.Hint, key func() quarantine.Key) (quarantine.Entry, bool) {
	if l := s.list.Load(); l.HasHint(hint) {
		if e, listed := l.Find(key()); listed {
			return e, true
		}
	}
	if s.followsLeader.Load() {
		return quarantine.Entry{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.Find(key())
}

// applyList applies the leader's list. Requests that are no longer listed have been cleared by
// another gateway's answer, so their local evidence is dropped.
func (s *suspicions) applyList(m protocol.Quarantine) {
	l := s.list.Load().Apply(m)
	s.list.Store(&l)
	s.followsLeader.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range m.Removed {
		if k, ok := quarantine.KeyFrom(b); ok {
			s.evidence.Clear(k)
		}
	}
}

// beginSession queues all local evidence for the next reports, since a new leader may lack it.
func (s *suspicions) beginSession() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses, s.cleared = s.evidence.Losses(), nil
}

// addToReport adds the queued losses and cleared keys to a report.
func (s *suspicions) addToReport(now time.Duration, u *protocol.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.losses), maxLossesPerReport)
	for _, loss := range s.losses[:n] {
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

// condemnLocally condemns requests by local evidence while the gateway has no session.
func (g *Gateway) condemnLocally() {
	for _, v := range g.suspicions.condemn(g.now(), g.table.poolSize) {
		g.cfg.Log.StateChange("request condemned", slog.String("key", v.Key.String()), slog.String("tenant", v.Account),
			slog.String("pool", v.Pool), slog.Any("backends", v.Servers), slog.Float64("chance", v.Probability))
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
	c.suspicion, c.hasSuspicion = c.g.suspicions.find(hint, c.key)
	if c.suspicion.Undecided() && !c.awaitDecision(hint) {
		return callerLeft{}
	}
	if c.suspicion.Condemned {
		return Refusal{Cause: Quarantined}
	}
	return nil
}

// awaitDecision waits until the request is condemned or cleared, or the maximum wait is over. It
// returns false if the caller has left.
func (c *call) awaitDecision(hint quarantine.Hint) bool {
	for until := c.g.now() + quarantine.DecisionWait; c.suspicion.Undecided() && c.g.now() < until; {
		if !sleep.For(c.r.Context(), decisionPollInterval) {
			return false
		}
		c.suspicion, c.hasSuspicion = c.g.suspicions.find(hint, c.key)
	}
	return true
}

// hint returns the request's hint, see package quarantine.
func (c *call) hint() quarantine.Hint {
	return quarantine.HintOf(c.account.Name, c.r.Method, c.r.Host, c.r.RequestURI, len(c.body))
}

// recordLoss records an attempt whose connection broke while the request was running.
func (c *call) recordLoss(a *assignment) {
	now := c.g.now()
	c.g.crashDetector.add(quarantine.TimedLoss{At: now, Loss: quarantine.Loss{
		Key: c.key(), Hint: c.hint(), Account: c.account.Name, Pool: c.pool.Name, Server: a.serverID, Address: a.address, RunTime: now - a.startedAt, Retry: c.losses > 0,
		PoolAnswering: c.g.table.othersAnswering(c.pool.Name, a.serverID),
	}})
	c.losses++
}

// clearSuspicion reports a whole answer to a request that is listed or was lost before.
func (c *call) clearSuspicion() {
	if !c.hasSuspicion && c.losses == 0 {
		return
	}
	c.g.crashDetector.forget(c.key())
	c.g.suspicions.clear(c.key())
}
