// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"fmt"
	"testing"
	"time"
)

// This file tests whole rollouts of many kinds of versions with poolModel.

var threeRoutes = []float64{0.75, 0.15, 0.1}

func always(q quality) behaviour { return func(time.Duration, int, float64) quality { return q } }

// onlyWhen returns a behaviour with quality q while the condition holds, and good answers
// otherwise.
func onlyWhen(condition func(at time.Duration, route int, load float64) bool, q quality) behaviour {
	return func(at time.Duration, route int, load float64) quality {
		if condition(at, route, load) {
			return q
		}
		return quality{}
	}
}

func afterFourSeconds(at time.Duration, _ int, _ float64) bool { return at > 4*time.Second }
func underLoad(_ time.Duration, _ int, load float64) bool      { return load > 0.6 }
func onLastRoute(_ time.Duration, route int, _ float64) bool   { return route == len(threeRoutes)-1 }

// duringTrouble holds from 3 s to 6 s after the order.
func duringTrouble(at time.Duration, _ int, _ float64) bool {
	return at > 3*time.Second && at < 6*time.Second
}

var (
	fails5, fails20, fails60 = quality{failureRate: 0.05}, quality{failureRate: 0.2}, quality{failureRate: 0.6}
	slow3, slow4, slow10     = quality{slowdown: 3}, quality{slowdown: 4}, quality{slowdown: 10}
)

// guarantee is the property that the rollout of a bad version must have.
type guarantee uint8

const (
	// inEveryRun: in every run the version is rolled back, its requests stay within the bound at
	// every moment, and it gets none later than Bounds.RollbackTime after its 50th bad answer.
	inEveryRun guarantee = iota
	// inMostRuns: the same in nine of ten runs.
	inMostRuns
	// boundOnly: there are few requests; the version may pass as good, but its requests stay within
	// the bound.
	boundOnly
	// undetected: the requests that the bound allows do not suffice to detect the version in time,
	// but requests to it stop in time once its failures show.
	undetected
)

// badVersions lists the guarantees by version for 5 s, 12 s and 60 s, each at 10, 150 and 900
// requests a second.
var badVersions = []struct {
	name    string
	answers behaviour
	want    [9]guarantee
}{
	{"fails 5", always(fails5), [9]guarantee{boundOnly, undetected, undetected, undetected, undetected, inEveryRun, undetected, inEveryRun, inEveryRun}},
	{"fails 20", always(fails20), [9]guarantee{boundOnly, inMostRuns, inEveryRun, undetected, inEveryRun, inEveryRun, inMostRuns, inEveryRun, inEveryRun}},
	{"fails 60", always(fails60), [9]guarantee{boundOnly, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun}},
	{"slow 3", always(slow3), [9]guarantee{boundOnly, inMostRuns, inEveryRun, inMostRuns, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun}},
	{"slow 10", always(slow10), [9]guarantee{boundOnly, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun}},
	{"fails 20 after 4 s", onlyWhen(afterFourSeconds, fails20), [9]guarantee{boundOnly, undetected, undetected, undetected, inEveryRun, inEveryRun, inMostRuns, inEveryRun, inEveryRun}},
	{"fails 60 after 4 s", onlyWhen(afterFourSeconds, fails60), [9]guarantee{boundOnly, undetected, inMostRuns, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun}},
	{"fails 20 under load", onlyWhen(underLoad, fails20), [9]guarantee{boundOnly, undetected, inMostRuns, undetected, inMostRuns, inEveryRun, undetected, inEveryRun, inEveryRun}},
	{"fails 60 under load", onlyWhen(underLoad, fails60), [9]guarantee{boundOnly, inMostRuns, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun, inEveryRun}},
	{"fails 20 on one route", onlyWhen(onLastRoute, fails20), [9]guarantee{boundOnly, undetected, undetected, undetected, undetected, inEveryRun, undetected, inEveryRun, inEveryRun}},
	{"fails 60 on one route", onlyWhen(onLastRoute, fails60), [9]guarantee{boundOnly, inEveryRun, inEveryRun, undetected, inEveryRun, inEveryRun, inMostRuns, inEveryRun, inEveryRun}},
	{"slow 4 on one route", onlyWhen(onLastRoute, slow4), [9]guarantee{boundOnly, undetected, inMostRuns, undetected, inEveryRun, inEveryRun, undetected, inEveryRun, inEveryRun}},
}

// loadCase is a duration, a request rate and the number of seeds to run with them.
type loadCase struct {
	duration time.Duration
	rate     float64
	seeds    int
}

// seedCount returns how many of n runs are made. Under the race detector it is a tenth: the runs
// take ten times as long, and a run in a single goroutine has no races to detect.
func seedCount(n int) int {
	if raceEnabled {
		return max(n/10, 1)
	}
	return n
}

var loadCases = []loadCase{
	{5 * time.Second, 10, 20}, {5 * time.Second, 150, 20}, {5 * time.Second, 900, 10},
	{12 * time.Second, 10, 20}, {12 * time.Second, 150, 20}, {12 * time.Second, 900, 4},
	{60 * time.Second, 10, 20}, {60 * time.Second, 150, 4}, {60 * time.Second, 900, 2},
}

