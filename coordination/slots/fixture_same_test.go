// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"slices"
	"testing"
	"time"
)

// This file checks that the fixture plays a schedule the same each time, so
// that a seed stands for one run.

// TestOneSeedIsOneRun restarts a router with requests in its servers' batches
// and queues: the order in which they are cancelled is no draw.
func TestOneSeedIsOneRun(t *testing.T) {
	s := linen()
	s.duration = 12 * time.Second
	s.routers = 1
	s.pools = s.pools[:1]
	s.pools[0].workers, s.pools[0].slots = 3, 3
	s.accounts = []accountShape{{name: "a", share: 1, offered: 4}, {name: "b", share: 2, offered: 4}}
	for at := 3 * time.Second; at < s.duration; at += 500 * time.Millisecond {
		s.faults = append(s.faults, fault{at, func(f *fleet) { f.restart(0) }})
	}
	first := playedEvents(s)
	for range 20 {
		if again := playedEvents(s); !slices.Equal(first, again) {
			t.Fatal("one seed was played in two ways")
		}
	}
}

// playedEvents returns after each 50 ms how many events there were until then.
func playedEvents(s shape) []int {
	f := newFleet(s, fleetFair, 1)
	var counts []int
	f.every(50*time.Millisecond, func() { counts = append(counts, f.seq) })
	f.run()
	return counts
}
