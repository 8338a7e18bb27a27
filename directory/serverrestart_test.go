// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests backend servers that restart under the same name.

// life is one run of the process of server "b1", from its start to its end.
type life struct {
	x       *fleet
	born    uint64
	address string
	seq     uint64 // of the last announcement
}

func (l *life) announcement(leaving bool) registry.Announcement {
	l.seq++
	return registry.Announcement{
		Registration: protocol.Registration{ID: protocol.LifeID("b1", l.born), Pool: "p", Address: l.address, Slots: 4},
		Leaving:      leaving, Seq: l.seq,
	}
}

// announce sends the leader an announcement of the life.
func (l *life) announce(leaving bool) {
	l.x.t.Helper()
	ctx, cancel := context.WithTimeout(l.x.t.Context(), time.Second)
	defer cancel()
	if err := l.x.awaitLeader().d.Announce(ctx, l.announcement(leaving)); err != nil {
		l.x.t.Fatal(err)
	}
}

// announceFor announces the life for a number of intervals.
func (l *life) announceFor(times int) {
	for range times {
		l.announce(false)
		time.Sleep(announceInterval)
	}
}

// TestServerRestart: a server that restarts under its name must get requests within two seconds,
// also at another address, however the previous run of its process (its life) ended, and despite late
// messages of that life. After that time nothing may be sent to the address of the previous life.
func TestServerRestart(t *testing.T) {
	for _, tt := range []struct {
		name        string
		address     string // address of the later life; "" means the same
		noStartTime bool   // the earlier life has no start time
		ends        func(l *life)
		meanwhile   func(x *fleet, earlier *life)
	}{
		{name: "after a crash", address: "10.0.4.1:80"},
		{name: "after a crash, at the same address"},
		{name: "after a life without a start time", address: "10.0.4.1:80", noStartTime: true},
		{name: "after it drained", address: "10.0.4.1:80", ends: func(l *life) { l.announce(true) }},
		{name: "after a withdrawal by name", ends: func(l *life) {
			if err := l.x.awaitLeader().d.Withdraw(l.x.t.Context(), "b1"); err != nil {
				l.x.t.Fatal(err)
			}
		}},
		{name: "late announcements", address: "10.0.4.1:80", meanwhile: func(_ *fleet, earlier *life) { earlier.announce(false) }},
		{name: "a late departure", address: "10.0.4.1:80", meanwhile: func(_ *fleet, earlier *life) { earlier.announce(true) }},
		{name: "the leader is killed", address: "10.0.4.1:80", meanwhile: func(x *fleet, earlier *life) {
			x.awaitLeader().kill()
			x.awaitLeader()
			earlier.announce(false)
		}},
		{name: "power of the directory is lost", address: "10.0.4.1:80", meanwhile: func(x *fleet, _ *life) {
			x.losePower()
			for _, ip := range x.ips {
				x.startReplica(ip, false)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, 3, func(x *fleet) {
				is := is.New(t)
				x.putDocument(1)
				earlier := &life{x: x, born: 1_790_000_000_000, address: "10.0.3.1:80", seq: 1000}
				if tt.noStartTime {
					earlier.born = 0
				}
				a := &arrivals{at: map[string][]time.Time{}}
				x.startLoadedGateway("10.0.2.1", a, 20*time.Millisecond)
				x.startLoadedGateway("10.0.2.2", a, 20*time.Millisecond)
				earlier.announceFor(3)
				all, _ := a.countSince(earlier.address, time.Time{})
				is.True(all > 50)
				if tt.ends != nil {
					tt.ends(earlier)
				}
				later := &life{x: x, born: 1_790_000_009_000, address: tt.address}
				if tt.address == "" {
					later.address = earlier.address
				}
				began := time.Now()
				later.announce(false)
				if tt.meanwhile != nil {
					time.Sleep(300 * time.Millisecond)
					tt.meanwhile(x, earlier)
				}
				later.announceFor(4)
				served, _ := a.countSince(later.address, began)
				late, _ := a.countSince(later.address, began.Add(2*time.Second))
				before, _ := a.countSince(earlier.address, began.Add(2*time.Second))
				t.Logf("%d requests reached the later life, %d of them after 2 s; %d reached the earlier address", served, late, before)
				is.True(late > 50)
				is.True(later.address == earlier.address || before == 0)
			})
		})
	}
}

// TestServerRestartReachesGatewaysBehindRelay: the restart must also reach gateways that a relay serves.
func TestServerRestartReachesGatewaysBehindRelay(t *testing.T) {
	withTwoRegions(t, 1<<20, func(x *fleet) {
		is := is.New(x.t)
		x.electLeaderIn(north)
		x.putDocument(1)
		x.place("10.0.2.1", south)
		a := &arrivals{at: map[string][]time.Time{}}
		x.startLoadedGateway("10.0.2.1", a, 20*time.Millisecond)
		earlier := &life{x: x, born: 1_790_000_000_000, address: "10.0.3.1:80", seq: 1000}
		earlier.announceFor(3)
		later := &life{x: x, born: 1_790_000_009_000, address: "10.0.4.1:80"}
		began := time.Now()
		later.announce(false)
		time.Sleep(time.Second)
		earlier.announce(true) // its late departure
		later.announceFor(3)
		served, _ := a.countSince(later.address, began.Add(2*time.Second))
		before, _ := a.countSince(earlier.address, began.Add(2*time.Second))
		is.True(served > 50)
		is.Equal(before, 0)
	})
}

