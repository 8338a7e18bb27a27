// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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

// outcome is what a run came to.
type result struct {
	verdict    Ending
	at         time.Duration // of the verdict
	switched   time.Duration
	overrun    float64       // most requests to the target above the bound at any moment
	afterBad   time.Duration // from its 50th bad answer to the last request to it; 0 without
	sent, of   uint64
	cut        int // requests on old servers when complete was said
	why, worst string
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
		if tick%stepTicks == 0 && (r.verdict == GoOn) {
			m.reports = append(m.reports, m.snapshot())
			seen := m.reports[max(len(m.reports)-1-reportSteps, 0)]
			d := s.Step(Observed{Elapsed: now, Totals: seen, Informed: true, OldIdle: s.Switched() && m.running == 0})
			m.decided = append(m.decided, d)
			if s.Switched() && r.switched == 0 {
				r.switched = now
			}
			if d.Ending != GoOn {
				r.verdict, r.at, r.why, r.worst, r.cut = d.Ending, now, d.Why, fmt.Sprintf("%+v", d.Grounds), m.running
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

func (m *poolModel) name(route int) string { return fmt.Sprint("r", route) }

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

var (
	oneRoute    = []float64{1}
	threeRoutes = []float64{0.75, 0.15, 0.1}
)

func TestScan(t *testing.T) {
	versions := map[string]behaviour{
		"good":       good,
		"fails 5":    func(time.Duration, int, float64) quality { return quality{fails: 0.05} },
		"fails 20":   func(time.Duration, int, float64) quality { return quality{fails: 0.2} },
		"fails 60":   func(time.Duration, int, float64) quality { return quality{fails: 0.6} },
		"slow 3":     func(time.Duration, int, float64) quality { return quality{slow: 3} },
		"slow 10":    func(time.Duration, int, float64) quality { return quality{slow: 10} },
		"20 after 4": func(at time.Duration, _ int, _ float64) quality { return quality{fails: pick(at > 4*time.Second, 0.2)} },
		"60 after 4": func(at time.Duration, _ int, _ float64) quality { return quality{fails: pick(at > 4*time.Second, 0.6)} },
		"load 20":    func(_ time.Duration, _ int, l float64) quality { return quality{fails: pick(l > 0.6, 0.2)} },
		"load 60":    func(_ time.Duration, _ int, l float64) quality { return quality{fails: pick(l > 0.6, 0.6)} },
		"route 20":   func(_ time.Duration, r int, _ float64) quality { return quality{fails: pick(r == 2, 0.2)} },
		"route 60":   func(_ time.Duration, r int, _ float64) quality { return quality{fails: pick(r == 2, 0.6)} },
		"route slow": func(_ time.Duration, r int, _ float64) quality { return quality{slow: 1 + 3*pick(r == 2, 1)} },
	}
	var names []string
	for name := range versions {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, d := range []time.Duration{5, 12, 60} {
		for _, rate := range []float64{10, 150, 900} {
			for _, servers := range []int{3, 60} {
				for _, stream := range []time.Duration{0, 12 * time.Second} {
					for _, name := range names {
						n, back, over, most, late := 20, 0, 0, -1e9, time.Duration(0)
						var when, sw time.Duration
						why := map[string]int{}
						for seed := range n {
							m := &poolModel{duration: d * time.Second, servers: servers, perSecond: rate, stream: stream, routes: threeRoutes, target: versions[name], old: good}
							r := m.run(uint64(seed))
							if r.verdict == RollBack {
								back++
							}
							if r.overrun > 0 {
								over++
							}
							why[r.why]++
							most = max(most, r.overrun)
							late = max(late, r.afterBad)
							when += r.at / time.Duration(n)
							sw += r.switched / time.Duration(n)
						}
						t.Logf("d=%2d rate=%3.0f servers=%2d stream=%2.0f %-10s back %2d over %2d most %6.0f late %5.2f at %5.2f switch %5.2f %v", d, rate, servers, stream.Seconds(), name, back, over, most, late.Seconds(), when.Seconds(), sw.Seconds(), why)
					}
				}
			}
		}
	}
}

func pick(yes bool, x float64) float64 {
	if yes {
		return x
	}
	return 0
}

func always(q quality) behaviour { return func(time.Duration, int, float64) quality { return q } }

// troubled fails, or is slow, from 3 s to 6 s after the order.
func troubled(q quality) behaviour {
	return func(at time.Duration, _ int, _ float64) quality {
		if at < 3*time.Second || at > 6*time.Second {
			return quality{}
		}
		return q
	}
}

func TestFalse(t *testing.T) {
	for _, both := range []struct {
		name string
		does behaviour
	}{
		{"no failures", good}, {"1 %", always(quality{fails: 0.01})}, {"5 %", always(quality{fails: 0.05})},
		{"trouble 20 %", troubled(quality{fails: 0.2})}, {"trouble slow", troubled(quality{slow: 4})},
		{"one route", func(_ time.Duration, r int, _ float64) quality { return quality{fails: 0.1 * pick(r == 2, 1)} }},
	} {
		for _, l := range []struct {
			d    time.Duration
			rate float64
		}{{12, 10}, {12, 150}, {5, 150}, {60, 10}, {5, 900}} {
			back, n := map[string]int{}, 1000
			worst := 0.0
			for seed := range n {
				m := &poolModel{duration: l.d * time.Second, servers: 60, perSecond: l.rate, routes: threeRoutes, target: both.does, old: both.does}
				r := m.run(uint64(seed))
				if r.verdict == RollBack {
					back[r.why]++
				}
				for _, d := range m.decided {
					worst = max(worst, d.Grounds.Sum)
				}
			}
			t.Logf("%-14s %2d s %3.0f: %v worst %.1f", both.name, l.d, l.rate, back, worst)
		}
	}
}
