// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests what the leader keeps of one rollout.

func newLeadRollout(d document.Rollout) *leadRollout {
	return &leadRollout{Rollout: d, reported: map[reporter]map[outcomeKey]protocol.Outcomes{}, totals: map[string]*rollout.Pair{}}
}

// TestTotalsReplaceTotals: a report that is lost or comes twice changes nothing, and a gateway
// that starts again adds to what it had sent before.
func TestTotalsReplaceTotals(t *testing.T) {
	is := is.New(t)
	r := newLeadRollout(document.Rollout{Target: "v2"})
	report := func(boot, sent, failed uint64, version string, paces ...uint32) {
		r.add(reporter{"g", boot}, protocol.Outcomes{Version: version, Route: "r", Sent: sent, Answered: sent - failed, Failed: failed, Paces: paces})
	}
	report(1, 3, 1, "v2", 0, 2)
	report(1, 10, 4, "v2", 0, 2, 7)
	report(1, 10, 4, "v2", 0, 2, 7)
	report(2, 2, 1, "v2", 1)
	report(2, 5, 0, "v1")
	report(2, 6, 0, "v0") // another old version
	target, old := r.totals["r"].Target, r.totals["r"].Old
	is.Equal([]uint64{target.Sent, target.Answered, target.Failed}, []uint64{12, 7, 5})
	is.Equal(target.Paces[:4], []uint64{1, 2, 7, 0})
	is.Equal([]uint64{old.Sent, old.Answered, old.Failed}, []uint64{11, 11, 0})
}

// TestBarredBeforeTheLogHasIt: the list with the verdict goes out at once, and what the log
// holds is not touched.
func TestBarredBeforeTheLogHasIt(t *testing.T) {
	is := is.New(t)
	r := newLeadRollout(document.Rollout{Pool: "p", Target: "v2", Attempt: 3, Barred: make([]string, 0, 4)})
	r.decision = rollout.Decision{Share: 0.04, Routes: map[string]float64{"b": 0.5, "a": 0.25}}
	base := protocol.Rollout{Pool: "p", Attempt: 3, Barred: r.Barred}
	is.Equal(r.entry(base), protocol.Rollout{
		Pool: "p", Attempt: 3, Target: "v2", Share: 0.04, Barred: []string{},
		Routes: []protocol.RouteShare{{Route: "a", Share: 0.25}, {Route: "b", Share: 0.5}},
	})
	r.decision = rollout.Decision{Ending: rollout.RollBack}
	is.Equal(r.entry(base), protocol.Rollout{Pool: "p", Attempt: 3, Target: "v2", Barred: []string{"v2"}})
	is.Equal(len(r.Barred), 0)
}

// TestShareThatHardlyChanges is not sent.
func TestShareThatHardlyChanges(t *testing.T) {
	is := is.New(t)
	r := newLeadRollout(document.Rollout{Target: "v2"})
	for _, step := range []struct{ decided, sent float64 }{{0.04, 0.04}, {0.045, 0.04}, {0.05, 0.05}, {0.99, 0.99}, {1, 1}, {0, 0}} {
		r.decision = rollout.Decision{Share: step.decided}
		is.Equal(r.entry(protocol.Rollout{}).Share, step.sent)
	}
}

// TestFirstListWithAll: gateways have to obey the first of the newest lists that give all.
func TestFirstListWithAll(t *testing.T) {
	is := is.New(t)
	r := newLeadRollout(document.Rollout{})
	for _, step := range []struct {
		seq   uint64
		share float64
		want  uint64
	}{{1, 0.04, 0}, {2, 1, 2}, {3, 1, 2}, {4, 0, 0}, {5, 1, 5}} {
		r.noteSent(step.seq, step.share)
		is.Equal(r.fullSeq, step.want)
	}
}

// TestOutcomesBehindARelay count once: those that a relay reported count no more when its session
// ends, since its gateways report all of it in their next sessions, wherever those are. What a
// gateway of the leader's own has reported stays.
func TestOutcomesBehindARelay(t *testing.T) {
	is := is.New(t)
	r := newLeadRollout(document.Rollout{Pool: "p", Target: "v2"})
	h := &hub{rollouts: rollouts{underWay: map[string]*leadRollout{"p": r}, obeyed: map[*session]obedience{}}}
	report := protocol.Usage{Outcomes: []protocol.Outcomes{
		{Pool: "p", Version: "v2", Route: "r", Sent: 5, Answered: 3, Failed: 2, Paces: []uint32{1, 2}},
		{Pool: "p", Version: "v1", Route: "r", Sent: 7, Answered: 7},
	}}
	direct := &session{gateway: "g", boot: 1}
	first, again := &session{gateway: "relay", boot: 1, relay: true}, &session{gateway: "relay", boot: 2, relay: true}
	h.addOutcomes(direct, report)
	h.addOutcomes(first, report)
	is.Equal(r.totals["r"].Target.Sent, uint64(10))
	h.forgetOutcomes(time.Second, direct)
	h.forgetOutcomes(2*time.Second, &session{gateway: "relay without reports", boot: 1, relay: true})
	is.Equal(r.forgotAt, time.Duration(0))
	is.Equal(r.totals["r"].Target.Sent, uint64(10))
	h.forgetOutcomes(3*time.Second, first)
	is.Equal(r.forgotAt, 3*time.Second) // nothing for the target until they have reported again
	is.Equal(r.totals["r"].Target.Sent, uint64(5))
	h.addOutcomes(again, report)
	target, old := r.totals["r"].Target, r.totals["r"].Old
	is.Equal([]uint64{target.Sent, target.Answered, target.Failed, old.Sent}, []uint64{10, 6, 4, 14})
	is.Equal(target.Paces[:3], []uint64{2, 4, 0})
	is.Equal(len(r.reported), 2)
}
