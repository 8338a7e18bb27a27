// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// This file defines Schedule, which share of a pool's requests its rollout's target gets when,
// and when the rollout ends.

// Parts of the time between the order and its deadline, weighed in docs/design/rollouts.md.
const (
	// trialPart is when the target gets all requests if it is good: what turns bad after some
	// seconds is seen before, and 1 s of all requests and the end of what runs on the old
	// servers still fit in.
	trialPart = 0.6
	// latestPart is when it is decided at the latest whether it gets them.
	latestPart = 0.78
	// completePart is when a rollout that has switched is complete at the latest: the log takes
	// some 100 ms, and a new leader may have to come first.
	completePart = 0.88
)

// fullTime is for how long the target must have had all requests before a rollout is complete: what
// only all of them show is seen in some 100 ms.
const fullTime = time.Second

// fullOfRest is the same as a part of what is left until the deadline at the switch, where that is
// less.
const fullOfRest = 0.5

// stopTime is how long it takes from a switch until the leader has seen that the target is bad
// and the gateways send it nothing any more: an answer, a report (registry.ReportPeriod), a
// step of the leader, two ways on the network. Chosen, with the delays of those.
const stopTime = 450 * time.Millisecond

// The trial.
const (
	// trialOfBound is the share in the trial, as a part of Bounds.Share: 0.04 of 0.1.
	trialOfBound = 0.4
	// leastOfBound is the least share, as a part of Bounds.Share.
	leastOfBound = 0.2
	// mostShare is the most, where few requests come, so that the old version gets as many to compare
	// with.
	mostShare = 0.5
	// enoughSent is how many requests in a trial are enough on each route: 5 % of failures are
	// seen in 150 to 300 answers (TestBadVersions).
	enoughSent = 300
	// neededSent is how many requests on each route a trial gets even if no reserve is left for
	// what only the switch shows: without evidence the switch is the larger risk.
	neededSent = 17
	// usedBudget is the part of what the bound allows that a trial plans to use.
	usedBudget = 0.85
	// enoughKnown is how many good answers make a route good: after 16 without a failure one
	// that fails 20 % of them is out of the question by 35 to 1.
	enoughKnown = 16
	// suspicion is Page's sum from which a switch waits: about one failure.
	suspicion = 3.5
	// suspicionLate is the sum from which there is no switch at the latest moment, by
	// TestFalseAlarms.
	suspicionLate = 8
	// fewestKnown is how many answers on a route are enough at the latest moment: with 8, 7 of
	// 2,000 good versions were rolled back (docs/design/rollouts.md).
	fewestKnown = 4
	// fewestPart is the part of a route's requests whose answers are enough then, if that is less than
	// fewestKnown.
	fewestPart = 0.1
	// leastUsed is the part of all requests that the target must have had from the switch on. In the
	// least time until the end, the switch reaches gateways and is reported for some half of them.
	leastUsed = 0.1
	// rareSent is the number of requests up to which a route may stay untried.
	rareSent = 10
)

// The rate of requests.
const (
	// rateTime is over how long it is averaged.
	rateTime = time.Second
	// leastWeight is the weight in seconds from which the average is known.
	leastWeight = 0.25
)

// Action is what becomes of a rollout under way. The zero value is no end.
type Action uint8

// The endings.
const (
	Continue Action = iota
	Complete        // the old servers may stop
	RollBack        // the target's servers get nothing any more
)

// Observation is what the leader knows at one moment.
type Observation struct {
	Elapsed time.Duration // since the order, at least
	// Totals are the outcomes by route since the rollout began.
	Totals map[string]*RouteTallies
	// RoutesWithoutTarget are the routes whose homes have no server of the target: they cannot try it.
	RoutesWithoutTarget map[string]bool
	// ReportsComplete is whether all gateways in touch have reported, or have had the time.
	ReportsComplete bool
	// OldIdle is whether all gateways obey the switch and nothing runs on the old servers.
	OldIdle bool
	// TargetListed is whether a server of the target is listed, in a data hall in service.
	TargetListed bool
}

// Decision is what is to be done until the next step.
type Decision struct {
	Action   Action
	Share    float64            // of all requests
	Routes   map[string]float64 // by route, where it is not Share
	Reason   string             // for the log
	Evidence Evidence
	Sent     uint64 // to the target
	Total    uint64 // requests of the pool
}

// hardly is the part by which a share may differ from the one that gateways were sent before they are
// sent another: every message goes to every gateway.
const hardly = 0.2

