// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
)

// This file tests the guarantees of the service under failures, one test per
// failure, on a fleet of three control boxes and one or two routers.

func TestLeaderCrashFailsNoRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		stop1 := f.startLoad(6, completion("r1", "hotel", 20, true))
		stop2 := f.startLoad(2, completion("r2", "notary", 20, true))
		time.Sleep(2 * time.Second)
		oldLeader := f.leader()
		f.crash(oldLeader)
		time.Sleep(6 * time.Second)
		is.True(f.leader() != oldLeader)
		f.createAccount("late", 1) // changes are accepted again
		f.start(oldLeader)
		time.Sleep(4 * time.Second)
		checkComplete(is, append(stop1(), stop2()...), 150) // no request failed
		f.settle()
	})
}

func TestPartitionedLeaderIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		oldLeader := f.leader()
		f.net.Cut(f.boxes[oldLeader].ip)
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		newLeader := f.leader()
		is.True(newLeader != oldLeader)
		is.Equal(f.do(completion("r1", "hotel", 1, true)).status, 200)
		revision := f.status(newLeader).GetRevision()
		f.net.Restore(f.boxes[oldLeader].ip)
		_, err := f.operatorClient(oldLeader).MarkServer(ctx, connect.NewRequest(&operatorv1.MarkServerRequest{
			Change: &operatorv1.Change{Id: "stale", BaseRevision: revision}, Name: "e1", Mark: operatorv1.Mark_MARK_LEAVING,
		}))
		is.Equal(connect.CodeOf(err), connect.CodeUnavailable) // the old leader accepts no changes
		time.Sleep(5 * time.Second)
		is.Equal(f.leader(), newLeader) // and doesn't cause an election
	})
}

func TestMajorityWithoutLeaderExtendsLeases(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 1)
		f.do(completion("r1", "hotel", 1, true)) // the router holds a slot
		stop := f.startLoad(2, completion("r1", "hotel", 10, true))
		time.Sleep(time.Second)
		// Control boxes can reach the router, but not each other, so there is no leader.
		f.net.Isolate("10.0.1.1", "10.0.1.2", "10.0.1.3")
		time.Sleep(12 * time.Second) // four lease periods
		is.True(f.boxes["r1"].box.Ready())
		f.net.HealPartitions()
		time.Sleep(5 * time.Second)
		checkComplete(is, stop(), 100)
	})
}

func TestStateSurvivesDiskLossOfEachControlBox(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 1)
		is.Equal(f.do(order("r1", "hotel", "first", "k9")).status, 200)
		revision := f.status(f.leader()).GetRevision()
		for _, lost := range []string{"c1", "c2", "c3"} { // one after the other, each right after the repair of the previous one
			f.loseDisk(lost)
			time.Sleep(2 * time.Second) // the claims group is repaired too
		}
		is.Equal(f.status(f.leader()).GetRevision(), revision)
		f.settle()
		a := f.do(order("r1", "hotel", "first", "k9"))
		is.Equal(a.outcome, "ran")
		is.Equal(f.services["s1"].Runs("first"), 1)
	})
}

func TestPartitionedRouterStopsServingUntilItRejoins(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		inFlight := f.startAll(completion("r1", "hotel", 400, true)) // 8 s
		time.Sleep(500 * time.Millisecond)
		for name := range f.replicas { // the routers still reach their servers and callers
			f.net.Cut(f.boxes[name].ip)
		}
		time.Sleep(3500 * time.Millisecond)
		is.True(!f.boxes["r1"].box.Ready())
		a := f.do(completion("r1", "hotel", 1, true))
		is.Equal(a.status, 503)
		is.Equal(a.outcome, "not-run")
		checkComplete(is, inFlight(), 1) // requests in flight complete
		for name := range f.replicas {
			f.net.Restore(f.boxes[name].ip)
		}
		f.settle()
		is.Equal(f.do(completion("r1", "hotel", 1, true)).status, 200)
	})
}

func TestRestartedRouterReplacesOldProcess(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		f.startAll(completion("r1", "hotel", 100, true), completion("r1", "hotel", 100, true))
		time.Sleep(200 * time.Millisecond)
		f.crash("r1")
		f.start("r1")
		f.settle()
		a := f.do(completion("r1", "hotel", 1, true))
		is.Equal(a.status, 200)
		time.Sleep(5 * time.Second)
		held := 0
		for _, r := range f.status(f.leader()).GetRouters() {
			is.True(!strings.Contains(r.GetName(), "restarted")) // the old process is no longer listed
			held += int(r.GetSlotsHeld())
		}
		is.True(held <= 8)
	})
}
