// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file implements the leader's side of pool rollouts. Package rollout decides from the outcomes that
// gateways report (outcomes.go), and the leader sends the resulting shares to the gateways. Everything
// runs in the hub's goroutine.

// initialReportWait is how long a new leader waits for the gateways' first reports before it gives a
// target any share, because it has no outcomes until then. Gateways leave a silent leader after
// registry.LeaderTimeout, and reconnect at once when their link closes.
const initialReportWait = time.Second

// The progress of a rollout is written to the log every Duration/progressSteps, but at most once per
// progressPeriod. A new leader underestimates the elapsed time by at most one such interval.
const (
	progressPeriod = time.Second
	progressSteps  = 50 // progress records per rollout duration
)

// rolloutProposeTimeout bounds one attempt to commit a rollout change; the next step retries.
const rolloutProposeTimeout = time.Second

// rollouts is the state of all rollouts during one term.
type rollouts struct {
	startedAt    time.Duration             // start of the term
	underWay     map[string]*activeRollout // by pool
	appliedLists map[*session]appliedLists // numbers of the lists that the gateways have applied
	sentList     []protocol.Rollout        // as last sent to the gateways
	listSeq      uint64                    // number of the list
	encoded      protocol.Encoded
}

// activeRollout is the leader's state of a rollout under way.
type activeRollout struct {
	document.Rollout
	schedule        rollout.Schedule
	orderedAt       time.Duration // latest possible time of the order, by this replica's clock
	reports         map[reporter]map[outcomeKey]protocol.Outcomes
	totals          map[string]*rollout.RouteTallies
	decision        rollout.Decision
	sentDecision    rollout.Decision // decision whose shares were last sent to the gateways
	fullShareSeq    uint64           // number of the first of the latest lists that give the target all requests; 0 if the latest does not
	finalSeq        uint64           // number of the first list that announces completion; 0 if none was sent
	finalSentAt     time.Duration    // when finalSeq was sent
	totalsReduced   bool             // totals were reduced since the last step because a relay's session ended
	totalsReducedAt time.Duration    // last time that totalsReduced was seen before the switch
	proposing       bool
	loggedAt        time.Duration
}

// beginRollouts resets the state for a new term; the next step fills it from the log. Lists keep their
// numbering: a replica that leads again in the same term would otherwise send numbers that gateways
// have already passed.
func (h *hub) beginRollouts() {
	h.rollouts = rollouts{
		listSeq: h.rollouts.listSeq, startedAt: h.d.replica.Now(), underWay: map[string]*activeRollout{}, appliedLists: map[*session]appliedLists{},
	}
}

// stepRollouts decides on each rollout under way. It is called on every tick and whenever the applied
// state changes.
func (h *hub) stepRollouts() {
	now := h.d.replica.Now()
	state := h.d.state.Rollouts()
	h.syncRollouts(now, state)
	for _, pool := range slices.Sorted(maps.Keys(h.rollouts.underWay)) {
		h.stepRollout(now, h.rollouts.underWay[pool])
	}
	h.pushRollouts(state)
}

// syncRollouts updates underWay from the applied state: rollouts that have begun, recorded progress or
// ended.
func (h *hub) syncRollouts(now time.Duration, state []document.Rollout) {
	for _, d := range state {
		r := h.rollouts.underWay[d.Pool]
		if r != nil && (r.Attempt != d.Attempt || d.State != document.RolloutUnderWay) {
			h.logEnd(now, r, d)
			delete(h.rollouts.underWay, d.Pool)
			r = nil
		}
		if d.State != document.RolloutUnderWay {
			continue
		}
		if r == nil {
			r = &activeRollout{
				reports: map[reporter]map[outcomeKey]protocol.Outcomes{}, totals: map[string]*rollout.RouteTallies{},
				schedule: rollout.Schedule{Duration: d.Duration, Bounds: h.d.cfg.Rollouts},
			}
			if d.Switched > 0 {
				r.schedule.Resume(d.Switched)
			}
			h.rollouts.underWay[d.Pool] = r
		}
		r.Rollout, r.orderedAt = d, h.orderTimes[attemptKey{d.Pool, d.Attempt}]
	}
}

