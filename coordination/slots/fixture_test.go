// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines fleet, a test fixture: the real decisions of routers
// (coordination/pool) and of the allocator, joined by links in memory that
// take time and count bytes, in front of servers that only keep time. Time is
// virtual: a heap of events.

// policy is how slots find work.
type policy int

const (
	fleetFair  policy = iota // the product
	fifo                     // baseline: one queue for the fleet, first come first served
	perRouter                // baseline: fair queueing on each router, no exchange
	numPolicy  = 3
	wsOverhead = 6 // bytes of a WebSocket frame's header, the mask included in half of them
)

func (p policy) String() string { return [...]string{"fleet", "fifo", "per-router"}[p] }

// shape is a fleet and its load.
type shape struct {
	name     string
	routers  int
	pools    []poolShape
	latency  time.Duration // one way between boxes
	accounts []accountShape
	duration time.Duration
	faults   []fault
	longTail bool
	pace     slots.Pace
}

// poolShape is one pool: workers with slots that each do rate cost a second.
type poolShape struct {
	name    string
	workers int
	slots   int
	rate    float64
	mean    float64 // cost of a request
	over    float64 // slots granted beyond, as a part of a server's
}

func (p poolShape) extra() int { return int(math.Ceil(p.over * float64(p.slots))) }

// accountShape is one account's load: offered is in parts of its fair share
// of each pool, home the part of its work that comes to one router, and on/off
// the times of its activity (0 is always on).
type accountShape struct {
	name    string
	share   float64
	offered float64
	home    float64
	on, off time.Duration
	small   bool
}

type fault struct {
	at time.Duration
	do func(*fleet)
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// fleet is a running fixture.
type fleet struct {
	shape    shape
	policy   policy
	rng      *rand.Rand
	now      time.Duration
	events   events
	seq      int
	alloc    *slots.Allocator // nil while there is none
	epoch    uint64
	routers  []*testRouter
	byName   map[string]*testRouter
	servers  map[string]*testServer
	byPool   map[string][]*testServer
	queue    []*request // of the baseline fifo, by pool in order
	m        *measures
	wakeAt   time.Duration
	loop     bool // an allocator turn is scheduled
	closed   bool // no more arrivals
	turns    int
	lastTurn time.Duration
	cpu      time.Duration
}

type testServer struct {
	name    string
	pool    int
	slots   int
	running int
	queue   []*request // its own, of slots granted beyond what it runs
}

// request is one request from its arrival to its end.
type request struct {
	account int
	pool    int
	cost    float64
	came    time.Duration
	work    *pool.Work
	began   time.Duration
	router  *testRouter
	boot    uint64
	server  *testServer
	serving bool // in the server's batch, not in its queue
	ended   bool
}

type testRouter struct {
	f        *fleet
	name     string
	boot     uint64
	pools    []*pool.Pool
	known    map[int]bool  // accounts that it has seen
	lease    time.Duration // end
	linked   bool
	link     int // generation of the link
	reports  uint64
	viewSeq  uint64
	pacer    slots.Pacer
	due      time.Duration // of a scheduled report, 0 is none
	bytes    int
	messages int
	cut      bool // cut off from the allocator
}

var testLease = slots.Lease{Length: 3 * time.Second, Margin: 400 * time.Millisecond}

func newFleet(s shape, p policy, seed uint64) *fleet {
	if s.pace == (slots.Pace{}) {
		s.pace = slots.DefaultPace
	}
	f := &fleet{
		shape: s, policy: p, rng: rand.New(rand.NewPCG(seed, 3)), epoch: 1,
		byName: map[string]*testRouter{}, servers: map[string]*testServer{}, byPool: map[string][]*testServer{},
	}
	for i, ps := range s.pools {
		for w := range ps.workers {
			srv := &testServer{name: fmt.Sprintf("%c%d", 'a'+i, w), pool: i, slots: ps.slots}
			f.servers[srv.name] = srv
			f.byPool[ps.name] = append(f.byPool[ps.name], srv)
		}
	}
	f.m = newMeasures(f)
	for i := range s.routers {
		r := &testRouter{f: f, name: fmt.Sprintf("r%04d", i)}
		f.routers = append(f.routers, r)
		f.byName[r.name] = r
		r.boots()
	}
	if p == fleetFair {
		f.newAllocator(nil)
		for _, r := range f.routers {
			r.connect()
		}
	}
	for i := range s.accounts {
		f.arrivals(i)
	}
	for _, ft := range s.faults {
		f.at(ft.at, func() { ft.do(f) })
	}
	f.every(10*time.Millisecond, f.m.sample)
	f.every(100*time.Millisecond, f.tick)
	return f
}

func (f *fleet) at(t time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: t, seq: f.seq, do: do})
}

