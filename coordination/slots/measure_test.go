// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"math"
	"slices"
	"time"
)

// This file defines measures, what the fixture counts: service, gaps,
// utilisation, waits.

type measures struct {
	f        *fleet
	service  [][]float64    // pool × account, of ended requests
	running  [][][]*request // in the order of their starts, so that sums and faults follow it
	waiting  [][]int
	owed     []time.Duration // by pool: what one slot takes for all requests there, had or not
	pairs    []*pair
	followed []int // accounts whose gaps are followed
	busy     []float64
	able     []float64
	waits    []time.Duration // of small accounts
	largest  float64         // cost
	ended    int
	lost     int
	longest  time.Duration // wait of any request
	idleRun  []time.Duration
	maxIdle  time.Duration // longest time with a free slot while work waited
}

// pair follows the difference of two accounts' normalised service while both
// are backlogged in one pool.
type pair struct {
	pool, a, b int
	both       bool
	low, high  float64
	gap        float64
}

const maxFollowed = 24

func newMeasures(f *fleet) *measures {
	m := &measures{f: f}
	n := len(f.shape.accounts)
	for range f.shape.pools {
		m.service = append(m.service, make([]float64, n))
		m.waiting = append(m.waiting, make([]int, n))
		m.running = append(m.running, make([][]*request, n))
		m.owed = append(m.owed, 0)
		m.busy = append(m.busy, 0)
		m.able = append(m.able, 0)
		m.idleRun = append(m.idleRun, 0)
	}
	for i := range n {
		if len(m.followed) < maxFollowed && (n <= maxFollowed || f.shape.accounts[i].offered > 1) {
			m.followed = append(m.followed, i)
		}
	}
	for p := range f.shape.pools {
		for i, a := range m.followed {
			for _, b := range m.followed[i+1:] {
				m.pairs = append(m.pairs, &pair{pool: p, a: a, b: b})
			}
		}
	}
	return m
}

func (m *measures) arrived(r *request) {
	m.waiting[r.pool][r.account]++
	m.owed[r.pool] += m.f.whole(r)
}

func (m *measures) started(r *request) {
	m.waiting[r.pool][r.account]--
	m.running[r.pool][r.account] = append(m.running[r.pool][r.account], r)
	wait := m.f.now - r.came
	m.longest = max(m.longest, wait)
	if m.f.shape.accounts[r.account].small {
		m.waits = append(m.waits, wait)
	}
}

func (m *measures) finished(r *request) {
	m.stopped(r)
	m.service[r.pool][r.account] += r.cost
	m.largest = max(m.largest, r.cost)
	m.ended++
}

// cancelled ends a running request whose router restarted; what it had
// received counts as service.
func (m *measures) cancelled(r *request) {
	m.stopped(r)
	m.service[r.pool][r.account] += m.received(r)
}

func (m *measures) stopped(r *request) {
	running := m.running[r.pool][r.account]
	i := slices.Index(running, r)
	m.running[r.pool][r.account] = slices.Delete(running, i, i+1)
	m.owed[r.pool] -= m.f.whole(r)
}

func (m *measures) dropped(r *request) {
	m.waiting[r.pool][r.account]--
	m.owed[r.pool] -= m.f.whole(r)
	m.lost++
}

// left is how long one slot takes for all that waits and runs.
func (m *measures) left(pool int) time.Duration {
	left := m.owed[pool]
	for _, running := range m.running[pool] {
		for _, r := range running {
			if r.serving {
				left -= m.f.now - r.began
			}
		}
	}
	return left
}

func (m *measures) received(r *request) float64 {
	if !r.serving {
		return 0
	}
	return min((m.f.now-r.began).Seconds()*m.f.shape.pools[r.pool].rate, r.cost)
}

// normalised is the service that an account has received up to now.
func (m *measures) normalised(p, a int) float64 {
	s := m.service[p][a]
	for _, r := range m.running[p][a] {
		s += m.received(r)
	}
	return s / m.f.shape.accounts[a].share
}

const sampleEvery = 10 * time.Millisecond