// elapsed returns a lower bound of the time since the order.
func (r *activeRollout) elapsed(now time.Duration) time.Duration { return now - r.orderedAt }

// attemptKey identifies one attempt of a pool's rollouts.
type attemptKey struct {
	pool    string
	attempt uint64
}

// recordOrderTimes records, by this replica's clock, the latest time at which each rollout under way
// can have been ordered: log entries may be applied late, never early. It runs whether or not this
// replica leads, so that a new leader already has these times.
func (h *hub) recordOrderTimes() {
	now := h.d.replica.Now()
	ordered := map[attemptKey]time.Duration{}
	for _, d := range h.d.state.Rollouts() {
		if d.State != document.RolloutUnderWay {
			continue
		}
		key := attemptKey{d.Pool, d.Attempt}
		ordered[key] = now - d.Elapsed
		if before, known := h.orderTimes[key]; known {
			ordered[key] = min(ordered[key], before)
		}
	}
	h.orderTimes = ordered
}

// stepRollout updates the decision on one rollout. A final decision stands until it is in the log.
func (h *hub) stepRollout(now time.Duration, r *activeRollout) {
	switch {
	case r.decision.Action != rollout.Continue:
	case r.Target == r.Completed:
		r.decision = rollout.Decision{Action: rollout.Complete, Share: 1, Reason: "the target already gets all requests"}
		h.logStep(now, r)
	default:
		r.recordReducedTotals(now)
		previous, halls := r.decision, h.targetHalls(r)
		r.decision = r.schedule.Step(rollout.Observation{
			Elapsed: r.elapsed(now), Totals: r.totals, OldIdle: h.oldVersionsIdle(r), TargetListed: len(halls) > 0,
			RoutesWithoutTarget: h.routesWithoutTarget(halls),
			ReportsComplete:     now-max(h.rollouts.startedAt, r.totalsReducedAt) >= initialReportWait && h.d.checkLeading() == nil,
		})
		if r.decision.Reason != previous.Reason || now-r.loggedAt >= max(progressPeriod, r.Duration/progressSteps) {
			h.logStep(now, r)
		}
	}
	h.proposeProgress(now, r)
}

// recordReducedTotals records when totals fell because a relay's session ended. Before the switch the
// target then gets no requests until the relay's gateways have reported elsewhere, because its share
// is bounded by the requests that it has already received.
func (r *activeRollout) recordReducedTotals(now time.Duration) {
	if r.totalsReduced && !r.schedule.Switched() {
		r.totalsReducedAt = now
	}
	r.totalsReduced = false
}

// proposeProgress writes the end of a rollout to the log once it is decided, and its progress at
// intervals before that.
func (h *hub) proposeProgress(now time.Duration, r *activeRollout) {
	c := document.RolloutChange{
		Pool: r.Pool, Target: r.Target, After: r.Changes, Elapsed: max(r.elapsed(now), r.Elapsed), State: document.RolloutUnderWay,
	}
	switch r.decision.Action {
	case rollout.Complete:
		if !h.finalListApplied(now, r) {
			return
		}
		c.State, c.Replaced = document.RolloutComplete, h.replacedVersions(r)
	case rollout.RollBack:
		c.State = document.RolloutRolledBack
	default:
		if r.schedule.Switched() && r.Switched == 0 {
			c.Switched = c.Elapsed
		} else if c.Elapsed-r.Elapsed < max(progressPeriod, r.Duration/progressSteps) {
			return
		}
	}
	if r.proposing {
		return
	}
	r.proposing = true
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, rolloutProposeTimeout)
		defer cancel()
		// A change that was not applied is proposed again by a later step.
		_ = h.d.propose(ctx, command{Rollout: &c})
		h.post(func() { r.proposing = false })
	}()
}