// Differs reports whether gateways have to be sent d's shares in place of those of before.
func (d Decision) Differs(before Decision) bool {
	if differ(d.Share, before.Share) || len(d.Routes) != len(before.Routes) {
		return true
	}
	for route, share := range d.Routes {
		if differ(share, before.Routes[route]) {
			return true
		}
	}
	return false
}

func differ(a, b float64) bool { return math.Abs(a-b) > hardly*b || (a == 1) != (b == 1) }

// Schedule is one rollout under way. It is used by one goroutine.
type Schedule struct {
	Duration time.Duration
	Bounds   Bounds

	evidence evidence
	last     time.Duration // of the last step
	switched time.Duration // when the target got all requests; 0: not yet
	before   use           // as of the switch
	resumed  bool          // an earlier leader switched, and before is not known yet
	rate     rateMeter
	decided  Decision // the last one
}

// use is how many requests the target had, and how many there were, on routes that can try it.
type use struct{ sent, of uint64 }

func (o Observation) use() (u use) {
	for route, p := range o.Totals {
		if !o.RoutesWithoutTarget[route] {
			u.sent += p.Target.Sent
			u.of += p.Target.Sent + p.Old.Sent
		}
	}
	return u
}

// rateMeter averages the rate of requests.
type rateMeter struct {
	sent    uint64
	since   time.Duration // that count
	weight  float64       // seconds
	counted float64       // requests in that weight
	begun   bool
}

// step takes the requests so far. A count that has fallen, because a relay's gateways report
// elsewhere, says nothing until they do.
func (m *rateMeter) step(passed time.Duration, sent uint64) {
	m.since += passed
	if m.begun && sent < m.sent {
		return
	}
	if m.begun {
		kept := math.Exp(-m.since.Seconds() / rateTime.Seconds())
		m.weight = m.weight*kept + m.since.Seconds()
		m.counted = m.counted*kept + rise(m.sent, sent)
	}
	m.begun, m.sent, m.since = true, sent, 0
}

// perSecond returns the rate, and whether it is known.
func (m *rateMeter) perSecond() (rate float64, known bool) {
	if m.weight < leastWeight {
		return 0, false
	}
	return m.counted / m.weight, true
}

// Resume goes on with a rollout whose target an earlier leader gave all requests, at some time
// since the order. Begun anew it would wait: what the target had is above the bound of a trial.
func (s *Schedule) Resume(switched time.Duration) { s.switched, s.resumed = switched, true }

// Switched reports whether the target was given all requests.
func (s *Schedule) Switched() bool { return s.switched > 0 }

// Step takes what is known now and returns what is to be done.
func (s *Schedule) Step(o Observation) Decision {
	passed := max(o.Elapsed-s.last, 0)
	s.last = o.Elapsed
	d := Decision{}
	for _, p := range o.Totals {
		d.Sent += p.Target.Sent
		d.Total += p.Target.Sent + p.Old.Sent
	}
	d.Sent = max(d.Sent, s.decided.Sent) // what a relay's totals take with them was sent all the same
	if !o.ReportsComplete {
		s.rate = rateMeter{} // what comes now was sent at any time
	}
	s.rate.step(passed, d.Total)
	s.evidence.step(passed, o.Totals, s.Switched())
	d.Evidence = s.evidence.worst()
	switch {
	case d.Evidence.Sum >= alarm:
		d.Action, d.Reason = RollBack, "bad answers"
	case !o.ReportsComplete:
		d.Reason = "reports are awaited"
	case s.Switched():
		s.finish(o, &d)
	default:
		s.try(o, &d)
	}
	s.decided = d
	return d
}

// finish decides after the switch.
func (s *Schedule) finish(o Observation, d *Decision) {
	d.Share = 1
	if s.resumed {
		s.before, s.resumed = o.use(), false
	}
	rest := float64(s.Duration - s.switched)
	full := o.Elapsed-s.switched >= min(fullTime, time.Duration(fullOfRest*rest))
	switch {
	case full && o.Elapsed >= s.at(completePart) && (!o.TargetListed || s.unused(o)):
		d.Action, d.Reason = RollBack, "the target gets no requests"
	case full && o.Elapsed >= s.at(completePart):
		d.Action, d.Reason = Complete, "the time is nearly over"
	case full && o.OldIdle && o.TargetListed && d.Evidence.Sum < suspicion:
		d.Action, d.Reason = Complete, "nothing runs on the old servers"
	default:
		d.Reason = "all requests"
	}
}

// unused reports whether hardly anything has gone to the target since the switch, though requests
// came: what has no room, or cannot be used, cannot take the old servers' place.
func (s *Schedule) unused(o Observation) bool {
	now := o.use()
	sent, of := rise(s.before.sent, now.sent), rise(s.before.of, now.of)
	return of >= enoughKnown && sent < leastUsed*of
}

