// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests the decisions on operators' orders.

func order(target string) Order { return Order{Pool: "p", Target: target, Duration: time.Minute} }

func TestOrderCheck(t *testing.T) {
	long := strings.Repeat("v", document.MaxVersionName+1)
	for _, tt := range []struct {
		order Order
		valid bool
	}{
		{order("v2"), true},
		{Order{Pool: "p", Target: long[1:], Duration: 1}, true},
		{Order{Pool: "p", Target: "v2", Duration: maxDuration}, true},
		{Order{Pool: "p", Target: "v2", Duration: maxDuration + 1}, false},
		{Order{Pool: "p", Target: "v2"}, false},
		{Order{Pool: "p", Target: "v2", Duration: -1}, false},
		{Order{Pool: "p", Target: "", Duration: 1}, false},
		{Order{Pool: "p", Target: long, Duration: 1}, false},
		{Order{Pool: "", Target: "v2", Duration: 1}, false},
		{Order{Pool: long, Target: "v2", Duration: 1}, false},
	} {
		err := tt.order.Check()
		is.New(t).Equal(err == nil, tt.valid)
		is.New(t).True(err == nil || errors.As(err, new(InvalidOrder)))
	}
}

func TestDecideOrder(t *testing.T) {
	const window = 5 * time.Second
	underWay, complete, rolledBack := document.RolloutUnderWay, document.RolloutComplete, document.RolloutRolledBack
	for _, tt := range []struct {
		name   string
		newest document.RolloutState // state of the newest rollout, of v2 and ordered at 0; 0 for none
		target string
		after  time.Duration // time since the order
		want   Verdict
	}{
		{"copy of the order under way", underWay, "v2", time.Second, AlreadyApplied},
		{"copy after an hour, under way", underWay, "v2", time.Hour, AlreadyApplied},
		{"another version, under way", underWay, "v3", time.Second, Conflict},
		{"another version after an hour, under way", underWay, "v3", time.Hour, Conflict},
		{"copy after completion", complete, "v2", time.Second, AlreadyApplied},
		{"completed version, after an hour", complete, "v2", time.Hour, AlreadyApplied},
		{"next version after completion", complete, "v3", time.Second, Accept},
		{"copy after a rollback, within the window", rolledBack, "v2", window, AlreadyApplied},
		{"new attempt after the window", rolledBack, "v2", window + 1, Accept},
		{"another version after a rollback", rolledBack, "v3", time.Second, Accept},
		{"first order of a pool", 0, "v2", 0, Accept},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			orders := Orders{Window: window}
			var newest document.Rollout
			if tt.newest != 0 {
				newest = document.Rollout{Pool: "p", Target: "v2", State: underWay, Attempt: 4, Changes: 9}
				orders = orders.WithRollout(0, newest)
				newest.State, newest.Changes = tt.newest, 10
			}
			verdict, change := orders.Decide(tt.after, order(tt.target), newest)
			is.Equal(verdict, tt.want)
			if verdict == Accept {
				is.Equal(change, document.RolloutChange{Pool: "p", Target: tt.target, Duration: time.Minute, State: underWay, After: newest.Changes})
			}
		})
	}
}

// TestCopyIsAcknowledgedDuringLaterRollout: a copy is acknowledged like its order, and changes
// nothing.
func TestCopyIsAcknowledgedDuringLaterRollout(t *testing.T) {
	is := is.New(t)
	orders := Orders{}.WithRollout(0, document.Rollout{Pool: "p", Target: "v2", State: document.RolloutUnderWay})
	next := document.Rollout{Pool: "p", Target: "v3", State: document.RolloutUnderWay, Changes: 3}
	orders = orders.WithRollout(2*time.Second, next)
	verdict, _ := orders.Decide(3*time.Second, order("v2"), next)
	is.Equal(verdict, AlreadyApplied)
	verdict, _ = orders.Decide(DefaultWindow+1, order("v2"), next)
	is.Equal(verdict, Conflict) // after the window it counts as a new order
	other := Order{Pool: "q", Target: "v2", Duration: time.Minute}
	verdict, _ = orders.Decide(3*time.Second, other, document.Rollout{})
	is.Equal(verdict, Accept) // another pool
}

// TestOrderAgeFromElapsedTime: a replica that reads the log or a snapshot computes the age of an
// order from the recorded elapsed time, and takes it for neither younger nor older.
func TestOrderAgeFromElapsedTime(t *testing.T) {
	is := is.New(t)
	back := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutRolledBack, Attempt: 1, Elapsed: 3 * time.Second}
	verdict, _ := Orders{}.WithRollout(0, back).Decide(2*time.Second, order("v2"), back)
	is.Equal(verdict, AlreadyApplied)
	verdict, _ = Orders{}.WithRollout(0, back).Decide(2*time.Second+1, order("v2"), back)
	is.Equal(verdict, Accept)
	began := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutUnderWay, Attempt: 1}
	orders := Orders{}.WithRollout(0, began).WithRollout(time.Second, document.Rollout{
		Pool: "p", Target: "v2", State: document.RolloutRolledBack, Attempt: 1, Elapsed: 1, // too short
	})
	verdict, _ = orders.Decide(DefaultWindow+1, order("v2"), back)
	is.Equal(verdict, Accept)
	ended := began
	ended.State = document.RolloutRolledBack // before any elapsed time was recorded
	verdict, _ = Orders{}.WithRollout(0, began).WithRollout(time.Minute, ended).Decide(time.Minute, order("v2"), ended)
	is.Equal(verdict, Accept)
	began.Attempt = 2
	orders = orders.WithRollout(4*time.Second, began)
	verdict, _ = orders.Decide(4*time.Second+DefaultWindow, order("v2"), back)
	is.Equal(verdict, AlreadyApplied)
}

