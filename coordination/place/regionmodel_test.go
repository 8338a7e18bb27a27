// SPDX-License-Identifier: Apache-2.0

package place

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file models engines in two regions behind many gateways in virtual time. It runs
// CapacityPlacer and package entitlement on simple models of engines, reports and callers. Gateways receive
// reports of the others' load that are 100 to 600 ms old.

// Parameters of the model.
const (
	regionStep         = 20 * time.Millisecond
	regionGateways     = 20  // in each region
	regionEngines      = 15  // in each region
	regionReadRate     = 100 // tokens that an engine reads in a millisecond
	regionCachedParts  = 30  // shared parts that an engine caches
	regionPrompts      = 300 // number of different shared parts
	regionSharedTokens = 5000
	regionOwnTokens    = 3000
	regionAfterFirst   = 100 * time.Millisecond // from the first event to the end of the answer
	regionObjective    = 800 * time.Millisecond
	regionMaxWait      = 300 * time.Millisecond // maximum time in the queue
	regionRunDuration  = 20 * time.Second       // duration of a run
	regionRoundTrip    = 60 * time.Millisecond
)

// regionFullRate is the load in requests a second that all engines can serve if no shared part is read again.
const regionFullRate = 2 * regionEngines * regionReadRate * 1000 / regionOwnTokens

// regionCapacity is the capacity configured by the operator in tokens a second: 0.8 of the full load.
const regionCapacity = 0.8 * regionFullRate * (regionSharedTokens + regionOwnTokens)

// regionAccount is the load of one account.
type regionAccount struct {
	name  string
	rate  float64    // requests a second
	parts [2]float64 // fraction of the rate by region
}

// regionEvent is the end of reading a prompt, or the end of a request.
type regionEvent struct {
	at              time.Duration
	gateway, engine int
	change          Work
}

type regionEvents []regionEvent

func (e regionEvents) Len() int           { return len(e) }
func (e regionEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e regionEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *regionEvents) Push(x any)        { *e = append(*e, x.(regionEvent)) }
func (e *regionEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	account string
	gateway int
	class   entitlement.Class
	part    string
	arrived time.Duration
}

// accountSecond counts the requests of one account in one second.
type accountSecond struct {
	asked, got float64
	waited     bool
}

// regionModel is the state of the model.
type regionModel struct {
	rng          *rand.Rand
	strategy     regionStrategy
	placers      [2 * regionGateways]CapacityPlacer
	own          [2 * regionGateways][2 * regionEngines]Work
	reported     [7][2 * regionGateways][2 * regionEngines]Work // load of each engine by gateway, as of 0, 100, … ms ago
	totals       [7][2 * regionEngines]Work                     // load of each engine from all gateways
	busy         [2 * regionEngines]time.Duration
	caches       [2 * regionEngines][]string // shared parts, least recently used first
	events       regionEvents
	waiting      []queuedRequest
	leader       *entitlement.DemandEstimator
	classes      [2 * regionGateways]*entitlement.Classifier
	usage        [2 * regionGateways]map[string][2]uint64 // tokens demanded and served, by account
	missedTokens uint64
	seconds      map[string][]accountSecond
	asked        int
	inTime       int
	crossed      int
	reread       int // shared tokens read again
	readTime     [2]time.Duration
	views        [2][]Server // buffers reused for each choice
}

func newRegionModel(w regionStrategy) *regionModel {
	m := &regionModel{rng: rand.New(rand.NewPCG(9, 10)), strategy: w, leader: entitlement.NewDemandEstimator(), seconds: map[string][]accountSecond{}}
	for g := range m.classes {
		m.classes[g], m.usage[g] = entitlement.NewClassifier(), map[string][2]uint64{}
	}
	for e := range 2 * regionEngines {
		of := region(e, regionEngines)
		m.views[of] = append(m.views[of], Server{ID: fmt.Sprint("e", e), Slots: 48})
	}
	return m
}

// region returns the region of a gateway or an engine, given the number in each region.
func region(i, each int) int { return i / each }

// view returns the servers of one region as a gateway sees them.
func (m *regionModel) view(g, of int) []Server {
	age := g % 6 // plus up to 100 ms until the next report
	for i := range m.views[of] {
		e, s := of*regionEngines+i, &m.views[of][i]
		s.Own, s.OthersAge = m.own[g][e], time.Duration(age)*100*time.Millisecond
		s.Others.Requests = m.totals[age][e].Requests - m.reported[age][g][e].Requests
		s.Others.Tokens = m.totals[age][e].Tokens - m.reported[age][g][e].Tokens
	}
	return m.views[of]
}

// start starts a request if an engine has capacity for it.
func (m *regionModel) start(now time.Duration, w queuedRequest) bool {
	here := region(w.gateway, regionGateways)
	r := Request{
		Prompt: Prompt{Shared: []Part{{w.part, regionSharedTokens}}, Own: regionOwnTokens}, Class: w.class, Objective: regionObjective, Engine: true,
	}
	c, far := m.strategy(&m.placers[w.gateway], r, regionView{
		own: m.view(w.gateway, here), far: m.view(w.gateway, 1-here), now: now, waited: now - w.arrived,
	})
	if c.Index < 0 || c.Bound != Free {
		return false
	}
	if far {
		here = 1 - here
		m.crossed++
	}
	m.run(now, w, here*regionEngines+c.Index, c.Read, far)
	return true
}

