// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests the schedule with routes that cannot use the target.

// TestRouteWithoutTargetIsNotAwaited: a route whose homes have no server of the target delays
// neither the switch nor the end of a rollout. If no route can use the target, there is not enough
// evidence for a switch.
func TestRouteWithoutTargetIsNotAwaited(t *testing.T) {
	for _, test := range []struct {
		name          string
		withoutTarget map[string]bool
		ending        Action
		switches      bool
	}{
		{"one", map[string]bool{"b": true}, Complete, true},
		{"none", nil, RollBack, false},
		{"all", map[string]bool{"a": true, "b": true}, RollBack, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var switched uint64 // number of steps before the switch
			all := runSchedule(func(at time.Duration, d Decision) Observation {
				n := uint64(at / (100 * time.Millisecond))
				o := Observation{ReportsComplete: true, TargetListed: true, RoutesWithoutTarget: test.withoutTarget, Totals: map[string]*RouteTallies{
					"a": {Target: Tally{Sent: n, Answered: n}, Old: Tally{Sent: 14 * n, Answered: 14 * n}},
					"b": {Old: Tally{Sent: 3 * n, Answered: 3 * n}},
				}}
				if test.withoutTarget["a"] {
					o.Totals["a"].Target = Tally{}
				}
				if d.Share == 1 && switched == 0 {
					switched = n
				}
				if after := n - switched; switched > 0 && after > 0 { // the target gets all requests of route a
					o.Totals["a"].Target = Tally{Sent: switched + 15*after, Answered: switched + 15*after}
					o.Totals["a"].Old = Tally{Sent: 14 * switched, Answered: 14 * switched}
				}
				return o
			})
			switches := false
			for _, d := range all {
				switches = switches || d.Share == 1
			}
			is.Equal(switches, test.switches)
			is.Equal(all[len(all)-1].Action, test.ending)
		})
	}
}
