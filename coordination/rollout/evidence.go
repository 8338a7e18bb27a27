// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// This file defines detector, which compares the answers of the target with those of the old
// version in the same time, route by route, to detect a bad version.
//
// It computes a cumulative sum (CUSUM, Page's test) of log likelihood ratios, because a version may
// turn bad at any moment: earlier good answers must not outweigh new bad ones. There is one sum for
// each kind of bad answer, each tested excess and each route. Another sum covers all routes, each
// compared with its own old answers, because the mix of routes differs between the versions.

// PaceBuckets is the number of buckets, half an octave each, in which paces are counted.
const PaceBuckets = 32

// paceUnit is the bucket of a pace of 1. Paces from 2^-8 to 2^8 have buckets of their own, since
// answers of plain services are compared with 50 ms, whatever is usual in their pool.
const paceUnit = PaceBuckets / 2

// PaceBucket returns the bucket of a pace, the ratio of the time to the first byte of an answer to
// the expected time.
func PaceBucket(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	return min(max(int(math.Floor(2*math.Log2(ratio)))+paceUnit, 0), PaceBuckets-1)
}

// Tally counts the outcomes of the attempts at one version on one route.
type Tally struct {
	Sent, Answered, Failed uint64
	Paces                  [PaceBuckets]uint64
}

// outcomesKnown returns the number of attempts with a known outcome. A stream counts once it has
// begun, since it may end after the deadline.
func (t *Tally) outcomesKnown() uint64 { return max(t.Answered+t.Failed, t.pacesCounted()) }

func (t *Tally) pacesCounted() uint64 {
	n := uint64(0)
	for _, c := range t.Paces {
		n += c
	}
	return n
}

// pacesAbove returns the number of paces in the buckets above the given one.
func (t *Tally) pacesAbove(bucket int) uint64 {
	n := uint64(0)
	for _, c := range t.Paces[min(bucket+1, PaceBuckets):] {
		n += c
	}
	return n
}

// RouteTallies holds the tallies of both versions on one route, as totals since the rollout began.
type RouteTallies struct{ Target, Old Tally }

// Parameters of the test. TestFalseAlarms and TestBadVersions check the resulting error rates.
const (
	// alarmSum is the CUSUM value at which a version counts as bad. It is ln(1/error) with an error
	// of 1 in 99,000 for each sum; a rollout has some dozens of sums.
	alarmSum = 11.5
	// minBadRate is the smallest rate of bad answers assumed of the old version. Compared with a
	// rate of 0, a single failure would be proof.
	minBadRate = 0.005
	// minBadRateAlone replaces minBadRate once the old version gets no requests. The larger value
	// makes it less likely that trouble affecting both versions is attributed to the target.
	minBadRateAlone = 0.02
	// minSlowRate is the smallest rate of slow answers assumed of the old version. The limit for a
	// slow answer is derived from the old version's answers, which may be few.
	minSlowRate = 0.05
	// maxBadRate is the largest rate assumed. A rate of 1 would leave no room for an excess.
	maxBadRate = 0.95
	// recentPrior is the weight, in answers, of the overall rate within the recent averages.
	recentPrior = 4.0
	// slowFraction is the part of the old version's answers that may count as slow.
	slowFraction = 0.05
	// slowMarginBuckets is added to the bucket that slowFraction gives. With 1, a version that is 3
	// times slower is detected in 56 instead of 74 of 80 rollouts at 10 requests a second
	// (docs/DECISIONS.md).
	slowMarginBuckets = 0
	// minOldPaces is the number of the old version's paces from which slow answers are defined.
	minOldPaces = 20
)

// recentTimeConstants are the time constants of the averages over the old version's recent answers.
// Trouble that affects both versions must show there at the same time as in the target's answers.
// With 1 s alone, such trouble rolls back 134 of 1,000 good versions at 900 requests a second.
var recentTimeConstants = [...]time.Duration{250 * time.Millisecond, time.Second}

// The tested excesses of bad answers over the old version's rate. Small excesses of slow answers
// are not tested, because an empty cache or another mix of prompts causes them.
var (
	failedExcesses = [...]float64{0.05, 0.2, 0.6}
	slowExcesses   = [...]float64{0.2, 0.6}
)

// counts is a number of bad answers and of all answers.
type counts struct{ bad, total float64 }

