// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// settleFor adds the same reports every 100 ms for a while. The time before the
// first settlement is unknown, so nothing is added then.
func settleFor(d *Demand, span time.Duration, capacity float64, reports ...protocol.Usage) {
	for end := d.settled + span; d.settled < end; {
		if d.settled > 0 {
			for _, m := range reports {
				d.Add(m)
			}
		}
		d.Recompute(d.settled+100*time.Millisecond, capacity)
	}
}

// TestEntitlements lets three accounts ask at two gateways for twice what is
// named, while the engines make half as much again.
func TestEntitlements(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	reports := []protocol.Usage{
		{Demands: []protocol.Demand{{Account: "big", Tokens: 1000}, {Account: "small", Tokens: 50}}, Started: 750},
		{Demands: []protocol.Demand{{Account: "big", Tokens: 500}, {Account: "middle", Tokens: 450}}, Started: 750},
	}
	settleFor(d, 10*time.Second, 10000, reports...) // a second: big 15000, middle 4500, small 500
	parts := map[string]protocol.Entitlement{}
	for _, e := range d.Entitlements() {
		parts[e.Account] = e
	}
	near := func(got float32, want float64) bool { return math.Abs(float64(got)-want) < 0.02 }
	is.Equal(len(parts), 1) // the others are covered whole
	is.True(near(parts["big"].Part, 5000.0/15000))
	is.True(near(parts["big"].Extra, (probe*15000-5000)/15000)) // of 15000 made, and a little more
	is.True(!d.Contended())
}

// TestFloodIsKnownSoon: a new leader's averages begin at nothing, and an account
// that asks for three times its share is still known after 400 ms.
func TestFloodIsKnownSoon(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	report := protocol.Usage{
		Demands: []protocol.Demand{{Account: "big", Tokens: 3000}, {Account: "small", Tokens: 50}},
		Served:  []protocol.Demand{{Account: "big", Tokens: 950}, {Account: "small", Tokens: 50}}, Started: 1000,
	}
	settleFor(d, 500*time.Millisecond, 10000, report) // the first of the five is not counted
	is.Equal(len(d.Entitlements()), 1)
	is.Equal(d.Entitlements()[0].Account, "big")
	is.True(math.Abs(float64(d.Entitlements()[0].Part)-9500.0/30000) < 0.02)
}

func TestShortWhenSharesAreMissed(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	settleFor(d, 5*time.Second, 10000, protocol.Usage{Started: 1000, Missed: 10})
	is.True(!d.Contended())
	settleFor(d, 5*time.Second, 10000, protocol.Usage{Started: 1000, Missed: 60})
	is.True(d.Contended())
}

// TestExtraFallsWithWhatIsMissed: the more is missed within shares, the less
// anybody gets beyond the named rate.
func TestExtraFallsWithWhatIsMissed(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		missed uint64 // each 100 ms
		extra  float64
	}{{0, probe * 15000 / 40000}, {100, 12000.0 / 40000}, {400, 10000.0 / 40000}} {
		d := NewDemandEstimator()
		settleFor(d, 10*time.Second, 10000, protocol.Usage{
			Demands: []protocol.Demand{{Account: "big", Tokens: 4000}}, Started: 1500, Missed: tt.missed,
		})
		is.True(math.Abs(float64(d.Entitlements()[0].Extra)-tt.extra) < 0.02)
		is.True(math.Abs(float64(d.Entitlements()[0].Part)-0.25) < 0.02)
	}
}

// TestIdleEnginesRefuseNobody: accounts that demand more than the named rate have it from the first list on, where
// most engines run nothing, and no more than a little above what was made where they all do; and not where shares
// are missed, whatever is idle.
func TestIdleEnginesRefuseNobody(t *testing.T) {
	is := is.New(t)
	reports := func(missed uint64) protocol.Usage {
		return protocol.Usage{
			Demands: []protocol.Demand{{Account: "big", Tokens: 1500}, {Account: "second", Tokens: 900}, {Account: "small", Tokens: 50}},
			Started: 1000, Missed: missed,
		}
	}
	for _, tt := range []struct {
		busy   float64
		missed uint64
		extra  float64 // of what big demands
	}{{0.12, 0, 1}, {0.3, 0, (16667 - 500.0) / 2 / 15000}, {0.9, 0, (12500 - 500.0) / 2 / 15000}, {0, 0, (12500 - 500.0) / 2 / 15000}, {0.12, 100, (10000 - 500.0) / 2 / 15000}} {
		d := NewDemandEstimator()
		d.SetBusyFraction(tt.busy)
		settleFor(d, time.Second, 10000, reports(tt.missed))
		is.True(d.Ready())
		is.True(math.Abs(float64(d.Entitlements()[0].Extra)-tt.extra) < 0.02)
	}
}

// TestSeveralWaitForTheRest: what is beyond every share is served only while it is one
// account's alone.
func TestSeveralWaitForTheRest(t *testing.T) {
	is := is.New(t)
	big := protocol.Demand{Account: "big", Tokens: 2000}
	d := NewDemandEstimator()
	settleFor(d, 5*time.Second, 10000, protocol.Usage{Demands: []protocol.Demand{big}, Started: 1000})
	is.True(!d.Contended())
	second := protocol.Demand{Account: "second", Tokens: 2000}
	settleFor(d, 5*time.Second, 10000, protocol.Usage{Demands: []protocol.Demand{big, second}, Started: 1000})
	is.True(d.Contended())
}

// TestNewLeaderKnowsNothing: its averages must hold 300 ms before they decide anything.
func TestNewLeaderKnowsNothing(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	report := protocol.Usage{Demands: []protocol.Demand{{Account: "big", Tokens: 3000}}}
	settleFor(d, 300*time.Millisecond, 10000, report) // two settlements after the first
	is.True(!d.Ready())
	is.Equal(d.MaxAccountRate(), 0.0)
	settleFor(d, 200*time.Millisecond, 10000, report)
	is.True(d.Ready())
	is.True(d.MaxAccountRate() > 0)
}
