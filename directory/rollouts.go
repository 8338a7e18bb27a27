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

// This file defines how the leader carries out the rollouts of pools: it has package rollout
// decide on what gateways report (outcomes.go), and sends them the shares. All runs in the hub's
// goroutine.

// informedAfter is how long a new leader waits for the gateways' first reports before it gives a
// target anything: it does not know yet what was seen. Gateways leave a silent leader after
// registry.SilenceLimit, and come at once when their link closes.
const informedAfter = time.Second

// Notes in the log of how far a rollout is, at the shortest after a second. A new leader takes at most
// as much too little for elapsed.
const (
	notedPeriod = time.Second
	notedPart   = 50 // of the rollout's duration
)

// endTimeout bounds one try to put a change of a rollout into the log; the next step tries again.
const endTimeout = time.Second

// rollouts is the rollouts of one term.
type rollouts struct {
	began    time.Duration
	underWay map[string]*leadRollout // by pool
	obeyed   map[*session]obedience
	list     []protocol.Rollout // as last sent
	seq      uint64             // of that
	encoded  protocol.Encoded
}

// leadRollout is one rollout under way.
type leadRollout struct {
	document.Rollout
	schedule  rollout.Schedule
	ordered   time.Duration // when, at the latest
	reported  map[reporter]map[outcomeKey]protocol.Outcomes
	totals    map[string]*rollout.RouteTallies
	decision  rollout.Decision
	sent      rollout.Decision // whose shares the gateways were sent
	fullSeq   uint64           // of the first list that gives the target all requests; 0: none does
	finalSeq  uint64           // of the first list that says that complete follows; 0: none does
	finalAt   time.Duration    // when that was sent
	forgot    bool             // what a relay had reported was taken back since the last step
	forgotAt  time.Duration    // when that was seen last, before the switch
	proposing bool
	loggedAt  time.Duration
}

// beginRollouts begins a term with the rollouts that the log holds. Lists are numbered on: a
// replica that finds itself leading again in one term would else send what gateways have passed.
func (h *hub) beginRollouts() {
	h.rollouts = rollouts{
		seq: h.rollouts.seq, began: h.d.replica.Now(), underWay: map[string]*leadRollout{}, obeyed: map[*session]obedience{},
	}
}

// stepRollouts decides on each rollout under way. It is called with each tick and each change
// of the applied state.
func (h *hub) stepRollouts() {
	now := h.d.replica.Now()
	state := h.d.state.Rollouts()
	h.takeRollouts(now, state)
	for _, pool := range slices.Sorted(maps.Keys(h.rollouts.underWay)) {
		h.stepRollout(now, h.rollouts.underWay[pool])
	}
	h.pushRollouts(state)
}

// takeRollouts takes what is applied: rollouts that have begun, are noted, or have ended.
func (h *hub) takeRollouts(now time.Duration, state []document.Rollout) {
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
			r = &leadRollout{
				reported: map[reporter]map[outcomeKey]protocol.Outcomes{}, totals: map[string]*rollout.RouteTallies{},
				schedule: rollout.Schedule{Duration: d.Duration, Bounds: h.d.cfg.Rollouts},
			}
			if d.Switched > 0 {
				r.schedule.Resume(d.Switched)
			}
			h.rollouts.underWay[d.Pool] = r
		}
		r.Rollout, r.ordered = d, h.ordered[attemptKey{d.Pool, d.Attempt}]
	}
}

// elapsed returns the time since the order, at least.
func (r *leadRollout) elapsed(now time.Duration) time.Duration { return now - r.ordered }

// attemptKey is one attempt of a pool's rollouts.
type attemptKey struct {
	pool    string
	attempt uint64
}

// recordOrderTimes notes by this replica's clock when rollouts under way were ordered at the latest:
// what the log says of them may have been applied late, never early. It is called whether this
// replica leads or not, so that a new leader knows.
func (h *hub) recordOrderTimes() {
	now := h.d.replica.Now()
	ordered := map[attemptKey]time.Duration{}
	for _, d := range h.d.state.Rollouts() {
		if d.State != document.RolloutUnderWay {
			continue
		}
		key := attemptKey{d.Pool, d.Attempt}
		ordered[key] = now - d.Elapsed
		if before, known := h.ordered[key]; known {
			ordered[key] = min(ordered[key], before)
		}
	}
	h.ordered = ordered
}