func (c counts) plus(o counts) counts { return counts{c.bad + o.bad, c.total + o.total} }

func (c counts) scaled(f float64) counts { return counts{c.bad * f, c.total * f} }

// badRate is the old version's rate of bad answers of one kind: over all its answers, and as an
// average over its recent answers for each of recentTimeConstants.
type badRate struct {
	overall counts
	recent  [len(recentTimeConstants)]counts
}

// update records the old version's totals and its newest answers. While there are no new answers,
// the recent averages do not decay.
func (r badRate) update(passed time.Duration, overall, recent counts) badRate {
	r.overall = overall
	if recent.total == 0 {
		return r
	}
	for i, timeConstant := range recentTimeConstants {
		decay := math.Exp(-passed.Seconds() / timeConstant.Seconds())
		r.recent[i] = r.recent[i].scaled(decay).plus(recent)
	}
	return r
}

// expected returns the rate of bad answers that a version as good as the old one may have.
func (r badRate) expected(minRate float64) float64 {
	overall := (r.overall.bad + 0.5) / (r.overall.total + 1) // Jeffreys' prior: half an answer of each kind
	p := max(overall, minRate)
	for _, c := range r.recent {
		p = max(p, (c.bad+recentPrior*overall)/(c.total+recentPrior))
	}
	return min(p, maxBadRate)
}

// recentRate returns the rate of bad answers among the recent ones. Summed over all routes it
// detects trouble that affects all of them, of which a single route shows only a few answers.
func (r badRate) recentRate() float64 {
	p := 0.0
	for _, c := range r.recent {
		p = max(p, c.bad/(c.total+recentPrior))
	}
	return min(p, maxBadRate)
}

// logLikelihoodRatio returns the log likelihood ratio of the hypothesis that the rate of bad
// answers exceeds the expected one.
func logLikelihoodRatio(c counts, expected, excess float64) float64 {
	p := expected + excess*(1-expected)
	return c.bad*math.Log(p/expected) + (c.total-c.bad)*math.Log((1-p)/(1-expected))
}

// cusums holds the CUSUM values, or the gains of one step, by kind of bad answer and tested excess.
type cusums struct {
	failed [len(failedExcesses)]float64
	slow   [len(slowExcesses)]float64
}

// plusGains returns the sum of the gains of two routes, without a lower limit.
func (s cusums) plusGains(g cusums) cusums {
	for i := range s.failed {
		s.failed[i] += g.failed[i]
	}
	for i := range s.slow {
		s.slow[i] += g.slow[i]
	}
	return s
}

// plus returns the CUSUM values after further gains. No value falls below 0.
func (s cusums) plus(g cusums) cusums {
	for i := range s.failed {
		s.failed[i] = max(s.failed[i]+g.failed[i], 0)
	}
	for i := range s.slow {
		s.slow[i] = max(s.slow[i]+g.slow[i], 0)
	}
	return s
}

// largest returns the largest value, and whether it belongs to failures.
func (s cusums) largest() (sum float64, failures bool) {
	failed, slow := slices.Max(s.failed[:]), slices.Max(s.slow[:])
	return max(failed, slow), failed >= slow
}

// routeState is the state of the test for one route.
type routeState struct {
	totals       RouteTallies // as of the last step
	failed, slow badRate      // of the old version
	sums         cusums

	// Of the last step:
	slowAbove         int // bucket above which an answer is slow; -1 without enough data
	newTarget, newOld badCounts
	oldOverall        badCounts // all of the old version's answers
}

// detector accumulates the evidence against the target. The zero value is ready to use.
type detector struct {
	routes       map[string]*routeState
	failed, slow badRate // of the old version on all routes
	overall      cusums
}

// Evidence summarizes the evidence behind a decision, for the log.
type Evidence struct {
	Route         string  // route with the largest sum; empty for all routes together
	Sum           float64 // CUSUM value; alarmSum means bad
	FromFailures  bool    // whether the sum is of failures rather than of slow answers
	Failed        uint64  // failed answers of the target on all routes
	KnownOutcomes uint64
}

