// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// This file defines poolModel, a pool with two versions under a load, moved by the real
// Schedule, with the delays of reports and of what gateways are sent.

const (
	poolTick  = 10 * time.Millisecond
	stepTicks = 10 // between two steps of the leader, as between two reports
	// reportSteps and sendTicks are the delays of a report and of a share.
	reportSteps, sendTicks = 1, 5
)

// quality is how a version answers one request.
type quality struct {
	fails float64 // part
	slow  float64 // times slower; 0 is 1
}

// behaviour says how a version answers, by the time since the order, the route and the load of
// a server against the load of an old one with all requests.
type behaviour func(at time.Duration, route int, load float64) quality

func good(time.Duration, int, float64) quality { return quality{} }

// poolModel is one run.
type poolModel struct {
	duration    time.Duration
	servers     int
	perSecond   float64
	stream      time.Duration // that an answer lasts after it has begun
	routes      []float64     // parts of the requests
	target, old behaviour

	rng     *rand.Rand
	totals  map[string]*Pair
	pending dueList
	running int // on old servers
	decided []Decision
	reports []map[string]*Pair
}

// ending is what a request does at some time.
type ending struct {
	at      time.Duration
	tally   *Tally
	old     bool
	pace    int // -1: no first part
	ends    bool
	failed  bool
	wasSlow bool
}

type dueList []ending

func (e dueList) Len() int           { return len(e) }
func (e dueList) Less(i, j int) bool { return e[i].at < e[j].at }
func (e dueList) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *dueList) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *dueList) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result is what a run came to.
type result struct {
	ending   Ending
	at       time.Duration // of the end
	switched time.Duration
	overrun  float64       // most requests to the target above the bound at any moment
	afterBad time.Duration // from its 50th bad answer to the last request to it; 0 without
	sent, of uint64
	why      string
}

func (m *poolModel) run(seed uint64) result {
	m.rng = rand.New(rand.NewPCG(seed, 1))
	m.totals, m.pending, m.running, m.decided, m.reports = map[string]*Pair{}, nil, 0, nil, nil
	s := &Schedule{Duration: m.duration, Bounds: Bounds{Share: 0.1, Slack: 50, Stop: 5 * time.Second}}
	r := result{overrun: math.Inf(-1)}
	bad, fiftieth := 0, time.Duration(0)
	var last time.Duration
	inForce := Decision{}
	for tick := 0; time.Duration(tick)*poolTick < m.duration; tick++ {
		now := time.Duration(tick) * poolTick
		if tick%stepTicks == 0 && r.ending == GoOn {
			m.reports = append(m.reports, m.snapshot())
			seen := m.reports[max(len(m.reports)-1-reportSteps, 0)]
			d := s.Step(Observed{Elapsed: now, Totals: seen, Informed: true, TargetListed: true, OldIdle: s.Switched() && m.running == 0})
			m.decided = append(m.decided, d)
			if s.Switched() && r.switched == 0 {
				r.switched = now
			}
			if d.Ending != GoOn {
				r.ending, r.at, r.why = d.Ending, now, d.Why
			}
		}
		if tick%stepTicks == sendTicks && len(m.decided) > 0 {
			if last := m.decided[len(m.decided)-1]; last.Ending != GoOn || last.Differs(inForce) {
				inForce = last
			}
		}
		bad += m.end(now)
		if bad >= 50 && fiftieth == 0 {
			fiftieth = now
		}
		share := func(route int) float64 {
			if inForce.Ending == Complete {
				return 1
			}
			if part, ok := inForce.Routes[m.name(route)]; ok {
				return part
			}
			return inForce.Share
		}
		for n := m.poisson(m.perSecond * poolTick.Seconds()); n > 0; n-- {
			route := m.route()
			toTarget := m.rng.Float64() < share(route)
			m.send(now, route, toTarget, inForce.Share)
			r.of++
			if toTarget {
				r.sent++
				last = now
			}
			r.overrun = max(r.overrun, float64(r.sent)-0.1*float64(r.of)-50)
		}
	}
	if fiftieth > 0 {
		r.afterBad = last - fiftieth
	}
	return r
}

func (m *poolModel) name(route int) string { return routeNames[route] }

// routeNames are for as many routes as threeRoutes has.
var routeNames = [...]string{"r0", "r1", "r2"}

func (m *poolModel) route() int {
	x := m.rng.Float64()
	for i, part := range m.routes {
		if x < part {
			return i
		}
		x -= part
	}
	return 0
}

// poisson draws how many requests come.
func (m *poolModel) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := m.rng.Float64(); x > p; x *= m.rng.Float64() {
		n++
	}
	return n
}

func (m *poolModel) snapshot() map[string]*Pair {
	out := map[string]*Pair{}
	for name, p := range m.totals {
		c := *p
		out[name] = &c
	}
	return out
}

