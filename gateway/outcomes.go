// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file counts how attempts end per version during a rollout. The counts are reported to the
// leader, which judges the target by them, and a local circuit breaker stops requests to a failing
// target. All state is guarded by table.mu.

// tally counts the results of attempts at one version on one route.
type tally struct {
	sent, answered, failed uint64
	latencyRatioCounts     [rollout.PaceBuckets]uint32
	changed                bool // since the last report
}

// outcomes holds the tallies of one rollout attempt of a pool. The zero value is empty.
type outcomes struct {
	tallies map[tallyKey]*tally
}

type tallyKey struct{ version, route string }

// maxTallies bounds the tallies of one pool, enough for a few versions on each of several routes.
const maxTallies = 256

// tallyFor returns the tally of a version on a route. Beyond maxTallies it returns one that is not
// reported.
func (o *outcomes) tallyFor(version, route string) *tally {
	key := tallyKey{version, route}
	if t := o.tallies[key]; t != nil {
		return t
	}
	if o.tallies == nil {
		o.tallies = map[tallyKey]*tally{}
	}
	if len(o.tallies) >= maxTallies {
		return &tally{}
	}
	t := &tally{}
	o.tallies[key] = t
	return t
}

// reportAllOutcomes marks all tallies as changed, so that the first report of a session includes
// them. Shares apply again once the leader has counted a report. The caller holds mu.
func (t *table) reportAllOutcomes() {
	t.rolloutSharesUntil = 0
	for _, p := range t.pools {
		if p.rollout == nil {
			continue
		}
		for _, c := range p.rollout.outcomes.tallies {
			c.changed = true
		}
	}
}

// endShares ends the rollout shares together with the session they were received in.
func (t *table) endShares() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rolloutSharesUntil = 0
}

// takeOutcomes returns the rollout fields of a report: the outcomes changed since the last one, and
// the number of the newest list of rollouts that this gateway applies in full.
func (t *table) takeOutcomes(now time.Duration) (out []protocol.Outcomes, appliedList uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.pools {
		if r := p.rollout; r == nil || (!r.underWay() && !r.barredLocally) { // a barred target is reported, to show the next leader the reason
			continue
		}
		p.rollout.silences.countOverdue(now)
		for key, c := range p.rollout.outcomes.tallies {
			if c.changed {
				c.changed = false
				out = append(out, c.report(name, p.rollout.Attempt, key))
			}
		}
	}
	slices.SortFunc(out, func(a, b protocol.Outcomes) int {
		return cmp.Or(strings.Compare(a.Pool, b.Pool), strings.Compare(a.Version, b.Version), strings.Compare(a.Route, b.Route))
	})
	return out, t.appliedListNumber(now)
}

// locallyBarred returns the targets that an earlier leader has barred and the newest list has not.
func (t *table) locallyBarred() []protocol.BarredTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var barred []protocol.BarredTarget
	for name, p := range t.pools {
		if r := p.rollout; r != nil && r.barredLocally {
			barred = append(barred, protocol.BarredTarget{Pool: name, Attempt: r.Attempt})
		}
	}
	slices.SortFunc(barred, func(a, b protocol.BarredTarget) int { return strings.Compare(a.Pool, b.Pool) })
	return barred
}

// appliedListNumber returns the number of the newest list of rollouts that this gateway applies in
// full. It returns zero while shares are not in force, while the list comes from an earlier leader,
// and while this gateway sends less to a target than the list allots to it, because then the old
// servers are still needed. The caller holds mu.
func (t *table) appliedListNumber(now time.Duration) uint64 {
	if now >= t.rolloutSharesUntil || t.rollouts.term != t.term {
		return 0
	}
	for _, p := range t.pools {
		if r := p.rollout; r != nil && (r.barredLocally || r.underWay() && (r.breaker.isOpen(now) || r.isRamping(now))) {
			return 0
		}
	}
	return t.rollouts.seq
}

// report converts the tally for a report.
func (t *tally) report(pool string, attempt uint64, key tallyKey) protocol.Outcomes {
	counts := t.latencyRatioCounts[:]
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	return protocol.Outcomes{
		Pool: pool, Attempt: attempt, Version: key.version, Route: key.route,
		Sent: t.sent, Answered: t.answered, Failed: t.failed, PaceCounts: slices.Clone(counts),
	}
}

