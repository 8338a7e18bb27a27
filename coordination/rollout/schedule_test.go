// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests what a schedule does where little is known.

// seen runs a schedule of 10 s on its own steps until it ends, with observe's view of each, and
// returns all decisions.
func seen(observe func(at time.Duration, d Decision) Observation) (all []Decision) {
	return seenWithin(Bounds{Share: 0.1, Slack: 50}, observe)
}

func seenWithin(b Bounds, observe func(at time.Duration, d Decision) Observation) (all []Decision) {
	s := &Schedule{Duration: 10 * time.Second, Bounds: b}
	var d Decision
	for at := time.Duration(0); at < 20*time.Second && d.Action == Continue; at += 100 * time.Millisecond {
		o := observe(at, d)
		o.Elapsed = at
		d = s.Step(o)
		all = append(all, d)
	}
	return all
}

// TestNoRequests: a pool without any is moved, since the bound holds whatever comes.
func TestNoRequests(t *testing.T) {
	is := is.New(t)
	all := seen(func(time.Duration, Decision) Observation {
		return Observation{ReportsComplete: true, TargetListed: true, OldIdle: true}
	})
	is.Equal(all[len(all)-1].Action, Complete)
	is.True(len(all) < 96) // 9.5 s
}

// TestBoundsByDefault: settings that state none have the default ones; a share without requests
// besides, or those without a share, stay as they are.
func TestBoundsByDefault(t *testing.T) {
	is := is.New(t)
	observe := func(at time.Duration, d Decision) Observation {
		n := 15 * uint64(at/(100*time.Millisecond))
		target := uint64(0.05 * float64(n))
		if at > 6*time.Second {
			target += n - 900
		}
		return Observation{ReportsComplete: true, TargetListed: true, OldIdle: true, Totals: map[string]*RouteTallies{
			"r": {Target: Tally{Sent: target, Answered: target}, Old: Tally{Sent: n - target, Answered: n - target}},
		}}
	}
	all := seenWithin(Bounds{}, observe)
	is.Equal(all[len(all)-1].Action, Complete)
	is.Equal(all, seenWithin(Bounds{Share: DefaultShare, Slack: DefaultSlack}, observe))
	for _, b := range []Bounds{{Share: 0.2}, {Slack: 9}} {
		is.Equal(b.orDefault(), b)
	}
}

// TestNoServerOfTheTarget: what nothing can serve is not switched to, with or without requests.
func TestNoServerOfTheTarget(t *testing.T) {
	is := is.New(t)
	for _, perStep := range []uint64{0, 1, 15} {
		all := seen(func(at time.Duration, _ Decision) Observation {
			n := perStep * uint64(at/(100*time.Millisecond))
			return Observation{ReportsComplete: true, Totals: map[string]*RouteTallies{"r": {Old: Tally{Sent: n, Answered: n}}}}
		})
		is.Equal(all[len(all)-1].Action, RollBack)
		for _, d := range all {
			is.True(d.Share < 1)
		}
	}
}

// TestTooLittleIsKnown: many requests, of which the target gets none, for want of room, say.
func TestTooLittleIsKnown(t *testing.T) {
	is := is.New(t)
	all := seen(func(at time.Duration, _ Decision) Observation {
		n := 15 * uint64(at/(100*time.Millisecond))
		return Observation{ReportsComplete: true, TargetListed: true, Totals: map[string]*RouteTallies{"r": {Old: Tally{Sent: n, Answered: n}}}}
	})
	is.Equal(all[len(all)-1].Action, RollBack)
	is.Equal(all[len(all)-1].Reason, "too little is known in time")
}

// TestNewLeaderWaits: nothing goes to the target before the gateways have reported; what they
// report then was sent at any time, and counts, but not for the rate.
func TestNewLeaderWaits(t *testing.T) {
	is := is.New(t)
	s := &Schedule{Duration: 10 * time.Second, Bounds: Bounds{Share: 0.1, Slack: 50}}
	is.Equal(s.Step(Observation{Elapsed: 2 * time.Second, TargetListed: true}).Share, 0.0)
	at := 8 * time.Second
	is.Equal(s.Step(Observation{Elapsed: at, TargetListed: true}).Share, 0.0)
	totals := map[string]*RouteTallies{"r": {Target: Tally{Sent: 40, Answered: 40}, Old: Tally{Sent: 960, Answered: 960}}}
	is.Equal(s.Step(Observation{Elapsed: at + 500*time.Millisecond, TargetListed: true, Totals: totals}).Share, 0.0)
	var d Decision
	for step := range 4 {
		d = s.Step(Observation{Elapsed: at + time.Second + time.Duration(step)*100*time.Millisecond, TargetListed: true, ReportsComplete: true, Totals: totals})
		rate, _ := s.rate.perSecond()
		is.Equal(rate, 0.0)
	}
	is.Equal(d.Share, 1.0) // the evidence is that of the leader before
	is.Equal(d.Sent, uint64(40))
}