// poolCases lists numbers of servers and longest streams; 0 stands for a plain service.
var poolCases = []struct {
	servers int
	stream  time.Duration
}{{3, 0}, {60, 0}, {3, 12 * time.Second}, {60, 12 * time.Second}}

// TestBadVersions checks the guarantee for each bad version by duration, rate, pool and seed.
func TestBadVersions(t *testing.T) {
	for _, bad := range badVersions {
		for i, l := range loadCases {
			t.Run(fmt.Sprintf("%s/%v/%v", bad.name, l.duration, l.rate), func(t *testing.T) {
				t.Parallel()
				runBadVersion(t, l, bad.answers, bad.want[i])
			})
		}
	}
}

func runBadVersion(t *testing.T, l loadCase, answers behaviour, want guarantee) {
	runs, passed, maxOverrun := 0, 0, 0.0
	for _, p := range poolCases {
		for seed := range seedCount(l.seeds) {
			m := &poolModel{duration: l.duration, servers: p.servers, perSecond: l.rate, maxStream: p.stream, routes: threeRoutes, target: answers, old: good}
			r := m.run(uint64(seed))
			runs++
			maxOverrun = max(maxOverrun, r.overrun)
			if r.ending == RollBack && r.overrun <= 0 {
				passed++
			}
			if r.ending == Continue || r.afterFiftieth > 5*time.Second {
				t.Errorf("%d servers, streams of %v, seed %d: %+v", p.servers, p.stream, seed, r)
			}
			if want == boundOnly && r.overrun > 0 {
				t.Errorf("%d servers, streams of %v, seed %d: %.0f requests beyond the bound", p.servers, p.stream, seed, r.overrun)
			}
		}
	}
	t.Logf("guarantee held in %d of %d runs, at most %.0f requests beyond the bound", passed, runs, maxOverrun)
	if (want == inEveryRun && passed < runs) || (want == inMostRuns && 10*passed < 9*runs) {
		t.Errorf("guarantee held in %d of %d runs", passed, runs)
	}
}

// TestGoodVersions: every good version completes early enough for the log entry. Plain ones with a
// duration of 12 s complete before 10 s.
func TestGoodVersions(t *testing.T) {
	for _, l := range loadCases {
		t.Run(fmt.Sprintf("%v/%v", l.duration, l.rate), func(t *testing.T) {
			t.Parallel()
			for _, p := range poolCases {
				for seed := range seedCount(l.seeds) {
					m := &poolModel{duration: l.duration, servers: p.servers, perSecond: l.rate, maxStream: p.stream, routes: threeRoutes, target: good, old: good}
					r := m.run(uint64(seed))
					if r.ending != Complete || r.endedAt > l.duration*93/100 {
						t.Errorf("%d servers, streams of %v, seed %d: %+v", p.servers, p.stream, seed, r)
					}
					if l.duration == 12*time.Second && l.rate >= 150 && p.stream == 0 && r.endedAt > 10*time.Second {
						t.Errorf("%d servers, seed %d: complete after %v", p.servers, seed, r.endedAt)
					}
				}
			}
		})
	}
}

// TestFalseAlarms: a version as good as the old one is rolled back in at most 1 of 1,000 rollouts;
// in 3 if both fail 5 % of their answers, and in 20 if both begin to have trouble in the trial.
func TestFalseAlarms(t *testing.T) {
	for _, versions := range []struct {
		name           string
		answers        behaviour
		maxPerThousand float64 // rollouts rolled back
	}{
		{"no failures", good, 1}, {"1 %", always(quality{failureRate: 0.01}), 1}, {"5 %", always(fails5), 3},
		{"one route", onlyWhen(onLastRoute, quality{failureRate: 0.1}), 1},
		{"failing together", onlyWhen(duringTrouble, fails20), 20}, {"slow together", onlyWhen(duringTrouble, slow4), 20},
	} {
		t.Run(versions.name, func(t *testing.T) {
			t.Parallel()
			runs := 0
			rolledBack := map[string]int{}
			for _, l := range []loadCase{{5 * time.Second, 150, 500}, {12 * time.Second, 10, 500}, {12 * time.Second, 150, 1000}} {
				for seed := range seedCount(l.seeds) {
					m := &poolModel{duration: l.duration, servers: 60, perSecond: l.rate, routes: threeRoutes, target: versions.answers, old: versions.answers}
					runs++
					if r := m.run(uint64(seed + 1000)); r.ending == RollBack {
						rolledBack[fmt.Sprint(l.duration, " ", l.rate, " ", r.reason)]++
					}
				}
			}
			total := 0
			for _, n := range rolledBack {
				total += n
			}
			t.Logf("%d of %d rolled back: %v", total, runs, rolledBack)
			if float64(total) > versions.maxPerThousand*float64(runs)/1000 {
				t.Errorf("%d of %d good versions rolled back", total, runs)
			}
		})
	}
}
