// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the fixture's routers: coordination/pool behind links with latency that
// count bytes.

type testRouter struct {
	f             *fleet
	name          string
	boot          uint64
	pools         []*pool.Pool
	configured    map[int]bool  // accounts that were set in the pools
	lease         time.Duration // end of the lease
	linked        bool
	link          int // generation of the link
	reports       uint64
	viewSeq       uint64
	pacer         slots.Pacer
	reportDue     time.Duration // time of the scheduled report; 0 means none
	bytes         int
	messages      int
	isPartitioned bool // partitioned from the allocator
}

// reset starts the router without any state.
func (r *testRouter) reset() {
	r.boot = r.f.rng.Uint64() | 1
	r.pools = nil
	r.configured = map[int]bool{}
	r.linked, r.lease, r.reports, r.viewSeq, r.reportDue = false, 0, 0, 0, 0
	r.link++
	r.pacer = slots.Pacer{Pace: r.f.config.pace}
	for _, ps := range r.f.config.pools {
		pl := pool.New(ps.name, pool.Settings{Linger: 50 * time.Millisecond, FirstEstimate: 256, PrefixBlocks: 16})
		var servers []pool.Server
		for _, s := range r.f.byPool[ps.name] {
			servers = append(servers, pool.Server{Name: s.name, Slots: s.slots})
		}
		pl.Configure(nil, servers)
		r.pools = append(r.pools, pl)
	}
}

func (r *testRouter) ready() bool {
	return r.f.policy != fleetFair || r.f.now < r.lease
}

func (r *testRouter) submit(req *request) {
	if r.f.policy == fifo {
		r.f.queue = append(r.f.queue, req)
		r.f.baselineDispatch(req.pool)
		return
	}
	if !r.ready() {
		r.f.m.dropped(req)
		return
	}
	a := r.f.config.accounts[req.account]
	if !r.configured[req.account] { // lazily, because a fleet may have thousands of accounts and of routers
		r.configured[req.account] = true
		for _, p := range r.pools {
			p.SetAccount(pool.Account{Name: a.name, Share: a.share})
		}
	}
	req.work = &pool.Work{Account: a.name, Value: req}
	if err := r.pools[req.pool].Push(req.work); err != nil {
		panic(err)
	}
	r.dispatch(req.pool)
}

func (r *testRouter) dispatch(p int) {
	if r.f.policy == perRouter {
		r.f.baselineDispatch(p)
		return
	}
	for _, s := range r.pools[p].Dispatch(r.f.now, r.f.now < r.lease) {
		r.f.begin(s.Work.Value.(*request), r.f.servers[s.Server])
	}
	switch r.pools[p].Urgency() {
	case pool.Urgent:
		r.reportBy(min(r.pacer.DueUrgent(), r.pacer.DueFull()))
	case pool.Routine:
		r.reportBy(r.pacer.DueFull())
	}
}

func (r *testRouter) finished(req *request, srv *testServer) {
	if r.f.policy == fifo {
		r.f.baselineDispatch(req.pool)
		return
	}
	if req.boot == r.boot {
		r.pools[req.pool].Finish(r.f.now, req.work, srv.name, req.cost, pool.Served)
	}
	r.dispatch(req.pool)
}

func (r *testRouter) reportBy(at time.Duration) {
	at = max(at, r.f.now)
	if !r.linked || (r.reportDue != 0 && r.reportDue <= at) {
		return
	}
	r.reportDue = at
	link := r.link
	r.f.at(at, func() {
		if r.link == link && r.reportDue == at {
			r.reportDue = 0
			r.report()
		}
	})
}

func (r *testRouter) report() {
	report := protocol.Report{ViewSeq: r.viewSeq}
	for _, p := range r.pools {
		p.AppendReport(r.reports+1, &report)
	}
	if len(report.Pools)+len(report.Returned)+len(report.Suspects) == 0 {
		return
	}
	r.reports++
	n := r.send(report, func(a *slots.Allocator) { a.Report(r.f.now, r.name, report) })
	r.pacer.RecordSent(r.f.now, n, true)
}

