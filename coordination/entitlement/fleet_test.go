// SPDX-License-Identifier: Apache-2.0

package entitlement_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines fleet, a model of many gateways, the leader and the engines in
// virtual time. The decisions are the real ones of entitlement and overload; callers,
// processors, engines and links are models of a few lines each.

// Times and rates of the model.
const (
	step       = 20 * time.Millisecond
	settleTime = 100 * time.Millisecond // between two reports of a gateway, and two lists
	listDelay  = 120 * time.Millisecond // from a settlement until gateways have its list
	named      = 2.3e6                  // tokens a second that the operator names
	made       = 3.0e6                  // that the engines make, where they have not much idle
	madeIdle   = 30e6                   // the same where most of them run nothing
	objective  = 400 * time.Millisecond
	refuseTime = 300 * time.Microsecond // of a gateway's processor: 60 µs, half of BenchmarkRefusal/kept, at a fifth of a core
	serveTime  = 5 * time.Millisecond   // the same for a request that is served: 40 events of 26 µs
	streamTime = 500 * time.Millisecond // over which its events are spread
	patience   = time.Second            // after which a caller that was not read is gone
)

// roomParts are how much of the objective engines may be busy for, by class.
var roomParts = [...]float64{0.45, 0.25, 0.1, 0}

// modelAccount is one account's callers.
type modelAccount struct {
	name    string
	usual   float64 // tokens a second
	home    []int   // gateways where its callers meet: first tries, then second ones; nil: any
	floods  []flood
	demands float64 // of the present step, carried over
}

// mostTimes bounds floods that overlap: more requests than a gateway can refuse are no
// matter of shares.
const mostTimes = 40

// flood multiplies an account's demand for a while.
type flood struct {
	from, to time.Duration
	times    float64
}

func (a *modelAccount) rate(now time.Duration) float64 {
	rate := a.usual
	for _, f := range a.floods {
		if f.from <= now && now < f.to {
			rate *= f.times
		}
	}
	return min(rate, mostTimes*a.usual)
}

// modelGateway is one gateway: its classes, and how far its processor is behind.
type modelGateway struct {
	classifier *entitlement.Classifier
	detector   overload.Detector
	pace       overload.Pace
	taken      int // connections since the last firing of its timer
	behind     time.Duration
	relays     time.Duration // what is to be done for answers that stream
	fires      time.Duration // when its timer does
	report     protocol.Usage
	queue      modelQueue
	read       int // requests since the last report
	demanded   map[string]uint64
	served     map[string]uint64
}

// try is one request of an account that comes to a gateway.
type try struct {
	account *modelAccount
	cost    float64
	second  bool
	at      time.Duration
}

// window is one second of one account.
type window struct {
	asked, got float64
	waited     bool
}

// fleet is all of it.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	gateways []*modelGateway
	accounts []*modelAccount
	leader   *entitlement.Demand
	changes  []time.Duration // of leaders
	lists    []sentList
	again    []try   // that come back later
	made     float64 // tokens a second of the engines
	busy     float64
	taken    float64 // tokens given to engines since the last settlement
	seconds  map[string][]window
}

// sentList is on its way to the gateways.
type sentList struct {
	due   time.Duration
	list  []protocol.Entitlement
	short bool
	most  float64
	known bool
}

func newFleet(seed uint64, gateways int, accounts []*modelAccount) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second, accounts: accounts, leader: entitlement.NewDemandEstimator(),
		seconds: map[string][]window{}, made: made,
	}
	for range gateways {
		f.gateways = append(f.gateways, &modelGateway{
			classifier: entitlement.NewClassifier(), detector: overload.New(f.now),
			demanded: map[string]uint64{}, served: map[string]uint64{},
		})
	}
	return f
}

// run lets the fleet serve for a while.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += step {
		f.deliverLists()
		for _, g := range f.gateways {
			if f.now >= g.fires {
				g.detector = g.detector.Tick(max(g.fires, f.now-step), 0)
				g.pace = g.pace.Next(f.now, g.detector.Delay, g.taken)
				g.taken = 0
				g.fires = max(g.fires, f.now-step) + step + g.behind // the timer waits behind all other work
			}
			relayed := g.relays * step / streamTime
			g.relays -= relayed
			g.behind = max(g.behind+relayed-step, 0)
		}
		f.busy = max(f.busy-f.made*step.Seconds(), 0)
		f.arrive()
		for _, g := range f.gateways {
			g.queue.step(f.now, g.pace.Bounded())
		}
		if f.now%settleTime == 0 {
			f.settle()
		}
	}
}

func (f *fleet) deliverLists() {
	for len(f.lists) > 0 && f.lists[0].due <= f.now {
		for _, g := range f.gateways {
			if f.lists[0].known && g.behind <= patience {
				g.classifier.Update(f.now, f.lists[0].list, nil, f.lists[0].short)
				g.classifier.SetMaxAccountRate(f.lists[0].most)
			}
		}
		f.lists = f.lists[1:]
	}
}