// run makes an engine read a request's prompt. expected is the number of tokens that the gateway expects
// it to read.
func (m *regionModel) run(now time.Duration, w queuedRequest, e, expected int, far bool) {
	delay := time.Duration(0)
	if far {
		delay = regionRoundTrip
	}
	took := time.Duration(m.read(e, w.part)) * time.Millisecond / regionReadRate
	m.busy[e] = max(m.busy[e], now+delay/2) + took
	m.readTime[region(e, regionEngines)] += took
	first := m.busy[e] + delay/2
	if first-w.arrived <= regionObjective {
		m.inTime++
	}
	m.own[w.gateway][e].Requests++
	m.own[w.gateway][e].Tokens += expected
	heap.Push(&m.events, regionEvent{first, w.gateway, e, Work{Tokens: -expected}})
	heap.Push(&m.events, regionEvent{first + regionAfterFirst, w.gateway, e, Work{Requests: -1}})
	u := m.usage[w.gateway][w.account]
	u[1] += regionSharedTokens + regionOwnTokens
	m.usage[w.gateway][w.account] = u
	m.classes[w.gateway].RecordStart(now, w.account, regionSharedTokens+regionOwnTokens)
	m.second(now, w.account).got++
}

// read returns the number of prompt tokens that an engine reads, and caches the shared part.
func (m *regionModel) read(e int, part string) int {
	tokens := regionOwnTokens
	if i := slices.Index(m.caches[e], part); i >= 0 {
		m.caches[e] = slices.Delete(m.caches[e], i, i+1)
	} else {
		tokens += regionSharedTokens
		m.reread += regionSharedTokens
	}
	m.caches[e] = append(m.caches[e], part)
	m.caches[e] = m.caches[e][max(len(m.caches[e])-regionCachedParts, 0):]
	return tokens
}

// second returns the counters of an account for the second that now is in.
func (m *regionModel) second(now time.Duration, account string) *accountSecond {
	for len(m.seconds[account]) <= int(now/time.Second) {
		m.seconds[account] = append(m.seconds[account], accountSecond{})
	}
	return &m.seconds[account][int(now/time.Second)]
}

// arrive adds the new requests of a step and starts those that find capacity.
func (m *regionModel) arrive(now time.Duration, accounts []regionAccount) {
	for _, a := range accounts {
		for here, part := range a.parts {
			n := a.rate * part * regionStep.Seconds()
			for ; n > m.rng.Float64(); n-- {
				w := queuedRequest{account: a.name, gateway: here*regionGateways + m.rng.IntN(regionGateways), part: fmt.Sprint(m.rng.IntN(regionPrompts)), arrived: now}
				u := m.usage[w.gateway][a.name]
				u[0] += regionSharedTokens + regionOwnTokens
				m.usage[w.gateway][a.name] = u
				w.class = m.classes[w.gateway].Classify(now, a.name, regionSharedTokens+regionOwnTokens, false)
				m.asked++
				m.second(now, a.name).asked++
				m.waiting = append(m.waiting, w)
			}
		}
	}
	slices.SortStableFunc(m.waiting, func(a, b queuedRequest) int { return int(a.class) - int(b.class) })
	m.waiting = slices.DeleteFunc(m.waiting, func(w queuedRequest) bool {
		if m.start(now, w) {
			return true
		}
		m.second(now, w.account).waited = true
		if now-w.arrived < regionMaxWait {
			return false
		}
		if w.class != entitlement.Beyond {
			m.missedTokens += regionSharedTokens + regionOwnTokens
		}
		return true
	})
}

// report sends the gateways' usage to the leader, and the resulting shares to all gateways.
func (m *regionModel) report(now time.Duration) {
	copy(m.reported[1:], m.reported[:len(m.reported)-1])
	copy(m.totals[1:], m.totals[:len(m.totals)-1])
	m.reported[0], m.totals[0] = m.own, [2 * regionEngines]Work{}
	for g := range m.own {
		for e, w := range m.own[g] {
			m.totals[0][e].Requests += w.Requests
			m.totals[0][e].Tokens += w.Tokens
		}
	}
	for g := range m.usage {
		u := protocol.Usage{}
		for _, account := range slices.Sorted(maps.Keys(m.usage[g])) {
			t := m.usage[g][account]
			u.Demands = append(u.Demands, protocol.Demand{Account: account, Tokens: t[0]})
			u.Served = append(u.Served, protocol.Demand{Account: account, Tokens: t[1]})
			u.Started += t[1]
		}
		if g == 0 {
			u.Missed, m.missedTokens = m.missedTokens, 0
		}
		m.leader.Add(u)
		clear(m.usage[g])
	}
	m.leader.Recompute(now, regionCapacity)
	for _, c := range m.classes {
		if m.leader.Ready() {
			c.Update(now, m.leader.Entitlements(), nil, m.leader.Contended())
			c.SetMaxAccountRate(m.leader.MaxAccountRate())
		}
	}
}

