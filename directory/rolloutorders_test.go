// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/directory"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests operators' rollout orders. Their durations are long, so that no schedule ends one
// during a test.

// orderTo returns an order to move pool p to a version.
func orderTo(target string) rollout.Order {
	return rollout.Order{Pool: "p", Target: target, Duration: 24 * time.Hour}
}

// newestRollout returns the newest rollout of pool p from the current leader.
func (x *fleet) newestRollout() document.Rollout {
	for range 1000 {
		r, err := x.awaitLeader().d.Rollout(x.t.Context(), "p")
		switch {
		case err == nil:
			return r
		case errors.As(err, new(directory.NoRollout)):
			return document.Rollout{}
		}
		time.Sleep(10 * time.Millisecond)
	}
	x.t.Fatal("no leader returned the rollout within 10 s")
	return document.Rollout{}
}

// orderRollout gives an order to the current leader until it is answered, and returns the answer.
func (x *fleet) orderRollout(o rollout.Order) error {
	for range 1000 {
		ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
		err := x.awaitLeader().d.StartRollout(ctx, o)
		cancel()
		if !errors.As(err, new(directory.Unavailable)) && !errors.As(err, new(directory.NotLeader)) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return directory.Unavailable{}
}

func TestRolloutOrderErrors(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		l, ctx := x.awaitLeader(), x.t.Context()
		is.Equal(l.d.StartRollout(ctx, orderTo("v2")), error(directory.UnknownPool{Pool: "p"}))
		is.True(errors.As(l.d.StartRollout(ctx, orderTo("")), new(rollout.InvalidOrder)))
		_, err := l.d.Rollout(ctx, "p")
		is.Equal(err, error(directory.NoRollout{Pool: "p"}))
		is.Equal(l.d.AbortRollout(ctx, "p", 1), error(directory.NoRollout{Pool: "p"}))
		is.NoErr(x.announce("b1", false))
		time.Sleep(time.Second)                        // until the server is in the log
		is.NoErr(l.d.StartRollout(ctx, orderTo("v2"))) // a server names the pool, no document does
		is.Equal(x.newestRollout(), document.Rollout{
			Pool: "p", Target: "v2", Duration: 24 * time.Hour, State: document.RolloutUnderWay, Attempt: 1, Changes: 1,
		})
		for ip, n := range x.nodes {
			if ip != l.ip {
				elsewhere := error(directory.NotLeader{Leader: l.ip + ":7400"})
				is.Equal(n.d.StartRollout(ctx, orderTo("v2")), elsewhere)
				is.Equal(n.d.AbortRollout(ctx, "p", 1), elsewhere)
				_, err := n.d.Rollout(ctx, "p")
				is.Equal(err, elsewhere)
			}
		}
	})
}

// TestRolloutOfPoolWithoutServers checks that a pool named by the document needs no servers yet.
func TestRolloutOfPoolWithoutServers(t *testing.T) {
	withFleet(t, 1, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		is.NoErr(x.orderRollout(orderTo("v2")))
		other := orderTo("v2")
		other.Pool = "q"
		is.Equal(x.orderRollout(other), error(directory.UnknownPool{Pool: "q"}))
	})
}

