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

// This file plays engines in two regions before many gateways in virtual time. The decisions are
// those of RoomPlacer and of the accounts' shares; engines, reports and callers are a few lines
// each. Gateways know what others run as of 100 to 600 ms ago.

// The model's times and sizes.
const (
	sideStep     = 20 * time.Millisecond
	sideGateways = 20  // in each region
	sideEngines  = 15  // in each region
	sideRate     = 100 // tokens that an engine reads in a millisecond
	sideKept     = 30  // shared parts that an engine keeps
	sideParts    = 300 // that prompts have
	sideShared   = 5000
	sideOwn      = 3000
	sideRuns     = 100 * time.Millisecond // after the first event
	sideGoal     = 800 * time.Millisecond
	sidePatience = 300 * time.Millisecond // in the queue
	sideSpan     = 20 * time.Second       // that is played
	sideWay      = 60 * time.Millisecond
)

// sideFull is the requests a second that all engines bear if nothing is read again.
const sideFull = 2 * sideEngines * sideRate * 1000 / sideOwn

// sideNamed is the tokens a second that the operator names: 0.8 of what the engines bear then.
const sideNamed = 0.8 * sideFull * (sideShared + sideOwn)

// sideAccount is one account's callers.
type sideAccount struct {
	name  string
	rate  float64    // requests a second
	parts [2]float64 // of it, by region
}

// sideEvent ends the reading or the running of a request.
type sideEvent struct {
	at              time.Duration
	gateway, engine int
	change          Work
}

type sideEvents []sideEvent