func (f *fleet) after(d time.Duration, do func()) { f.at(f.now+d, do) }

func (f *fleet) every(d time.Duration, do func()) {
	f.after(d, func() { do(); f.every(d, do) })
}

// run runs the fixture to its end.
func (f *fleet) run() *measures {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at > f.shape.duration {
			break
		}
		f.now = e.at
		e.do()
	}
	return f.m
}

// arrivals schedules an account's requests in every pool.
func (f *fleet) arrivals(account int) {
	total := 0.0
	for _, a := range f.shape.accounts {
		total += a.share
	}
	a := f.shape.accounts[account]
	for p, ps := range f.shape.pools {
		capacity := float64(ps.workers*ps.slots) * ps.rate
		perSecond := a.offered * capacity * a.share / total / ps.mean
		var next func()
		next = func() {
			gap := time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
			f.after(gap, func() {
				if f.closed {
					return
				}
				if a.on == 0 || f.now%(a.on+a.off) < a.on {
					f.arrive(account, p)
				}
				next()
			})
		}
		next()
	}
}

// arrive brings one request to a router that the balancer believes in.
func (f *fleet) arrive(account, p int) {
	r := f.routers[account%len(f.routers)]
	if f.rng.Float64() >= f.shape.accounts[account].home || !r.ready() {
		for range 20 {
			r = f.routers[f.rng.IntN(len(f.routers))]
			if r.ready() {
				break
			}
		}
	}
	req := &request{account: account, pool: p, cost: f.drawCost(f.shape.pools[p].mean), came: f.now, router: r, boot: r.boot}
	f.m.arrived(req)
	r.take(req)
}

// drawCost is log-normal about the mean, or, with a long tail, spread evenly
// over the powers of ten from 1 to 10,000 (mean about 1,085).
func (f *fleet) drawCost(mean float64) float64 {
	if f.shape.longTail {
		return math.Pow(10, 4*f.rng.Float64()) * mean / 1085
	}
	const sigma = 0.5
	return mean * math.Exp(sigma*f.rng.NormFloat64()-sigma*sigma/2)
}

// begin runs a request on a server until its cost is spent.
func (f *fleet) begin(req *request, srv *testServer) {
	req.server = srv
	f.m.started(req)
	if srv.running >= srv.slots {
		srv.queue = append(srv.queue, req)
		return
	}
	f.serve(req)
}

// serve takes a request into its server's batch.
func (f *fleet) serve(req *request) {
	srv := req.server
	req.began, req.serving = f.now, true
	srv.running++
	rate := f.shape.pools[req.pool].rate
	f.after(time.Duration(req.cost/rate*float64(time.Second)), func() {
		if req.ended {
			return
		}
		req.ended = true
		f.m.finished(req)
		srv.leave(f)
		req.router.finished(req, srv)
	})
	req.router.charge(req)
}

// charge charges streamed cost every 250 ms while the request runs.
func (r *testRouter) charge(req *request) {
	r.f.after(250*time.Millisecond, func() {
		if req.ended || r.f.policy == fifo {
			return
		}
		r.pools[req.pool].Progress(req.work, (r.f.now-req.began).Seconds()*r.f.shape.pools[req.pool].rate)
		r.charge(req)
	})
}