// send delivers a message to the allocator if the link is still open when it arrives.
func (r *testRouter) send(m protocol.Message, do func(*slots.Allocator)) int {
	n := r.count(m)
	link := r.link
	r.f.after(r.f.config.latency, func() {
		if r.link == link && !r.isPartitioned && r.f.alloc != nil {
			began := time.Now()
			do(r.f.alloc)
			r.f.allocatorTime += time.Since(began)
			r.f.wakeAllocator()
		}
	})
	return n
}

func (r *testRouter) count(m protocol.Message) int {
	b, err := protocol.Encode(m)
	if err != nil {
		panic(err)
	}
	r.bytes += len(b) + wsOverhead
	r.messages++
	return len(b) + wsOverhead
}

// connect opens a session, retrying until there is an allocator.
func (r *testRouter) connect() {
	f := r.f
	if r.linked || r.isPartitioned || f.alloc == nil {
		f.after(50*time.Millisecond+time.Duration(f.rng.Int64N(int64(50*time.Millisecond))), func() {
			if !r.linked {
				r.connect()
			}
		})
		return
	}
	r.link++
	link := r.link
	hello := protocol.Hello{Router: r.name, BootID: r.boot}
	for _, p := range r.pools {
		held, view := p.Hello(f.now < r.lease)
		hello.Held = append(hello.Held, held...)
		hello.Pools = append(hello.Pools, view)
	}
	sent := f.now
	r.count(hello)
	r.linked = true
	f.after(f.config.latency, func() {
		if r.link != link {
			return // another link has replaced this one
		}
		if f.alloc == nil {
			r.unlink()
			return
		}
		void := !f.alloc.TakingOver(f.now) && !f.alloc.HasSession(r.name, r.boot)
		reports, known := f.alloc.OpenSession(f.now, hello)
		w := protocol.Welcome{Epoch: f.alloc.Epoch(), StateKept: known, Reports: reports, LeaseExpired: void}
		f.wakeAllocator()
		r.count(w)
		f.after(f.config.latency, func() {
			if r.link == link {
				r.handleWelcome(w, sent)
			}
		})
	})
}

func (r *testRouter) handleWelcome(w protocol.Welcome, sent time.Duration) {
	r.lease = max(r.lease, sent+testLease.Length)
	r.reports, r.viewSeq, r.reportDue = 0, 0, 0
	for i, p := range r.pools {
		p.BeginSession(w)
		r.dispatch(i)
	}
	r.report()
	r.renew(r.link)
}

func (r *testRouter) renew(link int) {
	if r.link != link {
		return
	}
	sent := r.f.now
	r.send(protocol.Renew{Seq: 1}, func(a *slots.Allocator) {
		a.Renew(r.f.now, r.name)
		r.count(protocol.Renewed{Seq: 1})
		r.f.after(r.f.config.latency, func() {
			if r.link == link && !r.isPartitioned {
				r.lease = max(r.lease, sent+testLease.Length)
			}
		})
	})
	r.f.after(testLease.Length/3, func() { r.renew(link) })
}

// unlink handles a broken link.
func (r *testRouter) unlink() {
	r.linked = false
	r.link++
	if r.f.alloc != nil {
		r.f.alloc.Disconnect(r.name, r.boot)
	}
	for i, p := range r.pools {
		p.Disconnected()
		r.dispatch(i)
	}
	r.connect()
}

func (r *testRouter) tick() {
	if r.f.policy != fleetFair {
		return
	}
	leased := r.f.now < r.lease
	for i, p := range r.pools {
		if !leased {
			p.LeaseLost()
			for _, w := range p.Drop() {
				r.f.m.dropped(w.Value.(*request))
			}
			continue
		}
		p.ReturnIdleAfterLinger(r.f.now)
		r.dispatch(i)
	}
}

func (r *testRouter) applyView(v protocol.View) {
	r.viewSeq = v.Seq
	for i, p := range r.pools {
		for _, pv := range v.Pools {
			if pv.Pool == r.f.config.pools[i].name {
				p.ApplyView(r.f.now, pv, v.ReportSeq)
			}
		}
		for _, h := range v.Granted {
			if r.f.servers[h.Server].pool == i {
				p.Grant(r.f.now, h)
			}
		}
		r.dispatch(i)
	}
}
