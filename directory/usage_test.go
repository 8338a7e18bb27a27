// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestFirstReportIsNotARate: a gateway that was without a leader for two
// seconds tells all that was asked meanwhile at once.
func TestFirstReportIsNotARate(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	now := time.Duration(0)
	old, back := &session{}, &session{}
	steady := protocol.Usage{Demands: []protocol.Demand{{Account: "a", Tokens: 400}}}
	settleFor := func(d time.Duration, sessions ...*session) {
		for end := now + d; now < end; {
			for _, s := range sessions {
				u.add(s, steady)
			}
			now += 100 * time.Millisecond
			u.demand.Recompute(now, 10000)
		}
	}
	settleFor(2*time.Second, old)
	is.Equal(len(u.demand.Entitlements()), 0)
	u.add(back, protocol.Usage{Demands: []protocol.Demand{{Account: "a", Tokens: 20_000}}})
	settleFor(200*time.Millisecond, old, back)
	is.Equal(len(u.demand.Entitlements()), 0)
}

// TestSumsOverGateways: the last report of each session counts, and its number is known.
func TestSumsOverGateways(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	a, b := &session{}, &session{}
	u.add(a, protocol.Usage{Seq: 1, Loads: []protocol.ServerLoad{{Handle: 1, Requests: 7, Tokens: 70}}})
	u.add(a, protocol.Usage{Seq: 2, Loads: []protocol.ServerLoad{{Handle: 1, Requests: 2, Tokens: 10}}})
	u.add(b, protocol.Usage{Seq: 9, Loads: []protocol.ServerLoad{{Handle: 1, Requests: 3, Tokens: 5}, {Handle: 2, Requests: 1}}})
	u.sumLoads()
	is.Equal(u.total, []protocol.ServerLoad{{Handle: 1, Requests: 5, Tokens: 15}, {Handle: 2, Requests: 1}})
	is.Equal(a.countedSeq, uint64(2))
	is.Equal(b.countedSeq, uint64(9))
	u.forget(b)
	u.sumLoads()
	is.Equal(u.total, []protocol.ServerLoad{{Handle: 1, Requests: 2, Tokens: 10}})
}