// TestOneRolloutAtATime gives orders while a rollout is under way, after its end, and after the period
// in which orders are repeated.
func TestOneRolloutAtATime(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		attempt := func(n uint64, target string, state document.RolloutState) {
			x.t.Helper()
			r := x.newestRollout()
			is.Equal(r.Attempt, n)
			is.Equal(r.Target, target)
			is.Equal(r.State, state)
		}
		is.NoErr(x.orderRollout(orderTo("v2")))
		shorter := orderTo("v2")
		shorter.Duration = time.Hour
		is.NoErr(x.orderRollout(shorter)) // a repeat
		is.Equal(x.newestRollout().Duration, 24*time.Hour)
		is.Equal(x.orderRollout(orderTo("v3")), error(directory.RolloutConflict{Pool: "p", Target: "v2"}))
		attempt(1, "v2", document.RolloutUnderWay)

		is.NoErr(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 1))
		is.NoErr(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 1)) // a repeat
		is.Equal(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 2), error(directory.NoRollout{Pool: "p"}))
		is.NoErr(x.orderRollout(orderTo("v2"))) // a repeat after the end
		attempt(1, "v2", document.RolloutRolledBack)
		is.Equal(x.newestRollout().Barred, []string{"v2"})
		time.Sleep(rollout.DefaultWindow + time.Second)
		is.NoErr(x.orderRollout(orderTo("v2")))
		attempt(2, "v2", document.RolloutUnderWay)
		is.True(errors.As(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 1), new(directory.Unavailable))) // a late repeat
		is.Equal(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 3), error(directory.NoRollout{Pool: "p"}))
		is.True(errors.As(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 0), new(rollout.InvalidOrder)))
		attempt(2, "v2", document.RolloutUnderWay)

		newest := x.newestRollout()
		changed, err := x.awaitLeader().d.ChangeRollout(x.t.Context(), document.RolloutChange{
			Pool: "p", Target: "v2", State: document.RolloutComplete, After: newest.Changes, Elapsed: newest.Elapsed, Replaced: []string{"v1"},
		})
		is.NoErr(err)
		is.True(changed)
		is.NoErr(x.orderRollout(orderTo("v2"))) // already complete
		time.Sleep(rollout.DefaultWindow + time.Second)
		is.NoErr(x.orderRollout(orderTo("v2")))
		attempt(2, "v2", document.RolloutComplete)
		is.Equal(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 2), error(directory.NoRollout{Pool: "p"})) // the old servers may be gone
		is.NoErr(x.orderRollout(orderTo("v3")))
		attempt(3, "v3", document.RolloutUnderWay)

		is.NoErr(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 3))
		time.Sleep(rollout.DefaultWindow + time.Second)
		is.NoErr(x.orderRollout(orderTo("v2"))) // v2 still gets all requests
		time.Sleep(time.Second)
		attempt(4, "v2", document.RolloutComplete)
		is.Equal(x.newestRollout().Barred, []string{"v3"})
	})
}

// TestAcknowledgedRolloutOrdersSurviveFaults loses the leader, its disk, or all power right after an
// order was acknowledged, and right after the abort was. A repeat of the order then changes nothing.
func TestAcknowledgedRolloutOrdersSurviveFaults(t *testing.T) {
	for how, lose := range map[string]func(x *fleet){
		"the leader": func(x *fleet) { l := x.awaitLeader(); l.kill(); x.awaitLeader(); x.startReplica(l.ip, false) },
		"its disk": func(x *fleet) {
			l := x.awaitLeader()
			l.kill()
			x.replaceDisk(l.ip)
			x.awaitLeader()
			x.startReplica(l.ip, false)
		},
		"all power": func(x *fleet) {
			x.losePower()
			for _, ip := range x.ips {
				x.startReplica(ip, false)
			}
		},
		"all power and two disks": func(x *fleet) {
			lost := []string{x.awaitLeader().ip, ""}
			x.losePower()
			for _, ip := range x.ips {
				if ip != lost[0] {
					lost[1] = ip
				}
			}
			x.replaceDisk(lost[0])
			x.replaceDisk(lost[1])
			for _, ip := range x.ips {
				x.startReplica(ip, false)
			}
		},
	} {
		t.Run(how, func(t *testing.T) {
			withFleet(t, 5, func(x *fleet) {
				is := is.New(x.t)
				x.putDocument(1)
				for n := uint64(1); n <= 3; n++ {
					is.NoErr(x.orderRollout(orderTo("v2")))
					lose(x)
					r := x.newestRollout()
					is.Equal(r.Attempt, n)
					is.Equal(r.State, document.RolloutUnderWay)
					is.NoErr(x.orderRollout(orderTo("v2")))
					is.Equal(x.newestRollout().Attempt, n)
					time.Sleep(8 * time.Second) // the lost replicas catch up
					is.NoErr(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", n))
					lose(x)
					is.Equal(x.newestRollout().State, document.RolloutRolledBack)
					is.Equal(x.newestRollout().Barred, []string{"v2"})
					time.Sleep(8 * time.Second)
				}
			})
		})
	}
}

// TestRepeatedRolloutOrderAtNextLeader checks that a new leader, which never received the order itself,
// recognizes a repeat of it: the previous leader had accepted the order and rolled it back before it was
// lost.
func TestRepeatedRolloutOrderAtNextLeader(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		is.NoErr(x.orderRollout(orderTo("v2")))
		is.NoErr(x.awaitLeader().d.AbortRollout(x.t.Context(), "p", 1))
		x.awaitLeader().kill()
		is.NoErr(x.orderRollout(orderTo("v2")))
		is.Equal(x.newestRollout().State, document.RolloutRolledBack)
		is.Equal(x.newestRollout().Attempt, uint64(1))
	})
}

