// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"testing"

	"github.com/matryer/is"
)

// This file checks the utilization of the smaller fleet, whose accounts all request less than
// their share.

// TestIdleFleetUsesItsSlotsWhileWorkWaits runs BenchmarkFleet/viewer/idle/fleet and checks
// its target: of the slots that waiting requests could use, at least 95 % are in use.
func TestIdleFleetUsesItsSlotsWhileWorkWaits(t *testing.T) {
	s := viewer()
	for _, v := range variants {
		if v.name == "idle" {
			v.change(&s)
		}
	}
	r := newFleet(s, fleetFair, 1).run().results(freshViewAge)
	t.Logf("%.2f %% of the slots that waiting requests could use are in use; by pool %.2f", r.utilization, r.poolUtilization)
	is.New(t).True(r.utilization >= 95)
}