// replacedVersions returns the versions that the target replaces: those of announced servers, and those
// that gateways have sent requests to, whose servers may be absent now.
func (h *hub) replacedVersions(r *activeRollout) []string {
	versions := map[string]bool{}
	for _, v := range h.registry.Versions(r.Pool) {
		versions[v] = true
	}
	for _, byKey := range r.reports {
		for key := range byKey {
			versions[key.version] = true
		}
	}
	delete(versions, r.Target)
	for _, v := range r.Barred {
		delete(versions, v)
	}
	return slices.Sorted(maps.Keys(versions))
}

// oldVersionsIdle reports whether all gateways apply the list that gives the target all requests, and no
// request runs on servers of other versions. A relay reports for all its gateways (registry.ReportAggregator); one
// whose session has just opened has reported neither their lists nor their load.
func (h *hub) oldVersionsIdle(r *activeRollout) bool {
	if r.fullShareSeq == 0 {
		return false
	}
	for s := range h.sessions {
		if s.supportsRollouts && h.rollouts.appliedLists[s].previous < r.fullShareSeq {
			return false
		}
	}
	versions := h.registry.Versions(r.Pool)
	h.usage.sumLoads()
	return !slices.ContainsFunc(h.usage.total, func(l protocol.ServerLoad) bool {
		v, known := versions[l.Handle]
		return known && v != r.Target && l.Requests > 0
	})
}

// finalListTimeout bounds how long the leader waits for all gateways to apply the list that announces
// completion. It waits for half of the remaining time if that is shorter. The timeout covers several
// reports, so a gateway that takes longer has lost its link.
const finalListTimeout = time.Second

// finalListApplied reports whether a rollout may be committed as complete, because all gateways have
// been informed that the old servers may stop. Otherwise a gateway that loses its session in the
// meantime would return to them.
func (h *hub) finalListApplied(now time.Duration, r *activeRollout) bool {
	if r.finalSeq == 0 {
		return false
	}
	if now-r.finalSentAt >= min(finalListTimeout, (r.Duration-r.elapsed(r.finalSentAt))/2) {
		return true
	}
	for s := range h.sessions {
		if s.supportsRollouts && h.rollouts.appliedLists[s].newest < r.finalSeq {
			return false
		}
	}
	return true
}

// targetHalls returns the data halls in service that have a listed server of the target.
func (h *hub) targetHalls(r *activeRollout) []string {
	out, _ := h.d.state.HallsOut()
	return slices.DeleteFunc(h.registry.HallsOf(r.Pool, r.Target), func(hall string) bool { return slices.Contains(out, hall) })
}

// routesWithoutTarget returns the routes with home regions that contain none of these halls, which are
// those of the target's servers.
func (h *hub) routesWithoutTarget(halls []string) map[string]bool {
	held, _ := h.d.state.CurrentDocument()
	without := map[string]bool{}
	for _, route := range held.Document.Routes {
		if len(route.Homes) > 0 && !slices.ContainsFunc(halls, func(hall string) bool {
			region := h.d.cfg.Topology.Region(hall)
			return region != "" && slices.Contains(route.Homes, region)
		}) {
			without[route.Name] = true
		}
	}
	return without
}

// pushRollouts sends the list to all sessions if it has changed.
func (h *hub) pushRollouts(state []document.Rollout) {
	list := make([]protocol.Rollout, 0, len(state))
	changed := len(state) != len(h.rollouts.sentList)
	for i, d := range state {
		e := protocol.Rollout{Pool: d.Pool, Attempt: d.Attempt, Barred: d.Barred, Replaced: d.Replaced}
		if r := h.rollouts.underWay[d.Pool]; r != nil {
			e = r.listEntry(e)
		}
		list = append(list, e)
		changed = changed || !equalEntries(h.rollouts.sentList[i], e)
	}
	if !changed {
		return
	}
	m := protocol.Rollouts{Term: h.term, Seq: h.rollouts.listSeq + 1, List: list}
	encoded, ok := h.encode(m)
	if !ok {
		return
	}
	h.rollouts.sentList, h.rollouts.listSeq, h.rollouts.encoded = list, m.Seq, encoded
	for _, e := range list {
		if r := h.rollouts.underWay[e.Pool]; r != nil {
			r.recordSent(h.d.replica.Now(), m.Seq, e)
		}
	}
	for s := range h.sessions {
		s.out.Send(encoded)
	}
}

