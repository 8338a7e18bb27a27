// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// This file defines evidence, the test that tells a bad version: its answers against those of
// the old version in the same time, route by route.
//
// The test is a cumulative sum of log likelihood ratios (Page's test), because a version may
// turn bad at any moment: what was good before does not count against what is seen now. One
// sum is kept for each kind of bad answer, each excess of bad answers that is looked for, and
// each route; and one more over all routes, each compared with its own old answers, because
// the target gets another mix of routes than the old version does.

// PaceBuckets is the number of half octaves in which paces are counted.
const PaceBuckets = 32

// paceUnit is the bucket of a pace of 1, so that 2^-8 to 2^8 have their own: plain answers are
// compared with 50 ms, whatever their pool usually needs.
const paceUnit = PaceBuckets / 2

// PaceBucket returns the bucket of a pace: how long an answer took to begin, as a ratio to
// what was expected.
func PaceBucket(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	return min(max(int(math.Floor(2*math.Log2(ratio)))+paceUnit, 0), PaceBuckets-1)
}

// Tally counts how the attempts at one version ended on one route.
type Tally struct {
	Sent, Answered, Failed uint64
	Paces                  [PaceBuckets]uint64
}

// known returns how many attempts something is known of. A stream counts once it has begun,
// since its end may be later than the deadline.
func (t *Tally) known() uint64 { return max(t.Answered+t.Failed, t.paced()) }

func (t *Tally) paced() uint64 {
	n := uint64(0)
	for _, c := range t.Paces {
		n += c
	}
	return n
}

// above returns how many paces are in buckets above one.
func (t *Tally) above(bucket int) uint64 {
	n := uint64(0)
	for _, c := range t.Paces[min(bucket+1, PaceBuckets):] {
		n += c
	}
	return n
}

// RouteTallies is the tallies of both versions on one route, as totals since the rollout began.
type RouteTallies struct{ Target, Old Tally }

// Parameters of the test. The error rates that follow are measured by TestFalseAlarms and
// TestBadVersions.
const (
	// alarm is the sum at which a version is bad, ln(1/error) with an error of 1 in 99,000 for
	// each of the sums, of which a rollout has some dozens.
	alarm = 11.5
	// leastBad is the least part of bad answers that the old version is taken to have: an excess over
	// none at all would make one failure a verdict.
	leastBad = 0.005
	// leastBadAlone is the same where the old version gets nothing any more, so that trouble that hits
	// all is less easily taken for the version's.
	leastBadAlone = 0.02
	// leastSlow is the least part of slow answers that the old version is taken to have: their bound
	// is drawn from its own answers, which may be few.
	leastSlow = 0.05
	// mostBad is the largest part of bad answers that it is taken to have: from 1 on there would be no
	// excess.
	mostBad = 0.95
	// recentPrior is the weight of all the old version's answers in the averages over recentTimes, in
	// answers.
	recentPrior = 4.0
	// usualPart is the part of the old version's answers that may be slower than usual.
	usualPart = 0.05
	// slowMargin is the number of half octaves between the pace that usualPart gives and the one
	// above which an answer is slow. With 1, 3 times slower was seen in 56 instead of 74 of 80
	// rollouts at 10 requests a second (docs/DECISIONS.md).
	slowMargin = 0
	// fewestOld is from how many paces on the old version's are known.
	fewestOld = 20
)

// recentTimes are over how long the old version's newest answers are averaged. Trouble that
// hits both versions shows there at the same time: with 1 s alone, trouble on both rolled 134
// of 1,000 good versions back, 900 requests a second (trial).
var recentTimes = [...]time.Duration{250 * time.Millisecond, time.Second}

// The excesses of bad answers over the old version's part that are looked for. Of slow ones
// small excesses are left alone: an empty cache or another mix of prompts brings them.
var (
	failedExcesses = [...]float64{0.05, 0.2, 0.6}
	slowExcesses   = [...]float64{0.2, 0.6}
)

// counts is bad answers of all.
type counts struct{ bad, all float64 }

func (c counts) plus(o counts) counts { return counts{c.bad + o.bad, c.all + o.all} }

func (c counts) times(f float64) counts { return counts{c.bad * f, c.all * f} }

// rate is the old version's part of bad answers for one kind: over all its answers, and over
// the newest, averaged over each of recentTimes.
type rate struct {
	ever   counts
	recent [len(recentTimes)]counts
}

// next takes the old version's totals and its newest answers. While it gets none, what was
// newest stays so.
func (r rate) next(passed time.Duration, ever, old counts) rate {
	r.ever = ever
	if old.all == 0 {
		return r
	}
	for i, over := range recentTimes {
		kept := math.Exp(-passed.Seconds() / over.Seconds())
		r.recent[i] = r.recent[i].times(kept).plus(old)
	}
	return r
}

// expected returns the part of bad answers that a version as good as the old one may have.
func (r rate) expected(least float64) float64 {
	ever := (r.ever.bad + 0.5) / (r.ever.all + 1) // Jeffreys' prior: half an answer of each kind
	p := max(ever, least)
	for _, c := range r.recent {
		p = max(p, (c.bad+recentPrior*ever)/(c.all+recentPrior))
	}
	return min(p, mostBad)
}

// newest returns the part of bad answers among the newest. On all routes together there are
// enough to see trouble that hits all at once, of which a single route shows a few.
func (r rate) newest() float64 {
	p := 0.0
	for _, c := range r.recent {
		p = max(p, c.bad/(c.all+recentPrior))
	}
	return min(p, mostBad)
}

// gain returns the log likelihood ratio of answers for an excess over an expected part.
func gain(c counts, expected, excess float64) float64 {
	p := expected + excess*(1-expected)
	return c.bad*math.Log(p/expected) + (c.all-c.bad)*math.Log((1-p)/(1-expected))
}

