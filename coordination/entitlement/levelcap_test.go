// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestLevelCap checks that a cap follows what the least served account is served, is never
// below the level, and grows by capGrowthPerSecond once no account causes it.
func TestLevelCap(t *testing.T) {
	is := is.New(t)
	const tick, level = 100 * time.Millisecond, 1000.0
	noneUnderserved := math.Inf(1)
	var c levelCap
	is.Equal(c.apply(5000), 5000.0)
	c = c.update(tick, noneUnderserved, level)
	is.Equal(c.apply(5000), 5000.0)
	c = c.update(tick, 2000, level)
	is.Equal(c.apply(5000), capMultiple*2000)
	c = c.update(tick, 100, level)
	is.Equal(c.apply(5000), level)
	c = c.update(tick, noneUnderserved, level)
	is.True(math.Abs(c.apply(5000)-(1+capGrowthPerSecond/10)*level) < 1)
	for range 50 {
		c = c.update(tick, noneUnderserved, level)
	}
	is.Equal(c.apply(5000), 5000.0)
}

// TestUnderservedAccountCapsTheLevel checks that an account whose gateways serve it a fifth of what
// other accounts are served caps these near that rate, unless it demands little.
func TestUnderservedAccountCapsTheLevel(t *testing.T) {
	is := is.New(t)
	extra := func(demand, served uint64) float64 {
		d := NewDemandEstimator()
		recomputeFor(d, 10*time.Second, 10_000, protocol.Usage{ // a level of 2,000 to 2,500 tokens per second
			Demands: []protocol.Demand{{Account: "a", Tokens: 1000}, {Account: "b", Tokens: 1000}, {Account: "c", Tokens: 1000}, {Account: "d", Tokens: 1000}, {Account: "few", Tokens: demand}},
			Served:  []protocol.Demand{{Account: "a", Tokens: 750}, {Account: "b", Tokens: 750}, {Account: "c", Tokens: 750}, {Account: "d", Tokens: 750}, {Account: "few", Tokens: served}},
			Started: 3000 + served,
		})
		return d.extraLevel
	}
	is.True(extra(1000, 750) > 7000)                    // the engines produce 37,500
	is.True(extra(1000, 150) <= capMultiple*10*150+100) // the others are served somewhat more than 1,500
	is.True(extra(60, 10) > 7000)                       // its demand is below half of the level
}

// TestUnreadDemandCapsTheLevel checks that an account whose gateways accept few of its connections
// caps the others according to what it is served. One that is served most of its demand
// causes no cap. The estimate of unread demand changes no share.
func TestUnreadDemandCapsTheLevel(t *testing.T) {
	is := is.New(t)
	estimate := func(unread uint64) *DemandEstimator {
		d := NewDemandEstimator()
		few := protocol.Demand{Account: "few", Tokens: 400}
		recomputeFor(d, 10*time.Second, 10_000, protocol.Usage{
			Demands: []protocol.Demand{{Account: "a", Tokens: 1000}, {Account: "b", Tokens: 1000}, {Account: "c", Tokens: 1000}, few},
			Served:  []protocol.Demand{{Account: "a", Tokens: 1000}, {Account: "b", Tokens: 1000}, {Account: "c", Tokens: 1000}, few},
			Started: 3400, Unread: []protocol.Demand{{Account: "few", Tokens: unread}},
		})
		return d
	}
	for unread, capped := range map[uint64]bool{0: false, 200: false, 1200: true, 1e9: true} {
		d := estimate(unread)
		is.Equal(d.extraLevel < 7000, capped)
		if capped {
			is.True(d.extraLevel <= 2*4000) // no account is served twice as much
		}
		is.Equal(d.Rates(9).Accounts[3], AccountRates{Account: "few", Demand: 4000, Served: 4000, Unread: int64(10 * unread)})
		is.Equal(d.level, estimate(0).level)
	}
}
