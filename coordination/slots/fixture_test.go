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
)

// This file defines fleet, a test fixture. It connects the product's routers (coordination/pool)
// and allocator by in-memory links that have latency and count bytes, in front of model servers
// that only occupy a slot for a request's duration. Time is virtual and advances from event to
// event.

// policy determines how slots are assigned.
type policy int

const (
	fleetFair   policy = iota // the product
	fifo                      // baseline: one first-come, first-served queue for the fleet
	perRouter                 // baseline: fair queueing on each router without exchange
	numPolicies = 3
	wsOverhead  = 6 // bytes of a WebSocket frame header; half of the frames carry a mask
)

func (p policy) String() string { return [...]string{"fleet", "fifo", "per-router"}[p] }

// fleetConfig is the configuration of a fleet and its load.
type fleetConfig struct {
	name     string
	routers  int
	pools    []poolConfig
	latency  time.Duration // one-way latency between boxes
	accounts []accountConfig
	duration time.Duration
	faults   []fault
	longTail bool
	pace     slots.Pace
}

// poolConfig is the configuration of one pool: servers whose slots each serve rate units of
// cost per second.
type poolConfig struct {
	name        string
	serverCount int
	slots       int // per server
	rate        float64
	meanCost    float64 // mean cost of a request
	overcommit  float64 // overcommitted slots as a fraction of a server's slots
}

func (p poolConfig) overcommitted() int { return int(math.Ceil(p.overcommit * float64(p.slots))) }

// accountConfig is the share and the load of one account. offered is its demand as a multiple
// of its fair share of each pool, homeFraction the fraction of its requests that arrive at one
// router, and on and off the lengths of its active and idle periods; with on at 0 it is always
// active.
type accountConfig struct {
	name         string
	share        float64
	offered      float64
	homeFraction float64
	on, off      time.Duration
	small        bool // its waits are included in results.p99
}

type fault struct {
	at time.Duration
	do func(*fleet)
}

// event is an action at a virtual time.
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
	config              fleetConfig
	policy              policy
	rng                 *rand.Rand
	now                 time.Duration
	events              events
	seq                 int
	alloc               *slots.Allocator // nil while there is none
	epoch               uint64
	routers             []*testRouter
	byName              map[string]*testRouter
	servers             map[string]*testServer
	byPool              map[string][]*testServer
	queue               []*request // waiting requests of the baseline fifo, in arrival order
	m                   *measures
	wakeAt              time.Duration // time at which the allocator is next woken to send views
	allocationScheduled bool          // an allocation is scheduled
	arrivalsEnded       bool          // no more requests arrive
	allocations         int
	lastAllocation      time.Duration
	allocatorTime       time.Duration
}

type testServer struct {
	name    string
	pool    int
	slots   int
	running int
	queue   []*request // requests on overcommitted slots
}

// request is one request from its arrival to its end.
type request struct {
	account   int
	pool      int
	cost      float64
	arrivedAt time.Duration
	work      *pool.Work
	startedAt time.Duration
	router    *testRouter
	boot      uint64
	server    *testServer
	inBatch   bool // in the server's batch rather than its queue
	ended     bool
}

var testLease = slots.Lease{Length: 3 * time.Second, Margin: 400 * time.Millisecond}

func newFleet(s fleetConfig, p policy, seed uint64) *fleet {
	if s.pace == (slots.Pace{}) {
		s.pace = slots.DefaultPace
	}
	f := &fleet{
		config: s, policy: p, rng: rand.New(rand.NewPCG(seed, 3)), epoch: 1,
		byName: map[string]*testRouter{}, servers: map[string]*testServer{}, byPool: map[string][]*testServer{},
	}
	for i, ps := range s.pools {
		for w := range ps.serverCount {
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
		r.reset()
	}
	if p == fleetFair {
		f.newAllocator(nil)
		for _, r := range f.routers {
			r.connect()
		}
	}
	for i := range s.accounts {
		f.scheduleArrivals(i)
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

// run processes events until the configured duration has passed.
func (f *fleet) run() *measures {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at > f.config.duration {
			break
		}
		f.now = e.at
		e.do()
	}
	return f.m
}

// scheduleArrivals schedules an account's requests in every pool.
func (f *fleet) scheduleArrivals(account int) {
	total := 0.0
	for _, a := range f.config.accounts {
		total += a.share
	}
	a := f.config.accounts[account]
	for p, ps := range f.config.pools {
		capacity := float64(ps.serverCount*ps.slots) * ps.rate
		perSecond := a.offered * capacity * a.share / total / ps.meanCost
		var next func()
		next = func() {
			gap := time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
			f.after(gap, func() {
				if f.arrivalsEnded {
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

// arrive sends one request to a router that the load balancer considers ready.
func (f *fleet) arrive(account, p int) {
	r := f.routers[account%len(f.routers)]
	if f.rng.Float64() >= f.config.accounts[account].homeFraction || !r.ready() {
		for range 20 {
			r = f.routers[f.rng.IntN(len(f.routers))]
			if r.ready() {
				break
			}
		}
	}
	req := &request{account: account, pool: p, cost: f.drawCost(f.config.pools[p].meanCost), arrivedAt: f.now, router: r, boot: r.boot}
	f.m.arrived(req)
	r.submit(req)
}

// drawCost returns a random cost: log-normal around the mean or, with a long tail,
// log-uniform from 1 to 10,000 (mean about 1,085) and scaled to the mean.
func (f *fleet) drawCost(mean float64) float64 {
	if f.config.longTail {
		return math.Pow(10, 4*f.rng.Float64()) * mean / 1085
	}
	const sigma = 0.5
	return mean * math.Exp(sigma*f.rng.NormFloat64()-sigma*sigma/2)
}

// begin starts a request on a server, or queues it there if the batch is full.
func (f *fleet) begin(req *request, srv *testServer) {
	req.server = srv
	f.m.started(req)
	if srv.running >= srv.slots {
		srv.queue = append(srv.queue, req)
		return
	}
	f.serve(req)
}

// serve adds a request to its server's batch.
func (f *fleet) serve(req *request) {
	srv := req.server
	req.startedAt, req.inBatch = f.now, true
	srv.running++
	f.after(f.serviceTime(req), func() {
		if req.ended {
			return
		}
		req.ended = true
		f.m.finished(req)
		srv.freeSlot(f)
		req.router.finished(req, srv)
	})
	req.router.charge(req)
}

// serviceTime returns how long a request runs.
func (f *fleet) serviceTime(req *request) time.Duration {
	return time.Duration(req.cost / f.config.pools[req.pool].rate * float64(time.Second))
}

// charge reports the streamed cost every 250 ms while the request runs.
func (r *testRouter) charge(req *request) {
	r.f.after(250*time.Millisecond, func() {
		if req.ended || r.f.policy == fifo {
			return
		}
		r.pools[req.pool].Progress(req.work, (r.f.now-req.startedAt).Seconds()*r.f.config.pools[req.pool].rate)
		r.charge(req)
	})
}

// freeSlot removes a request from the batch and starts the next ones in the server's queue.
func (s *testServer) freeSlot(f *fleet) {
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
		f.alloc.ExpireSessions(f.now)
		f.runAllocator()
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
