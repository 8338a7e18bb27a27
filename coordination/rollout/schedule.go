// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// This file defines Schedule, which decides the share of a pool's requests that a rollout's target
// gets over time, and when the rollout ends.

// Points between the order and its deadline, as fractions of the duration. docs/design/rollouts.md
// describes the alternatives.
const (
	// trialEndFraction is when a good target gets all requests. A target that turns bad after some
	// seconds is detected before this point, and the time after it suffices for 1 s at full load
	// and for the old servers to drain.
	trialEndFraction = 0.6
	// decideByFraction is the latest point at which to decide whether the target gets all requests.
	decideByFraction = 0.78
	// completeByFraction is the latest point at which a switched rollout is complete. The rest
	// covers the log entry, some 100 ms, and the election of a new leader.
	completeByFraction = 0.88
)

// fullExposureTime is how long the target must have had all requests before a rollout is complete.
// A fault that shows only under full load is detected within some 100 ms.
const fullExposureTime = time.Second

// fullExposureFraction bounds fullExposureTime, as a fraction of the time between the switch and
// the deadline.
const fullExposureFraction = 0.5

// reactionTime is the time from a switch to a bad target until gateways stop sending to it. It
// consists of an answer, a report (registry.ReportPeriod), a step of the leader and two network
// delays.
const reactionTime = 450 * time.Millisecond

// Parameters of the trial, and of the decision to switch.
const (
	// trialBoundFraction is the share in the trial as a fraction of Bounds.Share: 0.04 of 0.1.
	trialBoundFraction = 0.4
	// minBoundFraction is the smallest share as a fraction of Bounds.Share.
	minBoundFraction = 0.2
	// maxTrialShare is the largest share of a trial. It applies at low request rates and leaves the
	// old version as many requests to compare with.
	maxTrialShare = 0.5
	// targetSamples is the number of requests that a trial aims for on each route. A failure rate
	// of 5 % is detected within 150 to 300 answers (TestBadVersions).
	targetSamples = 300
	// minSamples is the number of requests that a trial gets on each route even if that leaves no
	// reserve for faults that show only after the switch. Switching without evidence is the larger
	// risk.
	minSamples = 17
	// budgetFraction is the part of the allowed requests to the target that a trial plans to use.
	budgetFraction = 0.85
	// minOutcomes is the number of known outcomes required on each route. 16 answers without a
	// failure rule out a failure rate of 20 % with odds of 35 to 1.
	minOutcomes = 16
	// suspicionSum is the CUSUM value at which a switch is postponed: about one failure.
	suspicionSum = 3.5
	// lateSuspicionSum is the CUSUM value at which a rollout is not switched at decideByFraction.
	// TestFalseAlarms checks the false alarms that result.
	lateSuspicionSum = 8
	// lateMinOutcomes replaces minOutcomes at decideByFraction. With 8, 7 of 2,000 good versions
	// are rolled back (docs/design/rollouts.md).
	lateMinOutcomes = 4
	// lateMinFraction replaces lateMinOutcomes on routes where this fraction of the requests is
	// smaller.
	lateMinFraction = 0.1
	// minUsedFraction is the smallest part of the requests since the switch that the target must
	// have served. In the shortest time before the end, the switch reaches the gateways and is
	// reported for about half of the requests.
	minUsedFraction = 0.1
	// untestedRouteLimit is the number of requests up to which a route may remain untested.
	untestedRouteLimit = 10
)

// Parameters of the request rate's moving average.
const (
	// rateTimeConstant is the time constant of the average.
	rateTimeConstant = time.Second
	// minRateWeight is the weight, in seconds, below which the average is not used.
	minRateWeight = 0.25
)

// Action is what the leader does with a rollout under way. The zero value lets it continue.
type Action uint8

// The actions.
const (
	Continue Action = iota
	Complete        // end the rollout; the old servers may stop
	RollBack        // end the rollout; the target's servers get no more requests
)

