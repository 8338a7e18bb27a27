// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests single decisions: what a router does with a free slot, and how the
// allocator handles each kind of message, including late and invalid ones.

func TestDecide(t *testing.T) {
	const now = 10 * time.Second
	view := slots.FleetView{Short: true, Floor: 100, Slack: 10, Rate: 50, ReceivedAt: now}
	stale := view
	stale.ReceivedAt = now - slots.MaxViewAge - 1
	aged := view
	aged.ReceivedAt = now - 200*time.Millisecond // the floor has risen by 10 since
	notShort := view
	notShort.Short = false
	tests := []struct {
		name    string
		best    float64
		granted bool
		fleet   slots.FleetView
		want    slots.Action
	}{
		{"behind the floor", 90, false, view, slots.Use},
		{"within the slack", 110, false, view, slots.Use},
		{"ahead", 111, false, view, slots.Return},
		{"ahead, but the floor has risen", 119, false, aged, slots.Use},
		{"ahead of the risen floor", 121, false, aged, slots.Return},
		{"ahead, but the slot was just granted", 500, true, view, slots.Use},
		{"ahead, but the view is stale", 500, false, stale, slots.Use},
		{"ahead, but the pool is not short", 500, false, notShort, slots.Use},
		{"nothing waits here, the pool is short", math.Inf(1), false, view, slots.Return},
		{"nothing waits here, stale view", math.Inf(1), false, stale, slots.Keep},
		{"nothing waits here, the pool is not short", math.Inf(1), false, notShort, slots.Keep},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(slots.Decide(now, tt.best, tt.granted, tt.fleet), tt.want)
		})
	}
}

var lease = slots.Lease{Length: 3 * time.Second, Margin: 400 * time.Millisecond}

// newTestAllocator returns an allocator with one pool of one server with two slots, and two
// accounts of equal share.
func newTestAllocator(expected ...slots.Process) *slots.Allocator {
	a := slots.NewAllocator(5, 0, lease, slots.Pace{}, expected)
	configure(a, true)
	return a
}

func configure(a *slots.Allocator, serving bool) {
	a.Configure([]slots.Server{{Name: "s", Pool: "p", Slots: 2, Serving: serving}},
		[]slots.Account{{Name: "a", Share: 1}, {Name: "b", Share: 1}})
}

func waitingReport(account string, n int) protocol.Report {
	return protocol.Report{Pools: []protocol.PoolReport{{
		Pool: "p", Accounts: []protocol.AccountReport{{Account: account, Waiting: n}},
	}}}
}

// granted runs an allocation and returns the slots granted to each router.
func granted(a *slots.Allocator, now time.Duration) map[string]int {
	a.Allocate(now)
	out := map[string]int{}
	for _, o := range a.Views(now) {
		for _, h := range o.View.Granted {
			out[o.Router] += h.Slots
		}
		a.RecordSent(now, o, 1)
	}
	return out
}

func TestSlotsAreGrantedToEachBackloggedAccount(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1})
	a.OpenSession(0, protocol.Hello{Router: "r2", BootID: 2})
	a.Report(0, "r1", waitingReport("a", 5))
	a.Report(0, "r2", waitingReport("b", 1))
	is.Equal(granted(a, 0), map[string]int{"r1": 1, "r2": 1}) // one each, not two for the longer queue
	is.Equal(len(granted(a, 0)), 0)                           // and no more than exist
}

func TestLeavingServerIsNotGranted(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1})
	configure(a, false)
	a.Report(0, "r1", waitingReport("a", 5))
	is.Equal(len(granted(a, 0)), 0)
}

func TestTakeoverWaitsForRoutersThatMayHoldSlots(t *testing.T) {
	tests := []struct {
		name string
		do   func(a *slots.Allocator)
		at   time.Duration
		want int
	}{
		{"no router has reported", func(*slots.Allocator) {}, lease.Length, 0},
		{"the lease and its margin have passed", func(*slots.Allocator) {}, lease.Length + lease.Margin, 2},
		{"the router reported that it holds none", func(a *slots.Allocator) {
			a.OpenSession(0, protocol.Hello{Router: "old", BootID: 9})
		}, 0, 2},
		{"the router reported that it holds one", func(a *slots.Allocator) {
			a.OpenSession(0, protocol.Hello{Router: "old", BootID: 9, Held: []protocol.ServerSlots{{Server: "s", Slots: 1}}})
		}, 0, 1},
		{"another process of the same router reported", func(a *slots.Allocator) {
			a.OpenSession(0, protocol.Hello{Router: "old", BootID: 10})
		}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newTestAllocator(slots.Process{Router: "old", Boot: 9})
			a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1})
			a.Report(0, "r1", waitingReport("a", 5))
			tt.do(a)
			a.Renew(tt.at, "r1")
			is.Equal(granted(a, tt.at)["r1"], tt.want)
		})
	}
}

