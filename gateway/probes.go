// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
)

// This file defines probeGrants, the condemned requests that this gateway may send once more. The leader grants them,
// or the gateway itself for what it has condemned without a leader.

const (
	// probeGrantTime is how long a grant of the leader is valid.
	probeGrantTime = 2 * time.Second
	// maxRefusedKeys bounds the keys in one report, at 16 bytes each.
	maxRefusedKeys = 16
)

// probeGrants is guarded by suspicions.mu.
type probeGrants struct {
	granted map[quarantine.Key]time.Duration // until when, by the gateway's clock
	own     *quarantine.Probes               // of what the gateway has condemned itself
	refused []quarantine.Key                 // not yet reported
}

func newProbeGrants() probeGrants {
	return probeGrants{granted: map[quarantine.Key]time.Duration{}, own: quarantine.NewProbes()}
}

// recordLoss records a loss for the probes that the gateway has granted itself.
// set is the key of the condemned set that the request had, or the zero key.
func (p *probeGrants) recordLoss(now time.Duration, loss quarantine.TimedLoss, set quarantine.Key) {
	began := loss.At - loss.RunTime
	p.own.RecordLoss(now, loss.Key, began)
	p.own.RecordLoss(now, set, began)
}

// takeRefused returns the keys for a report.
func (p *probeGrants) takeRefused() (keys [][]byte) {
	for _, k := range p.refused {
		keys = append(keys, k[:])
	}
	p.refused = nil
	return keys
}

// beginProbes begins the probes of what the gateway has condemned. Other gateways without a leader do the same, so the
// first probe is not an early one.
func (s *suspicions) beginProbes(k quarantine.Key, e quarantine.Exclusion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes.own.Add(s.now(), k, e)
}

// allowProbes records the leader's grants.
func (s *suspicions) allowProbes(keys [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range keys {
		if k, ok := quarantine.KeyFrom(b); ok {
			s.probes.granted[k] = s.now() + probeGrantTime
		}
	}
}

// takeProbe reports whether a request with a condemned key may be sent, which uses up the grant. Otherwise the key is
// reported as refused.
func (s *suspicions) takeProbe(k quarantine.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	until, granted := s.probes.granted[k]
	delete(s.probes.granted, k)
	if granted && now < until {
		return true
	}
	isCalm := func(pool string) bool { return s.evidence.IsCalm(now, pool) }
	if !s.followsLeader.Load() && s.probes.own.Grant(now, k, isCalm) {
		return true
	}
	if len(s.probes.refused) < maxRefusedKeys && !slices.Contains(s.probes.refused, k) {
		s.probes.refused = append(s.probes.refused, k)
	}
	return false
}

// refuseCondemned refuses a request that is condemned, unless it is a probe.
func (c *call) refuseCondemned() error {
	k, provisional := c.partSuspicion.set, c.partSuspicion.provisional
	switch {
	case c.isProbe, !c.suspicion.Condemned && !c.partSuspicion.condemned:
		return nil
	case c.suspicion.Condemned:
		k, provisional = c.suspicion.Key, false
	}
	if c.g.suspicions.takeProbe(k) {
		c.isProbe = true
		c.g.cfg.Log.StateChange("condemned request sent as probe", slog.String("request", c.head.ID), slog.String("key", k.String()))
		return nil
	}
	if provisional {
		return Refusal{Cause: QuarantinePending, RetryAfter: retry.LongDelay}
	}
	return Refusal{Cause: Quarantined}
}