// listEntry completes a rollout's entry in the list for gateways. A target that is rolled back gets no
// more requests, even before the log has the end. Shares that have hardly changed stay as last sent.
func (r *activeRollout) listEntry(e protocol.Rollout) protocol.Rollout {
	e.Target = r.Target
	switch r.decision.Action {
	case rollout.RollBack:
		e.Barred = append(slices.Clone(e.Barred), r.Target)
		return e
	case rollout.Complete:
		e.Share, e.Final = 1, true
		return e
	}
	if r.decision.Differs(r.sentDecision) {
		r.sentDecision = r.decision
	}
	e.Share = r.sentDecision.Share
	for _, route := range slices.Sorted(maps.Keys(r.sentDecision.Routes)) {
		e.Routes = append(e.Routes, protocol.RouteShare{Route: route, Share: float32(r.sentDecision.Routes[route])})
	}
	return e
}

// recordSent updates the list numbers after a list with this entry was sent.
func (r *activeRollout) recordSent(now time.Duration, seq uint64, e protocol.Rollout) {
	if e.Final && r.finalSeq == 0 {
		r.finalSeq, r.finalSentAt = seq, now
	}
	switch {
	case e.Share < 1:
		r.fullShareSeq = 0
	case r.fullShareSeq == 0:
		r.fullShareSeq = seq
	}
}

func equalEntries(a, b protocol.Rollout) bool {
	return a.Pool == b.Pool && a.Attempt == b.Attempt && a.Target == b.Target && a.Share == b.Share && a.Final == b.Final &&
		slices.Equal(a.Barred, b.Barred) && slices.Equal(a.Replaced, b.Replaced) && slices.Equal(a.Routes, b.Routes)
}

// sendRollouts sends the current list to a session that opens.
func (h *hub) sendRollouts(s *session) {
	if h.relay != nil {
		h.relay.sendRollouts(s)
		return
	}
	if h.rollouts.encoded.Size() > 0 {
		s.out.Send(h.rollouts.encoded)
	}
}

// logStep logs a rollout's decision and the evidence for it.
func (h *hub) logStep(now time.Duration, r *activeRollout) {
	r.loggedAt = now
	h.d.cfg.Log.StateChange("rollout step", h.rolloutAttrs(now, r)...)
}

// logEnd logs the committed end of a rollout.
func (h *hub) logEnd(now time.Duration, r *activeRollout, d document.Rollout) {
	h.d.cfg.Log.StateChange("rollout ended", append(h.rolloutAttrs(now, r),
		slog.Bool("complete", d.State == document.RolloutComplete), slog.Any("barred", d.Barred), slog.Any("replaced", d.Replaced))...)
}

func (h *hub) rolloutAttrs(now time.Duration, r *activeRollout) []slog.Attr {
	d := r.decision
	kind := "slow"
	if d.Evidence.FromFailures {
		kind = "failed"
	}
	return []slog.Attr{
		slog.String("pool", r.Pool), slog.String("target", r.Target), slog.Uint64("attempt", r.Attempt),
		slog.Int64("elapsed_ms", r.elapsed(now).Milliseconds()), slog.Float64("share", d.Share), slog.Uint64("sent", d.Sent),
		slog.Uint64("of", d.Total), slog.Uint64("known", d.Evidence.KnownOutcomes), slog.Uint64("failed", d.Evidence.Failed),
		slog.String("worst_route", d.Evidence.Route), slog.String("worst_for", kind),
		slog.Float64("evidence", math.Round(10*d.Evidence.Sum)/10), slog.Bool("old_idle", h.oldVersionsIdle(r)), slog.String("why", d.Reason),
	}
}