// TestConcurrentRolloutOrders gives orders for two versions several times at every replica, all at once.
// One rollout begins, and only orders for its version are acknowledged.
func TestConcurrentRolloutOrders(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		var mu sync.Mutex
		answers := map[string][]error{}
		var ordering sync.WaitGroup
		for range 4 {
			for _, target := range []string{"v2", "v3"} {
				for _, n := range x.nodes {
					ordering.Go(func() {
						err := n.d.StartRollout(x.t.Context(), orderTo(target))
						if errors.As(err, new(directory.NotLeader)) {
							err = x.orderRollout(orderTo(target)) // at the leader
						}
						mu.Lock()
						defer mu.Unlock()
						answers[target] = append(answers[target], err)
					})
				}
			}
		}
		ordering.Wait()
		r := x.newestRollout()
		is.Equal(r.Attempt, uint64(1))
		is.Equal(r.Changes, uint64(1))
		for target, errs := range answers {
			is.Equal(len(errs), 20)
			for _, err := range errs {
				if target == r.Target {
					is.NoErr(err)
				} else {
					is.Equal(err, error(directory.RolloutConflict{Pool: "p", Target: r.Target}))
				}
			}
		}
	})
}

// TestPartitionedLeaderRefusesRolloutOrders checks that a leader that is cut off acknowledges no orders
// and returns no stale state while the majority continues.
func TestPartitionedLeaderRefusesRolloutOrders(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		is := is.New(x.t)
		x.putDocument(1)
		is.NoErr(x.orderRollout(orderTo("v2")))
		old := x.awaitLeader()
		x.net.Cut(old.ip)
		time.Sleep(3 * time.Second)
		refused := func() {
			x.t.Helper()
			ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
			defer cancel()
			is.True(errors.As(old.d.StartRollout(ctx, orderTo("v2")), new(directory.Unavailable)))
			is.True(errors.As(old.d.AbortRollout(ctx, "p", 1), new(directory.Unavailable)))
			_, err := old.d.Rollout(ctx, "p")
			is.True(errors.As(err, new(directory.Unavailable)))
		}
		refused()
		for _, n := range x.nodes {
			if n != old && n.d.Leads() {
				is.NoErr(n.d.AbortRollout(x.t.Context(), "p", 1))
			}
		}
		refused()
		x.net.Restore(old.ip)
		time.Sleep(2 * time.Second)
		is.Equal(x.newestRollout().State, document.RolloutRolledBack)
		is.Equal(x.newestRollout().Changes, uint64(2))
	})
}

// sendOrder sends an order on a fleet link, as an operator's command does.
func (x *fleet) sendOrder(n *directoryNode, o protocol.RolloutOrder) protocol.RolloutAnswer {
	is := is.New(x.t)
	id := link.Identity{Name: "operator", Key: fleetKey, Dial: x.net.DialerFrom(n.ip).DialContext}
	l, err := link.Dial(x.t.Context(), n.ip+":7400", id, nil)
	is.NoErr(err)
	defer l.Close()
	is.NoErr(l.Send(x.t.Context(), o))
	m, err := l.ReceiveWithIdleTimeout(x.t.Context(), 3*time.Second)
	is.NoErr(err)
	answer, ok := m.(protocol.RolloutAnswer)
	is.True(ok)
	return answer
}