// countLatencyRatio counts the ratio of the time until an answer began to the expected time.
// Answers of cold servers are not counted, because they are slow whatever their version. The caller
// holds mu.
func (a *assignment) countLatencyRatio(now time.Duration, ratio float64) {
	v := &a.versionAttempt
	if v.tally == nil {
		return
	}
	if o := (versionOutcome{tally: v.tally, paceBucket: rollout.PaceBucket(ratio)}); !a.entry.cold.Cold(now) && !a.withholds(now, o) {
		o.count()
	}
	if a.answering && v.isTarget {
		v.silences.recordSent(now, a.serverID)
	}
}

// withholds reports whether an outcome at the target is not to be counted, because the server is or was silent. The
// caller holds mu.
func (a *assignment) withholds(now time.Duration, o versionOutcome) bool {
	v := &a.versionAttempt
	if !v.isTarget || !v.severalServers {
		return false
	}
	others := a.entry.ownLoad.Requests
	if !a.ended {
		others--
	}
	return v.silences.withhold(now, waitingAttempt{server: a.serverID, startedAt: a.startedAt, expectedFirst: v.expectedFirst, others: others}, o)
}

// countOutcome counts how an attempt ended. An attempt that timed out before its first part counts
// with the latency ratio that the elapsed time gives. It reports whether the attempt counts as failed. The caller holds mu.
func (g *Gateway) countOutcome(p *pool, a *assignment, v outlier.Verdict) (failed bool) {
	c := a.versionAttempt.tally
	if c == nil || g.recordUnreached(p, a, v) {
		return false
	}
	now := g.now()
	if a.versionAttempt.isTarget && (v == outlier.Answered || v == outlier.Faulty || v == outlier.Refused) {
		a.versionAttempt.silences.recordSent(now, a.serverID)
	}
	switch v {
	case outlier.Answered:
		c.answered++
	case outlier.Lost:
		if o := (versionOutcome{tally: c, failed: true}); a.silenceCounted && a.withholds(now, o) {
			return false
		}
		c.failed++
	case outlier.Faulty:
		c.failed++
	case outlier.NoVerdict:
		took := now - a.startedAt
		if !a.answering && took > a.versionAttempt.expectedFirst && !g.overload.Load().Late(now) {
			a.countLatencyRatio(now, float64(took)/float64(a.versionAttempt.expectedFirst))
		}
		return false
	default:
		return false
	}
	c.changed = true
	if r := p.rollout; r.Attempt == a.versionAttempt.rolloutAttempt {
		r.breaker = r.breaker.withAnswer(g.now(), a.versionAttempt.isTarget, v != outlier.Answered)
	}
	return v != outlier.Answered
}

// recordUnreached records an attempt at an unreachable server if the target has several servers. It
// reports whether the attempt is not to be counted as failed. The caller holds mu.
func (g *Gateway) recordUnreached(p *pool, a *assignment, v outlier.Verdict) bool {
	r := p.rollout
	if !a.versionAttempt.isTarget || r.Attempt != a.versionAttempt.rolloutAttempt {
		return false
	}
	switch {
	case v == outlier.Answered, v == outlier.Unconfirmed:
		if r.unreached.recordAnswer(g.now(), a.serverID) {
			g.table.classifyPoolVersions(p)
		}
	case v == outlier.Lost && a.unreached && p.targetCount() > 1:
		r.unreached.add(g.now(), a.serverID, a.versionAttempt.tally)
		g.table.classifyPoolVersions(p)
		return true
	}
	return false
}

// targetCount returns the number of servers of the target version. The caller holds mu.
func (p *pool) targetCount() int {
	n := 0
	for _, k := range p.servers {
		if k.versionSet&targetVersion != 0 {
			n++
		}
	}
	return n
}

// Limits of the breaker.
const (
	breakerThreshold = 4               // failures in a row; a version that fails 20 % of requests reaches 4 once in 600
	breakerOpenTime  = 2 * time.Second // for which the target gets no requests from this gateway
)

// breaker is a circuit breaker for the target version. It counts this gateway's own failures, so
// that requests to a failing target stop before the leader has added up the reports. The zero value
// is closed.
type breaker struct {
	targetFailures, oldFailures int // consecutive failures
	openUntil                   time.Duration
}

func (b breaker) isOpen(now time.Duration) bool { return now < b.openUntil }

// withAnswer returns the breaker after one more answer.
func (b breaker) withAnswer(now time.Duration, target, failed bool) breaker {
	failures := &b.oldFailures
	if target {
		failures = &b.targetFailures
	}
	if !failed {
		*failures = 0
		return b
	}
	*failures++
	if b.targetFailures >= breakerThreshold && b.oldFailures == 0 {
		b.targetFailures, b.openUntil = 0, now+breakerOpenTime
	}
	return b
}
