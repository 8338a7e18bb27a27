// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests a schedule with little or no evidence, with missing reports and without a usable
// target.

// runSchedule steps a schedule of 10 s with the observations of observe until it ends, and returns
// all decisions.
func runSchedule(observe func(at time.Duration, d Decision) Observation) (all []Decision) {
	return runScheduleWithin(Bounds{Share: 0.1, Slack: 50}, observe)
}

func runScheduleWithin(b Bounds, observe func(at time.Duration, d Decision) Observation) (all []Decision) {
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

// TestPoolWithoutRequestsCompletes: a rollout of a pool without requests completes, since no
// version can exceed the bound.
func TestPoolWithoutRequestsCompletes(t *testing.T) {
	is := is.New(t)
	all := runSchedule(func(time.Duration, Decision) Observation {
		return Observation{ReportsComplete: true, TargetListed: true, OldIdle: true}
	})
	is.Equal(all[len(all)-1].Action, Complete)
	is.True(len(all) < 96) // 9.5 s
}

// TestDefaultBounds: bounds that set neither share nor slack get both defaults; bounds that set
// one of them stay unchanged.
func TestDefaultBounds(t *testing.T) {
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
	all := runScheduleWithin(Bounds{}, observe)
	is.Equal(all[len(all)-1].Action, Complete)
	is.Equal(all, runScheduleWithin(Bounds{Share: DefaultShare, Slack: DefaultSlack}, observe))
	for _, b := range []Bounds{{Share: 0.2}, {Slack: 9}} {
		is.Equal(b.orDefault(), b)
	}
}

// TestNoSwitchWithoutTargetServer: without a server of the target there is no switch, with or
// without requests.
func TestNoSwitchWithoutTargetServer(t *testing.T) {
	is := is.New(t)
	for _, perStep := range []uint64{0, 1, 15} {
		all := runSchedule(func(at time.Duration, _ Decision) Observation {
			n := perStep * uint64(at/(100*time.Millisecond))
			return Observation{ReportsComplete: true, Totals: map[string]*RouteTallies{"r": {Old: Tally{Sent: n, Answered: n}}}}
		})
		is.Equal(all[len(all)-1].Action, RollBack)
		for _, d := range all {
			is.True(d.Share < 1)
		}
	}
}

// TestRollBackWithoutTargetRequests: a rollout is rolled back if the target gets none of many
// requests, for example for lack of capacity.
func TestRollBackWithoutTargetRequests(t *testing.T) {
	is := is.New(t)
	all := runSchedule(func(at time.Duration, _ Decision) Observation {
		n := 15 * uint64(at/(100*time.Millisecond))
		return Observation{ReportsComplete: true, TargetListed: true, Totals: map[string]*RouteTallies{"r": {Old: Tally{Sent: n, Answered: n}}}}
	})
	is.Equal(all[len(all)-1].Action, RollBack)
	is.Equal(all[len(all)-1].Reason, "not enough evidence in time")
}

// TestNewLeaderWaitsForReports: the target gets no requests before the gateways have reported to a
// new leader. The first reports cover an unknown time; they count as evidence, but not for the
// rate.
func TestNewLeaderWaitsForReports(t *testing.T) {
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
	is.Equal(d.Share, 1.0) // based on the evidence of the earlier leader
	is.Equal(d.Sent, uint64(40))
}

// TestTrialStopsAtBound: when the target has had more requests than the bound allows, for example
// because a leader failed during the switch, the trial sends it no more.
func TestTrialStopsAtBound(t *testing.T) {
	is := is.New(t)
	target, old := uint64(300), uint64(0)
	all := runSchedule(func(_ time.Duration, d Decision) Observation {
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
	is.Equal(all[40].Reason, "the bound is reached")
	is.Equal(all[len(all)-1].Action, Complete) // switched at the latest moment, because of the good answers so far
}

// TestUnusedTargetIsRolledBack: while the target's servers are gone or get no requests, the
// rollout does not complete, even if the old servers are idle.
func TestUnusedTargetIsRolledBack(t *testing.T) {
	for _, listed := range []bool{false, true} {
		for _, idle := range []bool{false, true} {
			is := is.New(t)
			var switched uint64
			all := runSchedule(func(at time.Duration, d Decision) Observation {
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

// TestFallingTotals: while a relay's gateways are not connected, the totals fall. The decision
// still counts all requests sent, and the rate does not change.
func TestFallingTotals(t *testing.T) {
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

// TestLateLeaderMeasuresRateFirst: a leader that starts after the latest moment to decide measures
// the rate before it rolls back. A pool without requests then completes.
func TestLateLeaderMeasuresRateFirst(t *testing.T) {
	is := is.New(t)
	s := &Schedule{Duration: 10 * time.Second, Bounds: Bounds{Share: 0.1, Slack: 50}}
	var d Decision
	for at := 8 * time.Second; at < 12*time.Second && d.Action == Continue; at += 100 * time.Millisecond {
		d = s.Step(Observation{Elapsed: at, TargetListed: true, OldIdle: true, ReportsComplete: at >= 9*time.Second})
	}
	is.Equal(d.Action, Complete)
}

// TestUntestedRoutePreventsSwitch: there is no switch while the target has served no request of a
// route.
func TestUntestedRoutePreventsSwitch(t *testing.T) {
	is := is.New(t)
	all := runSchedule(func(at time.Duration, _ Decision) Observation {
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

// TestPaceBuckets checks the half octaves and both ends of the scale.
func TestPaceBuckets(t *testing.T) {
	is := is.New(t)
	is.Equal(PaceBucket(1), PaceBuckets/2)
	is.Equal(PaceBucket(2), PaceBuckets/2+2)
	is.Equal(PaceBucket(1.5), PaceBuckets/2+1)
	is.Equal([]int{PaceBucket(0), PaceBucket(-1), PaceBucket(1e-9), PaceBucket(1e9)}, []int{0, 0, 0, PaceBuckets - 1})
}
