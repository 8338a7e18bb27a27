// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests the leader's state of one rollout.

func newTestRollout(d document.Rollout) *activeRollout {
	return &activeRollout{Rollout: d, reports: map[reporter]map[outcomeKey]protocol.Outcomes{}, totals: map[string]*rollout.RouteTallies{}}
}

// TestReportedTotalsReplaceEarlierOnes checks that lost or repeated reports change nothing, and that the
// totals of a restarted gateway add to those of its earlier run.
func TestReportedTotalsReplaceEarlierOnes(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(document.Rollout{Target: "v2"})
	report := func(boot, sent, failed uint64, version string, paces ...uint32) {
		r.addOutcomes(reporter{gateway: "g", bootID: boot}, protocol.Outcomes{Version: version, Route: "r", Sent: sent, Answered: sent - failed, Failed: failed, PaceCounts: paces})
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

// TestRelayTotalsCountOnlyDuringSession checks that a relay's totals count only while its session lives:
// its gateways then report them elsewhere, to the relay's next run, another relay or the leader.
func TestRelayTotalsCountOnlyDuringSession(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(document.Rollout{Pool: "p", Target: "v2", Attempt: 1})
	h := &hub{}
	h.rollouts = rollouts{underWay: map[string]*activeRollout{"p": r}, appliedLists: map[*session]appliedLists{}}
	report := func(s *session, sent, failed uint64, paces ...uint32) {
		h.addOutcomes(s, protocol.Usage{Outcomes: []protocol.Outcomes{
			{Pool: "p", Attempt: 1, Version: "v2", Route: "r", Sent: sent, Answered: sent - failed, Failed: failed, PaceCounts: paces},
		}})
	}
	total := func() []uint64 {
		t := r.totals["r"].Target
		return []uint64{t.Sent, t.Answered, t.Failed, t.Paces[1]}
	}
	north := &session{gateway: "relay", bootID: 1, isRelay: true}
	report(north, 30, 4, 0, 9)
	report(&session{gateway: "g", bootID: 1}, 10, 1, 0, 3)
	is.Equal(total(), []uint64{40, 35, 5, 12})
	h.removeOutcomes(north)
	is.Equal(total(), []uint64{10, 9, 1, 3})
	again := &session{gateway: "relay", bootID: 1, isRelay: true} // the same run, or another
	report(again, 20, 3, 0, 6)                                    // one of its gateways has not reconnected yet
	h.removeOutcomes(north)                                       // the end of its link is detected last
	report(again, 31, 4, 0, 9)
	is.Equal(total(), []uint64{41, 36, 5, 12})
	report(again, 21, 1, 0, 3) // one gateway moves to another relay
	report(&session{gateway: "other relay", bootID: 1, isRelay: true}, 10, 3, 0, 6)
	is.Equal(total(), []uint64{41, 36, 5, 12})
	gone := &session{gateway: "g", bootID: 1}
	h.removeOutcomes(gone) // a gateway's own totals are kept
	is.Equal(total(), []uint64{41, 36, 5, 12})
}

// TestNewLeaderAdoptsPreviousVerdict checks that a new leader adopts its predecessor's verdict from
// gateways: it may have reached them and not the log, and outcomes seen since need not repeat it.
func TestNewLeaderAdoptsPreviousVerdict(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(document.Rollout{Pool: "p", Target: "v2", Attempt: 2})
	h := &hub{}
	h.rollouts = rollouts{underWay: map[string]*activeRollout{"p": r}, appliedLists: map[*session]appliedLists{}}
	report := func(list ...protocol.BarredTarget) {
		h.addOutcomes(&session{gateway: "g", bootID: 1}, protocol.Usage{Barred: list})
	}
	report(protocol.BarredTarget{Pool: "p", Attempt: 1}, protocol.BarredTarget{Pool: "q", Attempt: 2})
	is.Equal(r.decision.Action, rollout.Continue)
	report(protocol.BarredTarget{Pool: "p", Attempt: 2})
	is.Equal(r.decision.Action, rollout.RollBack)
	is.Equal(r.listEntry(protocol.Rollout{}), protocol.Rollout{Target: "v2", Barred: []string{"v2"}})
}

// TestReplacedVersions checks that the replaced versions include those whose servers are absent when the
// rollout completes, but no barred version.
func TestReplacedVersions(t *testing.T) {
	is := is.New(t)
	h := &hub{registry: registry.New(0, time.Second, registry.NewHandles(1))}
	for i, v := range []string{"", "v1", "v2", "v3"} {
		h.registry.Announce(0, registry.Announcement{
			Registration: protocol.Registration{ID: fmt.Sprint("b", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Version: v}, Seq: 1,
		})
	}
	r := newTestRollout(document.Rollout{Pool: "p", Target: "v2", Barred: []string{"v3"}})
	for _, v := range []string{"v0", "v2", "v3"} {
		r.addOutcomes(reporter{gateway: "g", bootID: 1}, protocol.Outcomes{Version: v, Route: "r", Sent: 1})
	}
	is.Equal(h.replacedVersions(r), []string{"", "v0", "v1"})
}

// TestVerdictIsSentBeforeCommit checks that a list with the verdict is sent at once, without a change to
// the state that the log holds.
func TestVerdictIsSentBeforeCommit(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(document.Rollout{Pool: "p", Target: "v2", Attempt: 3, Barred: make([]string, 0, 4)})
	r.decision = rollout.Decision{Share: 0.04, Routes: map[string]float64{"b": 0.5, "a": 0.25}}
	base := protocol.Rollout{Pool: "p", Attempt: 3, Barred: r.Barred}
	is.Equal(r.listEntry(base), protocol.Rollout{
		Pool: "p", Attempt: 3, Target: "v2", Share: 0.04, Barred: []string{},
		Routes: []protocol.RouteShare{{Route: "a", Share: 0.25}, {Route: "b", Share: 0.5}},
	})
	r.decision = rollout.Decision{Action: rollout.RollBack}
	is.Equal(r.listEntry(base), protocol.Rollout{Pool: "p", Attempt: 3, Target: "v2", Barred: []string{"v2"}})
	is.Equal(len(r.Barred), 0)
}

// TestSmallShareChangesAreNotSent checks that small changes of a share are not sent.
func TestSmallShareChangesAreNotSent(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(document.Rollout{Target: "v2"})
	for _, step := range []struct{ decided, sent float64 }{{0.04, 0.04}, {0.045, 0.04}, {0.05, 0.05}, {0.99, 0.99}, {1, 1}, {0, 0}} {
		r.decision = rollout.Decision{Share: step.decided}
		is.Equal(r.listEntry(protocol.Rollout{}).Share, step.sent)
	}
}

// TestFullShareListNumber checks that gateways have to apply the first of the latest lists that give the
// target all requests.
func TestFullShareListNumber(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(document.Rollout{})
	for _, step := range []struct {
		seq   uint64
		share float64
		want  uint64
	}{{1, 0.04, 0}, {2, 1, 2}, {3, 1, 2}, {4, 0, 0}, {5, 1, 5}} {
		r.recordSent(0, step.seq, protocol.Rollout{Share: step.share})
		is.Equal(r.fullShareSeq, step.want)
	}
}

// TestReducedTotalsAreRecorded checks that the time of a reduction of the totals is recorded when a
// relay's session ends, if the relay had reported outcomes.
func TestReducedTotalsAreRecorded(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(document.Rollout{Pool: "p", Target: "v2", Attempt: 1})
	silent, relay := reporter{relaySession: &session{}}, reporter{relaySession: &session{bootID: 1}}
	r.addOutcomes(relay, protocol.Outcomes{Version: "v2", Route: "r", Sent: 5})
	r.removeReporter(silent)
	r.recordReducedTotals(time.Second)
	is.Equal(r.totalsReducedAt, time.Duration(0))
	r.removeReporter(relay)
	r.recordReducedTotals(3 * time.Second)
	is.Equal(r.totalsReducedAt, 3*time.Second)
	r.recordReducedTotals(4 * time.Second)
	is.Equal(r.totalsReducedAt, 3*time.Second)
}

// TestNewRelaySessionDelaysCompletion checks that a new relay session delays completion until it has
// reported twice: before the relay has named its gateways, their load is not in the load totals either.
func TestNewRelaySessionDelaysCompletion(t *testing.T) {
	is := is.New(t)
	s := &session{gateway: "relay", isRelay: true, supportsRollouts: true}
	earlier := &session{gateway: "g"} // its version does not support rollouts
	h := &hub{registry: registry.New(0, time.Second, registry.NewHandles(1)), usage: newUsage(), sessions: map[*session]bool{s: true, earlier: true}}
	h.rollouts = rollouts{appliedLists: map[*session]appliedLists{}}
	r := newTestRollout(document.Rollout{Pool: "p", Target: "v2"})
	r.fullShareSeq = 2
	for _, want := range []bool{false, false, true} {
		is.Equal(h.oldVersionsIdle(r), want)
		h.addOutcomes(s, protocol.Usage{AppliedRollouts: 2})
	}
}