func (m *measures) sample() {
	warm := m.f.now > 2*time.Second
	for p := range m.f.shape.pools {
		now := map[int]float64{}
		for _, a := range m.followed {
			if m.waiting[p][a] > 0 {
				now[a] = m.normalised(p, a)
			}
		}
		for _, pr := range m.pairs {
			if pr.pool == p {
				pr.sample(now)
			}
		}
		if warm {
			m.sampleUse(p)
		}
	}
}

func (p *pair) sample(now map[int]float64) {
	a, okA := now[p.a]
	b, okB := now[p.b]
	if !okA || !okB {
		p.both = false
		return
	}
	d := a - b
	if !p.both {
		p.both, p.low, p.high = true, d, d
	}
	p.low, p.high = min(p.low, d), max(p.high, d)
	p.gap = max(p.gap, p.high-p.low)
}

// sampleUse counts the slots in use while work waits.
func (m *measures) sampleUse(p int) {
	waits := 0
	for _, n := range m.waiting[p] {
		waits += n
	}
	all, busy := 0, 0
	for _, s := range m.f.byPool[m.f.shape.pools[p].name] {
		all += s.slots
		busy += min(s.running, s.slots)
	}
	if waits < all-busy || waits == 0 {
		// Fewer wait than slots are free: count the slots that they could use.
		all = busy + min(waits, all-busy)
	}
	if waits == 0 {
		m.idleRun[p] = 0
		return
	}
	m.busy[p] += float64(busy)
	m.able[p] += float64(all)
	if busy < all {
		m.idleRun[p] += sampleEvery
		m.maxIdle = max(m.maxIdle, m.idleRun[p])
	} else {
		m.idleRun[p] = 0
	}
}

// results are the figures of one run.
type results struct {
	gap      float64 // largest gap, cost per share
	gapX     float64 // divided by the bound
	util     float64
	utils    []float64 // by pool
	bytes    float64   // a second and router, both directions
	messages float64   // likewise
	p99      float64   // seconds that small accounts wait
	longest  float64
	ended    int
	lost     int
	maxIdle  float64
	cpuShare float64
}

func (m *measures) results(staleness time.Duration) results {
	var r results
	minShare := math.Inf(1)
	for _, a := range m.f.shape.accounts {
		minShare = min(minShare, a.share)
	}
	for _, pr := range m.pairs {
		r.gap = max(r.gap, pr.gap)
		r.gapX = max(r.gapX, pr.gap/m.bound(pr, staleness))
	}
	var busy, able float64
	for p := range m.busy {
		busy += m.busy[p]
		able += m.able[p]
		r.utils = append(r.utils, 100*m.busy[p]/max(m.able[p], 1))
	}
	if able > 0 {
		r.util = 100 * busy / able
	} else {
		r.util = 100
	}
	total := 0
	for _, rt := range m.f.routers {
		total += rt.bytes
	}
	messages := 0
	for _, rt := range m.f.routers {
		messages += rt.messages
	}
	r.messages = float64(messages) / float64(len(m.f.routers)) / m.f.now.Seconds()
	r.bytes = float64(total) / float64(len(m.f.routers)) / m.f.now.Seconds()
	r.p99 = quantile(m.waits, 0.99).Seconds()
	r.longest = m.longest.Seconds()
	r.ended, r.lost = m.ended, m.lost
	r.maxIdle = m.maxIdle.Seconds()
	r.cpuShare = m.f.cpu.Seconds() / m.f.now.Seconds()
	return r
}

// bound is the proved bound of the package comment: (M+1)·L/w + slack +
// 2·C·D/w, with the slack of one request.
func (m *measures) bound(pr *pair, staleness time.Duration) float64 {
	ps := m.f.shape.pools[pr.pool]
	slotsOf := float64(ps.workers * ps.slots)
	w := min(m.f.shape.accounts[pr.a].share, m.f.shape.accounts[pr.b].share)
	capacity := slotsOf * ps.rate
	return (slotsOf+1)*m.largest/w + m.largest/w + 2*capacity*staleness.Seconds()/w
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Clone(d)
	slices.Sort(s)
	return s[min(int(q*float64(len(s))), len(s)-1)]
}
