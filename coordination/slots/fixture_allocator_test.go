// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file runs the allocator in the fixture, and the baselines that have no allocator.

func (f *fleet) newAllocator(expected []slots.Process) {
	f.alloc = slots.NewAllocator(f.epoch, f.now, testLease, f.config.pace, expected)
	f.epoch++
	var servers []slots.Server
	for _, name := range sortedKeys(f.servers) {
		s := f.servers[name]
		servers = append(servers, slots.Server{Name: name, Pool: f.config.pools[s.pool].name, Slots: s.slots, Overcommit: f.config.pools[s.pool].overcommitted(), Serving: true})
	}
	var accounts []slots.Account
	for _, a := range f.config.accounts {
		accounts = append(accounts, slots.Account{Name: a.name, Share: a.share})
	}
	f.alloc.Configure(servers, accounts)
}

// wakeAllocator schedules an allocation after everything that arrives at this instant.
func (f *fleet) wakeAllocator() {
	if !f.allocationScheduled {
		f.allocationScheduled = true
		f.at(max(f.now, f.lastAllocation+slots.MinAllocationInterval), func() { f.allocationScheduled = false; f.runAllocator() })
	}
}

func (f *fleet) runAllocator() {
	if f.alloc == nil {
		return
	}
	f.allocations++
	f.lastAllocation = f.now
	began := time.Now()
	f.alloc.Allocate(f.now)
	views := f.alloc.Views(f.now)
	f.allocatorTime += time.Since(began)
	for _, o := range views {
		r := f.byName[o.Router]
		f.alloc.RecordSent(f.now, o, r.count(o.View))
		link := r.link
		f.after(f.config.latency, func() {
			if r.link == link && !r.isPartitioned {
				r.applyView(o.View)
			}
		})
	}
	if next, ok := f.alloc.NextView(); ok && (f.wakeAt <= f.now || next < f.wakeAt) {
		f.wakeAt = max(next, f.now+100*time.Microsecond)
		f.at(f.wakeAt, f.wakeAllocator)
	}
}

// baselineDispatch uses every free slot at once, without messages or delay, which favors the
// baselines in comparisons.
func (f *fleet) baselineDispatch(p int) {
	for _, srv := range f.byPool[f.config.pools[p].name] {
		for srv.running < srv.slots {
			req := f.baselineNext(p, srv)
			if req == nil {
				return
			}
			f.begin(req, srv)
		}
	}
}

func (f *fleet) baselineNext(p int, srv *testServer) *request {
	if f.policy == fifo {
		for i, req := range f.queue {
			if req.pool == p {
				f.queue = slices.Delete(f.queue, i, i+1)
				return req
			}
		}
		return nil
	}
	first := f.rng.IntN(len(f.routers)) // routers compete with equal chances
	for i := range f.routers {
		r := f.routers[(first+i)%len(f.routers)]
		if r.pools[p].Waiting() == 0 {
			continue
		}
		r.pools[p].Grant(f.now, protocol.ServerSlots{Server: srv.name, Slots: 1})
		for _, s := range r.pools[p].Dispatch(f.now, true) {
			r.pools[p].ReturnIdle()
			return s.Work.Value.(*request)
		}
	}
	return nil
}
