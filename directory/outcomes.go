// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file aggregates the gateways' rollout reports at the leader. Everything runs in the hub's
// goroutine.

// appliedLists holds the numbers of the lists that a session had applied as of its last two reports. A report's
// loads are sampled before its list takes effect, so only the next report shows the load under it.
type appliedLists struct{ newest, previous uint64 }

// reporter identifies a source of totals: one run of a gateway, or a relay's session. A gateway's totals
// restart at zero with each run, and those of earlier runs still count. A relay reports the totals of
// its gateways, which may report elsewhere next, so they count only while the relay's session lives.
type reporter struct {
	gateway      string
	bootID       uint64
	relaySession *session // the relay's session; nil for a gateway's own reports
}

func (s *session) reporter() reporter {
	if s.isRelay {
		return reporter{relaySession: s}
	}
	return reporter{gateway: s.gateway, bootID: s.bootID}
}

type outcomeKey struct{ version, route string }

// addOutcomes applies a gateway's report.
func (h *hub) addOutcomes(s *session, u protocol.Usage) {
	if u.Term != 0 && u.Term != h.term {
		u.AppliedRollouts = 0 // the number is that of another leader's list
	}
	h.rollouts.appliedLists[s] = appliedLists{newest: u.AppliedRollouts, previous: h.rollouts.appliedLists[s].newest}
	for _, o := range u.Outcomes {
		if r := h.rollouts.underWay[o.Pool]; r != nil && r.Attempt == o.Attempt {
			r.addOutcomes(s.reporter(), o)
		}
	}
	h.applyBarred(u.Barred)
}

// reasonBarredByPreviousLeader is the logged reason for rolling back a target that the previous leader
// has barred.
const reasonBarredByPreviousLeader = "barred by the previous leader"

// applyBarred rolls back targets that a gateway has barred by a verdict that the log may lack.
func (h *hub) applyBarred(list []protocol.BarredTarget) {
	for _, b := range list {
		if r := h.rollouts.underWay[b.Pool]; r != nil && r.Attempt == b.Attempt && r.decision.Action != rollout.RollBack {
			r.decision.Action, r.decision.Reason = rollout.RollBack, reasonBarredByPreviousLeader
		}
	}
}

// addOutcomes replaces a reporter's earlier totals. Only a relay's totals may decrease, when a gateway
// has left it.
func (r *activeRollout) addOutcomes(source reporter, o protocol.Outcomes) {
	byKey := r.reports[source]
	if byKey == nil {
		byKey = map[outcomeKey]protocol.Outcomes{}
		r.reports[source] = byKey
	}
	key := outcomeKey{o.Version, o.Route}
	previous := byKey[key]
	byKey[key] = o
	tallies := r.totals[o.Route]
	if tallies == nil {
		tallies = &rollout.RouteTallies{}
		r.totals[o.Route] = tallies
	}
	t := &tallies.Old
	if o.Version == r.Target {
		t = &tallies.Target
	}
	t.Sent += o.Sent - previous.Sent // unsigned arithmetic: a decrease wraps around
	t.Answered += o.Answered - previous.Answered
	t.Failed += o.Failed - previous.Failed
	for i := range t.Paces {
		t.Paces[i] += paceCount(o, i) - paceCount(previous, i)
	}
}

// paceCount returns the number of answers in a bucket of the latency ratio, which the protocol calls
// pace, or 0 if the report ends before that bucket.
func paceCount(o protocol.Outcomes, bucket int) uint64 {
	if bucket < len(o.PaceCounts) {
		return uint64(o.PaceCounts[bucket])
	}
	return 0
}

// removeOutcomes drops the state of a session that has ended. A gateway's totals are kept, since the
// target has received those requests.
func (h *hub) removeOutcomes(s *session) {
	delete(h.rollouts.appliedLists, s)
	if !s.isRelay {
		return
	}
	for _, r := range h.rollouts.underWay {
		r.removeReporter(s.reporter())
	}
}

// removeReporter subtracts all totals of a reporter.
func (r *activeRollout) removeReporter(source reporter) {
	r.totalsReduced = r.totalsReduced || len(r.reports[source]) > 0
	for key := range r.reports[source] {
		r.addOutcomes(source, protocol.Outcomes{Version: key.version, Route: key.route})
	}
	delete(r.reports, source)
}
