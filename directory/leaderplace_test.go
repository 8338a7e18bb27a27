// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests where the leader stands, and how soon there is another one.

// acknowledgedAfter puts a document as an operator does: at replicas in turn, from one on, with
// a second for each. It returns how long that takes.
func (x *fleet) acknowledgedAfter(number uint64, first int) time.Duration {
	began := time.Now()
	for i := first; time.Since(began) < 20*time.Second; i++ {
		n := x.nodes[x.order[i%len(x.order)]]
		if n.d == nil {
			continue // refused at once
		}
		ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
		err := n.d.Put(ctx, held(number))
		cancel()
		if err == nil {
			return time.Since(began)
		}
		time.Sleep(20 * time.Millisecond)
	}
	x.t.Fatalf("document %d is not acknowledged after 20 s", number)
	return 0
}

// TestAcknowledgesSoonAfterALeader: leaders in either region are killed in turn. An operator is
// acknowledged again soon, whichever replica is tried first: also with so many gateways in the
// other region that their lists fill the link for seconds.
func TestAcknowledgesSoonAfterALeader(t *testing.T) {
	for gateways, rounds := range map[int]int{4: 10, 60: 4} {
		inRegions(t, 1_000_000, func(x *fleet) {
			is := is.New(x.t)
			x.announceMany(1500)
			x.gatewaysIn(north, gateways)
			x.gatewaysIn(south, gateways)
			time.Sleep(10 * time.Second)
			longest := time.Duration(0)
			for round := range rounds {
				old := x.mustLead()
				old.kill()
				longest = max(longest, x.acknowledgedAfter(uint64(round+1), round))
				x.start(old.ip, false)
				time.Sleep(10 * time.Second)
			}
			x.t.Logf("%d gateways in each region: acknowledged after %v at worst", gateways, longest)
			is.True(longest < 1200*time.Millisecond)
		})
	}
}
