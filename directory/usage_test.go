// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// settleFor reports the same usage every 100 ms for a while.
func settleFor(u *usage, d time.Duration, capacity float64, reports map[*session]protocol.Usage) {
	for end := u.recomputed + d; u.recomputed < end; {
		for s, m := range reports {
			u.report(s, m)
		}
		u.recompute(u.recomputed+100*time.Millisecond, capacity)
	}
}

// TestEntitlements lets three accounts ask at two gateways for twice what is
// named, while the engines make half as much again.
func TestEntitlements(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	a, b := &session{}, &session{}
	reports := map[*session]protocol.Usage{
		a: {Demands: []protocol.Demand{{Account: "big", Tokens: 1000}, {Account: "small", Tokens: 50}}, Started: 750},
		b: {Demands: []protocol.Demand{{Account: "big", Tokens: 500}, {Account: "middle", Tokens: 450}}, Started: 750},
	}
	settleFor(u, 10*time.Second, 10000, reports) // a second: big 15000, middle 4500, small 500
	parts := map[string]protocol.Entitlement{}
	for _, e := range u.entitlements {
		parts[e.Account] = e
	}
	near := func(got float32, want float64) bool { return math.Abs(float64(got)-want) < 0.02 }
	is.Equal(len(parts), 1) // the others are covered whole
	is.True(near(parts["big"].Part, 5000.0/15000))
	is.True(near(parts["big"].Extra, 10000.0/15000)) // of 15000 made
	is.True(!u.short())
}

// TestFloodIsKnownSoon: a new leader's averages begin at nothing, and an account
// that asks for three times its share is still known after 400 ms.
func TestFloodIsKnownSoon(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	s := &session{}
	reports := map[*session]protocol.Usage{
		s: {Demands: []protocol.Demand{{Account: "big", Tokens: 3000}, {Account: "small", Tokens: 50}}},
	}
	settleFor(u, 500*time.Millisecond, 10000, reports) // the first of the five is not counted
	is.Equal(len(u.entitlements), 1)
	is.Equal(u.entitlements[0].Account, "big")
	is.True(math.Abs(float64(u.entitlements[0].Part)-9500.0/30000) < 0.02)
}

// TestFirstReportIsNotARate: a gateway that was without a leader for two
// seconds tells all that was asked meanwhile at once.
func TestFirstReportIsNotARate(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	old, back := &session{}, &session{}
	steady := protocol.Usage{Demands: []protocol.Demand{{Account: "a", Tokens: 400}}}
	settleFor(u, 2*time.Second, 10000, map[*session]protocol.Usage{old: steady})
	is.Equal(len(u.entitlements), 0)
	u.report(back, protocol.Usage{Demands: []protocol.Demand{{Account: "a", Tokens: 20_000}}})
	settleFor(u, 200*time.Millisecond, 10000, map[*session]protocol.Usage{old: steady, back: steady})
	is.Equal(len(u.entitlements), 0)
}

func TestShortWhenSharesAreMissed(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	s := &session{}
	settleFor(u, 5*time.Second, 10000, map[*session]protocol.Usage{s: {Started: 1000, Missed: 10}})
	is.True(!u.short())
	settleFor(u, 5*time.Second, 10000, map[*session]protocol.Usage{s: {Started: 1000, Missed: 60}})
	is.True(u.short())
}

// TestExtraFallsWithWhatIsMissed: the more is missed within shares, the less
// anybody gets beyond the named rate.
func TestExtraFallsWithWhatIsMissed(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		missed uint64 // each 100 ms
		extra  float64
	}{{0, 15000.0 / 40000}, {100, 12000.0 / 40000}, {400, 10000.0 / 40000}} {
		u := newUsage()
		s := &session{}
		settleFor(u, 10*time.Second, 10000, map[*session]protocol.Usage{s: {
			Demands: []protocol.Demand{{Account: "big", Tokens: 4000}}, Started: 1500, Missed: tt.missed,
		}})
		is.True(math.Abs(float64(u.entitlements[0].Extra)-tt.extra) < 0.02)
		is.True(math.Abs(float64(u.entitlements[0].Part)-0.25) < 0.02)
	}
}

func TestOthersRun(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	a, b, c := &session{}, &session{}, &session{}
	u.report(a, protocol.Usage{Loads: []protocol.ServerLoad{{Handle: 1, Requests: 2, Tokens: 10}}})
	u.report(b, protocol.Usage{Loads: []protocol.ServerLoad{{Handle: 1, Requests: 3, Tokens: 5}, {Handle: 2, Requests: 1}}})
	u.sum()
	is.Equal(u.others(a), []protocol.ServerLoad{{Handle: 1, Requests: 3, Tokens: 5}, {Handle: 2, Requests: 1}})
	is.Equal(u.others(c), []protocol.ServerLoad{{Handle: 1, Requests: 5, Tokens: 15}, {Handle: 2, Requests: 1}})
	u.forget(b)
	u.sum()
	is.Equal(len(u.others(a)), 0)
}
