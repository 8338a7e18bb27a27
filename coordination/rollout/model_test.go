// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"fmt"
	"testing"
	"time"
)

// This file tests whole rollouts of versions of all kinds, with poolModel.

var threeRoutes = []float64{0.75, 0.15, 0.1}

func always(q quality) behaviour { return func(time.Duration, int, float64) quality { return q } }

// when answers so once something holds, else well.
func when(holds func(at time.Duration, route int, load float64) bool, q quality) behaviour {
	return func(at time.Duration, route int, load float64) quality {
		if holds(at, route, load) {
			return q
		}
		return quality{}
	}
}

func afterFour(at time.Duration, _ int, _ float64) bool      { return at > 4*time.Second }
func underLoad(_ time.Duration, _ int, load float64) bool    { return load > 0.6 }
func onLastRoute(_ time.Duration, route int, _ float64) bool { return route == len(threeRoutes)-1 }

// inTrouble is from 3 s to 6 s after the order.
func inTrouble(at time.Duration, _ int, _ float64) bool {
	return at > 3*time.Second && at < 6*time.Second
}

var (
	fails5, fails20, fails60 = quality{fails: 0.05}, quality{fails: 0.2}, quality{fails: 0.6}
	slow3, slow4, slow10     = quality{slow: 3}, quality{slow: 4}, quality{slow: 10}
)

// promise is what holds of a bad version in some runs.
type promise uint8

const (
	// held: it is rolled back, within the bound at every moment, and Bounds.Stop after its 50th
	// bad answer it gets nothing more; in every run.
	held promise = iota
	// mostly: that holds in nine of ten runs.
	mostly
	// bounded: it may be called good, but is within the bound all the same: few requests come.
	bounded
	// unheld: it cannot be told in time by what the bound lets through; only what shows is
	// stopped in time.
	unheld
)

// promises are by version and, in this order, for 5 s, 12 s and 60 s at 10, 150 and 900
// requests a second.
var promises = []struct {
	name string
	does behaviour
	want [9]promise
}{
	{"fails 5", always(fails5), [9]promise{bounded, unheld, unheld, unheld, unheld, held, unheld, held, held}},
	{"fails 20", always(fails20), [9]promise{bounded, mostly, held, unheld, held, held, mostly, held, held}},
	{"fails 60", always(fails60), [9]promise{bounded, held, held, held, held, held, held, held, held}},
	{"slow 3", always(slow3), [9]promise{bounded, mostly, held, mostly, held, held, held, held, held}},
	{"slow 10", always(slow10), [9]promise{bounded, held, held, held, held, held, held, held, held}},
	{"fails 20 after 4 s", when(afterFour, fails20), [9]promise{bounded, unheld, unheld, unheld, held, held, mostly, held, held}},
	{"fails 60 after 4 s", when(afterFour, fails60), [9]promise{bounded, unheld, mostly, held, held, held, held, held, held}},
	{"fails 20 under load", when(underLoad, fails20), [9]promise{bounded, unheld, mostly, unheld, mostly, held, unheld, held, held}},
	{"fails 60 under load", when(underLoad, fails60), [9]promise{bounded, mostly, held, held, held, held, held, held, held}},
	{"fails 20 on one route", when(onLastRoute, fails20), [9]promise{bounded, unheld, unheld, unheld, unheld, held, unheld, held, held}},
	{"fails 60 on one route", when(onLastRoute, fails60), [9]promise{bounded, held, held, unheld, held, held, mostly, held, held}},
	{"slow 4 on one route", when(onLastRoute, slow4), [9]promise{bounded, unheld, mostly, unheld, held, held, unheld, held, held}},
}

// load is one row of a pool's load.
type load struct {
	duration time.Duration
	rate     float64
	seeds    int
}

// seeds returns how many of n runs are made: under the race detector a tenth, which costs ten
// times as much and has nothing to find in one goroutine.
func seeds(n int) int {
	if raced {
		return max(n/10, 1)
	}
	return n
}

var loads = []load{
	{5 * time.Second, 10, 20}, {5 * time.Second, 150, 20}, {5 * time.Second, 900, 10},
	{12 * time.Second, 10, 20}, {12 * time.Second, 150, 20}, {12 * time.Second, 900, 4},
	{60 * time.Second, 10, 20}, {60 * time.Second, 150, 4}, {60 * time.Second, 900, 2},
}