// TestBoundIsUsedUp: after a leader whose switch was not over, say: nothing more in the trial.
func TestBoundIsUsedUp(t *testing.T) {
	is := is.New(t)
	target, old := uint64(300), uint64(0)
	all := seen(func(_ time.Duration, d Decision) Observation {
		if d.Share == 1 {
			target += 15
		} else {
			old += 15
		}
		return Observation{ReportsComplete: true, TargetListed: true, Totals: map[string]*RouteTallies{
			"r": {Target: Tally{Sent: target, Answered: target}, Old: Tally{Sent: old, Answered: old}},
		}}
	})
	is.Equal(all[40].Share, 0.0)
	is.Equal(all[40].Reason, "the bound is used up")
	is.Equal(all[len(all)-1].Action, Complete) // at the latest, it is good by what was seen
}

// TestTargetUnusedAfterTheSwitch: while its servers have gone, or get nothing, the old ones may not
// be told to stop, even if nothing runs there just now.
func TestTargetUnusedAfterTheSwitch(t *testing.T) {
	for _, listed := range []bool{false, true} {
		for _, idle := range []bool{false, true} {
			is := is.New(t)
			var switched uint64
			all := seen(func(at time.Duration, d Decision) Observation {
				n := 15 * uint64(at/(100*time.Millisecond))
				target := n / 20
				if d.Share == 1 && switched == 0 {
					switched = n
				}
				if switched > 0 {
					target = switched / 20
				}
				return Observation{ReportsComplete: true, TargetListed: listed || d.Share < 1, OldIdle: idle && !listed, Totals: map[string]*RouteTallies{
					"r": {Target: Tally{Sent: target, Answered: target}, Old: Tally{Sent: n - target, Answered: n - target}},
				}}
			})
			is.True(switched > 0)
			is.Equal(all[len(all)-1].Action, RollBack)
		}
	}
}

// TestTotalsThatFall: while a relay's gateways report to nobody, what the target was sent is not
// given again, and the rate stays as it was.
func TestTotalsThatFall(t *testing.T) {
	is := is.New(t)
	s := &Schedule{Duration: 10 * time.Second, Bounds: Bounds{Share: 0.1, Slack: 50}}
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		n := 15 * uint64(at/(100*time.Millisecond))
		target := n / 15
		if at >= 3*time.Second && at < 4*time.Second {
			n, target = n/3, target/3
		}
		d := s.Step(Observation{Elapsed: at, ReportsComplete: true, TargetListed: true, Totals: map[string]*RouteTallies{
			"r": {Target: Tally{Sent: target, Answered: target}, Old: Tally{Sent: n - target, Answered: n - target}},
		}})
		is.True(d.Sent >= min(uint64(at/(100*time.Millisecond)), 29))
		if rate, known := s.rate.perSecond(); known {
			is.True(math.Abs(rate-150) < 1)
		}
	}
}

// TestLateLeaderMeasuresFirst: one that comes when it has to be decided knows the rate before it
// says that too little is known; of a pool without requests nothing has to be.
func TestLateLeaderMeasuresFirst(t *testing.T) {
	is := is.New(t)
	s := &Schedule{Duration: 10 * time.Second, Bounds: Bounds{Share: 0.1, Slack: 50}}
	var d Decision
	for at := 8 * time.Second; at < 12*time.Second && d.Action == Continue; at += 100 * time.Millisecond {
		d = s.Step(Observation{Elapsed: at, TargetListed: true, OldIdle: true, ReportsComplete: at >= 9*time.Second})
	}
	is.Equal(d.Action, Complete)
}

// TestRouteMustBeTried: no switch before the latest moment while a route has had nothing, and
// then none either.
func TestRouteMustBeTried(t *testing.T) {
	is := is.New(t)
	all := seen(func(at time.Duration, _ Decision) Observation {
		n := uint64(at / (100 * time.Millisecond))
		return Observation{ReportsComplete: true, TargetListed: true, Totals: map[string]*RouteTallies{
			"a": {Target: Tally{Sent: n, Answered: n}, Old: Tally{Sent: 14 * n, Answered: 14 * n}},
			"b": {Old: Tally{Sent: 3 * n, Answered: 3 * n}},
		}}
	})
	is.Equal(all[len(all)-1].Action, RollBack)
	for _, d := range all {
		is.True(d.Share < 1)
	}
}

// TestPaceBuckets: half octaves, with the ends of the scale.
func TestPaceBuckets(t *testing.T) {
	is := is.New(t)
	is.Equal(PaceBucket(1), PaceBuckets/2)
	is.Equal(PaceBucket(2), PaceBuckets/2+2)
	is.Equal(PaceBucket(1.5), PaceBuckets/2+1)
	is.Equal([]int{PaceBucket(0), PaceBucket(-1), PaceBucket(1e-9), PaceBucket(1e9)}, []int{0, 0, 0, PaceBuckets - 1})
}
