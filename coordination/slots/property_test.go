// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

// This file checks four properties over random fleets, loads and faults: the gap between
// accounts stays within the bound of the package comment, no slot is granted twice, no slot
// stays free for long while requests wait (without faults only), and every account is served.

// TestFairnessAndSlotUseOverRandomSchedules runs random fleets and checks all four properties.
func TestFairnessAndSlotUseOverRandomSchedules(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		s, faulty, partitioned := randomConfig(t)
		f := newFleet(s, fleetFair, rapid.Uint64().Draw(t, "seed"))
		f.every(50*time.Millisecond, func() { f.checkGrants(t, partitioned) })
		f.at(s.duration, f.drain)
		f.config.duration = time.Hour // drain sets the end
		m := f.run()
		staleness := freshViewAge
		if faulty {
			staleness = faultViewAge
		}
		r := m.results(staleness)
		if r.gapRatio > 1 {
			t.Fatalf("gap is %.2f times the bound", r.gapRatio)
		}
		if !faulty && r.maxIdle > maxIdleTime.Seconds() {
			t.Fatalf("a slot was free for %.2f s while requests waited", r.maxIdle)
		}
		m.checkDrained(t)
	})
}

// maxIdleTime is how long a slot may be free while requests wait: the longest interval of
// full messages plus the round trip.
const maxIdleTime = slots.MaxStretch*250*time.Millisecond + 50*time.Millisecond

func randomConfig(t *rapid.T) (s fleetConfig, faulty, partitioned bool) {
	s = linen()
	s.duration = 12 * time.Second
	s.routers = rapid.IntRange(1, 6).Draw(t, "routers")
	s.latency = time.Duration(rapid.IntRange(0, 5).Draw(t, "latency")) * time.Millisecond
	s.pools = s.pools[:1]
	s.pools[0].serverCount = rapid.IntRange(1, 4).Draw(t, "servers")
	s.pools[0].slots = rapid.IntRange(1, 8).Draw(t, "slots")
	s.longTail = rapid.Bool().Draw(t, "long tail")
	n := rapid.IntRange(2, 5).Draw(t, "accounts")
	s.accounts = nil
	for i := range n {
		a := accountConfig{
			name:         string(rune('a' + i)),
			share:        float64(rapid.IntRange(1, 5).Draw(t, "share")),
			offered:      float64(rapid.IntRange(1, 40).Draw(t, "offered")) / 10,
			homeFraction: float64(rapid.IntRange(0, 10).Draw(t, "home")) / 10,
		}
		if rapid.IntRange(0, 3).Draw(t, "on and off") == 0 {
			a.on, a.off = 300*time.Millisecond, 700*time.Millisecond
		}
		s.accounts = append(s.accounts, a)
	}
	for range rapid.IntRange(0, 2).Draw(t, "faults") {
		faulty = true
		at := time.Duration(rapid.IntRange(1, 8).Draw(t, "at")) * time.Second
		router := rapid.IntRange(0, s.routers-1).Draw(t, "router")
		faults, isPartition := randomFault(t, at, router)
		s.faults = append(s.faults, faults...)
		partitioned = partitioned || isPartition
	}
	return s, faulty, partitioned
}

// randomFault returns the loss of the allocator, a partition or restart of the router, or a
// broken link, and whether it is a partition.
func randomFault(t *rapid.T, at time.Duration, router int) (faults []fault, isPartition bool) {
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		return []fault{{at, func(f *fleet) {
			if f.alloc != nil {
				loseAllocator(f)
			}
		}}}, false
	case 1:
		return []fault{{at, func(f *fleet) {
			if f.alloc != nil && !f.routers[router].isPartitioned {
				f.partition(router)
			}
		}}, {at + 4*time.Second, func(f *fleet) { f.routers[router].isPartitioned = false }}}, true
	case 2:
		return []fault{{at, func(f *fleet) {
			if f.alloc != nil {
				f.restart(router)
			}
		}}}, false
	}
	return []fault{{at, func(f *fleet) { // a link breaks and is restored
		if f.routers[router].linked {
			f.routers[router].unlink()
		}
	}}}, false
}

// TestLongRequestsAreDrained runs a schedule in which 16 requests wait when the arrivals end
// and take 77.2 s on the one slot, although 16 requests of mean cost take 32 s. The time
// allowed for draining must follow the actual costs. The slot must not be free until the last
// request starts.
func TestLongRequestsAreDrained(t *testing.T) {
	s := linen()
	s.duration = 12 * time.Second
	s.routers, s.latency, s.longTail = 2, 0, true
	s.pools = s.pools[:1]
	s.pools[0].serverCount, s.pools[0].slots = 1, 1
	s.accounts = []accountConfig{
		{name: "a", share: 4, offered: 4},
		{name: "b", share: 5, offered: 3.1, homeFraction: 1},
		{name: "c", share: 2, offered: 0.1, on: 300 * time.Millisecond, off: 700 * time.Millisecond},
	}
	s.faults = []fault{{time.Second, loseAllocator}}
	f := newFleet(s, fleetFair, 0)
	f.at(s.duration, func() {
		f.drain()
		f.m.maxIdle = 0 // it was free while there was no allocator
	})
	f.config.duration = time.Hour // drain sets the end
	m := f.run()
	m.checkDrained(t)
	if m.maxIdle > 0 {
		t.Fatalf("the slot was free for %v while requests waited", m.maxIdle)
	}
}

// checkGrants checks that routers with a valid lease together never hold more slots of a
// server than it has. After a partition, a router reports the requests that outlived its
// lease when it is back, and these may exceed the slots.
func (f *fleet) checkGrants(t *rapid.T, partitioned bool) {
	extra := f.config.pools[0].overcommitted()
	used := map[string]int{}
	for _, r := range f.routers {
		if f.now >= r.lease {
			continue
		}
		for name, n := range r.pools[0].UsableSlots() {
			used[name] += n
		}
	}
	for name, n := range used {
		if s := f.servers[name]; n > s.slots+extra && !partitioned {
			t.Fatalf("routers hold %d slots of %s, which has %d", n, name, s.slots+extra)
		}
	}
	for _, s := range f.servers {
		if s.running > s.slots {
			t.Fatalf("%s runs %d requests in %d slots", s.name, s.running, s.slots)
		}
		if total := s.running + len(s.queue); !partitioned && total > s.slots+extra {
			t.Fatalf("%s has %d requests, more than its %d slots", s.name, total, s.slots+extra)
		}
	}
}

// drain ends the arrivals and sets the end of the run to the time by which all remaining work
// must have been granted: the time that it needs on slots that are never free while requests
// wait, plus twice that of a fault. An estimate from the mean cost would be too short: a few
// requests with a long tail may take sixty times as long.
func (f *fleet) drain() {
	f.arrivalsEnded = true
	ps := f.config.pools[0]
	f.config.duration = f.now + f.m.remainingWork(0)/time.Duration(ps.serverCount*ps.slots) + 2*faultViewAge
}

// checkDrained checks that all waiting requests were granted.
func (m *measures) checkDrained(t rapid.TB) {
	for a, n := range m.waiting[0] {
		if n > 0 {
			t.Fatalf("%d requests of account %d still wait at %v", n, a, m.f.now)
		}
	}
}
