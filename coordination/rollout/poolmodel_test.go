// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"container/heap"
	"math"
	"math/rand/v2"
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
	totals  map[string]*RouteTallies
	pending dueList
	running int // on old servers
	decided []Decision
	reports []map[string]*RouteTallies
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
	ending   Action
	at       time.Duration // of the end
	switched time.Duration
	overrun  float64       // most requests to the target above the bound at any moment
	afterBad time.Duration // from its 50th bad answer to the last request to it; 0 without
	sent, of uint64
	why      string
}

func (m *poolModel) run(seed uint64) result {
	m.rng = rand.New(rand.NewPCG(seed, 1))
	m.totals, m.pending, m.running, m.decided, m.reports = map[string]*RouteTallies{}, nil, 0, nil, nil
	s := &Schedule{Duration: m.duration, Bounds: Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}}
	r := result{overrun: math.Inf(-1)}
	bad, fiftieth := 0, time.Duration(0)
	var last time.Duration
	inForce := Decision{}
	for tick := 0; time.Duration(tick)*poolTick < m.duration; tick++ {
		now := time.Duration(tick) * poolTick
		if tick%stepTicks == 0 && r.ending == Continue {
			m.reports = append(m.reports, m.snapshot())
			seen := m.reports[max(len(m.reports)-1-reportSteps, 0)]
			d := s.Step(Observation{Elapsed: now, Totals: seen, ReportsComplete: true, TargetListed: true, OldIdle: s.Switched() && m.running == 0})
			m.decided = append(m.decided, d)
			if s.Switched() && r.switched == 0 {
				r.switched = now
			}
			if d.Action != Continue {
				r.ending, r.at, r.why = d.Action, now, d.Reason
			}
		}
		if tick%stepTicks == sendTicks && len(m.decided) > 0 {
			if last := m.decided[len(m.decided)-1]; last.Action != Continue || last.Differs(inForce) {
				inForce = last
			}
		}
		bad += m.end(now)
		if bad >= 50 && fiftieth == 0 {
			fiftieth = now
		}
		share := func(route int) float64 {
			if inForce.Action == Complete {
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

func (m *poolModel) snapshot() map[string]*RouteTallies {
	out := map[string]*RouteTallies{}
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
		p = &RouteTallies{}
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
