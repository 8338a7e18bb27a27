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

// This file defines fleet, a model of many gateways, the leader and the engines in virtual
// time. The decisions are those of packages entitlement and overload; callers, processors,
// engines and links are simple models.

// Times and rates of the model.
const (
	step              = 20 * time.Millisecond
	recomputeInterval = 100 * time.Millisecond // interval of gateway reports and of lists
	listDelay         = 120 * time.Millisecond // delay from a recomputation until gateways have its list
	configuredRate    = 2.3e6                  // tokens per second, configured by the operator
	engineRate        = 3.0e6                  // tokens per second that the engines produce with little idle capacity
	idleEngineRate    = 30e6                   // tokens per second that they produce where most of them are idle
	queueObjective    = 400 * time.Millisecond
	refuseTime        = 300 * time.Microsecond // processor time per refusal: 60 µs, half of BenchmarkRefusal/kept, at a fifth of a core
	serveTime         = 5 * time.Millisecond   // processor time per served request: 40 events of 26 µs
	streamTime        = 500 * time.Millisecond // time over which its events are spread
	callerTimeout     = time.Second            // time after which a caller whose request was not read disconnects
)

// admissionFractions holds, by class, the fraction of queueObjective that the engines'
// backlog may reach while they still accept a request.
var admissionFractions = [...]float64{0.45, 0.25, 0.1, 0}

// modelAccount is one account with its callers.
type modelAccount struct {
	name          string
	baseRate      float64 // tokens per second outside floods
	homeGateways  []int   // gateways where its callers' first attempts and retries arrive; nil means any
	floods        []flood
	pendingTokens float64 // tokens still to be requested, carried over between steps
}

// maxFloodFactor limits overlapping floods. Where more requests arrive than a gateway can even
// refuse, fair shares cannot be kept.
const maxFloodFactor = 40

// flood multiplies an account's demand during a period.
type flood struct {
	from, to time.Duration
	factor   float64
}

func (a *modelAccount) rate(now time.Duration) float64 {
	rate := a.baseRate
	for _, f := range a.floods {
		if f.from <= now && now < f.to {
			rate *= f.factor
		}
	}
	return min(rate, maxFloodFactor*a.baseRate)
}

// modelGateway is one gateway with its classifier and the lag of its processor.
type modelGateway struct {
	classifier   *entitlement.Classifier
	detector     overload.Detector
	pace         overload.AcceptLimit
	accepted     int // connections accepted since the timer last fired
	lag          time.Duration
	relayBacklog time.Duration // processor time still needed for streaming answers
	timerDue     time.Duration // time at which the timer fires next
	report       protocol.Usage
	queue        modelQueue
	requestsRead int // requests read since the last report
	demanded     map[string]uint64
	served       map[string]uint64
}

// attempt is one attempt at a request at a gateway.
type attempt struct {
	account *modelAccount
	cost    float64
	isRetry bool
	due     time.Duration
}

// accountSecond holds one account's tokens in one second.
type accountSecond struct {
	requested, served float64
	waited            bool // a request was refused or not read in this second
}

// fleet is the whole model.
type fleet struct {
	rng           *rand.Rand
	now           time.Duration
	gateways      []*modelGateway
	accounts      []*modelAccount
	leader        *entitlement.DemandEstimator
	leaderChanges []time.Duration // times at which the leader changes
	lists         []sentList
	retries       []attempt // retries that are due later
	engineRate    float64   // tokens per second that the engines produce
	engineBacklog float64
	startedTokens float64 // tokens given to engines since the last recomputation
	seconds       map[string][]accountSecond
}

// sentList is a list in transit to the gateways.
type sentList struct {
	due            time.Duration
	list           []protocol.Entitlement
	contended      bool
	maxAccountRate float64
	ready          bool
}