// play runs the accounts' load for 20 seconds.
func (m *regionModel) play(accounts []regionAccount) *regionModel {
	for now := time.Second; now < time.Second+regionRunDuration; now += regionStep {
		for len(m.events) > 0 && m.events[0].at <= now {
			e := heap.Pop(&m.events).(regionEvent)
			m.own[e.gateway][e.engine].Requests += e.change.Requests
			m.own[e.gateway][e.engine].Tokens += e.change.Tokens
		}
		if now%(100*time.Millisecond) == 0 {
			m.report(now)
		}
		m.arrive(now, accounts)
	}
	return m
}

// part returns the fraction of an account's requests that were served.
func (m *regionModel) part(account string) float64 {
	asked, got := 0.0, 0.0
	for i, s := range m.seconds[account] {
		if i < 4 {
			continue
		}
		asked += s.asked
		got += s.got
	}
	return got / asked
}

// worst returns the lowest ratio of requests served to requests due, over all accounts with a queue
// throughout six seconds. An account is due half of its own requests or half of those that another one
// was served, whichever is less.
func (m *regionModel) worst() float64 {
	const span = 6
	worst := 100.0
	for from := 4; from+span <= 21; from++ {
		for _, a := range m.seconds {
			got, waited := 0.0, true
			for _, s := range a[from : from+span] {
				got, waited = got+s.got, waited && s.waited
			}
			for _, other := range m.seconds {
				due := 0.0
				for i := from; waited && i < from+span; i++ {
					due += 0.5 * min(a[i].asked, other[i].got)
				}
				if due > 0 {
					worst = min(worst, got/due)
				}
			}
		}
	}
	return worst
}

// regionResult is the result of a run, as fractions of all requests, of each account's requests, and of the
// other region's engine time.
type regionResult struct{ inTime, crossed, big, small, due, idle, rereadM float64 }

// String implements [fmt.Stringer].
func (r regionResult) String() string {
	return fmt.Sprintf("in time %.3f, crossed %.3f, big %.2f, small %.2f, of what is due %.2f, far side idle %.2f, read again %4.1f M",
		r.inTime, r.crossed, r.big, r.small, r.due, r.idle, r.rereadM)
}

func (m *regionModel) result() regionResult {
	return regionResult{
		inTime: float64(m.inTime) / float64(m.asked), crossed: float64(m.crossed) / float64(m.asked),
		big: m.part("big"), small: m.part("small-0"), due: m.worst(),
		idle: 1 - m.readTime[1].Seconds()/regionRunDuration.Seconds()/regionEngines, rereadM: float64(m.reread) / 1e6,
	}
}

// regionStrategies are the strategies compared by TestRegionStrategies.
var regionStrategies = map[string]regionStrategy{
	"own region only": ownRegionOnly, "one order": oneOrder, "sooner": whenSooner, "full": whenFull,
	"waits 0 ms": afterWait(0), "waits 120 ms": afterWait(2 * AssumedRoundTrip), "waits a round trip": afterWait(AssumedRoundTrip),
}

// TestRegionStrategies compares strategies for leaving a region, under a load that all engines together can
// serve and that is either even or comes mostly from a large account in one region.
func TestRegionStrategies(t *testing.T) {
	is := is.New(t)
	both := [2]float64{0.5, 0.5}
	small := func(rate float64) (accounts []regionAccount) {
		for i := range 5 {
			accounts = append(accounts, regionAccount{fmt.Sprint("small-", i), rate, both})
		}
		return accounts
	}
	results := map[string]regionResult{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, load := range []struct {
		name     string
		accounts []regionAccount
	}{
		{"even", small(0.09 * regionFullRate)},
		{"one side", append(small(0.04*regionFullRate), regionAccount{"big", 0.55 * regionFullRate, [2]float64{1, 0}})},
	} {
		for name, w := range regionStrategies {
			group.Go(func() {
				r := newRegionModel(w).play(load.accounts).result()
				mu.Lock()
				defer mu.Unlock()
				t.Logf("%-8s %-18s %v", load.name, name, r)
				results[load.name+" "+name] = r
			})
		}
	}
	group.Wait()
	chosen, only, full := results["one side waits a round trip"], results["one side own region only"], results["one side full"]
	is.True(results["even waits a round trip"].crossed < 0.01)
	is.True(results["even waits a round trip"].inTime > 0.99)
	is.True(chosen.due >= 1)
	is.True(chosen.small > 0.95)
	is.True(chosen.big > 2*only.big)
	is.True(chosen.inTime > 1.5*full.inTime)
	is.True(chosen.idle < only.idle-0.3)
	is.True(chosen.crossed < results["one side one order"].crossed)
}
