// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// recomputeFor adds the same reports every 100 ms for a time span. The period before the
// first recomputation is unknown, so nothing is added then.
func recomputeFor(d *DemandEstimator, span time.Duration, capacity float64, reports ...protocol.Usage) {
	for end := d.updatedAt + span; d.updatedAt < end; {
		if d.updatedAt > 0 {
			for _, m := range reports {
				d.Add(m)
			}
		}
		d.Recompute(d.updatedAt+100*time.Millisecond, capacity)
	}
}

// TestEntitlementsOfAccountAboveItsShare checks the entitlements of three accounts that
// together demand twice the configured rate at two gateways, while the engines produce one and
// a half times that rate.
func TestEntitlementsOfAccountAboveItsShare(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	reports := []protocol.Usage{
		{Demands: []protocol.Demand{{Account: "big", Tokens: 1000}, {Account: "small", Tokens: 50}}, Started: 750},
		{Demands: []protocol.Demand{{Account: "big", Tokens: 500}, {Account: "middle", Tokens: 450}}, Started: 750},
	}
	recomputeFor(d, 10*time.Second, 10000, reports...) // per second: big 15000, middle 4500, small 500
	parts := map[string]protocol.Entitlement{}
	for _, e := range d.Entitlements() {
		parts[e.Account] = e
	}
	near := func(got float32, want float64) bool { return math.Abs(float64(got)-want) < 0.02 }
	is.Equal(len(parts), 1) // the others are covered in full
	is.True(near(parts["big"].Part, 5000.0/15000))
	is.True(near(parts["big"].Extra, (probeFactor*15000-5000)/15000)) // output of 15000, plus the probe
	is.True(!d.Contended())
}

// TestNewLeaderListsFloodWithin400ms checks that a new leader, whose averages start empty,
// lists an account that demands three times its share after 400 ms.
func TestNewLeaderListsFloodWithin400ms(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	report := protocol.Usage{
		Demands: []protocol.Demand{{Account: "big", Tokens: 3000}, {Account: "small", Tokens: 50}},
		Served:  []protocol.Demand{{Account: "big", Tokens: 950}, {Account: "small", Tokens: 50}}, Started: 1000,
	}
	recomputeFor(d, 500*time.Millisecond, 10000, report) // the first of the five reports is not counted
	is.Equal(len(d.Entitlements()), 1)
	is.Equal(d.Entitlements()[0].Account, "big")
	is.True(math.Abs(float64(d.Entitlements()[0].Part)-9500.0/30000) < 0.02)
}

func TestContendedWhenSharesAreMissed(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	recomputeFor(d, 5*time.Second, 10000, protocol.Usage{Started: 1000, Missed: 10})
	is.True(!d.Contended())
	recomputeFor(d, 5*time.Second, 10000, protocol.Usage{Started: 1000, Missed: 60})
	is.True(d.Contended())
}

// TestMissedRequestsLowerExtra checks that the more requests within shares are missed, the
// less any account is served beyond the configured rate.
func TestMissedRequestsLowerExtra(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		missed uint64 // tokens per 100 ms
		extra  float64
	}{{0, probeFactor * 15000 / 40000}, {100, 12000.0 / 40000}, {400, 10000.0 / 40000}} {
		d := NewDemandEstimator()
		recomputeFor(d, 10*time.Second, 10000, protocol.Usage{
			Demands: []protocol.Demand{{Account: "big", Tokens: 4000}}, Started: 1500, Missed: tt.missed,
		})
		is.True(math.Abs(float64(d.Entitlements()[0].Extra)-tt.extra) < 0.02)
		is.True(math.Abs(float64(d.Entitlements()[0].Part)-0.25) < 0.02)
	}
}

// TestIdleEnginesRaiseExtra checks that while most engines run nothing, accounts that demand
// more than the configured rate are covered in full from the first list on. While all engines
// are busy, the covered sum is little more than the recent output, and while requests within
// shares are missed, no more than the configured rate, even if engines are idle.
func TestIdleEnginesRaiseExtra(t *testing.T) {
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
		extra  float64 // fraction of big's demand
	}{{0.12, 0, 1}, {0.3, 0, (16667 - 500.0) / 2 / 15000}, {0.9, 0, (12500 - 500.0) / 2 / 15000}, {0, 0, (12500 - 500.0) / 2 / 15000}, {0.12, 100, (10000 - 500.0) / 2 / 15000}} {
		d := NewDemandEstimator()
		d.SetBusyFraction(tt.busy)
		recomputeFor(d, time.Second, 10000, reports(tt.missed))
		is.True(d.Ready())
		is.True(math.Abs(float64(d.Entitlements()[0].Extra)-tt.extra) < 0.02)
	}
}

// TestContendedWhenSeveralAccountsExceedTheirShare checks that requests beyond every share must
// wait as soon as a second account sends them.
func TestContendedWhenSeveralAccountsExceedTheirShare(t *testing.T) {
	is := is.New(t)
	big := protocol.Demand{Account: "big", Tokens: 2000}
	d := NewDemandEstimator()
	recomputeFor(d, 5*time.Second, 10000, protocol.Usage{Demands: []protocol.Demand{big}, Started: 1000})
	is.True(!d.Contended())
	second := protocol.Demand{Account: "second", Tokens: 2000}
	recomputeFor(d, 5*time.Second, 10000, protocol.Usage{Demands: []protocol.Demand{big, second}, Started: 1000})
	is.True(d.Contended())
}

// TestNewLeaderIsNotReadyAtFirst checks that a new leader's averages are not used before they
// cover 300 ms.
func TestNewLeaderIsNotReadyAtFirst(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	report := protocol.Usage{Demands: []protocol.Demand{{Account: "big", Tokens: 3000}}}
	recomputeFor(d, 300*time.Millisecond, 10000, report) // two recomputations after the first
	is.True(!d.Ready())
	is.Equal(d.MaxAccountRate(), 0.0)
	recomputeFor(d, 200*time.Millisecond, 10000, report)
	is.True(d.Ready())
	is.True(d.MaxAccountRate() > 0)
}
