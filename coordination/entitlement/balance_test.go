// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestBalanceMakesUp gives one of two accounts, of the same demand, half of what it is due:
// its part rises above the other's, and what the engines make beyond the shares is held back.
// Reports that do not say who was served change nothing.
func TestBalanceMakesUp(t *testing.T) {
	is := is.New(t)
	demands := []protocol.Demand{{Account: "even", Tokens: 2000}, {Account: "short", Tokens: 2000}}
	parts := func(served ...protocol.Demand) (even, short protocol.Entitlement) {
		d := NewDemandEstimator()
		settleFor(d, 10*time.Second, 10000, protocol.Usage{Demands: demands, Served: served, Started: 1500})
		is.Equal(len(d.Entitlements()), 2)
		return d.Entitlements()[0], d.Entitlements()[1]
	}
	even, short := parts()
	is.Equal(even.Part, short.Part)
	fair := even
	even, short = parts(protocol.Demand{Account: "even", Tokens: 750}, protocol.Demand{Account: "short", Tokens: 375})
	is.True(short.Part > 1.4*even.Part)
	is.True(short.Part <= factorMost*fair.Part)
	is.True(even.Extra < fair.Extra)
}

// TestBalanceTakesBack: an account that was given too much gets less for a while, and at
// once all that it asks when that is no more than a share.
func TestBalanceTakesBack(t *testing.T) {
	is := is.New(t)
	d := NewDemandEstimator()
	report := func(demand, served uint64) protocol.Usage {
		return protocol.Usage{
			Demands: []protocol.Demand{{Account: "big", Tokens: demand}, {Account: "other", Tokens: 3000}},
			Served:  []protocol.Demand{{Account: "big", Tokens: served}, {Account: "other", Tokens: 500}}, Started: 1000,
		}
	}
	settleFor(d, 5*time.Second, 10000, report(3000, 1000)) // twice what it is due
	is.Equal(d.Entitlements()[0].Account, "big")
	is.True(d.Entitlements()[0].Part < 0.75*d.Entitlements()[1].Part)
	settleFor(d, 2*time.Second, 10000, report(100, 100))
	is.Equal(len(d.Entitlements()), 1)
	is.Equal(d.Entitlements()[0].Account, "other")
}