func TestSlotsOfARestartedRouterStayHeldUntilItsLeaseExpires(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1})
	a.Report(0, "r1", waitingReport("a", 2))
	is.Equal(granted(a, 0)["r1"], 2)
	a.OpenSession(time.Second, protocol.Hello{Router: "r1", BootID: 2}) // does not prove that boot 1 has stopped
	a.Report(time.Second, "r1", waitingReport("a", 2))
	is.Equal(len(granted(a, time.Second)), 0)
	is.Equal(len(a.ExpireSessions(lease.Length+lease.Margin)), 1)
	is.Equal(granted(a, lease.Length+lease.Margin)["r1"], 2)
}

func TestSlotsOfAReconnectedRouterAreNotCountedTwice(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1})
	a.Report(0, "r1", waitingReport("a", 2))
	is.Equal(granted(a, 0)["r1"], 2)
	a.Disconnect("r1", 1)
	reports, known := a.OpenSession(1, protocol.Hello{Router: "r1", BootID: 1, Held: []protocol.ServerSlots{{Server: "s", Slots: 1}}})
	is.True(known)
	is.Equal(reports, uint64(1))
	a.Report(1, "r1", waitingReport("a", 5))
	is.Equal(granted(a, 1)["r1"], 1) // the other grant was lost in transit and is free again
}

// TestInvalidMessagesAreBounded checks that impossible counts are ignored or bounded, and that
// unknown servers, pools, accounts and routers are ignored.
func TestInvalidMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1, Held: []protocol.ServerSlots{{Server: "s", Slots: 1 << 30}, {Server: "none", Slots: 3}}})
	a.OpenSession(0, protocol.Hello{Router: "r2", BootID: 2})
	a.Report(0, "r2", protocol.Report{Returned: []protocol.ServerSlots{{Server: "s", Slots: 100}, {Server: "s", Slots: -4}}})
	a.Report(0, "r2", protocol.Report{Pools: []protocol.PoolReport{{Pool: "p", Idle: -3, Accounts: []protocol.AccountReport{
		{Account: "a", Waiting: -1}, {Account: "b", Waiting: 1, Service: math.NaN()}, {Account: "?", Waiting: 9},
	}}, {Pool: "none"}}})
	a.Report(0, "unknown", waitingReport("a", 5))
	is.Equal(len(granted(a, 0)), 0)
	is.Equal(a.Occupancies()[0].Granted, 2) // not the 1<<30 that the router claims
	a.Report(0, "r2", waitingReport("b", 1))
	a.Report(0, "r1", protocol.Report{Returned: []protocol.ServerSlots{{Server: "s", Slots: 1 << 30}}})
	is.Equal(granted(a, 0), map[string]int{"r2": 1})
}

func TestIdleTimeEarnsNoCreditAndPaysNoDebt(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1})
	serve := func(account string, waiting int, service float64) {
		a.Report(0, "r1", protocol.Report{Pools: []protocol.PoolReport{{Pool: "p", Accounts: []protocol.AccountReport{
			{Account: account, Waiting: waiting, Service: service},
		}}}})
		a.Allocate(0)
	}
	virtualTime := func(account string) float64 {
		for _, s := range a.AccountStatuses() {
			if s.Account == account {
				return s.VirtualTime
			}
		}
		return -1
	}
	serve("a", 5, 0)
	serve("a", 5, 1000) // a is served alone while b is idle
	serve("b", 1, 0)
	is.Equal(virtualTime("b"), 1000.0) // b starts at a's virtual time, not 1,000 behind
	serve("b", 0, 700)
	serve("a", 5, 10)
	serve("b", 1, 0)
	is.Equal(virtualTime("b"), 1700.0) // going idle did not reduce b's lead
}

func TestFreeSlotIsRecalledForARouterWithoutSlots(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "holding", BootID: 1, Held: []protocol.ServerSlots{{Server: "s", Slots: 2}}})
	a.Report(0, "holding", protocol.Report{Pools: []protocol.PoolReport{{Pool: "p", Idle: 2}}})
	a.OpenSession(0, protocol.Hello{Router: "empty", BootID: 2})
	a.Report(0, "empty", waitingReport("a", 1))
	a.Allocate(0)
	is.Equal(viewsOf(a, 0)["holding"].Recall, 1) // one request waits, so one slot is recalled, not both
}