func newFleet(seed uint64, gateways int, accounts []*modelAccount) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second, accounts: accounts, leader: entitlement.NewDemandEstimator(),
		seconds: map[string][]accountSecond{}, engineRate: engineRate,
	}
	for range gateways {
		f.gateways = append(f.gateways, &modelGateway{
			classifier: entitlement.NewClassifier(), detector: overload.New(f.now),
			demanded: map[string]uint64{}, served: map[string]uint64{},
		})
	}
	return f
}

// run runs the model for a time span.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += step {
		f.deliverLists()
		for _, g := range f.gateways {
			if f.now >= g.timerDue {
				g.detector = g.detector.Tick(max(g.timerDue, f.now-step), 0)
				g.pace = g.pace.Next(f.now, g.detector.Delay, g.accepted)
				g.accepted = 0
				g.timerDue = max(g.timerDue, f.now-step) + step + g.lag // the timer is delayed by queued work
			}
			relayed := g.relayBacklog * step / streamTime
			g.relayBacklog -= relayed
			g.lag = max(g.lag+relayed-step, 0)
		}
		f.engineBacklog = max(f.engineBacklog-f.engineRate*step.Seconds(), 0)
		f.arrive()
		for _, g := range f.gateways {
			g.queue.step(f.now, g.pace.Bounded())
		}
		if f.now%recomputeInterval == 0 {
			f.recompute()
		}
	}
}

func (f *fleet) deliverLists() {
	for len(f.lists) > 0 && f.lists[0].due <= f.now {
		for _, g := range f.gateways {
			if f.lists[0].ready && g.lag <= callerTimeout {
				g.classifier.Update(f.now, f.lists[0].list, nil, f.lists[0].contended)
				g.classifier.SetMaxAccountRate(f.lists[0].maxAccountRate)
			}
		}
		f.lists = f.lists[1:]
	}
}

