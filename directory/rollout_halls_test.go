// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests rollouts combined with data halls that are taken out of service.

// runRolloutInHalls runs a rollout in which each server is in a data hall.
func (x *fleet) runRolloutInHalls(v *versionedServers, halls [7]string, period time.Duration, f func(c countedServers)) {
	c := newCountedServers(v)
	x.runScenario(v, rolloutScenario{document: testDocument(1), load: x.steadyLoad(c, period), announce: func() {
		for n := 1; n < len(halls); n++ {
			r := versionedServer(n)
			r.Hall = halls[n]
			x.announceVersioned(registry.Announcement{Registration: r})
		}
	}}, func() { f(c) })
}

// mixedHalls has servers of both versions in hall-b, and in hall-a b1 of the old one and b4 of the
// target.
var mixedHalls = [7]string{1: "hall-a", 2: "hall-b", 3: "hall-b", 4: "hall-a", 5: "hall-b", 6: "hall-b"}

// separateHalls has the target's servers in a hall of their own.
var separateHalls = [7]string{1: "hall-b", 2: "hall-b", 3: "hall-b", 4: "hall-a", 5: "hall-a", 6: "hall-a"}

// TestHallTakenOutDuringRollout: a hall taken out of service during a rollout must get no requests,
// and its result must follow from the target's remaining servers.
func TestHallTakenOutDuringRollout(t *testing.T) {
	bad := func(time.Duration) float64 { return 0.2 }
	for _, test := range []struct {
		name  string
		halls [7]string
		fails func(time.Duration) float64
		state document.RolloutState
		at    []time.Duration // when the hall is taken out
	}{
		{"good", mixedHalls, nil, document.RolloutComplete, faultTimes},
		{"bad", mixedHalls, bad, document.RolloutRolledBack, []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second}},
		{"without a server left", separateHalls, nil, document.RolloutRolledBack, faultTimes},
	} {
		for _, at := range test.at {
			t.Run(fmt.Sprint(test.name, " ", at), func(t *testing.T) {
				withFleet(t, 5, func(x *fleet) {
					is := is.New(x.t)
					v := &versionedServers{fails: test.fails}
					x.runRolloutInHalls(v, test.halls, rolloutPeriod, func(c countedServers) {
						time.Sleep(at)
						x.orderHall("hall-a", true)
						out := time.Now()
						state, after := x.awaitRolloutEnd(v)
						end := time.Now()
						x.t.Logf("ended after %v, minimum headroom %.0f", after, minHeadroom(v))
						is.Equal(state, test.state)
						is.True(after <= rolloutTime)
						time.Sleep(3 * time.Second)
						for n, hall := range test.halls {
							if hall == "hall-a" {
								is.Equal(c.requestsSince(out.Add(propagationTime), n), 0)
							}
						}
						target, old := v.arrivalsAfter(end.Add(propagationTime))
						is.True(max(target, old) > 300)
						is.Equal(min(target, old), 0)
						is.True(test.fails == nil || minHeadroom(v) >= 0)
					})
				})
			})
		}
	}
}

// TestHallOfTrialServersTakenOut: the hall with all servers of the target that get trial requests is
// taken out of service. Other servers of the target must replace them.
func TestHallOfTrialServersTakenOut(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		v := &versionedServers{}
		halls := [7]string{1: "hall-1", 2: "hall-1", 3: "hall-1", 4: "hall-4", 5: "hall-5", 6: "hall-6"}
		x.runRolloutInHalls(v, halls, rolloutPeriod, func(c countedServers) {
			time.Sleep(3 * time.Second)
			var tried []int
			for n := 4; n <= 6; n++ {
				if c.requestsSince(v.orderedAt, n) > 0 {
					tried = append(tried, n)
				}
			}
			is.Equal(len(tried), 1)
			x.orderHall(halls[tried[0]], true)
			out := time.Now()
			time.Sleep(2 * time.Second)
			target, _ := v.arrivalsAfter(out.Add(propagationTime))
			is.True(target > 0)
			state, after := x.awaitRolloutEnd(v)
			is.Equal(state, document.RolloutComplete)
			is.True(after <= rolloutTime)
			time.Sleep(2 * time.Second)
			is.Equal(c.requestsSince(out.Add(propagationTime), tried...), 0)
		})
	})
}

// TestHallOfTargetTakenOutInIdlePool: the pool gets so few requests that all of them may go to an untried
// version, but all servers of that version are out of service. The old servers must keep serving.
func TestHallOfTargetTakenOutInIdlePool(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		v := &versionedServers{}
		x.runRolloutInHalls(v, separateHalls, 3*time.Second, func(c countedServers) {
			time.Sleep(time.Second)
			x.orderHall("hall-a", true)
			state, after := x.awaitRolloutEnd(v)
			is.Equal(state, document.RolloutRolledBack)
			is.True(after <= rolloutTime)
			end := time.Now()
			time.Sleep(8 * time.Second)
			_, old := v.arrivalsAfter(end)
			is.True(old > 4)
		})
	})
}