// Observation is the state of a rollout as the leader observes it at one moment.
type Observation struct {
	Elapsed time.Duration // since the order; a lower bound
	// Totals are the outcomes by route since the rollout began.
	Totals map[string]*RouteTallies
	// RoutesWithoutTarget are the routes that cannot use the target: none of its servers is in
	// their homes.
	RoutesWithoutTarget map[string]bool
	// ReportsComplete is whether every connected gateway has reported or has had the time to.
	ReportsComplete bool
	// OldIdle is whether all gateways have applied the switch and nothing runs on the old servers.
	OldIdle bool
	// TargetListed is whether a server of the target is listed in a data hall in service.
	TargetListed bool
}

// Decision is the result of a step, valid until the next one.
type Decision struct {
	Action   Action
	Share    float64            // of the pool's requests
	Routes   map[string]float64 // by route, where it differs from Share
	Reason   string             // for the log
	Evidence Evidence
	Sent     uint64 // requests to the target
	Total    uint64 // requests to the pool
}

// shareTolerance is the relative change of a share below which gateways are not sent the new one:
// each message goes to every gateway.
const shareTolerance = 0.2

// Differs reports whether the shares of d differ enough from those of before to be sent to the
// gateways.
func (d Decision) Differs(before Decision) bool {
	if sharesDiffer(d.Share, before.Share) || len(d.Routes) != len(before.Routes) {
		return true
	}
	for route, share := range d.Routes {
		if sharesDiffer(share, before.Routes[route]) {
			return true
		}
	}
	return false
}

func sharesDiffer(a, b float64) bool { return math.Abs(a-b) > shareTolerance*b || (a == 1) != (b == 1) }

// Schedule is the state of one rollout under way. It is not safe for concurrent use.
type Schedule struct {
	Duration time.Duration
	Bounds   Bounds

	detector           detector
	lastStep           time.Duration // time of the last step, since the order
	switchedAt         time.Duration // when the target got all requests; 0 before that
	usageAtSwitch      usage         // counts at the switch
	resumedAfterSwitch bool          // an earlier leader switched, and usageAtSwitch is not set yet
	rate               rateMeter
	lastDecision       Decision // of the last step
}

// usage counts the requests to the target, and all requests, on the routes that can use the target.
type usage struct{ sent, total uint64 }

func (o Observation) usage() (u usage) {
	for route, p := range o.Totals {
		if !o.RoutesWithoutTarget[route] {
			u.sent += p.Target.Sent
			u.total += p.Target.Sent + p.Old.Sent
		}
	}
	return u
}

// rateMeter is an exponential moving average of the request rate.
type rateMeter struct {
	sent             uint64
	sinceUpdate      time.Duration // time since sent was last updated
	weightSeconds    float64       // after decay
	weightedRequests float64       // requests counted with that weight
	started          bool
}

// step records the total number of requests. A total falls while the gateways of a lost relay have
// not reported elsewhere yet; it is ignored until it has recovered.
func (m *rateMeter) step(passed time.Duration, sent uint64) {
	m.sinceUpdate += passed
	if m.started && sent < m.sent {
		return
	}
	if m.started {
		decay := math.Exp(-m.sinceUpdate.Seconds() / rateTimeConstant.Seconds())
		m.weightSeconds = m.weightSeconds*decay + m.sinceUpdate.Seconds()
		m.weightedRequests = m.weightedRequests*decay + increase(m.sent, sent)
	}
	m.started, m.sent, m.sinceUpdate = true, sent, 0
}

// perSecond returns the rate, and whether there is enough data for it.
func (m *rateMeter) perSecond() (rate float64, known bool) {
	if m.weightSeconds < minRateWeight {
		return 0, false
	}
	return m.weightedRequests / m.weightSeconds, true
}

// Resume continues a rollout that an earlier leader switched, at the given time since the order. A
// new trial could not send to the target, which has already had more requests than a trial allows.
func (s *Schedule) Resume(switched time.Duration) {
	s.switchedAt, s.resumedAfterSwitch = switched, true
}

