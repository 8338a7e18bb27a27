// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/directory"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests orders while the leader's disk is slow.

// callTime is how long a replica takes at most for a call of an operator, as a process has it.
const callTime = 2500 * time.Millisecond

// ordered repeats an order about a rollout at whoever leads, with new calls, and returns how
// long it takes until one is acknowledged, and how many were refused for now.
func (x *fleet) ordered(o rollout.Order) (after time.Duration, refused int) {
	is := is.New(x.t)
	for began := time.Now(); time.Since(began) < 20*time.Second; {
		ctx, cancel := context.WithTimeout(x.t.Context(), callTime)
		err := x.awaitLeader().d.StartRollout(ctx, o)
		cancel()
		if err == nil {
			return time.Since(began), refused
		}
		is.True(errors.As(err, new(directory.Unavailable)) || errors.As(err, new(directory.NotLeader)))
		refused++
		time.Sleep(20 * time.Millisecond)
	}
	x.t.Fatal("the order is not acknowledged after 20 s")
	return 0, 0
}

// TestOrderOnASlowDisk: while the leader's disk takes long for each sync, an order is
// acknowledged within the time for which it is repeated, by that leader or the next one. It is
// taken once, also when the disk is fast again, and outlives all power.
func TestOrderOnASlowDisk(t *testing.T) {
	for _, takes := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 4 * time.Second, time.Minute} {
		t.Run(takes.String(), func(t *testing.T) {
			withFleet(t, 5, func(x *fleet) {
				is := is.New(x.t)
				x.putDocument(1)
				slow := x.awaitLeader()
				slow.disk.SetSyncTime(takes)
				after, refused := x.ordered(orderTo("v2"))
				x.t.Logf("acknowledged after %v, %d calls refused; another leads: %t", after, refused, x.awaitLeader() != slow)
				is.True(after < rolloutBounds.RepeatWindow)
				once := document.Rollout{
					Pool: "p", Target: "v2", Duration: 24 * time.Hour, State: document.RolloutUnderWay, Attempt: 1, Changes: 1,
				}
				is.Equal(x.newestRollout(), once)
				_, _ = x.ordered(orderTo("v2"))
				slow.disk.SetSyncTime(0)
				time.Sleep(takes)
				is.Equal(x.newestRollout().Attempt, uint64(1))
				is.NoErr(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 1))
				x.losePower()
				for _, ip := range x.ips {
					x.startReplica(ip, false)
				}
				is.Equal(x.newestRollout().State, document.RolloutRolledBack)
				is.Equal(x.newestRollout().Attempt, uint64(1))
			})
		})
	}
}
