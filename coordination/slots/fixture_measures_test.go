// SPDX-License-Identifier: Apache-2.0

package slots_test

import (
	"math"
	"slices"
	"time"
)

// This file defines measures, the fixture's statistics: service, gaps, utilization and waits.

type measures struct {
	f                *fleet
	service          [][]float64    // by pool and account, cost of ended requests
	running          [][][]*request // by pool and account, in start order for deterministic sums and faults
	waiting          [][]int
	totalWork        []time.Duration // by pool, time that one slot needs for all requests there, including time already served
	pairs            []*pair
	measuredAccounts []int           // accounts whose gaps are measured
	busy             []float64       // by pool, slots in use, summed over the samples while requests wait
	usable           []float64       // by pool, slots that requests could use, summed likewise
	waits            []time.Duration // waits of small accounts
	largest          float64         // largest cost of a request
	ended            int
	lost             int             // dropped or cancelled requests
	longestWait      time.Duration   // longest wait of any request
	idleTime         []time.Duration // by pool, how long a slot has been free while requests wait
	maxIdle          time.Duration   // longest time that a slot was free while requests waited
}

// pair tracks the difference of two accounts' normalized service while both are backlogged in
// one pool.
type pair struct {
	pool, a, b     int
	bothBacklogged bool
	low, high      float64 // bounds of the difference since both became backlogged
	gap            float64 // largest high - low so far
}

const maxMeasuredAccounts = 24

func newMeasures(f *fleet) *measures {
	m := &measures{f: f}
	n := len(f.config.accounts)
	for range f.config.pools {
		m.service = append(m.service, make([]float64, n))
		m.waiting = append(m.waiting, make([]int, n))
		m.running = append(m.running, make([][]*request, n))
		m.totalWork = append(m.totalWork, 0)
		m.busy = append(m.busy, 0)
		m.usable = append(m.usable, 0)
		m.idleTime = append(m.idleTime, 0)
	}
	for i := range n {
		if len(m.measuredAccounts) < maxMeasuredAccounts && (n <= maxMeasuredAccounts || f.config.accounts[i].offered > 1) {
			m.measuredAccounts = append(m.measuredAccounts, i)
		}
	}
	for p := range f.config.pools {
		for i, a := range m.measuredAccounts {
			for _, b := range m.measuredAccounts[i+1:] {
				m.pairs = append(m.pairs, &pair{pool: p, a: a, b: b})
			}
		}
	}
	return m
}

func (m *measures) arrived(r *request) {
	m.waiting[r.pool][r.account]++
	m.totalWork[r.pool] += m.f.serviceTime(r)
}

func (m *measures) started(r *request) {
	m.waiting[r.pool][r.account]--
	m.running[r.pool][r.account] = append(m.running[r.pool][r.account], r)
	wait := m.f.now - r.arrivedAt
	m.longestWait = max(m.longestWait, wait)
	if m.f.config.accounts[r.account].small {
		m.waits = append(m.waits, wait)
	}
}

func (m *measures) finished(r *request) {
	m.stopped(r)
	m.service[r.pool][r.account] += r.cost
	m.largest = max(m.largest, r.cost)
	m.ended++
}

// cancelled records a running request whose router restarted. The service that it had
// received is counted.
func (m *measures) cancelled(r *request) {
	m.stopped(r)
	m.service[r.pool][r.account] += m.received(r)
}

func (m *measures) stopped(r *request) {
	running := m.running[r.pool][r.account]
	i := slices.Index(running, r)
	m.running[r.pool][r.account] = slices.Delete(running, i, i+1)
	m.totalWork[r.pool] -= m.f.serviceTime(r)
}

func (m *measures) dropped(r *request) {
	m.waiting[r.pool][r.account]--
	m.totalWork[r.pool] -= m.f.serviceTime(r)
	m.lost++
}

// remainingWork returns how long one slot needs for the rest of all waiting and running
// requests.
func (m *measures) remainingWork(pool int) time.Duration {
	left := m.totalWork[pool]
	for _, running := range m.running[pool] {
		for _, r := range running {
			if r.inBatch {
				left -= m.f.now - r.startedAt
			}
		}
	}
	return left
}

func (m *measures) received(r *request) float64 {
	if !r.inBatch {
		return 0
	}
	return min((m.f.now-r.startedAt).Seconds()*m.f.config.pools[r.pool].rate, r.cost)
}

