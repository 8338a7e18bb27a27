// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"testing"

	"github.com/matryer/is"
)

// This file checks the use of the slots of the smaller fleet, whose accounts all
// offer less than their share.

// TestIdleFleetUsesItsSlotsWhileWorkWaits is BenchmarkFleet/viewer/idle/fleet with its
// aim: of the slots that waiting work could use, at least 95 % are in use.
func TestIdleFleetUsesItsSlotsWhileWorkWaits(t *testing.T) {
	s := viewer()
	for _, v := range variants {
		if v.name == "idle" {
			v.change(&s)
		}
	}
	r := newFleet(s, fleetFair, 1).run().results(fresh)
	t.Logf("%.2f %% of the slots are in use while work waits; by pool %.2f", r.util, r.utils)
	is.New(t).True(r.util >= 95)
}
