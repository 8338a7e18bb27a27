// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests to which versions a gateway sends requests, and which outcomes it counts.

// setVersions announces versions of the servers p0, p1, … of pool "plain".
func (x *fixture) setVersions(versions ...string) {
	m := protocol.Servers{Term: 1}
	for i, v := range versions {
		s := x.g.table.servers[fmt.Sprint("p", i)].Server
		s.Version = v
		m.Set = append(m.Set, s)
	}
	x.g.table.update(m)
}

// sendRollout applies a list with one rollout of pool "plain".
func (x *fixture) sendRollout(term, seq uint64, r protocol.Rollout) {
	r.Pool = "plain"
	x.g.table.updateRollouts(protocol.Rollouts{Term: term, Seq: seq, List: []protocol.Rollout{r}})
}

// renewShares makes the leader count a report that is sent now.
func (x *fixture) renewShares() {
	x.reports++
	x.g.table.takeReport(x.reports)
	x.g.table.updateLoads(x.g.now(), x.reports, nil)
}

// cycleDraws makes the version draws cycle through ten equidistant values. A request takes two
// random numbers: one for its pool, and one for its server and the version draw.
func (x *fixture) cycleDraws() {
	n := uint64(0)
	x.g.cfg.Random = func() uint64 {
		n++
		// The leading 24 of 53 bits choose among servers; the version draw uses the others.
		return (n / 2 % 10 << 53 / 10 >> 24) << 11
	}
}

// countAnswers sends requests and returns the number of answers by body.
func (x *fixture) countAnswers(path string, times int) map[string]int {
	got := map[string]int{}
	for range times {
		got[x.request(path, "Patience", "2000").body]++
	}
	return got
}

var oldAndNew = []behaviour{answers(200, "old", time.Millisecond), answers(200, "new", time.Millisecond)}

// TestTargetShareNeedsLease checks that the target gets its share only while the leader counts this
// gateway's reports. Otherwise the old version gets all requests, and the target only if there is
// no other.
func TestTargetShareNeedsLease(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.cycleDraws()
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.25})
		is.Equal(x.countAnswers("/once/1", 100), map[string]int{"old": 100}) // no report has been counted
		x.renewShares()
		is.Equal(x.countAnswers("/once/1", 100), map[string]int{"old": 70, "new": 30})
		time.Sleep(rolloutSharesLease)
		is.Equal(x.countAnswers("/once/1", 100), map[string]int{"old": 100})
		x.g.table.updateLoads(x.g.now(), 1, nil) // a late message, as after the gateway was frozen
		is.Equal(x.countAnswers("/once/1", 100), map[string]int{"old": 100})
		x.renewShares()
		is.Equal(x.countAnswers("/once/1", 100), map[string]int{"old": 70, "new": 30})
		x.g.table.endShares() // the session has ended
		is.Equal(x.countAnswers("/once/1", 100), map[string]int{"old": 100})
		x.renewShares()
		x.g.table.update(protocol.Servers{Term: 1, Whole: true}) // a new session has begun
		is.Equal(x.countAnswers("/once/1", 100), map[string]int{"old": 100})
		x.g.table.update(protocol.Servers{Term: 1, Removed: []string{"p0"}})
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
	}, oldAndNew...)
}

// TestRouteShareOverridesPoolShare checks that a route may have its own share.
func TestRouteShareOverridesPoolShare(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.cycleDraws()
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.05, Routes: []protocol.RouteShare{{Route: "again", Share: 0.45}}})
		x.renewShares()
		is.Equal(x.countAnswers("/once/1", 100)["new"], 10)
		is.Equal(x.countAnswers("/again/1", 100)["new"], 50)
	}, oldAndNew...)
}

// TestBarredVersionGetsNoRequests checks that a barred version stays barred, also if a later
// leader's list lacks the verdict, until the log has the attempt's end or another attempt starts.
func TestBarredVersionGetsNoRequests(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.cycleDraws()
		x.setVersions("v1", "v2")
		x.renewShares()
		asked := func() map[string]int { return x.countAnswers("/once/1", 10) }
		all := map[string]int{"old": 10}
		x.sendRollout(2, 1, protocol.Rollout{Attempt: 1, Target: "v2", Barred: []string{"v2"}})
		is.Equal(asked(), all)
		x.sendRollout(1, 9, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1}) // from an older leader
		is.Equal(asked(), all)
		x.sendRollout(1, 10, protocol.Rollout{Attempt: 1})
		is.Equal(asked(), all)
		x.sendRollout(2, 1, protocol.Rollout{Attempt: 1}) // not a newer list
		is.Equal(asked(), all)
		x.sendRollout(3, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1}) // from a leader that lacks the verdict
		is.Equal(asked(), all)
		x.sendRollout(3, 2, protocol.Rollout{Attempt: 1, Barred: []string{"v2"}}) // the verdict is in the log
		is.Equal(asked(), all)
		x.g.table.update(protocol.Servers{Term: 3, Removed: []string{"p0"}})
		is.Equal(x.request("/once/1", "Patience", "300").status, 503) // even if there is no other version
		x.sendRollout(3, 3, protocol.Rollout{Attempt: 2, Target: "v2", Share: 1})
		is.Equal(asked(), map[string]int{"new": 10})
	}, oldAndNew...)
}

