// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what the leader gathers of gateways' reports about rollouts. All runs in the
// hub's goroutine.

// obedience is the newest lists that a session's last two reports obeyed: a report's loads were
// taken before its list, so that only the one after says what runs under it.
type obedience struct{ last, before uint64 }

// reporter is one run of a gateway: its totals begin at none when it starts again, and what the
// run before had sent counts on. What a relay reports is the totals of its gateways, which may
// report elsewhere next: it counts while the relay's session lives.
type reporter struct {
	gateway string
	boot    uint64
	relayed *session // a relay's session; nil: a gateway's own
}

func (s *session) reporter() reporter {
	if s.relay {
		return reporter{relayed: s}
	}
	return reporter{gateway: s.gateway, boot: s.bootID}
}

type outcomeKey struct{ version, route string }

// addOutcomes takes a gateway's report.
func (h *hub) addOutcomes(s *session, u protocol.Usage) {
	if u.Term != 0 && u.Term != h.term {
		u.Obeyed = 0 // of the lists of the leader before
	}
	h.rollouts.obeyed[s] = obedience{last: u.Obeyed, before: h.rollouts.obeyed[s].last}
	for _, o := range u.Outcomes {
		if r := h.rollouts.underWay[o.Pool]; r != nil && r.Attempt == o.Attempt {
			r.add(s.reporter(), o)
		}
	}
	h.takeBarred(u.Barred)
}

// barredBefore is why a target is rolled back that the leader before has barred, for the log.
const barredBefore = "barred by the leader before"

// takeBarred takes what a gateway has barred by a verdict that the log may lack.
func (h *hub) takeBarred(list []protocol.Barred) {
	for _, b := range list {
		if r := h.rollouts.underWay[b.Pool]; r != nil && r.Attempt == b.Attempt && r.decision.Action != rollout.RollBack {
			r.decision.Action, r.decision.Reason = rollout.RollBack, barredBefore
		}
	}
}

// add takes one reporter's totals in place of those before. Only a relay's may be less: a
// gateway has left it.
func (r *leadRollout) add(from reporter, o protocol.Outcomes) {
	mine := r.reported[from]
	if mine == nil {
		mine = map[outcomeKey]protocol.Outcomes{}
		r.reported[from] = mine
	}
	key := outcomeKey{o.Version, o.Route}
	before := mine[key]
	mine[key] = o
	pair := r.totals[o.Route]
	if pair == nil {
		pair = &rollout.RouteTallies{}
		r.totals[o.Route] = pair
	}
	t := &pair.Old
	if o.Version == r.Target {
		t = &pair.Target
	}
	t.Sent += o.Sent - before.Sent // wraps around where it is less
	t.Answered += o.Answered - before.Answered
	t.Failed += o.Failed - before.Failed
	for i := range t.Paces {
		t.Paces[i] += paces(o, i) - paces(before, i)
	}
}

func paces(o protocol.Outcomes, bucket int) uint64 {
	if bucket < len(o.Paces) {
		return uint64(o.Paces[bucket])
	}
	return 0
}

// removeOutcomes forgets what a session that has ended obeys. What a gateway reported stays: the
// target has had those requests.
func (h *hub) removeOutcomes(s *session) {
	delete(h.rollouts.obeyed, s)
	if !s.relay {
		return
	}
	for _, r := range h.rollouts.underWay {
		r.forget(s.reporter())
	}
}

// forget takes back what a reporter has reported.
func (r *leadRollout) forget(from reporter) {
	r.forgot = r.forgot || len(r.reported[from]) > 0
	for key := range r.reported[from] {
		r.add(from, protocol.Outcomes{Version: key.version, Route: key.route})
	}
	delete(r.reported, from)
}