// TestRolloutOrdersOverLinks gives orders on fleet links, at the leader and at other replicas.
func TestRolloutOrdersOverLinks(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		l := x.awaitLeader()
		start := protocol.RolloutOrder{Action: protocol.OrderStart, Pool: "p", Target: "v2", Duration: time.Hour}
		is.Equal(x.sendOrder(l, start).Outcome, protocol.OrderRefused) // no such pool
		x.putDocument(1)
		is.Equal(x.sendOrder(l, protocol.RolloutOrder{Action: protocol.OrderStatus, Pool: "p"}).Outcome, protocol.OrderRefused)
		is.Equal(x.sendOrder(l, protocol.RolloutOrder{Action: 9, Pool: "p"}).Outcome, protocol.OrderRefused)
		answer := x.sendOrder(l, start)
		is.Equal(answer, protocol.RolloutAnswer{Outcome: protocol.OrderDone, Newest: &protocol.RolloutStatus{
			Target: "v2", State: uint8(document.RolloutUnderWay), Attempt: 1, Duration: time.Hour,
		}})
		other := start
		other.Target = "v3"
		is.Equal(x.sendOrder(l, other).Outcome, protocol.OrderConflict)
		is.Equal(x.sendOrder(l, protocol.RolloutOrder{Action: protocol.OrderAbort, Pool: "p", Attempt: 2}).Outcome, protocol.OrderRefused)
		is.Equal(x.sendOrder(l, protocol.RolloutOrder{Action: protocol.OrderAbort, Pool: "p", Attempt: 1}).Newest.State, uint8(document.RolloutRolledBack))
		status := x.sendOrder(l, protocol.RolloutOrder{Action: protocol.OrderStatus, Pool: "p"})
		is.Equal(status.Outcome, protocol.OrderDone)
		is.Equal(status.Newest.Barred, []string{"v2"})
		for _, n := range x.nodes {
			if n != l {
				answer := x.sendOrder(n, start)
				is.Equal(answer.Outcome, protocol.OrderNotLeader)
				is.Equal(answer.Leader, l.ip+":7400")
			}
		}
		for _, ip := range x.ips {
			if ip != l.ip {
				x.net.Cut(ip)
			}
		}
		is.Equal(x.sendOrder(l, other).Outcome, protocol.OrderUnknown) // still leads, but waits for the others
		time.Sleep(3 * time.Second)
		is.Equal(x.sendOrder(l, start).Outcome, protocol.OrderUnknown)
	})
}

// TestRolloutOrderOfClosedLinkIsDropped checks that an order changes nothing if its sender has closed
// the link before it is processed.
func TestRolloutOrderOfClosedLinkIsDropped(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(x.t)
		l := x.awaitLeader()
		x.putDocument(1)
		id := link.Identity{Name: "operator", Key: fleetKey, Dial: x.net.DialerFrom(l.ip).DialContext}
		gone, err := link.Dial(x.t.Context(), l.ip+":7400", id, nil)
		is.NoErr(err)
		is.NoErr(gone.Send(x.t.Context(), protocol.RolloutOrder{Action: protocol.OrderStart, Pool: "p", Target: "v2", Duration: time.Hour}))
		gone.Close()
		time.Sleep(5 * time.Second)
		is.Equal(x.newestRollout(), document.Rollout{})
	})
}

// TestGatewayWithoutRolloutsIsReported checks that gateways that open a session without support for
// rollouts are reported.
func TestGatewayWithoutRolloutsIsReported(t *testing.T) {
	withFleet(t, 1, func(x *fleet) {
		is := is.New(x.t)
		l := x.awaitLeader()
		for i, knows := range []bool{true, false} {
			name := []string{"10.0.2.1:7400", "10.0.2.2:7400"}[i]
			id := link.Identity{Name: name, Key: fleetKey, Dial: x.net.DialerFrom(name[:8]).DialContext}
			session, err := link.Dial(x.t.Context(), l.ip+":7400", id, nil)
			is.NoErr(err)
			defer session.Close()
			is.NoErr(session.Send(x.t.Context(), protocol.Watch{Gateway: name, SupportsRollouts: knows}))
		}
		time.Sleep(100 * time.Millisecond)
		names, err := l.d.GatewaysWithoutRollouts(x.t.Context())
		is.NoErr(err)
		is.Equal(names, []string{"10.0.2.2:7400"})
	})
}