// recompute sends all reports to the leader and queues its list for delivery.
func (f *fleet) recompute() {
	for len(f.leaderChanges) > 0 && f.leaderChanges[0] <= f.now {
		f.leader = entitlement.NewDemandEstimator()
		f.leaderChanges = f.leaderChanges[1:]
	}
	for _, g := range f.gateways {
		if g.lag > callerTimeout { // its session is lost, along with everything it would report until the next one
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
	f.leader.SetBusyFraction(min(f.startedTokens/(f.engineRate*recomputeInterval.Seconds()), 1)) // fraction of engines that run something
	f.startedTokens = 0
	f.leader.Recompute(f.now, configuredRate)
	f.lists = append(f.lists, sentList{
		f.now + listDelay, f.leader.Entitlements(), f.leader.Contended(), f.leader.MaxAccountRate(), f.leader.Ready(),
	})
}

// tokensOf returns the tokens by account, ordered by name so that runs are reproducible.
func tokensOf(byAccount map[string]uint64) []protocol.Demand {
	var out []protocol.Demand
	for _, account := range slices.Sorted(maps.Keys(byAccount)) {
		out = append(out, protocol.Demand{Account: account, Tokens: byAccount[account]})
	}
	return out
}

// arrive submits the step's new requests and the retries that are due.
func (f *fleet) arrive() {
	for _, a := range f.accounts {
		f.second(a) // creates the entry even if the account requests nothing
		a.pendingTokens += a.rate(f.now) * step.Seconds()
		for a.pendingTokens > 0 {
			cost := 600 + f.rng.ExpFloat64()*2400
			a.pendingTokens -= cost
			f.second(a).requested += cost
			f.submit(attempt{account: a, cost: cost})
		}
	}
	retries := f.retries
	f.retries = nil
	for _, t := range retries {
		if t.due > f.now {
			f.retries = append(f.retries, t)
			continue
		}
		f.submit(t)
	}
}

// second returns the current second of an account.
func (f *fleet) second(a *modelAccount) *accountSecond {
	n := int(f.now / time.Second)
	for len(f.seconds[a.name]) <= n {
		f.seconds[a.name] = append(f.seconds[a.name], accountSecond{})
	}
	return &f.seconds[a.name][n]
}

// gateway returns the gateway at which an attempt arrives: one of the account's own, or any.
func (f *fleet) gateway(t attempt) *modelGateway {
	home := t.account.homeGateways
	switch {
	case len(home) == 0:
		return f.gateways[f.rng.IntN(len(f.gateways))]
	case t.isRetry:
		return f.gateways[home[len(home)-1]]
	}
	return f.gateways[home[0]]
}

// submit serves or refuses an attempt.
func (f *fleet) submit(t attempt) {
	g := f.gateway(t)
	if g.lag > callerTimeout {
		f.refuse(t, step) // the attempt was not read, and its caller retries at once
		return
	}
	g.queue.arrived++
	if g.accepted >= g.pace.Allowance() {
		f.refuse(t, callerTimeout) // the connection was not accepted
		return
	}
	g.accepted++
	g.queue.accepted++
	g.requestsRead++
	g.lag += refuseTime
	g.demanded[t.account.name] += uint64(t.cost)
	class := g.classifier.Classify(f.now, t.account.name, t.cost, false)
	room := f.engineBacklog <= admissionFractions[class]*queueObjective.Seconds()*f.engineRate
	admits := g.detector.Admits(class)
	if !admits || !g.classifier.Admits(f.now, t.account.name, class) || !room {
		if entitlement.CountsAsMissed(class, !admits) {
			g.report.Missed += uint64(t.cost)
		}
		f.refuse(t, 100*time.Millisecond)
		return
	}
	f.engineBacklog += t.cost
	f.startedTokens += t.cost
	g.relayBacklog += serveTime
	g.served[t.account.name] += uint64(t.cost)
	g.classifier.RecordStart(f.now, t.account.name, t.cost)
	f.second(t.account).served += t.cost
}

// refuse records the wait and schedules the caller's one retry.
func (f *fleet) refuse(t attempt, after time.Duration) {
	f.second(t.account).waited = true
	if t.isRetry {
		return
	}
	t.isRetry, t.due = true, f.now+after
	f.retries = append(f.retries, t)
}

// worstCase holds the six seconds of a run in which an account was served the smallest
// fraction of its guarantee.
type worstCase struct {
	fraction           float64 // fraction of the guaranteed service
	account            string
	from               int // start, in seconds
	requested          float64
	served, guaranteed float64
}

// worst returns, over all spans of six seconds, the account that waited in each second and
// was served the smallest fraction of its guarantee: half of what it requested or of what
// another account was served, whichever is less, second by second.
func (f *fleet) worst() worstCase {
	const span = 6
	w := worstCase{fraction: math.Inf(1)}
	for from := 2; from+span <= int(f.now/time.Second); from++ { // the first second is incomplete
		for _, a := range f.accounts {
			current, waited := worstCase{account: a.name, from: from}, true
			for _, s := range f.seconds[a.name][from : from+span] {
				waited = waited && s.waited
				current.requested += s.requested
				current.served += s.served
			}
			if !waited {
				continue
			}
			for _, other := range f.accounts {
				current.guaranteed = max(current.guaranteed, f.guaranteed(a, other, from, span))
			}
			if current.fraction = current.served / current.guaranteed; current.fraction < w.fraction {
				w = current
			}
		}
	}
	return w
}

// guaranteed returns half of what account a requested or the other was served, whichever is
// less, summed second by second.
func (f *fleet) guaranteed(a, other *modelAccount, from, span int) float64 {
	sum := 0.0
	for second := from; second < from+span; second++ {
		sum += 0.5 * min(f.seconds[a.name][second].requested, f.seconds[other.name][second].served)
	}
	return sum
}

// servedRate returns the tokens served per second.
func (f *fleet) servedRate() float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(f.seconds)) {
		for _, s := range f.seconds[name] {
			total += s.served
		}
	}
	return total / (f.now - time.Second).Seconds()
}
