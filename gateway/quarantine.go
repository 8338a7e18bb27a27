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

// This file defines suspicions, what the gateway knows of requests under which backend servers
// end: what the directory's leader lists, and what it has seen itself.

const (
	// maxUnreported is the number of losses that wait for a report, and of cleared keys: what more
	// there is in an end of many servers at once is not suspected, or is cleared by its next answer.
	maxUnreported = 1024
	// maxLossesPerReport is how many of them go with one report, about 100 bytes each. An engine's places.
	maxLossesPerReport = 64
)

type suspicions struct {
	list atomic.Pointer[quarantine.List]
	// followsLeader is whether the list is that of a leader in touch. While it is not, the gateway judges
	// by what it has seen itself.
	followsLeader atomic.Bool

	unreported chan struct{} // holds one while losses wait for a report

	mu       sync.Mutex // a leaf
	evidence *quarantine.Evidence
	losses   []quarantine.TimedLoss // not reported yet
	cleared  []quarantine.Key       // the same
}

func newSuspicions() *suspicions {
	s := &suspicions{evidence: quarantine.NewEvidence(quarantine.SettleTime), unreported: make(chan struct{}, 1)}
	s.list.Store(&quarantine.List{})
	return s
}

// add takes requests that ran at a server that has ended.
func (s *suspicions) add(now time.Duration, lost []quarantine.TimedLoss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range lost {
		s.evidence.Add(now, h)
		if len(s.losses) < maxUnreported {
			s.losses = append(s.losses, h)
		}
	}
	select {
	case s.unreported <- struct{}{}:
	default:
	}
}

// clear takes a whole answer to a request that is listed or was lost here.
func (s *suspicions) clear(k quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.Clear(k)
	if s.followsLeader.Load() && len(s.cleared) < maxUnreported && !slices.Contains(s.cleared, k) {
		s.cleared = append(s.cleared, k)
	}
}

// isEmpty reports whether nothing is known against any request.
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

// find returns what is known against a request, or false if that is nothing. key is called only
// if something may be known.
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

// applyList takes the leader's list. What is not listed any more was cleared elsewhere.
func (s *suspicions) applyList(m protocol.Quarantine) {
	l := s.list.Load().Apply(m)
	s.list.Store(&l)
	s.followsLeader.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range m.Gone {
		if k, ok := quarantine.KeyFrom(b); ok {
			s.evidence.Clear(k)
		}
	}
}

// beginSession makes the next reports tell all that was seen here: another leader may not know.
func (s *suspicions) beginSession() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses, s.cleared = s.evidence.Losses(), nil
}

// addToReport adds to a addToReport what is to be told.
func (s *suspicions) addToReport(now time.Duration, u *protocol.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.losses), maxLossesPerReport)
	for _, h := range s.losses[:n] {
		u.Losses = append(u.Losses, protocol.Loss{
			Key: h.Key[:], Hint: uint32(h.Hint), Account: h.Account, Pool: h.Pool, Server: h.Server, Address: h.Address,
			Ran: uint32(h.RunTime.Milliseconds()), Age: uint32((now - h.At).Milliseconds()), Again: h.Retry,
			Serving: h.PoolAnswering,
		})
	}
	s.losses = s.losses[n:]
	for _, k := range s.cleared {
		u.Cleared = append(u.Cleared, k[:])
	}
	s.cleared = nil
}

// condemn condemns by what was seen here, while no leader does.
func (s *suspicions) condemn(now time.Duration, servers func(pool string) int) []quarantine.Verdict {
	if s.followsLeader.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.Evaluate(now, servers)
}

// condemnLocally condemns requests while the gateway is out of touch.
func (g *Gateway) condemnLocally() {
	for _, v := range g.suspicions.condemn(g.now(), g.table.poolSize) {
		g.cfg.Log.StateChange("request condemned", slog.String("key", v.Key.String()), slog.String("tenant", v.Account),
			slog.String("pool", v.Pool), slog.Any("backends", v.Servers), slog.Float64("chance", v.Probability))
	}
}

// decisionPollInterval is how often an undecided request looks for what became of it.
const decisionPollInterval = 20 * time.Millisecond

// checkQuarantine looks up what is known against the request. What is condemned is refused. What is about
// to be waits for it: to be sent now it might cost one more server.
func (c *call) checkQuarantine() error {
	if c.g.suspicions.isEmpty() {
		return nil
	}
	hint := c.hint()
	c.suspicion, c.listed = c.g.suspicions.find(hint, c.key)
	if c.suspicion.Undecided() && !c.awaitDecision(hint) {
		return callerLeft{}
	}
	if c.suspicion.Condemned {
		return Refusal{Cause: Quarantined}
	}
	return nil
}

// awaitDecision waits until the request is condemned, cleared, or has waited for long enough. It
// reports false if the caller has left.
func (c *call) awaitDecision(hint quarantine.Hint) bool {
	for until := c.g.now() + quarantine.DecisionWait; c.suspicion.Undecided() && c.g.now() < until; {
		if !sleep.For(c.r.Context(), decisionPollInterval) {
			return false
		}
		c.suspicion, c.listed = c.g.suspicions.find(hint, c.key)
	}
	return true
}

// hint is the request's hint, see package quarantine.
func (c *call) hint() quarantine.Hint {
	return quarantine.HintOf(c.account.Name, c.r.Method, c.r.Host, c.r.RequestURI, len(c.body))
}

// lost takes an attempt whose connection broke while the request ran.
func (c *call) lost(a *assignment) {
	now := c.g.now()
	c.g.endDetector.add(quarantine.TimedLoss{At: now, Loss: quarantine.Loss{
		Key: c.key(), Hint: c.hint(), Account: c.account.Name, Pool: c.pool.Name, Server: a.serverID, Address: a.address, RunTime: now - a.startedAt, Retry: c.losses > 0,
		PoolAnswering: c.g.table.othersServe(c.pool.Name, a.serverID),
	}})
	c.losses++
}

// clearSuspicion reports a whole answer, if anything is known against the request.
func (c *call) clearSuspicion() {
	if !c.listed && c.losses == 0 {
		return
	}
	c.g.endDetector.forget(c.key())
	c.g.suspicions.clear(c.key())
}