// step updates the sums with the totals by route; passed is the time since the last step.
// targetAlone is whether the old version gets no requests any more.
func (d *detector) step(passed time.Duration, totals map[string]*RouteTallies, targetAlone bool) {
	if d.routes == nil {
		d.routes = map[string]*routeState{}
	}
	minRate := minBadRate
	if targetAlone {
		minRate = minBadRateAlone
	}
	var oldOverall, newOld badCounts
	for _, route := range slices.Sorted(maps.Keys(totals)) {
		t := d.routes[route]
		if t == nil {
			t = &routeState{}
			d.routes[route] = t
		}
		t.record(passed, *totals[route])
		oldOverall, newOld = oldOverall.plus(t.oldOverall), newOld.plus(t.newOld)
	}
	d.failed = d.failed.update(passed, oldOverall.failed, newOld.failed)
	d.slow = d.slow.update(passed, oldOverall.slow, newOld.slow)
	var all cusums
	for _, t := range d.routes {
		g := t.gains(minRate, d.failed.recentRate(), d.slow.recentRate())
		t.sums = t.sums.plus(g)
		all = all.plusGains(g)
	}
	d.overall = d.overall.plus(all)
}

// record records the totals of a route.
func (t *routeState) record(passed time.Duration, totals RouteTallies) {
	t.slowAbove = slowPaceBucket(&totals.Old)
	t.newTarget, t.newOld = countsBetween(&t.totals.Target, &totals.Target, t.slowAbove), countsBetween(&t.totals.Old, &totals.Old, t.slowAbove)
	t.oldOverall = countsBetween(&Tally{}, &totals.Old, t.slowAbove)
	t.totals = totals
	t.failed = t.failed.update(passed, t.oldOverall.failed, t.newOld.failed)
	t.slow = t.slow.update(passed, t.oldOverall.slow, t.newOld.slow)
}

// gains returns the log likelihood ratios of the route's newest answers. failed and slow are the
// old version's recent rates over all routes.
func (t *routeState) gains(minRate, failed, slow float64) (g cusums) {
	expected := max(t.failed.expected(minRate), failed)
	for i, excess := range failedExcesses {
		g.failed[i] = logLikelihoodRatio(t.newTarget.failed, expected, excess)
	}
	if t.slowAbove < 0 {
		return g
	}
	expected = max(t.slow.expected(max(minRate, minSlowRate)), slow)
	for i, excess := range slowExcesses {
		g.slow[i] = logLikelihoodRatio(t.newTarget.slow, expected, excess)
	}
	return g
}

// slowPaceBucket returns the bucket above which an answer is slow, or -1 without enough data.
func slowPaceBucket(old *Tally) int {
	n := old.pacesCounted()
	if n < minOldPaces {
		return -1
	}
	bucket := 0
	for float64(old.pacesAbove(bucket)) > slowFraction*float64(n) {
		bucket++
	}
	return bucket + slowMarginBuckets
}

// badCounts counts the answers between two totals by kind of bad answer.
type badCounts struct{ failed, slow counts }

func (f badCounts) plus(o badCounts) badCounts {
	return badCounts{f.failed.plus(o.failed), f.slow.plus(o.slow)}
}

// countsBetween returns the answers between two totals. Answers in buckets above slowAbove are
// slow. A total that has fallen, because a gateway's report was lost, counts as 0.
func countsBetween(earlier, later *Tally, slowAbove int) (f badCounts) {
	f.failed = counts{bad: increase(earlier.Failed, later.Failed), total: increase(earlier.outcomesKnown(), later.outcomesKnown())}
	f.failed.total = max(f.failed.total, f.failed.bad)
	if slowAbove >= 0 {
		f.slow = counts{bad: increase(earlier.pacesAbove(slowAbove), later.pacesAbove(slowAbove)), total: increase(earlier.pacesCounted(), later.pacesCounted())}
		f.slow.total = max(f.slow.total, f.slow.bad)
	}
	return f
}

func increase(before, after uint64) float64 { return float64(max(after, before) - before) }

// worst returns the evidence with the largest sum.
func (d *detector) worst() Evidence {
	var e Evidence
	e.Sum, e.FromFailures = d.overall.largest()
	for _, route := range slices.Sorted(maps.Keys(d.routes)) {
		t := d.routes[route]
		e.Failed += t.totals.Target.Failed
		e.KnownOutcomes += t.totals.Target.outcomesKnown()
		if sum, failures := t.sums.largest(); sum > e.Sum {
			e.Route, e.Sum, e.FromFailures = route, sum, failures
		}
	}
	return e
}