func (e sideEvents) Len() int           { return len(e) }
func (e sideEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e sideEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *sideEvents) Push(x any)        { *e = append(*e, x.(sideEvent)) }
func (e *sideEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sideWaiter is a request that waits for room.
type sideWaiter struct {
	account string
	gateway int
	class   entitlement.Class
	part    string
	arrived time.Duration
}

// sideSecond is one second of one account.
type sideSecond struct {
	asked, got float64
	waited     bool
}

// twoSides is the model.
type twoSides struct {
	rng      *rand.Rand
	way      way
	placers  [2 * sideGateways]RoomPlacer
	own      [2 * sideGateways][2 * sideEngines]Work
	seen     [7][2 * sideGateways][2 * sideEngines]Work // as of 0, 100, … ms ago
	sums     [7][2 * sideEngines]Work                   // of them
	busy     [2 * sideEngines]time.Duration
	caches   [2 * sideEngines][]string // oldest first
	events   sideEvents
	waiting  []sideWaiter
	leader   *entitlement.DemandEstimator
	classes  [2 * sideGateways]*entitlement.Classifier
	usage    [2 * sideGateways]map[string][2]uint64 // demanded, served
	missed   uint64
	seconds  map[string][]sideSecond
	asked    int
	inTime   int
	over     int
	shared   int // read again
	workings [2]time.Duration
	views    [2][]Server // of the last choice; kept for their memory
}

func newTwoSides(w way) *twoSides {
	m := &twoSides{rng: rand.New(rand.NewPCG(9, 10)), way: w, leader: entitlement.NewDemandEstimator(), seconds: map[string][]sideSecond{}}
	for g := range m.classes {
		m.classes[g], m.usage[g] = entitlement.NewClassifier(), map[string][2]uint64{}
	}
	for e := range 2 * sideEngines {
		of := region(e, sideEngines)
		m.views[of] = append(m.views[of], Server{ID: fmt.Sprint("e", e), Slots: 48})
	}
	return m
}

// region of a gateway or an engine, of so many in each.
func region(i, each int) int { return i / each }

// view is what a gateway knows of the engines of one region.
func (m *twoSides) view(g, of int) []Server {
	age := g % 6 // and up to 100 ms until the next report
	for i := range m.views[of] {
		e, s := of*sideEngines+i, &m.views[of][i]
		s.Own, s.OthersAge = m.own[g][e], time.Duration(age)*100*time.Millisecond
		s.Others.Requests = m.sums[age][e].Requests - m.seen[age][g][e].Requests
		s.Others.Tokens = m.sums[age][e].Tokens - m.seen[age][g][e].Tokens
	}
	return m.views[of]
}

// start lets a request begin if it finds room.
func (m *twoSides) start(now time.Duration, w sideWaiter) bool {
	here := region(w.gateway, sideGateways)
	r := Request{
		Prompt: Prompt{Shared: []Part{{w.part, sideShared}}, Own: sideOwn}, Class: w.class, Objective: sideGoal, Engine: true,
	}
	c, far := m.way(&m.placers[w.gateway], r, side{
		own: m.view(w.gateway, here), far: m.view(w.gateway, 1-here), now: now, waited: now - w.arrived,
	})
	if c.Index < 0 || c.Bound != Free {
		return false
	}
	if far {
		here = 1 - here
		m.over++
	}
	m.run(now, w, here*sideEngines+c.Index, c.Read, far)
	return true
}

// run lets an engine read a request's prompt, which its gateway expects to be so many tokens.
func (m *twoSides) run(now time.Duration, w sideWaiter, e, expected int, far bool) {
	delay := time.Duration(0)
	if far {
		delay = sideWay
	}
	took := time.Duration(m.read(e, w.part)) * time.Millisecond / sideRate
	m.busy[e] = max(m.busy[e], now+delay/2) + took
	m.workings[region(e, sideEngines)] += took
	first := m.busy[e] + delay/2
	if first-w.arrived <= sideGoal {
		m.inTime++
	}
	m.own[w.gateway][e].Requests++
	m.own[w.gateway][e].Tokens += expected
	heap.Push(&m.events, sideEvent{first, w.gateway, e, Work{Tokens: -expected}})
	heap.Push(&m.events, sideEvent{first + sideRuns, w.gateway, e, Work{Requests: -1}})
	u := m.usage[w.gateway][w.account]
	u[1] += sideShared + sideOwn
	m.usage[w.gateway][w.account] = u
	m.classes[w.gateway].RecordStart(now, w.account, sideShared+sideOwn)
	m.second(now, w.account).got++
}

// read returns the tokens of a prompt that an engine reads, and keeps its shared part.
func (m *twoSides) read(e int, part string) int {
	tokens := sideOwn
	if i := slices.Index(m.caches[e], part); i >= 0 {
		m.caches[e] = slices.Delete(m.caches[e], i, i+1)
	} else {
		tokens += sideShared
		m.shared += sideShared
	}
	m.caches[e] = append(m.caches[e], part)
	m.caches[e] = m.caches[e][max(len(m.caches[e])-sideKept, 0):]
	return tokens
}

func (m *twoSides) second(now time.Duration, account string) *sideSecond {
	for len(m.seconds[account]) <= int(now/time.Second) {
		m.seconds[account] = append(m.seconds[account], sideSecond{})
	}
	return &m.seconds[account][int(now/time.Second)]
}

// arrive takes the step's new requests.
func (m *twoSides) arrive(now time.Duration, accounts []sideAccount) {
	for _, a := range accounts {
		for here, part := range a.parts {
			n := a.rate * part * sideStep.Seconds()
			for ; n > m.rng.Float64(); n-- {
				w := sideWaiter{account: a.name, gateway: here*sideGateways + m.rng.IntN(sideGateways), part: fmt.Sprint(m.rng.IntN(sideParts)), arrived: now}
				u := m.usage[w.gateway][a.name]
				u[0] += sideShared + sideOwn
				m.usage[w.gateway][a.name] = u
				w.class = m.classes[w.gateway].Classify(now, a.name, sideShared+sideOwn, false)
				m.asked++
				m.second(now, a.name).asked++
				m.waiting = append(m.waiting, w)
			}
		}
	}
	slices.SortStableFunc(m.waiting, func(a, b sideWaiter) int { return int(a.class) - int(b.class) })
	m.waiting = slices.DeleteFunc(m.waiting, func(w sideWaiter) bool {
		if m.start(now, w) {
			return true
		}
		m.second(now, w.account).waited = true
		if now-w.arrived < sidePatience {
			return false
		}
		if w.class != entitlement.Beyond {
			m.missed += sideShared + sideOwn
		}
		return true
	})
}

// report sends what the leader needs, and its list to all gateways.
func (m *twoSides) report(now time.Duration) {
	copy(m.seen[1:], m.seen[:len(m.seen)-1])
	copy(m.sums[1:], m.sums[:len(m.sums)-1])
	m.seen[0], m.sums[0] = m.own, [2 * sideEngines]Work{}
	for g := range m.own {
		for e, w := range m.own[g] {
			m.sums[0][e].Requests += w.Requests
			m.sums[0][e].Tokens += w.Tokens
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
			u.Missed, m.missed = m.missed, 0
		}
		m.leader.Add(u)
		clear(m.usage[g])
	}
	m.leader.Recompute(now, sideNamed)
	for _, c := range m.classes {
		if m.leader.Ready() {
			c.Update(now, m.leader.Entitlements(), nil, m.leader.Contended())
			c.SetMaxAccountRate(m.leader.MaxAccountRate())
		}
	}
}

// play runs accounts' callers for 20 seconds.
func (m *twoSides) play(accounts []sideAccount) *twoSides {
	for now := time.Second; now < time.Second+sideSpan; now += sideStep {
		for len(m.events) > 0 && m.events[0].at <= now {
			e := heap.Pop(&m.events).(sideEvent)
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

// part that an account got of what it asked.
func (m *twoSides) part(account string) float64 {
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

// worst is the least that an account which waited through six seconds got of what it was owed:
// half of what it asked or another one got, whichever is less.
func (m *twoSides) worst() float64 {
	const span = 6
	worst := 100.0
	for from := 4; from+span <= 21; from++ {
		for _, a := range m.seconds {
			got, waited := 0.0, true
			for _, s := range a[from : from+span] {
				got, waited = got+s.got, waited && s.waited
			}
			for _, other := range m.seconds {
				owed := 0.0
				for i := from; waited && i < from+span; i++ {
					owed += 0.5 * min(a[i].asked, other[i].got)
				}
				if owed > 0 {
					worst = min(worst, got/owed)
				}
			}
		}
	}
	return worst
}

// sideResult is what a play shows: parts of the requests, of what the accounts asked, and of the
// far region's time.
type sideResult struct{ inTime, over, big, small, owed, idle, againM float64 }

// String implements [fmt.Stringer].
func (r sideResult) String() string {
	return fmt.Sprintf("in time %.3f, over %.3f, big %.2f, small %.2f, of what is owed %.2f, far side idle %.2f, read again %4.1f M",
		r.inTime, r.over, r.big, r.small, r.owed, r.idle, r.againM)
}

func (m *twoSides) result() sideResult {
	return sideResult{
		inTime: float64(m.inTime) / float64(m.asked), over: float64(m.over) / float64(m.asked),
		big: m.part("big"), small: m.part("small-0"), owed: m.worst(),
		idle: 1 - m.workings[1].Seconds()/sideSpan.Seconds()/sideEngines, againM: float64(m.shared) / 1e6,
	}
}

// sideWays are the ways that are compared.
var sideWays = map[string]way{
	"own region only": ownRegionOnly, "one order": oneOrder, "sooner": soonerThere, "full": whenFull,
	"waits 0 ms": waits(0), "waits 120 ms": waits(2 * AssumedRoundTrip), "kept": waits(AssumedRoundTrip),
}

// TestTwoRegions compares ways to leave a region, under a load that all engines of both bear,
// and one that comes to one side alone: a large account whose callers all stand there.
func TestTwoRegions(t *testing.T) {
	is := is.New(t)
	both := [2]float64{0.5, 0.5}
	small := func(rate float64) (accounts []sideAccount) {
		for i := range 5 {
			accounts = append(accounts, sideAccount{fmt.Sprint("small-", i), rate, both})
		}
		return accounts
	}
	results := map[string]sideResult{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, load := range []struct {
		name     string
		accounts []sideAccount
	}{
		{"even", small(0.09 * sideFull)},
		{"one side", append(small(0.04*sideFull), sideAccount{"big", 0.55 * sideFull, [2]float64{1, 0}})},
	} {
		for name, w := range sideWays {
			group.Go(func() {
				r := newTwoSides(w).play(load.accounts).result()
				mu.Lock()
				defer mu.Unlock()
				t.Logf("%-8s %-15s %v", load.name, name, r)
				results[load.name+" "+name] = r
			})
		}
	}
	group.Wait()
	kept, only, full := results["one side kept"], results["one side own region only"], results["one side full"]
	is.True(results["even kept"].over < 0.01)
	is.True(results["even kept"].inTime > 0.99)
	is.True(kept.owed >= 1)
	is.True(kept.small > 0.95)
	is.True(kept.big > 2*only.big)
	is.True(kept.inTime > 1.5*full.inTime)
	is.True(kept.idle < only.idle-0.3)
	is.True(kept.over < results["one side one order"].over)
}