// TestReplacedVersionServesOnlyIfOthersAreBarred checks that a replaced version gets requests only
// if all other versions are barred.
func TestReplacedVersionServesOnlyIfOthersAreBarred(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Replaced: []string{"v1"}})
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
		x.sendRollout(1, 2, protocol.Rollout{Attempt: 2, Barred: []string{"v2"}, Replaced: []string{"v1"}})
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"old": 10})
		x.setVersions("v1", "v3") // a version that is in no rollout is used
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
	}, oldAndNew...)
}

// TestTargetServesAfterLastOldServerIsMisdirected checks that the target gets all requests once the
// address of the last old server turns out to belong to another server.
func TestTargetServesAfterLastOldServerIsMisdirected(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2"})
		x.renewShares()
		x.g.table.removeMisdirected("p0")
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
	}, oldAndNew...)
}

// TestAppliedListNumber checks that a list is reported as applied only while its shares are in
// force and nothing keeps requests from the target. Otherwise the old servers are still needed.
func TestAppliedListNumber(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		appliedList := func() uint64 {
			_, seq := x.g.table.takeOutcomes(x.g.now())
			return seq
		}
		x.setVersions("v1", "v2")
		x.sendRollout(1, 7, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
		is.Equal(appliedList(), uint64(0)) // no report has been counted
		x.renewShares()
		is.Equal(appliedList(), uint64(7))
		time.Sleep(rolloutSharesLease)
		is.Equal(appliedList(), uint64(0))
		x.renewShares()
		x.countAnswers("/once/1", breakerThreshold)
		is.Equal(appliedList(), uint64(0)) // the breaker is open after bad answers
		time.Sleep(breakerOpenTime)
		x.renewShares()
		is.Equal(appliedList(), uint64(7))
		x.sendRollout(1, 8, protocol.Rollout{Attempt: 1, Target: "v2", Barred: []string{"v2"}})
		is.Equal(appliedList(), uint64(8))
		x.g.table.update(protocol.Servers{Term: 2, Whole: true})
		is.Equal(appliedList(), uint64(0)) // the list is from another term
		x.sendRollout(2, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
		x.renewShares()
		is.Equal(appliedList(), uint64(0)) // the previous leader has barred the target
		is.Equal(x.g.table.locallyBarred(), []protocol.BarredTarget{{Pool: "plain", Attempt: 1}})
		x.sendRollout(2, 2, protocol.Rollout{Attempt: 1, Barred: []string{"v2"}})
		is.Equal(appliedList(), uint64(2))
		is.Equal(len(x.g.table.locallyBarred()), 0)
	}, answers(200, "old", time.Millisecond), answers(500, "bad", time.Millisecond))
}

// TestRetryGoesToTheOldVersion checks that requests that failed at the target, or found no
// capacity there, go to the old version.
func TestRetryGoesToTheOldVersion(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2", "v2", "v2") // draws are always within the share
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.99})
		x.renewShares()
		is.Equal(x.countAnswers("/again/1", 3), map[string]int{"old": 3})
		var sent, failed uint64
		outcomes, appliedList := x.g.table.takeOutcomes(x.g.now())
		is.Equal(appliedList, uint64(1))
		for _, o := range outcomes {
			if o.Version == "v2" {
				sent, failed = sent+o.Sent, failed+o.Failed
			}
		}
		is.Equal(sent, uint64(3)) // one attempt each
		is.Equal(failed, uint64(3))
	}, answers(200, "old", time.Millisecond), answers(500, "bad", time.Millisecond), answers(500, "bad", time.Millisecond), answers(500, "bad", time.Millisecond))
}

// TestVersionIsLogged checks that the log line of a request's end has the version that served it
// and why, and that the counter has the target by name and all other versions together.
func TestVersionIsLogged(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var text bytes.Buffer
		old := x.g.cfg.Log
		x.g.cfg.Log = decision.New(&text, slog.LevelInfo, decision.DefaultBudget, metrics.NewSet())
		defer old.Close()
		x.request("/once/1")
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.5})
		x.request("/once/1")
		x.renewShares()
		x.request("/once/1")
		x.g.cfg.Log.Close()
		is.Equal(strings.Count(text.String(), `"answered"`), 3)
		is.Equal(strings.Count(text.String(), `"version"`), 2)
		is.True(strings.Contains(text.String(), `"version":"v1","version_for":"no lease"`))
		is.True(strings.Contains(text.String(), `"version":"v2","version_for":"share"`))
		for _, version := range []string{"v2", "other"} {
			name := fmt.Sprintf("badgerspoke_gateway_version_requests_total{pool=\"plain\",version=%q}", version)
			is.Equal(x.g.stats.metricSet.GetOrCreateCounter(name).Get(), uint64(1))
		}
	}, oldAndNew...)
}