func TestFreeSlotIsRecalledForARouterWithSlots(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "idle", BootID: 1, Held: []protocol.ServerSlots{{Server: "s", Slots: 1}}})
	a.Report(0, "idle", protocol.Report{Pools: []protocol.PoolReport{{Pool: "p", Idle: 1}}})
	a.OpenSession(0, protocol.Hello{Router: "busy", BootID: 2, Held: []protocol.ServerSlots{{Server: "s", Slots: 1}}})
	a.Report(0, "busy", waitingReport("a", 3))
	a.Allocate(0)
	is.Equal(viewsOf(a, 0)["idle"].Recall, 1) // free at one router and needed at the other
}

func TestSlotInUseIsRecalledForARouterWithoutSlots(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "holding", BootID: 1, Held: []protocol.ServerSlots{{Server: "s", Slots: 2}}}) // both in use
	a.OpenSession(0, protocol.Hello{Router: "empty", BootID: 2})
	a.Report(0, "empty", waitingReport("a", 3))
	a.Allocate(0)
	is.Equal(viewsOf(a, 0)["holding"].Recall, 1) // one slot for a router that has none, not three
	a.Allocate(0)
	is.Equal(viewsOf(a, 0)["holding"].Recall, 0) // not recalled again while in flight
}

func TestShortageIsSent(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	a.OpenSession(0, protocol.Hello{Router: "r1", BootID: 1})
	a.Report(0, "r1", waitingReport("a", 2))
	a.Allocate(0)
	is.True(!viewsOf(a, 0)["r1"].Short) // two requests wait for two slots
	a.Report(0, "r1", protocol.Report{ViewSeq: 1, Pools: []protocol.PoolReport{{
		Pool: "p", Accounts: []protocol.AccountReport{{Account: "a", Waiting: 3, Running: 2}},
	}}})
	a.Allocate(0)
	is.True(viewsOf(a, 0)["r1"].Short) // three more requests wait and no slot is free
	a.Report(0, "r1", protocol.Report{ViewSeq: 2, Pools: []protocol.PoolReport{{
		Pool: "p", Accounts: []protocol.AccountReport{{Account: "a", Running: 2}},
	}}})
	a.Allocate(0)
	v, sent := viewsOf(a, 0)["r1"]
	is.True(sent) // the end of the shortage is sent too
	is.True(!v.Short)
}

// viewsOf returns the state of pool p in the due views, by router.
func viewsOf(a *slots.Allocator, now time.Duration) map[string]protocol.PoolView {
	out := map[string]protocol.PoolView{}
	for _, o := range a.Views(now) {
		for _, p := range o.View.Pools {
			out[o.Router] = p
		}
		a.RecordSent(now, o, 1)
	}
	return out
}

func TestHolderReturnsRecalledSlots(t *testing.T) {
	is := is.New(t)
	h := slots.NewHolder()
	h.Grant(0, "s", 3)
	h.Start("s")
	h.Start("s")
	h.Recall(2) // one slot is free now, the other later
	is.Equal(h.TakeReturned(), []protocol.ServerSlots{{Server: "s", Slots: 1}})
	h.Done(0, "s")
	is.Equal(h.TakeReturned(), []protocol.ServerSlots{{Server: "s", Slots: 1}})
	h.Done(0, "s")
	is.Equal(len(h.TakeReturned()), 0)
	is.Equal(h.Idle(), 1)
}

func TestHolderAfterLeaseExpires(t *testing.T) {
	is := is.New(t)
	h := slots.NewHolder()
	h.Grant(0, "s", 3)
	h.Start("s")
	h.Expire()
	is.Equal(h.Idle(), 0)
	is.Equal(h.Held(), []protocol.ServerSlots{{Server: "s", Slots: 1}}) // running requests are reported even without a lease
	h.Done(0, "s")
	is.Equal(h.Idle(), 1)
}

func TestPacer(t *testing.T) {
	is := is.New(t)
	p := slots.Pacer{Pace: slots.Pace{UrgentInterval: 2 * time.Millisecond, FullInterval: 250 * time.Millisecond, Budget: 1000, Burst: 500}}
	is.Equal(p.DueFull(), time.Duration(0))
	p.RecordSent(0, 400, true)
	is.Equal(p.DueUrgent(), 2*time.Millisecond) // within the burst
	is.Equal(p.DueFull(), 400*time.Millisecond) // when 400 bytes are earned
	p.RecordSent(0, 400, false)
	is.Equal(p.DueUrgent(), 300*time.Millisecond) // when the debt is down to the burst
	p.RecordSent(0, 9000, false)
	is.Equal(p.DueFull(), slots.MaxStretch*250*time.Millisecond) // no later than the maximum stretch
}
