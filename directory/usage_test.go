// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestFirstReportAddsNoDemand: a gateway that was without a leader for two seconds reports the demand
// of that whole time at once. Counted as a rate, it would look like a shortage.
func TestFirstReportAddsNoDemand(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	now := time.Duration(0)
	old, back := &session{}, &session{}
	steady := protocol.Usage{Demands: []protocol.Demand{{Account: "a", Tokens: 400}}}
	settleFor := func(d time.Duration, sessions ...*session) {
		for end := now + d; now < end; {
			for _, s := range sessions {
				u.addReport(s, steady)
			}
			now += 100 * time.Millisecond
			u.demand.Recompute(now, 10000)
		}
	}
	settleFor(2*time.Second, old)
	is.Equal(len(u.demand.Entitlements()), 0)
	u.addReport(back, protocol.Usage{Demands: []protocol.Demand{{Account: "a", Tokens: 20_000}}})
	settleFor(200*time.Millisecond, old, back)
	is.Equal(len(u.demand.Entitlements()), 0)
}

// TestUsageTotalsLastReportOfEachSession checks that the totals consist of the last report of
// each session, and that its number is recorded.
func TestUsageTotalsLastReportOfEachSession(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	a, b := &session{}, &session{}
	u.addReport(a, protocol.Usage{Seq: 1, Loads: []protocol.ServerLoad{{Handle: 1, Requests: 7, Tokens: 70}}})
	u.addReport(a, protocol.Usage{Seq: 2, Loads: []protocol.ServerLoad{{Handle: 1, Requests: 2, Tokens: 10}}})
	u.addReport(b, protocol.Usage{Seq: 9, Loads: []protocol.ServerLoad{{Handle: 1, Requests: 3, Tokens: 5}, {Handle: 2, Requests: 1}}})
	u.sumLoads()
	is.Equal(u.total, []protocol.ServerLoad{{Handle: 1, Requests: 5, Tokens: 15}, {Handle: 2, Requests: 1}})
	is.Equal(a.countedSeq, uint64(2))
	is.Equal(b.countedSeq, uint64(9))
	u.forget(b)
	u.sumLoads()
	is.Equal(u.total, []protocol.ServerLoad{{Handle: 1, Requests: 2, Tokens: 10}})
}
