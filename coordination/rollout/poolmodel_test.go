// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// This file defines poolModel, which simulates a pool under load whose requests a real Schedule
// moves between two versions, with the delays of reports and of messages to gateways.

const (
	poolTick  = 10 * time.Millisecond
	stepTicks = 10 // between two steps of the leader, and between two reports
	// reportSteps and sendTicks are the delays of a report, in steps, and of a new share, in ticks.
	reportSteps, sendTicks = 1, 5
)

// quality is how a version answers one request.
type quality struct {
	failureRate float64 // probability
	slowdown    float64 // factor; 0 means 1
}

// behaviour returns the quality of a version's answers, by the time since the order, the route and
// the load of a server relative to an old one that serves all requests.
type behaviour func(at time.Duration, route int, load float64) quality

func good(time.Duration, int, float64) quality { return quality{} }

// poolModel is one simulated rollout.
type poolModel struct {
	duration    time.Duration
	servers     int
	perSecond   float64
	maxStream   time.Duration // longest time that an answer lasts after it has begun
	routes      []float64     // parts of the requests
	target, old behaviour

	rng        *rand.Rand
	totals     map[string]*RouteTallies
	pending    eventQueue
	runningOld int // requests on old servers
	decisions  []Decision
	reports    []map[string]*RouteTallies
}

// event is the start or the end of an answer.
type event struct {
	at      time.Duration
	tally   *Tally
	onOld   bool
	pace    int // bucket of the answer's pace, at its start; -1 at a separate end
	final   bool
	failed  bool
	wasSlow bool
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result summarizes a run.
type result struct {
	ending        Action
	endedAt       time.Duration // since the order
	switched      time.Duration
	overrun       float64       // largest excess of requests to the target over the bound at any moment
	afterFiftieth time.Duration // from the target's 50th bad answer to the last request to it; 0 without one
	sent, total   uint64
	reason        string
}

func (m *poolModel) run(seed uint64) result {
	m.rng = rand.New(rand.NewPCG(seed, 1))
	m.totals, m.pending, m.runningOld, m.decisions, m.reports = map[string]*RouteTallies{}, nil, 0, nil, nil
	s := &Schedule{Duration: m.duration, Bounds: Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}}
	r := result{overrun: math.Inf(-1)}
	badAnswers, fiftiethAt := 0, time.Duration(0)
	var lastToTarget time.Duration
	applied := Decision{}
	for tick := 0; time.Duration(tick)*poolTick < m.duration; tick++ {
		now := time.Duration(tick) * poolTick
		if tick%stepTicks == 0 && r.ending == Continue {
			m.reports = append(m.reports, m.snapshot())
			observed := m.reports[max(len(m.reports)-1-reportSteps, 0)]
			d := s.Step(Observation{Elapsed: now, Totals: observed, ReportsComplete: true, TargetListed: true, OldIdle: s.Switched() && m.runningOld == 0})
			m.decisions = append(m.decisions, d)
			if s.Switched() && r.switched == 0 {
				r.switched = now
			}
			if d.Action != Continue {
				r.ending, r.endedAt, r.reason = d.Action, now, d.Reason
			}
		}
		if tick%stepTicks == sendTicks && len(m.decisions) > 0 {
			if latest := m.decisions[len(m.decisions)-1]; latest.Action != Continue || latest.Differs(applied) {
				applied = latest
			}
		}
		badAnswers += m.processDue(now)
		if badAnswers >= 50 && fiftiethAt == 0 {
			fiftiethAt = now
		}
		share := func(route int) float64 {
			if applied.Action == Complete {
				return 1
			}
			if part, ok := applied.Routes[m.routeName(route)]; ok {
				return part
			}
			return applied.Share
		}
		for n := m.poisson(m.perSecond * poolTick.Seconds()); n > 0; n-- {
			route := m.route()
			toTarget := m.rng.Float64() < share(route)
			m.startRequest(now, route, toTarget, applied.Share)
			r.total++
			if toTarget {
				r.sent++
				lastToTarget = now
			}
			r.overrun = max(r.overrun, float64(r.sent)-0.1*float64(r.total)-50)
		}
	}
	if fiftiethAt > 0 {
		r.afterFiftieth = lastToTarget - fiftiethAt
	}
	return r
}

func (m *poolModel) routeName(route int) string { return routeNames[route] }

// routeNames are the names of the routes in threeRoutes.
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

// poisson returns a random number of arrivals with the given mean.
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

// startRequest sends a request and schedules its events.
func (m *poolModel) startRequest(now time.Duration, route int, toTarget bool, share float64) {
	p := m.totals[m.routeName(route)]
	if p == nil {
		p = &RouteTallies{}
		m.totals[m.routeName(route)] = p
	}
	tally, answers, load := &p.Old, m.old, 1.0
	if toTarget {
		tally, answers = &p.Target, m.target
		load = share * float64(m.servers) / float64(max(int(math.Round(share*float64(m.servers))), 1))
	}
	q := answers(now, route, load)
	tally.Sent++
	if !toTarget {
		m.runningOld++
	}
	// Service times are lognormal around 60 ms, with a standard deviation of a factor of 1.6.
	ratio := math.Exp(0.47 * m.rng.NormFloat64())
	if q.slowdown > 0 {
		ratio *= q.slowdown
	}
	first := now + time.Duration(60*ratio*float64(time.Millisecond))
	failed := m.rng.Float64() < q.failureRate
	heap.Push(&m.pending, event{at: first, tally: tally, onOld: !toTarget, pace: PaceBucket(ratio), final: failed || m.maxStream == 0, failed: failed, wasSlow: q.slowdown > 2 && toTarget})
	if !failed && m.maxStream > 0 {
		lasts := time.Duration(m.rng.Float64() * float64(m.maxStream))
		heap.Push(&m.pending, event{at: first + lasts, tally: tally, onOld: !toTarget, pace: -1, final: true})
	}
}

// processDue processes the events that are due, and returns the number of bad answers of the
// target.
func (m *poolModel) processDue(now time.Duration) (bad int) {
	for len(m.pending) > 0 && m.pending[0].at <= now {
		e := heap.Pop(&m.pending).(event)
		if e.pace >= 0 {
			e.tally.Paces[e.pace]++
		}
		if e.final && e.onOld {
			m.runningOld--
		}
		if !e.onOld && (e.failed || e.wasSlow) {
			bad++
		}
		switch {
		case e.final && e.failed:
			e.tally.Failed++
		case e.final:
			e.tally.Answered++
		}
	}
	return bad
}
