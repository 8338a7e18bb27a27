// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
)

// This file measures the cost of the fleet's message exchange as the fleet grows, for the
// slopes in docs/CAPACITY.md.

// large models a part of the fleet projected for two years from now: 1,600 routers with 94
// requests per second each, in front of 4 pools. Requests take a sixth of the projected time
// (2 s), so that the fixture fits on one machine. Slots therefore move between routers six
// times as often. A tenth of the accounts is backlogged.
func large(routers, accounts int) fleetConfig {
	s := fleetConfig{
		name: "large", routers: routers, latency: 1500 * time.Microsecond, duration: 12 * time.Second,
	}
	s.pace = slots.DefaultPace
	s.pace.Budget, s.pace.Burst = 4500, 9000 // out of 10 KB per second in both directions
	serverCount := routers * 10 / 16 / 4 * 10
	for i := range 4 {
		s.pools = append(s.pools, poolConfig{name: fmt.Sprintf("m%d", i), serverCount: serverCount, slots: 30, rate: 110, meanCost: 220, overcommit: overcommit})
	}
	for i := range accounts {
		a := accountConfig{name: fmt.Sprintf("a%d", i), share: 1, offered: 0.5, homeFraction: 0.5, small: true}
		if i%10 == 0 {
			a.share, a.offered, a.small = 9, 1.6, false
		}
		s.accounts = append(s.accounts, a)
	}
	return s
}

func BenchmarkScale(b *testing.B) {
	for _, c := range []struct{ routers, accounts int }{{100, 5800}, {400, 5800}, {400, 1450}, {1600, 5800}} {
		b.Run(fmt.Sprintf("routers=%d/accounts=%d", c.routers, c.accounts), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(large(c.routers, c.accounts), fleetFair, 1)
				r := f.run().results(freshViewAge)
				b.ReportMetric(r.bytes, "ctrl-B/s/box")
				b.ReportMetric(r.messages, "ctrl-msg/s/box")
				b.ReportMetric(100*r.cpuShare, "allocator-%core")
				b.ReportMetric(float64(r.ended)/f.now.Seconds(), "ended/s")
				b.ReportMetric(r.utilization, "util-%")
				b.ReportMetric(r.gapRatio, "gap-x")
				b.ReportMetric(r.p99, "p99-wait-s")
				b.ReportMetric(float64(allocatorHeap(f))/float64(c.routers), "allocator-B/router")
			}
		})
	}
}

// allocatorHeap returns the memory that is freed when the allocator is dropped.
func allocatorHeap(f *fleet) int64 {
	f.events = nil
	with := heapInUse()
	f.alloc = nil
	return with - heapInUse()
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