// send begins a request.
func (m *poolModel) send(now time.Duration, route int, toTarget bool, share float64) {
	p := m.totals[m.name(route)]
	if p == nil {
		p = &Pair{}
		m.totals[m.name(route)] = p
	}
	tally, does, load := &p.Old, m.old, 1.0
	if toTarget {
		tally, does = &p.Target, m.target
		load = share * float64(m.servers) / float64(max(int(math.Round(share*float64(m.servers))), 1))
	}
	q := does(now, route, load)
	tally.Sent++
	if !toTarget {
		m.running++
	}
	// The work's time is lognormal, 1.6 times around 60 ms.
	ratio := math.Exp(0.47 * m.rng.NormFloat64())
	if q.slow > 0 {
		ratio *= q.slow
	}
	first := now + time.Duration(60*ratio*float64(time.Millisecond))
	failed := m.rng.Float64() < q.fails
	heap.Push(&m.pending, ending{at: first, tally: tally, old: !toTarget, pace: PaceBucket(ratio), ends: failed || m.stream == 0, failed: failed, wasSlow: q.slow > 2 && toTarget})
	if !failed && m.stream > 0 {
		lasts := time.Duration(m.rng.Float64() * float64(m.stream))
		heap.Push(&m.pending, ending{at: first + lasts, tally: tally, old: !toTarget, pace: -1, ends: true})
	}
}

// end carries out what is due and returns how many answers of the target were bad.
func (m *poolModel) end(now time.Duration) (bad int) {
	for len(m.pending) > 0 && m.pending[0].at <= now {
		e := heap.Pop(&m.pending).(ending)
		if e.pace >= 0 {
			e.tally.Paces[e.pace]++
		}
		if e.ends && e.old {
			m.running--
		}
		if !e.old && (e.failed || e.wasSlow) {
			bad++
		}
		switch {
		case e.ends && e.failed:
			e.tally.Failed++
		case e.ends:
			e.tally.Answered++
		}
	}
	return bad
}

var threeRoutes = []float64{0.75, 0.15, 0.1}

func always(q quality) behaviour { return func(time.Duration, int, float64) quality { return q } }

// when answers so once something holds, else well.
func when(holds func(at time.Duration, route int, load float64) bool, q quality) behaviour {
	return func(at time.Duration, route int, load float64) quality {
		if holds(at, route, load) {
			return q
		}
		return quality{}
	}
}

func afterFour(at time.Duration, _ int, _ float64) bool      { return at > 4*time.Second }
func underLoad(_ time.Duration, _ int, load float64) bool    { return load > 0.6 }
func onLastRoute(_ time.Duration, route int, _ float64) bool { return route == len(threeRoutes)-1 }

// inTrouble is from 3 s to 6 s after the order.
func inTrouble(at time.Duration, _ int, _ float64) bool {
	return at > 3*time.Second && at < 6*time.Second
}

var (
	fails5, fails20, fails60 = quality{fails: 0.05}, quality{fails: 0.2}, quality{fails: 0.6}
	slow3, slow4, slow10     = quality{slow: 3}, quality{slow: 4}, quality{slow: 10}
)

// promise is what holds of a bad version in some runs.
type promise uint8

const (
	// held: it is rolled back, within the bound at every moment, and Bounds.Stop after its 50th
	// bad answer it gets nothing more; in every run.
	held promise = iota
	// mostly: that holds in nine of ten runs.
	mostly
	// bounded: it may be called good, but is within the bound all the same: few requests come.
	bounded
	// unheld: it cannot be told in time by what the bound lets through; only what shows is
	// stopped in time.
	unheld
)

// promises are by version and, in this order, for 5 s, 12 s and 60 s at 10, 150 and 900
// requests a second.
var promises = []struct {
	name string
	does behaviour
	want [9]promise
}{
	{"fails 5", always(fails5), [9]promise{bounded, unheld, unheld, unheld, unheld, held, unheld, held, held}},
	{"fails 20", always(fails20), [9]promise{bounded, mostly, held, unheld, held, held, mostly, held, held}},
	{"fails 60", always(fails60), [9]promise{bounded, held, held, held, held, held, held, held, held}},
	{"slow 3", always(slow3), [9]promise{bounded, mostly, held, mostly, held, held, held, held, held}},
	{"slow 10", always(slow10), [9]promise{bounded, held, held, held, held, held, held, held, held}},
	{"fails 20 after 4 s", when(afterFour, fails20), [9]promise{bounded, unheld, unheld, unheld, held, held, mostly, held, held}},
	{"fails 60 after 4 s", when(afterFour, fails60), [9]promise{bounded, unheld, mostly, held, held, held, held, held, held}},
	{"fails 20 under load", when(underLoad, fails20), [9]promise{bounded, unheld, mostly, unheld, mostly, held, unheld, held, held}},
	{"fails 60 under load", when(underLoad, fails60), [9]promise{bounded, mostly, held, held, held, held, held, held, held}},
	{"fails 20 on one route", when(onLastRoute, fails20), [9]promise{bounded, unheld, unheld, unheld, unheld, held, unheld, held, held}},
	{"fails 60 on one route", when(onLastRoute, fails60), [9]promise{bounded, held, held, unheld, held, held, mostly, held, held}},
	{"slow 4 on one route", when(onLastRoute, slow4), [9]promise{bounded, unheld, mostly, unheld, held, held, unheld, held, held}},
}

