// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what the leader keeps of the outcomes that gateways and relays report.

// reporter is one run of a gateway: its totals begin at none when it starts again, and what the
// run before had sent counts on.
type reporter struct {
	gateway string
	boot    uint64
}

type outcomeKey struct{ version, route string }

// addOutcomes takes a gateway's report.
func (h *hub) addOutcomes(s *session, u protocol.Usage) {
	h.rollouts.obeyed[s] = obedience{last: u.Obeyed, before: h.rollouts.obeyed[s].last}
	for _, o := range u.Outcomes {
		if r := h.rollouts.underWay[o.Pool]; r != nil && r.Attempt == o.Attempt {
			r.add(reporter{s.gateway, s.boot}, o)
		}
	}
}

// add takes one reporter's totals in place of those before. One that are less come from a
// reporter that counts anew, and add to them.
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
		pair = &rollout.Pair{}
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

// forgetOutcomes forgets what a session that has ended obeys. What a gateway reported stays: the
// target has had those requests. What a relay reported goes, because its gateways report all of
// it again, to the relay itself or elsewhere.
func (h *hub) forgetOutcomes(now time.Duration, s *session) {
	delete(h.rollouts.obeyed, s)
	if !s.relay {
		return
	}
	for _, r := range h.rollouts.underWay {
		r.forget(now, reporter{s.gateway, s.boot})
	}
}

// forget takes what one reporter reported out of the totals. Before the switch the target then
// gets nothing until it is reported again, since what it has had bounds what it may get.
func (r *leadRollout) forget(now time.Duration, from reporter) {
	if len(r.reported[from]) > 0 && !r.schedule.Switched() {
		r.forgotAt = now
	}
	for key := range r.reported[from] {
		r.add(from, protocol.Outcomes{Version: key.version, Route: key.route})
	}
	delete(r.reported, from)
}