func (s *Schedule) at(part float64) time.Duration {
	return time.Duration(part * float64(s.Duration))
}

// try decides before the switch.
func (s *Schedule) try(o Observation, d *Decision) {
	rate, known := s.rate.perSecond()
	good := s.good(o, d)
	late := o.Elapsed >= s.at(latestPart)
	reserve := s.allowed(d.Total)-float64(d.Sent) >= rate*stopTime.Seconds()
	few := known && d.Evidence.Sum < suspicionLate && s.fits(rate, o.Elapsed, d)
	switch {
	case late && !o.TargetListed:
		d.Action, d.Reason = RollBack, "no server of the target"
	case late && !known:
		d.Reason = "the rate is not known yet"
	case o.Elapsed >= s.at(trialPart) && o.TargetListed && good && (reserve || late):
		s.switchAll(o, d, "good answers")
	case late && few:
		s.switchAll(o, d, "few requests, and nothing speaks against it")
	case late:
		d.Action, d.Reason = RollBack, "too little is known in time"
	default:
		s.share(o, d, rate, known)
	}
}

func (s *Schedule) switchAll(o Observation, d *Decision, why string) {
	s.switched = max(o.Elapsed, 1)
	d.Share, d.Reason = 1, why
	s.before = o.use()
}

// allowed returns how many requests a bad version may have had of as many in all.
func (s *Schedule) allowed(of uint64) float64 {
	b := s.Bounds.orDefault()
	return b.Share*float64(of) + b.Slack
}

// fits reports whether all requests until the deadline may go to a bad version.
func (s *Schedule) fits(rate float64, elapsed time.Duration, d *Decision) bool {
	rest := rate * max(s.Duration-elapsed, 0).Seconds()
	return float64(d.Sent)+rest <= s.allowed(d.Total+uint64(rest))
}

// good reports whether each route that can try the target has enough answers of it, and no sum is
// suspicious.
func (s *Schedule) good(o Observation, d *Decision) bool {
	late := o.Elapsed >= s.at(latestPart)
	if d.Evidence.Sum >= suspicion && !late || d.Evidence.Sum >= suspicionLate || d.Evidence.KnownOutcomes < enoughKnown {
		return false
	}
	for route, p := range o.Totals {
		if o.RoutesWithoutTarget[route] {
			continue
		}
		all := float64(p.Target.Sent + p.Old.Sent)
		needed := float64(enoughKnown)
		if late {
			needed = min(fewestKnown, fewestPart*all)
		}
		if all > rareSent && float64(p.Target.known()) < needed {
			return false
		}
	}
	return true
}

// share sets the shares of a trial.
func (s *Schedule) share(o Observation, d *Decision, rate float64, known bool) {
	bound := s.Bounds.orDefault().Share
	d.Share, d.Reason = math.Round(1000*trialOfBound*bound)/1000, "trial"
	if !known || rate == 0 {
		return
	}
	until := max(s.at(trialPart)-o.Elapsed, stopTime).Seconds()
	allowed := usedBudget * s.allowed(d.Total+uint64(rate*until))
	budget := max(allowed-usedBudget*rate*stopTime.Seconds(), min(allowed, float64(neededSent*len(o.Totals))))
	wanted := max(d.Share, float64(enoughSent*len(o.Totals))/(float64(d.Total)+rate*until))
	d.Share = max(min((budget-float64(d.Sent))/(rate*until), wanted, mostShare), leastOfBound*bound)
	if float64(d.Sent)+d.Share*rate*stopTime.Seconds() > s.allowed(d.Total) {
		d.Share, d.Reason = 0, "the bound is used up"
		return
	}
	d.Share = math.Round(1000*d.Share) / 1000 // as it is logged
	d.Routes = divide(o.Totals, d.Share)
}

// divide gives each route as many requests as the others where the share of all allows it, so
// that a route with few is tried as well. No route gets more than mostShare.
func divide(totals map[string]*RouteTallies, share float64) map[string]float64 {
	if len(totals) < 2 {
		return nil
	}
	routes := slices.Sorted(maps.Keys(totals))
	sent := func(r string) float64 { return float64(totals[r].Target.Sent + totals[r].Old.Sent) }
	slices.SortStableFunc(routes, func(a, b string) int {
		switch x, y := sent(a), sent(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	left := 0.0
	for _, r := range routes {
		left += share * sent(r)
	}
	shares := map[string]float64{}
	for i, r := range routes {
		part := min(left/float64(len(routes)-i), mostShare*sent(r))
		left -= part
		if sent(r) > 0 {
			shares[r] = part / sent(r)
		}
	}
	return shares
}
