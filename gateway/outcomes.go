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

// This file defines what is counted of the answers of a pool's versions for the leader's
// verdict, and what the gateway does by itself about a bad one. All is guarded by table.mu.

// tally counts how the attempts at one version on one route ended.
type tally struct {
	sent, answered, failed uint64
	paces                  [rollout.PaceBuckets]uint32
	changed                bool // since it was reported
}

// outcomes are the tallies of one attempt of a pool's rollouts. The zero value has none.
type outcomes struct {
	tallies map[tallyKey]*tally
}

type tallyKey struct{ version, route string }

// maxTallies bounds the tallies of one pool: a few versions on some routes.
const maxTallies = 256

// tallyFor returns the tally tallyFor a version on a route. Beyond maxTallies it is one that no report has.
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

// beginOutcomes has the first report of a session carry all. Shares are in force again once
// the leader has counted a report. The caller holds mu.
func (t *table) beginOutcomes() {
	t.sharesUntil = 0
	for _, p := range t.pools {
		if p.rollout == nil {
			continue
		}
		for _, c := range p.rollout.outcomes.tallies {
			c.changed = true
		}
	}
}

// endShares ends the shares with the session that gave them.
func (t *table) endShares() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sharesUntil = 0
}

// takeOutcomes returns what a report says of rollouts: the outcomes that have changed since
// the last one, and the number of the newest list that is obeyed.
func (t *table) takeOutcomes(now time.Duration) (out []protocol.Outcomes, obeyed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.pools {
		if r := p.rollout; r == nil || (!r.underWay() && !r.barredHere) { // the next leader sees why it is barred
			continue
		}
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
	return out, t.obeyed(now)
}

// locallyBarred returns the targets that an earlier leader has barred and the newest list has not.
func (t *table) locallyBarred() []protocol.Barred {
	t.mu.Lock()
	defer t.mu.Unlock()
	var barred []protocol.Barred
	for name, p := range t.pools {
		if r := p.rollout; r != nil && r.barredHere {
			barred = append(barred, protocol.Barred{Pool: name, Attempt: r.Attempt})
		}
	}
	slices.SortFunc(barred, func(a, b protocol.Barred) int { return strings.Compare(a.Pool, b.Pool) })
	return barred
}

// obeyed returns the number of the newest list that is obeyed. None is while shares are not in
// force, while the list is of an earlier leader, or while this gateway sends a target less than the list gives it: the old servers are
// needed here then. The caller holds mu.
func (t *table) obeyed(now time.Duration) uint64 {
	if now >= t.sharesUntil || t.rollouts.term != t.term {
		return 0
	}
	for _, p := range t.pools {
		if r := p.rollout; r != nil && (r.barredHere || r.underWay() && (r.breaker.holds(now) || r.isRamping(now))) {
			return 0
		}
	}
	return t.rollouts.seq
}

// report returns the tally as a report carries it.
func (t *tally) report(pool string, attempt uint64, key tallyKey) protocol.Outcomes {
	paces := t.paces[:]
	for len(paces) > 0 && paces[len(paces)-1] == 0 {
		paces = paces[:len(paces)-1]
	}
	return protocol.Outcomes{
		Pool: pool, Attempt: attempt, Version: key.version, Route: key.route,
		Sent: t.sent, Answered: t.answered, Failed: t.failed, Paces: slices.Clone(paces),
	}
}

// countPace counts how long an answer took to begin. Answers of cold servers do not count: they are
// slow whatever their version is. The caller holds mu.
func (a *assignment) countPace(now time.Duration, ratio float64) {
	if c := a.versionAttempt.tally; c != nil && !a.entry.cold.Cold(now) {
		c.paces[rollout.PaceBucket(ratio)]++
		c.changed = true
	}
}

// countOutcome counts how an attempt ended. One that had brought nothing when its time was
// over took that time at least. The caller holds mu.
func (g *Gateway) countOutcome(p *pool, a *assignment, v outlier.Verdict) {
	c := a.versionAttempt.tally
	if c == nil || g.countUnreached(p, a, v) {
		return
	}
	switch v {
	case outlier.Answered:
		c.answered++
	case outlier.Faulty, outlier.Lost:
		c.failed++
	case outlier.NoVerdict:
		took := g.now() - a.startedAt
		if !a.answering && took > a.versionAttempt.expectedFirst && !g.overload.Load().Late(g.now()) {
			a.countPace(g.now(), float64(took)/float64(a.versionAttempt.expectedFirst))
		}
		return
	default:
		return
	}
	c.changed = true
	if r := p.rollout; r.Attempt == a.versionAttempt.attempt {
		r.breaker = r.breaker.with(g.now(), a.versionAttempt.isTarget, v != outlier.Answered)
	}
}

// countUnreached notes which of several servers of a target cannot be reached, and reports whether
// the attempt is not counted for that. The caller holds mu.
func (g *Gateway) countUnreached(p *pool, a *assignment, v outlier.Verdict) bool {
	r := p.rollout
	if !a.versionAttempt.isTarget || r.Attempt != a.versionAttempt.attempt {
		return false
	}
	switch {
	case v == outlier.Answered:
		if r.unreached.recordAnswer(g.now(), a.serverID) {
			g.table.classifyPoolVersions(p)
		}
	case v == outlier.Lost && a.unreached && p.targets() > 1:
		r.unreached.add(g.now(), a.serverID, a.versionAttempt.tally)
		g.table.classifyPoolVersions(p)
		return true
	}
	return false
}

// targets returns how many servers the target has. The caller holds mu.
func (p *pool) targets() int {
	n := 0
	for _, k := range p.servers {
		if k.versionSet&targetVersion != 0 {
			n++
		}
	}
	return n
}

// Bounds of mistrust.
const (
	badInARow   = 4               // of the target's answers; a version that fails 20 % has 4 once in 600
	mistrustFor = 2 * time.Second // that the target gets nothing from this gateway
)

// breaker is this gateway's own count of bad answers, so that it stops sending to a bad target
// before the leader has added up the reports. The zero value has counted none.
type breaker struct {
	target, old int // bad answers in a row
	until       time.Duration
}

func (m breaker) holds(now time.Duration) bool { return now < m.until }

// with returns the mistrust after one more answer.
func (m breaker) with(now time.Duration, target, bad bool) breaker {
	row := &m.old
	if target {
		row = &m.target
	}
	if !bad {
		*row = 0
		return m
	}
	*row++
	if m.target >= badInARow && m.old == 0 {
		m.target, m.until = 0, now+mistrustFor
	}
	return m
}
