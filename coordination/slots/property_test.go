// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

// This file checks the promises of the package comment over random fleets,
// loads and faults: the gap stays inside the bound, no slot is granted twice,
// no slot stays free for long while work waits, and every account is served.

// TestPromisesOverRandomSchedules runs random fleets.
func TestPromisesOverRandomSchedules(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		s, faulty, partitioned := randomShape(t)
		f := newFleet(s, fleetFair, rapid.Uint64().Draw(t, "seed"))
		f.every(50*time.Millisecond, func() { f.checkGrants(t, partitioned) })
		f.at(s.duration, f.drain)
		f.shape.duration = time.Hour // drain sets the end
		m := f.run()
		staleness := fresh
		if faulty {
			staleness = faulted
		}
		r := m.results(staleness)
		if r.gapX > 1 {
			t.Fatalf("gap is %.2f times the bound", r.gapX)
		}
		if !faulty && r.maxIdle > idleAllowed.Seconds() {
			t.Fatalf("a slot was free for %.2f s while work waited", r.maxIdle)
		}
		m.checkDrained(t)
	})
}

// idleAllowed is how long a slot may be free while work waits: an interval of
// full messages as far as it can be stretched, and the way there and back.
const idleAllowed = slots.MaxStretch*250*time.Millisecond + 50*time.Millisecond

func randomShape(t *rapid.T) (s shape, faulty, partitioned bool) {
	s = linen()
	s.duration = 12 * time.Second
	s.routers = rapid.IntRange(1, 6).Draw(t, "routers")
	s.latency = time.Duration(rapid.IntRange(0, 5).Draw(t, "latency")) * time.Millisecond
	s.pools = s.pools[:1]
	s.pools[0].workers = rapid.IntRange(1, 4).Draw(t, "workers")
	s.pools[0].slots = rapid.IntRange(1, 8).Draw(t, "slots")
	s.longTail = rapid.Bool().Draw(t, "long tail")
	n := rapid.IntRange(2, 5).Draw(t, "accounts")
	s.accounts = nil
	for i := range n {
		a := accountShape{
			name:    string(rune('a' + i)),
			share:   float64(rapid.IntRange(1, 5).Draw(t, "share")),
			offered: float64(rapid.IntRange(1, 40).Draw(t, "offered")) / 10,
			home:    float64(rapid.IntRange(0, 10).Draw(t, "home")) / 10,
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
		faults, cuts := randomFault(t, at, router)
		s.faults = append(s.faults, faults...)
		partitioned = partitioned || cuts
	}
	return s, faulty, partitioned
}

func randomFault(t *rapid.T, at time.Duration, router int) (faults []fault, cuts bool) {
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		return []fault{{at, func(f *fleet) {
			if f.alloc != nil {
				loseAllocator(f)
			}
		}}}, false
	case 1:
		return []fault{{at, func(f *fleet) {
			if f.alloc != nil && !f.routers[router].cut {
				f.cutOff(router)
			}
		}}, {at + 4*time.Second, func(f *fleet) { f.routers[router].cut = false }}}, true
	case 2:
		return []fault{{at, func(f *fleet) {
			if f.alloc != nil {
				f.restart(router)
			}
		}}}, false
	}
	return []fault{{at, func(f *fleet) { // a link breaks and comes back
		if f.routers[router].linked {
			f.routers[router].unlink()
		}
	}}}, false
}

// TestLongWorkIsDrained is a schedule that was drawn: 16 requests wait when the
// arrivals end, and their work on the one slot is 77.2 s, where 16 of the mean
// are 32 s. The slot is never free until the last of them starts.
func TestLongWorkIsDrained(t *testing.T) {
	s := linen()
	s.duration = 12 * time.Second
	s.routers, s.latency, s.longTail = 2, 0, true
	s.pools = s.pools[:1]
	s.pools[0].workers, s.pools[0].slots = 1, 1
	s.accounts = []accountShape{
		{name: "a", share: 4, offered: 4},
		{name: "b", share: 5, offered: 3.1, home: 1},
		{name: "c", share: 2, offered: 0.1, on: 300 * time.Millisecond, off: 700 * time.Millisecond},
	}
	s.faults = []fault{{time.Second, loseAllocator}}
	f := newFleet(s, fleetFair, 0)
	f.at(s.duration, func() {
		f.drain()
		f.m.maxIdle = 0 // it was free while there was no allocator
	})
	f.shape.duration = time.Hour // drain sets the end
	m := f.run()
	m.checkDrained(t)
	if m.maxIdle > 0 {
		t.Fatalf("the slot was free for %v while work waited", m.maxIdle)
	}
}

// checkGrants checks that routers together never hold more slots of a server
// than it has, counting those of routers whose lease runs. After a partition,
// requests that run on past a lease are reported by the router when it is back,
// and may then exceed the slots.
func (f *fleet) checkGrants(t *rapid.T, partitioned bool) {
	extra := f.shape.pools[0].extra()
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
			t.Fatalf("%d slots of %s are held, it has %d", n, name, s.slots+extra)
		}
	}
	for _, s := range f.servers {
		if s.running > s.slots {
			t.Fatalf("%s runs %d", s.name, s.running)
		}
		if in := s.running + len(s.queue); !partitioned && in > s.slots+extra {
			t.Fatalf("%s was sent %d at once, %d slots", s.name, in, s.slots+extra)
		}
	}
}

// drain ends the arrivals and sets the end of the run to when all the work that
// is there must have been granted: the time that it was drawn to take, on slots
// that are never free while work waits, and twice that of a fault. Its mean
// would not do: of a few requests with a long tail, all that is there may be
// sixty times as much.
func (f *fleet) drain() {
	f.closed = true
	ps := f.shape.pools[0]
	f.shape.duration = f.now + f.m.left(0)/time.Duration(ps.workers*ps.slots) + 2*faulted
}

// checkDrained checks that everything that waited was granted at last.
func (m *measures) checkDrained(t rapid.TB) {
	for a, n := range m.waiting[0] {
		if n > 0 {
			t.Fatalf("%d requests of account %d still wait at %v", n, a, m.f.now)
		}
	}
}