// TestBreakerOpensAfterTargetFailures checks that consecutive bad answers of the target stop
// requests to it for a while.
func TestBreakerOpensAfterTargetFailures(t *testing.T) {
	is := is.New(t)
	b := breaker{}
	for range breakerThreshold {
		is.True(!b.isOpen(time.Second))
		b = b.withAnswer(time.Second, true, true)
	}
	is.True(b.isOpen(time.Second))
	is.True(!b.isOpen(time.Second + breakerOpenTime))
	b = breaker{}.withAnswer(0, false, true) // the old version's answers are bad as well
	for range 2 * breakerThreshold {
		b = b.withAnswer(time.Second, true, true)
	}
	is.True(!b.isOpen(time.Second))
}

// TestTrialServers checks that the number of trial servers is the share of all, rounded up, that
// all gateways select the same ones, and that all servers are selected once the target gets all
// requests.
func TestTrialServers(t *testing.T) {
	is := is.New(t)
	chosen := func(share float64, n int) map[string]bool {
		table := newTable("g", "z", monotonic())
		m := protocol.Servers{Term: 1}
		for i := range n {
			m.Set = append(m.Set, protocol.Server{Handle: uint32(i + 1), Registration: protocol.Registration{
				ID: fmt.Sprint("s", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", i), Version: "v2",
			}})
		}
		table.update(m)
		table.updateRollouts(protocol.Rollouts{Term: 1, Seq: 1, List: []protocol.Rollout{{Pool: "p", Attempt: 1, Target: "v2", Share: share}}})
		ids := map[string]bool{}
		for _, k := range table.servers {
			if k.versionSet&trialVersion != 0 {
				ids[k.ID] = true
			}
		}
		return ids
	}
	is.Equal(len(chosen(0.04, 60)), 3)
	is.Equal(chosen(0.04, 60), chosen(0.04, 60))
	is.Equal(len(chosen(0.04, 3)), 1)
	is.Equal(len(chosen(0.45, 3)), 2) // one server would have more load than each old one
	is.Equal(len(chosen(0.5, 60)), 30)
	is.Equal(len(chosen(1, 60)), 60)
	for id := range chosen(0.04, 60) { // a larger share includes the servers of a smaller one
		is.True(chosen(0.5, 60)[id])
	}
}

// TestOldVersionServesIfTargetIsUnusable checks that after the switch the old version gets requests
// only if no server of the target is usable.
func TestOldVersionServesIfTargetIsUnusable(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
		x.renewShares()
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 10})
		s := x.g.table.servers["p1"].Server
		s.Hall = "y"
		x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{s}, HallsOut: []string{"y"}, HallChanges: 1})
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"old": 10})
	}, oldAndNew...)
}

// TestColdTargetServerKeepsToItsColdShare checks that a cold server of the target gets no more than
// its share as a cold server, that the remaining requests go to the old version, and that no
// latency ratio is counted for it.
func TestColdTargetServerKeepsToItsColdShare(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		s := x.g.table.servers["p1"].Server
		s.Cold = &protocol.Cold{Remaining: 10 * time.Second, Shares: []protocol.ColdShare{{Gateway: "g", PerSecond: 2}}}
		x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{s}})
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.9}) // draws are always within the share
		x.renewShares()
		is.Equal(x.countAnswers("/once/1", 10), map[string]int{"new": 2, "old": 8})
		outcomes, _ := x.g.table.takeOutcomes(x.g.now())
		is.Equal(outcomes[1].Version, "v2")
		is.Equal(outcomes[1].Answered, uint64(2))
		is.Equal(len(outcomes[1].PaceCounts), 0)
		is.Equal(len(outcomes[0].PaceCounts) > 0, true)
	}, oldAndNew...)
}

// TestReportedOutcomesAreCumulative checks that each report has the outcomes that have changed, and
// the first one of a session all. An answer that had not begun at its timeout counts with the
// latency ratio that this time gives.
func TestReportedOutcomesAreCumulative(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.setVersions("v1", "v2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
		x.renewShares()
		x.countAnswers("/once/1", 2)
		first, _ := x.g.table.takeOutcomes(x.g.now())
		is.Equal(len(first), 1)
		is.Equal([]uint64{first[0].Sent, first[0].Answered, first[0].Failed}, []uint64{2, 2, 0})
		none, _ := x.g.table.takeOutcomes(x.g.now())
		is.Equal(len(none), 0)
		x.g.table.update(protocol.Servers{Term: 1, Whole: true, Set: []protocol.Server{x.g.table.servers["p0"].Server, x.g.table.servers["p1"].Server}})
		again, _ := x.g.table.takeOutcomes(x.g.now())
		is.Equal(again, first)
		x.renewShares()
		x.servers.behaviours[x.g.table.servers["p1"].Address] = hangs
		is.Equal(x.request("/once/1", "Patience", "800").status, 504)
		slow, _ := x.g.table.takeOutcomes(x.g.now())
		is.Equal(slow[0].Sent, uint64(3))
		is.Equal(slow[0].Failed, uint64(0))
		is.Equal(slow[0].PaceCounts[rollout.PaceBucket(16)], uint32(1)) // 800 ms instead of the expected 50 ms
	}, oldAndNew...)
}