// pools are servers, and how long streams last at most; 0 is a plain pool.
var pools = []struct {
	servers int
	stream  time.Duration
}{{3, 0}, {60, 0}, {3, 12 * time.Second}, {60, 12 * time.Second}}

// TestBadVersions: what each is promised, by duration, rate, pool and seed.
func TestBadVersions(t *testing.T) {
	for _, bad := range promises {
		for i, l := range loads {
			t.Run(fmt.Sprintf("%s/%v/%v", bad.name, l.duration, l.rate), func(t *testing.T) {
				t.Parallel()
				badRuns(t, l, bad.does, bad.want[i])
			})
		}
	}
}

func badRuns(t *testing.T, l load, does behaviour, want promise) {
	runs, kept, over := 0, 0, 0.0
	for _, p := range pools {
		for seed := range seeds(l.seeds) {
			m := &poolModel{duration: l.duration, servers: p.servers, perSecond: l.rate, stream: p.stream, routes: threeRoutes, target: does, old: good}
			r := m.run(uint64(seed))
			runs++
			over = max(over, r.overrun)
			if r.ending == RollBack && r.overrun <= 0 {
				kept++
			}
			if r.ending == Continue || r.afterBad > 5*time.Second {
				t.Errorf("%d servers, streams of %v, seed %d: %+v", p.servers, p.stream, seed, r)
			}
			if want == bounded && r.overrun > 0 {
				t.Errorf("%d servers, streams of %v, seed %d: %.0f beyond the bound", p.servers, p.stream, seed, r.overrun)
			}
		}
	}
	t.Logf("kept in %d of %d runs, at most %.0f beyond the bound", kept, runs, over)
	if (want == held && kept < runs) || (want == mostly && 10*kept < 9*runs) {
		t.Errorf("kept in %d of %d runs", kept, runs)
	}
}

// TestGoodVersions: all are complete, early enough for the log, plain ones of 12 s before 10 s.
func TestGoodVersions(t *testing.T) {
	for _, l := range loads {
		t.Run(fmt.Sprintf("%v/%v", l.duration, l.rate), func(t *testing.T) {
			t.Parallel()
			for _, p := range pools {
				for seed := range seeds(l.seeds) {
					m := &poolModel{duration: l.duration, servers: p.servers, perSecond: l.rate, stream: p.stream, routes: threeRoutes, target: good, old: good}
					r := m.run(uint64(seed))
					if r.ending != Complete || r.at > l.duration*93/100 {
						t.Errorf("%d servers, streams of %v, seed %d: %+v", p.servers, p.stream, seed, r)
					}
					if l.duration == 12*time.Second && l.rate >= 150 && p.stream == 0 && r.at > 10*time.Second {
						t.Errorf("%d servers, seed %d: complete after %v", p.servers, seed, r.at)
					}
				}
			}
		})
	}
}

// TestFalseAlarms: a version as good as the old one is rolled back at most once in 1,000
// rollouts; 3 times if both fail 5 % of their answers, and 20 times if trouble on both begins in
// the trial.
func TestFalseAlarms(t *testing.T) {
	for _, both := range []struct {
		name string
		does behaviour
		most float64 // of 1,000
	}{
		{"no failures", good, 1}, {"1 %", always(quality{fails: 0.01}), 1}, {"5 %", always(fails5), 3},
		{"one route", when(onLastRoute, quality{fails: 0.1}), 1},
		{"failing together", when(inTrouble, fails20), 20}, {"slow together", when(inTrouble, slow4), 20},
	} {
		t.Run(both.name, func(t *testing.T) {
			t.Parallel()
			runs := 0
			back := map[string]int{}
			for _, l := range []load{{5 * time.Second, 150, 500}, {12 * time.Second, 10, 500}, {12 * time.Second, 150, 1000}} {
				for seed := range seeds(l.seeds) {
					m := &poolModel{duration: l.duration, servers: 60, perSecond: l.rate, routes: threeRoutes, target: both.does, old: both.does}
					runs++
					if r := m.run(uint64(seed + 1000)); r.ending == RollBack {
						back[fmt.Sprint(l.duration, " ", l.rate, " ", r.why)]++
					}
				}
			}
			sum := 0
			for _, n := range back {
				sum += n
			}
			t.Logf("%d of %d rolled back: %v", sum, runs, back)
			if float64(sum) > both.most*float64(runs)/1000 {
				t.Errorf("%d of %d good versions rolled back", sum, runs)
			}
		})
	}
}