// Switched reports whether the target was given all requests.
func (s *Schedule) Switched() bool { return s.switchedAt > 0 }

// Step evaluates an observation and returns the decision.
func (s *Schedule) Step(o Observation) Decision {
	passed := max(o.Elapsed-s.lastStep, 0)
	s.lastStep = o.Elapsed
	d := Decision{}
	for _, p := range o.Totals {
		d.Sent += p.Target.Sent
		d.Total += p.Target.Sent + p.Old.Sent
	}
	d.Sent = max(d.Sent, s.lastDecision.Sent) // a lost relay's totals are missing, but its requests were sent
	if !o.ReportsComplete {
		s.rate = rateMeter{} // late reports cover an unknown time
	}
	s.rate.step(passed, d.Total)
	s.detector.step(passed, o.Totals, s.Switched())
	d.Evidence = s.detector.worst()
	switch {
	case d.Evidence.Sum >= alarmSum:
		d.Action, d.Reason = RollBack, "bad answers"
	case !o.ReportsComplete:
		d.Reason = "waiting for reports"
	case s.Switched():
		s.stepAfterSwitch(o, &d)
	default:
		s.stepBeforeSwitch(o, &d)
	}
	s.lastDecision = d
	return d
}

// stepAfterSwitch decides whether a switched rollout ends.
func (s *Schedule) stepAfterSwitch(o Observation, d *Decision) {
	d.Share = 1
	if s.resumedAfterSwitch {
		s.usageAtSwitch, s.resumedAfterSwitch = o.usage(), false
	}
	remaining := float64(s.Duration - s.switchedAt)
	longEnough := o.Elapsed-s.switchedAt >= min(fullExposureTime, time.Duration(fullExposureFraction*remaining))
	switch {
	case longEnough && o.Elapsed >= s.timeAt(completeByFraction) && (!o.TargetListed || s.targetUnused(o)):
		d.Action, d.Reason = RollBack, "the target gets no requests"
	case longEnough && o.Elapsed >= s.timeAt(completeByFraction):
		d.Action, d.Reason = Complete, "the deadline is near"
	case longEnough && o.OldIdle && o.TargetListed && d.Evidence.Sum < suspicionSum:
		d.Action, d.Reason = Complete, "nothing runs on the old servers"
	default:
		d.Reason = "all requests"
	}
}

// targetUnused reports whether the target served almost none of the requests since the switch. A
// target without capacity, or one that cannot be reached, must not replace the old servers.
func (s *Schedule) targetUnused(o Observation) bool {
	current := o.usage()
	sent, total := increase(s.usageAtSwitch.sent, current.sent), increase(s.usageAtSwitch.total, current.total)
	return total >= minOutcomes && sent < minUsedFraction*total
}

func (s *Schedule) timeAt(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.Duration))
}

// stepBeforeSwitch decides whether to switch, to continue the trial or to roll back.
func (s *Schedule) stepBeforeSwitch(o Observation, d *Decision) {
	rate, rateKnown := s.rate.perSecond()
	good := s.enoughGoodOutcomes(o, d)
	late := o.Elapsed >= s.timeAt(decideByFraction)
	hasReserve := s.allowedTargetRequests(d.Total)-float64(d.Sent) >= rate*reactionTime.Seconds()
	remainderAllowed := rateKnown && d.Evidence.Sum < lateSuspicionSum && s.remainderFits(rate, o.Elapsed, d)
	switch {
	case late && !o.TargetListed:
		d.Action, d.Reason = RollBack, "no server of the target is listed"
	case late && !rateKnown:
		d.Reason = "the request rate is not known yet"
	case o.Elapsed >= s.timeAt(trialEndFraction) && o.TargetListed && good && (hasReserve || late):
		s.switchToTarget(o, d, "good answers")
	case late && remainderAllowed:
		s.switchToTarget(o, d, "few requests, and no evidence against the target")
	case late:
		d.Action, d.Reason = RollBack, "not enough evidence in time"
	default:
		s.setTrialShare(o, d, rate, rateKnown)
	}
}