// normalized returns the service that an account has received so far, divided by its share.
func (m *measures) normalized(p, a int) float64 {
	s := m.service[p][a]
	for _, r := range m.running[p][a] {
		s += m.received(r)
	}
	return s / m.f.config.accounts[a].share
}

const sampleInterval = 10 * time.Millisecond

func (m *measures) sample() {
	warm := m.f.now > 2*time.Second
	for p := range m.f.config.pools {
		normalized := map[int]float64{}
		for _, a := range m.measuredAccounts {
			if m.waiting[p][a] > 0 {
				normalized[a] = m.normalized(p, a)
			}
		}
		for _, pr := range m.pairs {
			if pr.pool == p {
				pr.sample(normalized)
			}
		}
		if warm {
			m.sampleUtilization(p)
		}
	}
}

func (p *pair) sample(normalized map[int]float64) {
	a, okA := normalized[p.a]
	b, okB := normalized[p.b]
	if !okA || !okB {
		p.bothBacklogged = false
		return
	}
	d := a - b
	if !p.bothBacklogged {
		p.bothBacklogged, p.low, p.high = true, d, d
	}
	p.low, p.high = min(p.low, d), max(p.high, d)
	p.gap = max(p.gap, p.high-p.low)
}

// sampleUtilization counts the slots in use while requests wait.
func (m *measures) sampleUtilization(p int) {
	waits := 0
	for _, n := range m.waiting[p] {
		waits += n
	}
	all, busy := 0, 0
	for _, s := range m.f.byPool[m.f.config.pools[p].name] {
		all += s.slots
		busy += min(s.running, s.slots)
	}
	if waits < all-busy || waits == 0 {
		// Fewer requests wait than slots are free: count only the slots that they could use.
		all = busy + min(waits, all-busy)
	}
	if waits == 0 {
		m.idleTime[p] = 0
		return
	}
	m.busy[p] += float64(busy)
	m.usable[p] += float64(all)
	if busy < all {
		m.idleTime[p] += sampleInterval
		m.maxIdle = max(m.maxIdle, m.idleTime[p])
	} else {
		m.idleTime[p] = 0
	}
}

// results holds the statistics of one run.
type results struct {
	gap             float64 // largest gap, cost per share
	gapRatio        float64 // largest gap as a fraction of the bound
	utilization     float64
	poolUtilization []float64 // percent by pool
	bytes           float64   // per second and router, both directions
	messages        float64   // per second and router, both directions
	p99             float64   // 99th percentile of small accounts' waits, in seconds
	longest         float64
	ended           int
	lost            int
	maxIdle         float64
	cpuShare        float64
}

func (m *measures) results(staleness time.Duration) results {
	var r results
	minShare := math.Inf(1)
	for _, a := range m.f.config.accounts {
		minShare = min(minShare, a.share)
	}
	for _, pr := range m.pairs {
		r.gap = max(r.gap, pr.gap)
		r.gapRatio = max(r.gapRatio, pr.gap/m.bound(pr, staleness))
	}
	var busy, usable float64
	for p := range m.busy {
		busy += m.busy[p]
		usable += m.usable[p]
		r.poolUtilization = append(r.poolUtilization, 100*m.busy[p]/max(m.usable[p], 1))
	}
	if usable > 0 {
		r.utilization = 100 * busy / usable
	} else {
		r.utilization = 100
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
	r.longest = m.longestWait.Seconds()
	r.ended, r.lost = m.ended, m.lost
	r.maxIdle = m.maxIdle.Seconds()
	r.cpuShare = m.f.allocatorTime.Seconds() / m.f.now.Seconds()
	return r
}

// bound is the bound of the package comment, (M+1)·L/w + slack + 2·C·D/w, with the slack of
// one request.
func (m *measures) bound(pr *pair, staleness time.Duration) float64 {
	ps := m.f.config.pools[pr.pool]
	slotCount := float64(ps.serverCount * ps.slots)
	w := min(m.f.config.accounts[pr.a].share, m.f.config.accounts[pr.b].share)
	capacity := slotCount * ps.rate
	return (slotCount+1)*m.largest/w + m.largest/w + 2*capacity*staleness.Seconds()/w
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Clone(d)
	slices.Sort(s)
	return s[min(int(q*float64(len(s))), len(s)-1)]
}