// sums are Page's sums, by kind and excess.
type sums struct {
	failed [len(failedExcesses)]float64
	slow   [len(slowExcesses)]float64
}

// add returns the gains of two routes together.
func (s sums) add(g sums) sums {
	for i := range s.failed {
		s.failed[i] += g.failed[i]
	}
	for i := range s.slow {
		s.slow[i] += g.slow[i]
	}
	return s
}

// plus returns the sums after more gains; a sum does not fall below none.
func (s sums) plus(g sums) sums {
	for i := range s.failed {
		s.failed[i] = max(s.failed[i]+g.failed[i], 0)
	}
	for i := range s.slow {
		s.slow[i] = max(s.slow[i]+g.slow[i], 0)
	}
	return s
}

// most returns the largest sum, and whether it is of failures.
func (s sums) most() (sum float64, failures bool) {
	failed, slow := slices.Max(s.failed[:]), slices.Max(s.slow[:])
	return max(failed, slow), failed >= slow
}

// trace is what is known of one route.
type trace struct {
	seen         RouteTallies // totals as of the last step
	failed, slow rate         // of the old version
	sums         sums

	// Of the last step.
	usual       int // the bucket above which an answer is slow, -1 if too little is known
	target, old fresh
	ever        fresh // all of the old version's answers
}

// evidence is what is known of a target against the old version. The zero value knows
// nothing.
type evidence struct {
	routes       map[string]*trace
	failed, slow rate // of the old version on all routes
	overall      sums
}

// Evidence are what a decision rests on, for the log.
type Evidence struct {
	Route         string  // the worst; empty: all together
	Sum           float64 // Page's sum; alarm is bad
	FromFailures  bool    // it is of failures, else of slow answers
	Failed        uint64  // of Known answers of the target on all routes
	KnownOutcomes uint64
}

// step takes the totals by route; passed is the time since the last step.
func (e *evidence) step(passed time.Duration, totals map[string]*RouteTallies, alone bool) {
	if e.routes == nil {
		e.routes = map[string]*trace{}
	}
	least := leastBad
	if alone {
		least = leastBadAlone
	}
	var ever, old fresh
	for _, route := range slices.Sorted(maps.Keys(totals)) {
		t := e.routes[route]
		if t == nil {
			t = &trace{}
			e.routes[route] = t
		}
		t.take(passed, *totals[route])
		ever, old = ever.plus(t.ever), old.plus(t.old)
	}
	e.failed = e.failed.next(passed, ever.failed, old.failed)
	e.slow = e.slow.next(passed, ever.slow, old.slow)
	var all sums
	for _, t := range e.routes {
		g := t.gains(least, e.failed.newest(), e.slow.newest())
		t.sums = t.sums.plus(g)
		all = all.add(g)
	}
	e.overall = e.overall.plus(all)
}

// take takes one route's totals.
func (t *trace) take(passed time.Duration, now RouteTallies) {
	t.usual = usualPace(&now.Old)
	t.target, t.old = newest(&t.seen.Target, &now.Target, t.usual), newest(&t.seen.Old, &now.Old, t.usual)
	t.ever = newest(&Tally{}, &now.Old, t.usual)
	t.seen = now
	t.failed = t.failed.next(passed, t.ever.failed, t.old.failed)
	t.slow = t.slow.next(passed, t.ever.slow, t.old.slow)
}

// gains returns what the route's newest answers gain, if the old version's newest on all
// routes are as bad as failed and slow.
func (t *trace) gains(least, failed, slow float64) (g sums) {
	expected := max(t.failed.expected(least), failed)
	for i, excess := range failedExcesses {
		g.failed[i] = gain(t.target.failed, expected, excess)
	}
	if t.usual < 0 {
		return g
	}
	expected = max(t.slow.expected(max(least, leastSlow)), slow)
	for i, excess := range slowExcesses {
		g.slow[i] = gain(t.target.slow, expected, excess)
	}
	return g
}

// usualPace returns the bucket above which an answer is slow, -1 if too little is known.
func usualPace(old *Tally) int {
	n := old.paced()
	if n < fewestOld {
		return -1
	}
	bucket := 0
	for float64(old.above(bucket)) > usualPart*float64(n) {
		bucket++
	}
	return bucket + slowMargin
}

// fresh is the answers between two totals.
type fresh struct{ failed, slow counts }

func (f fresh) plus(o fresh) fresh { return fresh{f.failed.plus(o.failed), f.slow.plus(o.slow)} }

// newest returns the answers between two totals; those in buckets above usual are slow. A
// total that has fallen, because what one gateway sent was lost, gives none.
func newest(before, now *Tally, usual int) (f fresh) {
	f.failed = counts{bad: rise(before.Failed, now.Failed), all: rise(before.known(), now.known())}
	f.failed.all = max(f.failed.all, f.failed.bad)
	if usual >= 0 {
		f.slow = counts{bad: rise(before.above(usual), now.above(usual)), all: rise(before.paced(), now.paced())}
		f.slow.all = max(f.slow.all, f.slow.bad)
	}
	return f
}

func rise(before, now uint64) float64 { return float64(max(now, before) - before) }

// worst returns the grounds with the largest sum.
func (e *evidence) worst() Evidence {
	var g Evidence
	g.Sum, g.FromFailures = e.overall.most()
	for _, route := range slices.Sorted(maps.Keys(e.routes)) {
		t := e.routes[route]
		g.Failed += t.seen.Target.Failed
		g.KnownOutcomes += t.seen.Target.known()
		if sum, failures := t.sums.most(); sum > g.Sum {
			g.Route, g.Sum, g.FromFailures = route, sum, failures
		}
	}
	return g
}
