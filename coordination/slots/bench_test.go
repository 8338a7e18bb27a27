// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
)

// This file defines the measured fleet configurations and the benchmark that runs each of
// them under the product's policy and both baselines.

// linen models Petrovi Linen: 9 boxes, 12 servers of a language model and 3 of a plain service,
// and ten accounts, three of which are large and send two thirds of their requests to one
// router.
func linen() fleetConfig {
	return fleetConfig{
		name: "linen", routers: 9, latency: 1500 * time.Microsecond, duration: 60 * time.Second,
		pools: []poolConfig{
			{name: "llm", serverCount: 12, slots: 16, rate: 40, meanCost: 80, overcommit: overcommit},
			{name: "app", serverCount: 3, slots: 8, rate: 1000, meanCost: 60},
		},
		accounts: tenAccounts(1.6),
	}
}

// overcommit is the product's default fraction of overcommitted slots.
const overcommit = 0.125

// viewer models the cadastral map viewer: 7 boxes, with 9 and 3 servers.
func viewer() fleetConfig {
	s := linen()
	s.name, s.routers = "viewer", 7
	s.pools[0].serverCount = 9
	return s
}

// tenAccounts returns three large accounts that request more than their share and seven small
// ones that request less.
func tenAccounts(large float64) []accountConfig {
	var out []accountConfig
	for i := range 10 {
		a := accountConfig{name: fmt.Sprintf("a%d", i), share: 1, offered: 0.5, homeFraction: 0.1, small: true}
		if i < 3 {
			a.share, a.offered, a.homeFraction, a.small = 3, large, 2.0/3, false
		}
		out = append(out, a)
	}
	return out
}

// variant modifies a configuration.
type variant struct {
	name      string
	staleness time.Duration // maximum age of views
	change    func(*fleetConfig)
}

const (
	freshViewAge = slots.MaxViewAge
	faultViewAge = 4 * time.Second // the lease and its margin
)

var variants = []variant{
	{"even", freshViewAge, func(*fleetConfig) {}},
	{"idle", freshViewAge, func(s *fleetConfig) {
		for i := range s.accounts {
			s.accounts[i].offered = 0.5
		}
	}},
	{"flood", freshViewAge, func(s *fleetConfig) { s.accounts[0].offered, s.accounts[0].homeFraction = 8, 0 }},
	{"onoff", freshViewAge, func(s *fleetConfig) {
		for i := 3; i < 6; i++ {
			s.accounts[i].on, s.accounts[i].off, s.accounts[i].offered = time.Second, 2*time.Second, 6
			s.accounts[i].small = false
		}
	}},
	{"longtail", freshViewAge, func(s *fleetConfig) { s.longTail = true; s.pools = s.pools[:1] }},
	{"allocator-lost", faultViewAge, func(s *fleetConfig) {
		s.faults = []fault{{20 * time.Second, loseAllocator}}
	}},
	{"partition", faultViewAge, func(s *fleetConfig) {
		s.faults = []fault{
			{15 * time.Second, func(f *fleet) { f.partition(0) }},
			{45 * time.Second, func(f *fleet) { f.routers[0].isPartitioned = false }},
		}
	}},
	{"restart-half", faultViewAge, func(s *fleetConfig) {
		s.faults = []fault{{20 * time.Second, func(f *fleet) {
			for i := 0; i < len(f.routers); i += 2 {
				f.restart(i)
			}
		}}}
	}},
}

// loseAllocator stops the allocator. Another one starts after 1.5 s, the time of an election.
func loseAllocator(f *fleet) {
	if f.policy != fleetFair {
		return
	}
	f.alloc = nil
	var expected []slots.Process
	for _, r := range f.routers {
		expected = append(expected, slots.Process{Router: r.name, Boot: r.boot})
	}
	for _, r := range f.routers {
		r.unlink()
	}
	f.after(1500*time.Millisecond, func() { f.newAllocator(expected) })
}

// partition partitions a router without closing its connection.
func (f *fleet) partition(i int) {
	r := f.routers[i]
	r.isPartitioned = true
	if f.policy != fleetFair {
		return
	}
	f.after(testLease.Length, func() { // both sides detect the partition when messages stop arriving
		r.unlink()
	})
}

// restart discards a router's state and cancels the requests that it was running.
func (f *fleet) restart(i int) {
	r := f.routers[i]
	for p := range f.config.pools {
		for a := range f.config.accounts {
			for _, req := range slices.Clone(f.m.running[p][a]) {
				if req.router == r && !req.ended {
					f.cancel(req)
				}
			}
		}
		for _, w := range r.pools[p].Drop() {
			f.m.dropped(w.Value.(*request))
		}
	}
	if f.alloc != nil {
		f.alloc.Disconnect(r.name, r.boot)
	}
	r.reset()
	if f.policy == fleetFair {
		f.after(500*time.Millisecond, r.connect)
	}
}

// cancel ends a running request at its server.
func (f *fleet) cancel(req *request) {
	req.ended = true
	f.m.cancelled(req)
	f.m.lost++
	if req.inBatch {
		req.server.freeSlot(f)
		return
	}
	queue := req.server.queue
	req.server.queue = slices.DeleteFunc(queue, func(q *request) bool { return q == req })
}

func BenchmarkFleet(b *testing.B) {
	for _, base := range []func() fleetConfig{linen, viewer} {
		for _, v := range variants {
			for p := range policy(numPolicies) {
				s := base()
				v.change(&s)
				b.Run(fmt.Sprintf("%s/%s/%s", s.name, v.name, p), func(b *testing.B) {
					for b.Loop() {
						report(b, newFleet(s, p, 1).run().results(v.staleness))
					}
				})
			}
		}
	}
}

func report(b *testing.B, r results) {
	b.ReportMetric(r.gapRatio, "gap-x")
	b.ReportMetric(r.gap, "gap-tokens")
	b.ReportMetric(r.utilization, "util-%")
	for p, u := range r.poolUtilization {
		b.ReportMetric(u, fmt.Sprintf("util%d-%%", p))
	}
	b.ReportMetric(r.bytes, "ctrl-B/s/box")
	b.ReportMetric(r.p99, "p99-wait-s")
	b.ReportMetric(r.maxIdle, "idle-s")
	b.ReportMetric(float64(r.ended), "ended")
	b.ReportMetric(float64(r.lost), "lost")
}