// stepRollout decides on one rollout. A decision that ends it stays, until the log has it.
func (h *hub) stepRollout(now time.Duration, r *leadRollout) {
	switch {
	case r.decision.Action != rollout.Continue:
	case r.Target == r.Completed:
		r.decision = rollout.Decision{Action: rollout.Complete, Share: 1, Reason: "it has the requests"}
		h.logStep(now, r)
	default:
		r.noteForgotten(now)
		before, halls := r.decision, h.targetHalls(r)
		r.decision = r.schedule.Step(rollout.Observation{
			Elapsed: r.elapsed(now), Totals: r.totals, OldIdle: h.oldIdle(r), TargetListed: len(halls) > 0,
			RoutesWithoutTarget: h.keptAway(halls),
			ReportsComplete:     now-max(h.rollouts.began, r.forgotAt) >= informedAfter && h.d.checkLeading() == nil,
		})
		if r.decision.Reason != before.Reason || now-r.loggedAt >= max(notedPeriod, r.Duration/notedPart) {
			h.logStep(now, r)
		}
	}
	h.proposeStep(now, r)
}

// noteForgotten notes when totals fell, because a relay's session ended. Before the switch the
// target then gets nothing until its gateways have reported elsewhere, since what it has had
// bounds what it may get.
func (r *leadRollout) noteForgotten(now time.Duration) {
	if r.forgot && !r.schedule.Switched() {
		r.forgotAt = now
	}
	r.forgot = false
}

// proposeStep puts into the log how the rollout ends, or now and then how far it is.
func (h *hub) proposeStep(now time.Duration, r *leadRollout) {
	c := document.RolloutChange{
		Pool: r.Pool, Target: r.Target, After: r.Changes, Elapsed: max(r.elapsed(now), r.Elapsed), State: document.RolloutUnderWay,
	}
	switch r.decision.Action {
	case rollout.Complete:
		if !h.finalObeyed(now, r) {
			return
		}
		c.State, c.Replaced = document.RolloutComplete, h.otherVersions(r)
	case rollout.RollBack:
		c.State = document.RolloutRolledBack
	default:
		if r.schedule.Switched() && r.Switched == 0 {
			c.Switched = c.Elapsed
		} else if c.Elapsed-r.Elapsed < max(notedPeriod, r.Duration/notedPart) {
			return
		}
	}
	if r.proposing {
		return
	}
	r.proposing = true
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, endTimeout)
		defer cancel()
		// What was not applied is proposed again with a later step.
		_ = h.d.propose(ctx, command{Rollout: &c})
		h.post(func() { r.proposing = false })
	}()
}

// otherVersions returns the versions that the target replaces: those of servers that are
// announced, and those that gateways have sent requests to, whose servers may be away.
func (h *hub) otherVersions(r *leadRollout) []string {
	others := map[string]bool{}
	for _, v := range h.registry.Versions(r.Pool) {
		others[v] = true
	}
	for _, mine := range r.reported {
		for key := range mine {
			others[key.version] = true
		}
	}
	delete(others, r.Target)
	for _, v := range r.Barred {
		delete(others, v)
	}
	return slices.Sorted(maps.Keys(others))
}