// TestWindowIsAtLeastMinWindow: the window is at least MinWindow, for which the command line
// repeats an order.
func TestWindowIsAtLeastMinWindow(t *testing.T) {
	is := is.New(t)
	back := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutRolledBack, Attempt: 1}
	orders := Orders{Window: time.Second}.WithRollout(0, back)
	verdict, _ := orders.Decide(MinWindow, order("v2"), back)
	is.Equal(verdict, AlreadyApplied)
	verdict, _ = orders.Decide(MinWindow+1, order("v2"), back)
	is.Equal(verdict, Accept)
	verdict, _ = Orders{Window: time.Minute}.WithRollout(0, back).Decide(time.Minute, order("v2"), back)
	is.Equal(verdict, AlreadyApplied)
}

// TestAcknowledgedOrderIsRemembered: an acknowledged order that began nothing may have late copies
// too.
func TestAcknowledgedOrderIsRemembered(t *testing.T) {
	is := is.New(t)
	complete := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutComplete, Elapsed: time.Hour}
	orders := Orders{}.WithRollout(0, complete).WithAcknowledged(time.Minute, order("v2"))
	next := document.Rollout{Pool: "p", Target: "v3", State: document.RolloutRolledBack, Elapsed: time.Second}
	orders = orders.WithRollout(time.Minute+2*time.Second, next)
	verdict, _ := orders.Decide(time.Minute+DefaultWindow, order("v2"), next)
	is.Equal(verdict, AlreadyApplied)
	verdict, _ = orders.Decide(time.Minute+DefaultWindow+1, order("v2"), next)
	is.Equal(verdict, Accept)
}

// TestSnapshotLacksOrderTimes: a snapshot does not hold when a version was ordered that was rolled
// back before the newest rollout. A replica that observed the order itself keeps its time.
func TestSnapshotLacksOrderTimes(t *testing.T) {
	is := is.New(t)
	newest := []document.Rollout{{Pool: "p", Target: "v3", State: document.RolloutRolledBack, Attempt: 2, Barred: []string{"v2", "v3"}, Elapsed: time.Hour}}
	orders := Orders{}.WithSnapshot(0, newest)
	verdict, _ := orders.Decide(DefaultWindow, order("v2"), newest[0])
	is.Equal(verdict, AlreadyApplied)
	verdict, _ = orders.Decide(DefaultWindow+1, order("v2"), newest[0])
	is.Equal(verdict, Accept)
	verdict, _ = orders.Decide(0, order("v3"), newest[0])
	is.Equal(verdict, Accept)
	orders = Orders{}.WithRollout(0, document.Rollout{Pool: "p", Target: "v2", Attempt: 1}).WithSnapshot(time.Second, newest)
	verdict, _ = orders.Decide(DefaultWindow+1, order("v2"), newest[0])
	is.Equal(verdict, Accept)
}

// TestSnapshotWithUnobservedAttempts: the times that a replica recorded for earlier attempts do not
// apply to attempts that it did not observe.
func TestSnapshotWithUnobservedAttempts(t *testing.T) {
	is := is.New(t)
	first := Orders{}.WithRollout(0, document.Rollout{Pool: "p", Target: "v2", Attempt: 1})
	again := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutRolledBack, Attempt: 2, Barred: []string{"v2"}, Elapsed: time.Second}
	verdict, _ := first.WithSnapshot(time.Minute, []document.Rollout{again}).Decide(time.Minute+DefaultWindow-time.Second, order("v2"), again)
	is.Equal(verdict, AlreadyApplied)
	next := document.Rollout{Pool: "p", Target: "v3", State: document.RolloutRolledBack, Attempt: 3, Barred: []string{"v2", "v3"}, Elapsed: time.Second}
	orders := first.WithSnapshot(time.Minute, []document.Rollout{next})
	verdict, _ = orders.Decide(time.Minute+DefaultWindow, order("v2"), next)
	is.Equal(verdict, AlreadyApplied)
	same := orders.WithSnapshot(time.Minute+time.Second, []document.Rollout{next}) // nothing new
	verdict, _ = same.Decide(time.Minute+DefaultWindow+1, order("v2"), next)
	is.Equal(verdict, Accept)
}

// TestLargestSnapshot: a snapshot of the largest size is read in less than quadratic time.
func TestLargestSnapshot(t *testing.T) {
	var barred []string
	for v := range document.MaxVersions {
		barred = append(barred, fmt.Sprint("v", v))
	}
	var newest []document.Rollout
	for pool := range document.MaxRollouts {
		newest = append(newest, document.Rollout{
			Pool: fmt.Sprint(pool), Target: "t", State: document.RolloutComplete, Attempt: document.MaxVersions + 1, Barred: barred,
		})
	}
	orders := Orders{}.WithSnapshot(0, newest)
	is.New(t).Equal(len(orders.accepted), document.MaxRollouts*(document.MaxVersions+1))
}

func TestAbort(t *testing.T) {
	is := is.New(t)
	r := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutUnderWay, Changes: 3, Elapsed: time.Second}
	change, ok := Abort(r)
	is.True(ok)
	is.Equal(change, document.RolloutChange{Pool: "p", Target: "v2", State: document.RolloutRolledBack, After: 3, Elapsed: time.Second})
	r.State = document.RolloutComplete
	_, ok = Abort(r)
	is.True(!ok)
}