// load is one row of a pool's load.
type load struct {
	duration time.Duration
	rate     float64
	seeds    int
}

// seeds returns how many of n runs are made: under the race detector a tenth, which costs ten
// times as much and has nothing to find in one goroutine.
func seeds(n int) int {
	if raced {
		return max(n/10, 1)
	}
	return n
}

var loads = []load{
	{5 * time.Second, 10, 20}, {5 * time.Second, 150, 20}, {5 * time.Second, 900, 10},
	{12 * time.Second, 10, 20}, {12 * time.Second, 150, 20}, {12 * time.Second, 900, 4},
	{60 * time.Second, 10, 20}, {60 * time.Second, 150, 4}, {60 * time.Second, 900, 2},
}

// pools are servers, and how long streams last at most; 0 is a plain pool.
var pools = []struct {
	servers int
	stream  time.Duration
}{{3, 0}, {60, 0}, {3, 12 * time.Second}, {60, 12 * time.Second}}

// TestBadVersions: what each is promised, by duration, rate, pool and seed.
func TestBadVersions(t *testing.T) {
	for _, bad := range promises {
		for i, l := range loads {
			t.Run(fmt.Sprintf("%s/%v/%v", bad.name, l.duration, l.rate), func(t *testing.T) {
				t.Parallel()
				badRuns(t, l, bad.does, bad.want[i])
			})
		}
	}
}

func badRuns(t *testing.T, l load, does behaviour, want promise) {
	runs, kept, over := 0, 0, 0.0
	for _, p := range pools {
		for seed := range seeds(l.seeds) {
			m := &poolModel{duration: l.duration, servers: p.servers, perSecond: l.rate, stream: p.stream, routes: threeRoutes, target: does, old: good}
			r := m.run(uint64(seed))
			runs++
			over = max(over, r.overrun)
			if r.ending == RollBack && r.overrun <= 0 {
				kept++
			}
			if r.ending == GoOn || r.afterBad > 5*time.Second {
				t.Errorf("%d servers, streams of %v, seed %d: %+v", p.servers, p.stream, seed, r)
			}
			if want == bounded && r.overrun > 0 {
				t.Errorf("%d servers, streams of %v, seed %d: %.0f beyond the bound", p.servers, p.stream, seed, r.overrun)
			}
		}
	}
	t.Logf("kept in %d of %d runs, at most %.0f beyond the bound", kept, runs, over)
	if (want == held && kept < runs) || (want == mostly && 10*kept < 9*runs) {
		t.Errorf("kept in %d of %d runs", kept, runs)
	}
}

// TestGoodVersions: all are complete, early enough for the log, plain ones of 12 s before 10 s.
func TestGoodVersions(t *testing.T) {
	for _, l := range loads {
		t.Run(fmt.Sprintf("%v/%v", l.duration, l.rate), func(t *testing.T) {
			t.Parallel()
			for _, p := range pools {
				for seed := range seeds(l.seeds) {
					m := &poolModel{duration: l.duration, servers: p.servers, perSecond: l.rate, stream: p.stream, routes: threeRoutes, target: good, old: good}
					r := m.run(uint64(seed))
					if r.ending != Complete || r.at > l.duration*93/100 {
						t.Errorf("%d servers, streams of %v, seed %d: %+v", p.servers, p.stream, seed, r)
					}
					if l.duration == 12*time.Second && l.rate >= 150 && p.stream == 0 && r.at > 10*time.Second {
						t.Errorf("%d servers, seed %d: complete after %v", p.servers, seed, r.at)
					}
				}
			}
		})
	}
}

// TestFalseAlarms: a version as good as the old one is rolled back at most once in 1,000
// rollouts; 3 times if both fail 5 % of their answers, and 20 times if trouble on both begins in
// the trial.
func TestFalseAlarms(t *testing.T) {
	for _, both := range []struct {
		name string
		does behaviour
		most float64 // of 1,000
	}{
		{"no failures", good, 1}, {"1 %", always(quality{fails: 0.01}), 1}, {"5 %", always(fails5), 3},
		{"one route", when(onLastRoute, quality{fails: 0.1}), 1},
		{"failing together", when(inTrouble, fails20), 20}, {"slow together", when(inTrouble, slow4), 20},
	} {
		t.Run(both.name, func(t *testing.T) {
			t.Parallel()
			runs := 0
			back := map[string]int{}
			for _, l := range []load{{5 * time.Second, 150, 500}, {12 * time.Second, 10, 500}, {12 * time.Second, 150, 1000}} {
				for seed := range seeds(l.seeds) {
					m := &poolModel{duration: l.duration, servers: 60, perSecond: l.rate, routes: threeRoutes, target: both.does, old: both.does}
					runs++
					if r := m.run(uint64(seed + 1000)); r.ending == RollBack {
						back[fmt.Sprint(l.duration, " ", l.rate, " ", r.why)]++
					}
				}
			}
			sum := 0
			for _, n := range back {
				sum += n
			}
			t.Logf("%d of %d rolled back: %v", sum, runs, back)
			if float64(sum) > both.most*float64(runs)/1000 {
				t.Errorf("%d of %d good versions rolled back", sum, runs)
			}
		})
	}
}