// leave frees a place in the batch for the next in the server's queue.
func (s *testServer) leave(f *fleet) {
	s.running--
	for len(s.queue) > 0 && s.running < s.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.ended {
			f.serve(next)
		}
	}
}

func (f *fleet) tick() {
	for _, r := range f.routers {
		r.tick()
	}
	if f.alloc != nil {
		f.alloc.Tick(f.now)
		f.turn()
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// The router's side.

// boots makes a router start with no memory.
func (r *testRouter) boots() {
	r.boot = r.f.rng.Uint64() | 1
	r.pools = nil
	r.known = map[int]bool{}
	r.linked, r.lease, r.reports, r.viewSeq, r.due = false, 0, 0, 0, 0
	r.link++
	p := r.f.shape.pace
	r.pacer = slots.Pacer{Short: p.Short, Long: p.Long, Budget: p.Budget, Burst: p.Burst}
	for _, ps := range r.f.shape.pools {
		pl := pool.New(ps.name, pool.Settings{Linger: 500 * time.Millisecond, FirstEstimate: 256, PrefixBlocks: 16})
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

func (r *testRouter) take(req *request) {
	if r.f.policy == fifo {
		r.f.queue = append(r.f.queue, req)
		r.f.baselineDispatch(req.pool)
		return
	}
	if !r.ready() {
		r.f.m.dropped(req)
		return
	}
	a := r.f.shape.accounts[req.account]
	if !r.known[req.account] { // lazily: thousands of accounts times thousands of routers
		r.known[req.account] = true
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
	switch r.pools[p].News() {
	case pool.UrgentNews:
		r.reportBy(min(r.pacer.DueUrgent(), r.pacer.DueFull()))
	case pool.SomeNews:
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
	if !r.linked || (r.due != 0 && r.due <= at) {
		return
	}
	r.due = at
	link := r.link
	r.f.at(at, func() {
		if r.link == link && r.due == at {
			r.due = 0
			r.report()
		}
	})
}

func (r *testRouter) report() {
	report := protocol.Report{ViewSeq: r.viewSeq}
	for _, p := range r.pools {
		p.TakeReport(r.reports+1, &report)
	}
	if len(report.Pools)+len(report.Returned)+len(report.Suspects) == 0 {
		return
	}
	r.reports++
	n := r.send(report, func(a *slots.Allocator) { a.Report(r.f.now, r.name, report) })
	r.pacer.Sent(r.f.now, n, true)
}

// send carries a message to the allocator, if the link still stands when it
// arrives.
func (r *testRouter) send(m protocol.Message, do func(*slots.Allocator)) int {
	n := r.count(m)
	link := r.link
	r.f.after(r.f.shape.latency, func() {
		if r.link == link && !r.cut && r.f.alloc != nil {
			began := time.Now()
			do(r.f.alloc)
			r.f.cpu += time.Since(began)
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

// connect opens a session, as soon as there is an allocator to take it.
func (r *testRouter) connect() {
	f := r.f
	if r.linked || r.cut || f.alloc == nil {
		f.after(50*time.Millisecond+time.Duration(f.rng.Int64N(int64(50*time.Millisecond))), func() {
			if !r.linked {
				r.connect()
			}
		})
		return
	}
	r.link++
	link := r.link
	hello := protocol.Hello{Router: r.name, Boot: r.boot}
	for _, p := range r.pools {
		held, view := p.Hello(f.now < r.lease)
		hello.Held = append(hello.Held, held...)
		hello.Pools = append(hello.Pools, view)
	}
	sent := f.now
	r.count(hello)
	r.linked = true
	f.after(f.shape.latency, func() {
		if r.link != link {
			return // another link has taken its place
		}
		if f.alloc == nil {
			r.unlink()
			return
		}
		void := !f.alloc.TakingOver(f.now) && !f.alloc.Knows(r.name, r.boot)
		reports, known := f.alloc.Open(f.now, hello)
		w := protocol.Welcome{Epoch: f.alloc.Epoch(), Known: known, Reports: reports, Void: void}
		f.wakeAllocator()
		r.count(w)
		f.after(f.shape.latency, func() {
			if r.link == link {
				r.welcomed(w, sent)
			}
		})
	})
}

func (r *testRouter) welcomed(w protocol.Welcome, sent time.Duration) {
	r.lease = max(r.lease, sent+testLease.Length)
	r.reports, r.viewSeq, r.due = 0, 0, 0
	for i, p := range r.pools {
		p.Welcomed(w)
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
		r.f.after(r.f.shape.latency, func() {
			if r.link == link && !r.cut {
				r.lease = max(r.lease, sent+testLease.Length)
			}
		})
	})
	r.f.after(testLease.Length/3, func() { r.renew(link) })
}

// unlink is what a router does when its link breaks.
func (r *testRouter) unlink() {
	r.linked = false
	r.link++
	if r.f.alloc != nil {
		r.f.alloc.Unlink(r.name, r.boot)
	}
	for i, p := range r.pools {
		p.Unlinked()
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
		p.Linger(r.f.now)
		r.dispatch(i)
	}
}

// The allocator's side.

func (f *fleet) newAllocator(expected []slots.Process) {
	f.alloc = slots.NewAllocator(f.epoch, f.now, testLease, f.shape.pace, expected)
	f.epoch++
	var backends []slots.Backend
	for _, name := range sortedKeys(f.servers) {
		s := f.servers[name]
		backends = append(backends, slots.Backend{Name: name, Pool: f.shape.pools[s.pool].name, Slots: s.slots, Extra: f.shape.pools[s.pool].extra(), Serving: true})
	}
	var accounts []slots.Account
	for _, a := range f.shape.accounts {
		accounts = append(accounts, slots.Account{Name: a.name, Share: a.share})
	}
	f.alloc.Configure(backends, accounts)
}

// wakeAllocator lets the allocator take a turn once everything that arrives
// at this instant has arrived.
func (f *fleet) wakeAllocator() {
	if !f.loop {
		f.loop = true
		f.at(max(f.now, f.lastTurn+slots.TurnGap), func() { f.loop = false; f.turn() })
	}
}

func (f *fleet) turn() {
	if f.alloc == nil {
		return
	}
	f.turns++
	f.lastTurn = f.now
	began := time.Now()
	f.alloc.Allocate(f.now)
	views := f.alloc.Views(f.now)
	f.cpu += time.Since(began)
	for _, o := range views {
		r := f.byName[o.Router]
		f.alloc.Sent(f.now, o, r.count(o.View))
		link := r.link
		f.after(f.shape.latency, func() {
			if r.link == link && !r.cut {
				r.takeView(o.View)
			}
		})
	}
	if next, ok := f.alloc.NextView(); ok && (f.wakeAt <= f.now || next < f.wakeAt) {
		f.wakeAt = max(next, f.now+100*time.Microsecond)
		f.at(f.wakeAt, f.wakeAllocator)
	}
}

func (r *testRouter) takeView(v protocol.View) {
	r.viewSeq = v.Seq
	for i, p := range r.pools {
		for _, pv := range v.Pools {
			if pv.Pool == p.Name() {
				p.TakeView(r.f.now, pv, v.ReportSeq)
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

// baselineDispatch uses every free slot at once, with no message and no
// delay, which flatters the baselines.
func (f *fleet) baselineDispatch(p int) {
	for _, srv := range f.byPool[f.shape.pools[p].name] {
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
		r.pools[p].Grant(f.now, protocol.Held{Server: srv.name, Slots: 1})
		for _, s := range r.pools[p].Dispatch(f.now, true) {
			r.pools[p].ReturnIdle()
			return s.Work.Value.(*request)
		}
	}
	return nil
}