// TestGatewayWithoutSupportForLives: a gateway of an earlier version knows servers by name
// alone, without the start time that tells lives apart. It must list the address of the server's
// current life under that name, and nothing once the server has departed.
func TestGatewayWithoutSupportForLives(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		x.putDocument(1)
		l := &life{x: x, born: 1_790_000_000_000, address: "10.0.3.1:80"}
		id := link.Identity{Name: "10.0.2.9:7400", Key: fleetKey, Dial: x.net.DialerFrom("10.0.2.9").DialContext}
		session, err := link.Dial(x.t.Context(), x.awaitLeader().ip+":7400", id, nil)
		is.NoErr(err)
		defer session.Close()
		is.NoErr(session.Send(x.t.Context(), protocol.Watch{Gateway: id.Name}))
		listed := map[string]string{}
		receiveChanges := func() {
			for until := time.Now().Add(300 * time.Millisecond); time.Now().Before(until); {
				m, err := session.ReceiveWithIdleTimeout(x.t.Context(), 300*time.Millisecond)
				is.NoErr(err)
				servers, ok := m.(protocol.Servers)
				if !ok {
					continue
				}
				for _, id := range servers.Removed {
					delete(listed, id)
				}
				for _, b := range servers.Set {
					listed[b.ID] = b.Address
				}
			}
		}
		l.announce(false)
		receiveChanges()
		is.Equal(listed, map[string]string{"b1": "10.0.3.1:80"})
		next := &life{x: x, born: 1_790_000_009_000, address: "10.0.4.1:80"}
		next.announce(false)
		receiveChanges()
		l.announce(true) // late
		receiveChanges()
		is.Equal(listed, map[string]string{"b1": "10.0.4.1:80"})
		next.announce(true)
		receiveChanges()
		is.Equal(len(listed), 0)
	})
}

// TestServerRestartInHallOutOfService: a server that restarts in a hall that is out of service must get no
// requests, and one that restarts in another hall must.
func TestServerRestartInHallOutOfService(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		x.putDocument(1)
		a := &arrivals{at: map[string][]time.Time{}}
		x.startLoadedGateway("10.0.2.1", a, 20*time.Millisecond)
		announce := func(name string, born, seq uint64, at, hall string) {
			is.NoErr(x.awaitLeader().d.Announce(x.t.Context(), registry.Announcement{Registration: protocol.Registration{
				ID: protocol.LifeID(name, born), Pool: "p", Address: at, Hall: hall, Slots: 4,
			}, Seq: seq}))
		}
		announce("b1", 1, 1000, "10.0.3.1:80", "hall-a")
		announce("b2", 1, 1000, "10.0.3.2:80", "hall-b")
		time.Sleep(time.Second)
		x.orderHall("hall-a", true)
		time.Sleep(200 * time.Millisecond)
		out := time.Now()
		announce("b1", 2, 1, "10.0.4.1:80", "hall-a")
		time.Sleep(2 * time.Second)
		again, _ := a.countSince("10.0.4.1:80", out)
		is.Equal(again, 0)
		announce("b1", 3, 1, "10.0.4.1:80", "hall-b")
		time.Sleep(2 * time.Second)
		again, _ = a.countSince("10.0.4.1:80", out)
		is.True(again > 20)
	})
}

// TestServerRestartsWithVersionOfTheTarget: a server of the old version that restarts with the target version
// of a rollout must count as a server of the target from then on.
func TestServerRestartsWithVersionOfTheTarget(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		x.putDocument(1)
		a := &arrivals{at: map[string][]time.Time{}}
		var life atomic.Uint64 // of b1, which runs the version with the same number
		life.Store(1)
		seqs := map[string]uint64{}
		stop := x.announceRepeatedly(func() {
			d := x.leaderDirectory()
			if d == nil {
				return
			}
			born := life.Load()
			for _, s := range []protocol.Registration{
				{ID: protocol.LifeID("b1", born), Address: "10.0.3.1:80", Version: fmt.Sprint("v", born)},
				{ID: "b2", Address: "10.0.3.2:80", Version: "v1"},
			} {
				s.Pool, s.Slots = "p", 40
				seqs[s.ID]++
				// A replica that no longer leads refuses it.
				_ = d.Announce(x.t.Context(), registry.Announcement{Registration: s, Seq: seqs[s.ID]})
			}
		})
		defer stop()
		for i := range 3 {
			x.startLoadedGateway(rolloutGatewayIP(i), a, rolloutPeriod)
		}
		time.Sleep(3 * time.Second)
		is.NoErr(x.orderRollout(rollout.Order{Pool: "p", Target: "v2", Duration: rolloutTime}))
		time.Sleep(500 * time.Millisecond)
		life.Store(2)
		for began := time.Now(); x.newestRollout().State == document.RolloutUnderWay && time.Since(began) < rolloutTime; {
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(x.newestRollout().State, document.RolloutComplete)
		end := time.Now().Add(propagationTime)
		time.Sleep(2 * time.Second)
		target, _ := a.countSince("10.0.3.1:80", end)
		old, _ := a.countSince("10.0.3.2:80", end)
		is.True(target > 100)
		is.Equal(old, 0)
	})
}