func (s *Schedule) switchToTarget(o Observation, d *Decision, reason string) {
	s.switchedAt = max(o.Elapsed, 1)
	d.Share, d.Reason = 1, reason
	s.usageAtSwitch = o.usage()
}

// allowedTargetRequests returns how many of a number of requests may go to a bad version.
func (s *Schedule) allowedTargetRequests(total uint64) float64 {
	b := s.Bounds.orDefault()
	return b.Share*float64(total) + b.Slack
}

// remainderFits reports whether the bounds allow all requests until the deadline to go to a bad
// version.
func (s *Schedule) remainderFits(rate float64, elapsed time.Duration, d *Decision) bool {
	remaining := rate * max(s.Duration-elapsed, 0).Seconds()
	return float64(d.Sent)+remaining <= s.allowedTargetRequests(d.Total+uint64(remaining))
}

// enoughGoodOutcomes reports whether every route that can use the target has enough known outcomes,
// and no CUSUM value is suspicious.
func (s *Schedule) enoughGoodOutcomes(o Observation, d *Decision) bool {
	late := o.Elapsed >= s.timeAt(decideByFraction)
	if d.Evidence.Sum >= suspicionSum && !late || d.Evidence.Sum >= lateSuspicionSum || d.Evidence.KnownOutcomes < minOutcomes {
		return false
	}
	for route, p := range o.Totals {
		if o.RoutesWithoutTarget[route] {
			continue
		}
		sent := float64(p.Target.Sent + p.Old.Sent)
		needed := float64(minOutcomes)
		if late {
			needed = min(lateMinOutcomes, lateMinFraction*sent)
		}
		if sent > untestedRouteLimit && float64(p.Target.outcomesKnown()) < needed {
			return false
		}
	}
	return true
}

// setTrialShare sets the shares of the next step of a trial.
func (s *Schedule) setTrialShare(o Observation, d *Decision, rate float64, rateKnown bool) {
	bound := s.Bounds.orDefault().Share
	d.Share, d.Reason = math.Round(1000*trialBoundFraction*bound)/1000, "trial"
	if !rateKnown || rate == 0 {
		return
	}
	untilSwitch := max(s.timeAt(trialEndFraction)-o.Elapsed, reactionTime).Seconds()
	allowed := budgetFraction * s.allowedTargetRequests(d.Total+uint64(rate*untilSwitch))
	budget := max(allowed-budgetFraction*rate*reactionTime.Seconds(), min(allowed, float64(minSamples*len(o.Totals))))
	wantedShare := max(d.Share, float64(targetSamples*len(o.Totals))/(float64(d.Total)+rate*untilSwitch))
	d.Share = max(min((budget-float64(d.Sent))/(rate*untilSwitch), wantedShare, maxTrialShare), minBoundFraction*bound)
	if float64(d.Sent)+d.Share*rate*reactionTime.Seconds() > s.allowedTargetRequests(d.Total) {
		d.Share, d.Reason = 0, "the bound is reached"
		return
	}
	d.Share = math.Round(1000*d.Share) / 1000 // as logged
	d.Routes = divideShare(o.Totals, d.Share)
}

// divideShare converts the overall share into shares by route. Each route gets the same number of
// requests where possible, so that routes with little traffic are tested too, but no share exceeds
// maxTrialShare.
func divideShare(totals map[string]*RouteTallies, share float64) map[string]float64 {
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
	remaining := 0.0
	for _, r := range routes {
		remaining += share * sent(r)
	}
	shares := map[string]float64{}
	for i, r := range routes {
		part := min(remaining/float64(len(routes)-i), maxTrialShare*sent(r))
		remaining -= part
		if sent(r) > 0 {
			shares[r] = part / sent(r)
		}
	}
	return shares
}
