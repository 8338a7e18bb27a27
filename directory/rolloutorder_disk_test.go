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

// This file tests operators' orders while the leader's disk is slow.

// operatorCallTimeout is the timeout of an operator's call, as the process sets it.
const operatorCallTimeout = 2500 * time.Millisecond

// orderUntilAcknowledged repeats a rollout order at the current leader, with new calls. It returns
// the time until one is acknowledged, and how many calls were refused.
func (x *fleet) orderUntilAcknowledged(o rollout.Order) (after time.Duration, refused int) {
	is := is.New(x.t)
	for began := time.Now(); time.Since(began) < 20*time.Second; {
		ctx, cancel := context.WithTimeout(x.t.Context(), operatorCallTimeout)
		err := x.awaitLeader().d.StartRollout(ctx, o)
		cancel()
		if err == nil {
			return time.Since(began), refused
		}
		is.True(errors.As(err, new(directory.Unavailable)) || errors.As(err, new(directory.NotLeader)))
		refused++
		time.Sleep(20 * time.Millisecond)
	}
	x.t.Fatal("the order was not acknowledged within 20 s")
	return 0, 0
}

// TestRolloutOrderWithSlowLeaderDisk: while every sync of the leader's disk is slow, this leader or the
// next one must acknowledge an order within the time for which it is repeated. The order must be applied
// exactly once, also when the disk is fast again, and survive the loss of all power.
func TestRolloutOrderWithSlowLeaderDisk(t *testing.T) {
	for _, takes := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 4 * time.Second, time.Minute} {
		t.Run(takes.String(), func(t *testing.T) {
			withFleet(t, 5, func(x *fleet) {
				is := is.New(x.t)
				x.putDocument(1)
				slow := x.awaitLeader()
				slow.disk.SetSyncTime(takes)
				after, refused := x.orderUntilAcknowledged(orderTo("v2"))
				x.t.Logf("acknowledged after %v, %d calls refused; leader changed: %t", after, refused, x.awaitLeader() != slow)
				is.True(after < rolloutBounds.RepeatWindow)
				once := document.Rollout{
					Pool: "p", Target: "v2", Duration: 24 * time.Hour, State: document.RolloutUnderWay, Attempt: 1, Changes: 1,
				}
				is.Equal(x.newestRollout(), once)
				_, _ = x.orderUntilAcknowledged(orderTo("v2"))
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