// oldIdle reports whether all gateways obey the list that gives the target all requests, and
// nothing runs on servers of other versions. A relay says what all its gateways obey
// (registry.Sums), and one that has just opened has not said so, nor what runs there.
func (h *hub) oldIdle(r *leadRollout) bool {
	if r.fullSeq == 0 {
		return false
	}
	for s := range h.sessions {
		if s.supportsRollouts && h.rollouts.obeyed[s].before < r.fullSeq {
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

// finalWait is how long the leader waits for all gateways to obey the list that says that complete
// follows, or half of the time that is left: one that does not obey is out of touch. Several reports.
const finalWait = time.Second

// finalObeyed reports whether a rollout may be put into the log as complete: all gateways know
// that the old servers may stop. Else one that loses its session meanwhile would go back to them.
func (h *hub) finalObeyed(now time.Duration, r *leadRollout) bool {
	if r.finalSeq == 0 {
		return false
	}
	if now-r.finalAt >= min(finalWait, (r.Duration-r.elapsed(r.finalAt))/2) {
		return true
	}
	for s := range h.sessions {
		if s.supportsRollouts && h.rollouts.obeyed[s].last < r.finalSeq {
			return false
		}
	}
	return true
}

// targetHalls returns the data halls in service in which a server of the target is listed.
func (h *hub) targetHalls(r *leadRollout) []string {
	out, _ := h.d.state.HallsOut()
	return slices.DeleteFunc(h.registry.HallsOf(r.Pool, r.Target), func(hall string) bool { return slices.Contains(out, hall) })
}

// keptAway returns the routes whose homes have no server of a target that stands in some halls.
func (h *hub) keptAway(halls []string) map[string]bool {
	held, _ := h.d.state.Held()
	away := map[string]bool{}
	for _, route := range held.Document.Routes {
		if len(route.Homes) > 0 && !slices.ContainsFunc(halls, func(hall string) bool {
			region := h.d.cfg.Topology.Region(hall)
			return region != "" && slices.Contains(route.Homes, region)
		}) {
			away[route.Name] = true
		}
	}
	return away
}

// pushRollouts sends all sessions the list, if it has changed.
func (h *hub) pushRollouts(state []document.Rollout) {
	list := make([]protocol.Rollout, 0, len(state))
	changed := len(state) != len(h.rollouts.list)
	for i, d := range state {
		e := protocol.Rollout{Pool: d.Pool, Attempt: d.Attempt, Barred: d.Barred, Replaced: d.Replaced}
		if r := h.rollouts.underWay[d.Pool]; r != nil {
			e = r.entry(e)
		}
		list = append(list, e)
		changed = changed || !sameEntry(h.rollouts.list[i], e)
	}
	if !changed {
		return
	}
	m := protocol.Rollouts{Term: h.term, Seq: h.rollouts.seq + 1, List: list}
	encoded, ok := h.encode(m)
	if !ok {
		return
	}
	h.rollouts.list, h.rollouts.seq, h.rollouts.encoded = list, m.Seq, encoded
	for _, e := range list {
		if r := h.rollouts.underWay[e.Pool]; r != nil {
			r.noteSent(h.d.replica.Now(), m.Seq, e)
		}
	}
	for s := range h.sessions {
		s.out.Send(encoded)
	}
}

// entry returns what gateways are to do about a rollout under way. A target that is rolled back
// gets nothing from now on, whenever the log has it. Shares that have hardly changed stay as
// they were sent.
func (r *leadRollout) entry(e protocol.Rollout) protocol.Rollout {
	e.Target = r.Target
	switch r.decision.Action {
	case rollout.RollBack:
		e.Barred = append(slices.Clone(e.Barred), r.Target)
		return e
	case rollout.Complete:
		e.Share, e.Final = 1, true
		return e
	}
	if r.decision.Differs(r.sent) {
		r.sent = r.decision
	}
	e.Share = r.sent.Share
	for _, route := range slices.Sorted(maps.Keys(r.sent.Routes)) {
		e.Routes = append(e.Routes, protocol.RouteShare{Route: route, Share: float32(r.sent.Routes[route])})
	}
	return e
}

// noteSent takes the entry of a list that was sent.
func (r *leadRollout) noteSent(now time.Duration, seq uint64, e protocol.Rollout) {
	if e.Final && r.finalSeq == 0 {
		r.finalSeq, r.finalAt = seq, now
	}
	switch {
	case e.Share < 1:
		r.fullSeq = 0
	case r.fullSeq == 0:
		r.fullSeq = seq
	}
}

func sameEntry(a, b protocol.Rollout) bool {
	return a.Pool == b.Pool && a.Attempt == b.Attempt && a.Target == b.Target && a.Share == b.Share && a.Final == b.Final &&
		slices.Equal(a.Barred, b.Barred) && slices.Equal(a.Replaced, b.Replaced) && slices.Equal(a.Routes, b.Routes)
}

// sendRollouts sends a session that opens all rollouts.
func (h *hub) sendRollouts(s *session) {
	if h.relay != nil {
		h.relay.sendRollouts(s)
		return
	}
	if h.rollouts.encoded.Size() > 0 {
		s.out.Send(h.rollouts.encoded)
	}
}

// logStep logs what a rollout rests on.
func (h *hub) logStep(now time.Duration, r *leadRollout) {
	r.loggedAt = now
	h.d.cfg.Log.StateChange("rollout step", h.rolloutAttrs(now, r)...)
}

// logEnd logs that the log has a rollout's end.
func (h *hub) logEnd(now time.Duration, r *leadRollout, d document.Rollout) {
	h.d.cfg.Log.StateChange("rollout ended", append(h.rolloutAttrs(now, r),
		slog.Bool("complete", d.State == document.RolloutComplete), slog.Any("barred", d.Barred), slog.Any("replaced", d.Replaced))...)
}

func (h *hub) rolloutAttrs(now time.Duration, r *leadRollout) []slog.Attr {
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
		slog.Float64("evidence", math.Round(10*d.Evidence.Sum)/10), slog.Bool("old_idle", h.oldIdle(r)), slog.String("why", d.Reason),
	}
}