// settle sends all reports to the leader, and its list on the way.
func (f *fleet) settle() {
	for len(f.changes) > 0 && f.changes[0] <= f.now {
		f.leader = entitlement.NewDemandEstimator()
		f.changes = f.changes[1:]
	}
	for _, g := range f.gateways {
		if g.behind > patience { // its session is lost, and what it would report until the next one
			g.report = protocol.Usage{}
			clear(g.demanded)
			clear(g.served)
			continue
		}
		g.report.Demands, g.report.Served = tokensOf(g.demanded), tokensOf(g.served)
		for _, s := range g.report.Served {
			g.report.Started += s.Tokens
		}
		g.report.Unread = g.unread(f.now)
		f.leader.Add(g.report)
		g.report = protocol.Usage{}
		clear(g.demanded)
		clear(g.served)
	}
	f.leader.SetBusyFraction(min(f.taken/(f.made*settleTime.Seconds()), 1)) // so many of the engines run something
	f.taken = 0
	f.leader.Recompute(f.now, named)
	f.lists = append(f.lists, sentList{
		f.now + listDelay, f.leader.Entitlements(), f.leader.Contended(), f.leader.MaxAccountRate(), f.leader.Ready(),
	})
}

// tokensOf returns tokens by account in the order of the names, so that every run is the same.
func tokensOf(byAccount map[string]uint64) []protocol.Demand {
	var out []protocol.Demand
	for _, account := range slices.Sorted(maps.Keys(byAccount)) {
		out = append(out, protocol.Demand{Account: account, Tokens: byAccount[account]})
	}
	return out
}

// arrive lets the step's requests come, new ones and those that come back.
func (f *fleet) arrive() {
	for _, a := range f.accounts {
		f.second(a) // there is one also of an account that asks for nothing
		a.demands += a.rate(f.now) * step.Seconds()
		for a.demands > 0 {
			cost := 600 + f.rng.ExpFloat64()*2400
			a.demands -= cost
			f.second(a).asked += cost
			f.ask(try{account: a, cost: cost})
		}
	}
	back := f.again
	f.again = nil
	for _, t := range back {
		if t.at > f.now {
			f.again = append(f.again, t)
			continue
		}
		f.ask(t)
	}
}

// second is the present second of an account.
func (f *fleet) second(a *modelAccount) *window {
	n := int(f.now / time.Second)
	for len(f.seconds[a.name]) <= n {
		f.seconds[a.name] = append(f.seconds[a.name], window{})
	}
	return &f.seconds[a.name][n]
}

// gateway is where a try comes: the account's own gateways, or any.
func (f *fleet) gateway(t try) *modelGateway {
	home := t.account.home
	switch {
	case len(home) == 0:
		return f.gateways[f.rng.IntN(len(f.gateways))]
	case t.second:
		return f.gateways[home[len(home)-1]]
	}
	return f.gateways[home[0]]
}

// ask lets a try be served or refused.
func (f *fleet) ask(t try) {
	g := f.gateway(t)
	if g.behind > patience {
		f.refused(t, step) // it was not read, and its caller knows no better than to come again at once
		return
	}
	g.queue.came++
	if g.taken >= g.pace.Allowance() {
		f.refused(t, patience) // it was not let in
		return
	}
	g.taken++
	g.queue.taken++
	g.read++
	g.behind += refuseTime
	g.demanded[t.account.name] += uint64(t.cost)
	class := g.classifier.Classify(f.now, t.account.name, t.cost, false)
	room := f.busy <= roomParts[class]*objective.Seconds()*f.made
	admits := g.detector.Admits(class)
	if !admits || !g.classifier.Admits(f.now, t.account.name, class) || !room {
		if entitlement.CountsAsMissed(class, !admits) {
			g.report.Missed += uint64(t.cost)
		}
		f.refused(t, 100*time.Millisecond)
		return
	}
	f.busy += t.cost
	f.taken += t.cost
	g.relays += serveTime
	g.served[t.account.name] += uint64(t.cost)
	g.classifier.RecordStart(f.now, t.account.name, t.cost)
	f.second(t.account).got += t.cost
}

// refused lets the caller wait, and come back once.
func (f *fleet) refused(t try, after time.Duration) {
	f.second(t.account).waited = true
	if t.second {
		return
	}
	t.second, t.at = true, f.now+after
	f.again = append(f.again, t)
}

// unfair is the worst six seconds of a run.
type unfair struct {
	part      float64 // of the least that the promise gives
	account   string
	from      int // second
	asked     float64
	got, owed float64
}

// worst looks at all spans of six seconds for the account that waited in each of them
// and got the least of what it was owed: half of what it asked or of what another
// account got, whichever is less, second by second.
func (f *fleet) worst() unfair {
	const span = 6
	w := unfair{part: math.Inf(1)}
	for from := 2; from+span <= int(f.now/time.Second); from++ { // the first second is not whole
		for _, a := range f.accounts {
			sum, waited := unfair{account: a.name, from: from}, true
			for _, s := range f.seconds[a.name][from : from+span] {
				waited = waited && s.waited
				sum.asked += s.asked
				sum.got += s.got
			}
			if !waited {
				continue
			}
			for _, other := range f.accounts {
				sum.owed = max(sum.owed, f.owed(a, other, from, span))
			}
			if sum.part = sum.got / sum.owed; sum.part < w.part {
				w = sum
			}
		}
	}
	return w
}

// owed is half of what an account asked or another one got, whichever is less, second by
// second.
func (f *fleet) owed(a, other *modelAccount, from, span int) float64 {
	sum := 0.0
	for second := from; second < from+span; second++ {
		sum += 0.5 * min(f.seconds[a.name][second].asked, f.seconds[other.name][second].got)
	}
	return sum
}

// served returns the tokens given a second.
func (f *fleet) served() float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(f.seconds)) {
		for _, s := range f.seconds[name] {
			total += s.got
		}
	}
	return total / (f.now - time.Second).Seconds()
}
