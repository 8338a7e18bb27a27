// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"slices"
	"testing"
	"time"
)

// This file checks that the fixture is deterministic, so that a seed identifies one run.

// TestEqualSeedsGiveEqualRuns restarts a router with requests in its servers' batches and queues. The
// order in which they are cancelled must not vary between runs.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	s := linen()
	s.duration = 12 * time.Second
	s.routers = 1
	s.pools = s.pools[:1]
	s.pools[0].serverCount, s.pools[0].slots = 3, 3
	s.accounts = []accountConfig{{name: "a", share: 1, offered: 4}, {name: "b", share: 2, offered: 4}}
	for at := 3 * time.Second; at < s.duration; at += 500 * time.Millisecond {
		s.faults = append(s.faults, fault{at, func(f *fleet) { f.restart(0) }})
	}
	first := eventCounts(s)
	for range 20 {
		if again := eventCounts(s); !slices.Equal(first, again) {
			t.Fatal("two runs of one seed differ")
		}
	}
}

// eventCounts returns the number of events so far, every 50 ms.
func eventCounts(s fleetConfig) []int {
	f := newFleet(s, fleetFair, 1)
	var counts []int
	f.every(50*time.Millisecond, func() { counts = append(counts, f.seq) })
	f.run()
	return counts
}
