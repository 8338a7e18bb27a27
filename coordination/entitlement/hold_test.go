// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestHold: a hold is what the account that gets least allows, is never below the level, and grows
// by its part a second once nobody holds any more.
func TestHold(t *testing.T) {
	is := is.New(t)
	const tick, level = 100 * time.Millisecond, 1000.0
	nobody := math.Inf(1)
	var h hold
	is.Equal(h.bound(5000), 5000.0)
	h = h.settle(tick, nobody, level)
	is.Equal(h.bound(5000), 5000.0)
	h = h.settle(tick, 2000, level)
	is.Equal(h.bound(5000), heldTimes*2000)
	h = h.settle(tick, 100, level)
	is.Equal(h.bound(5000), level)
	h = h.settle(tick, nobody, level)
	is.True(math.Abs(h.bound(5000)-(1+heldGrowth/10)*level) < 1)
	for range 50 {
		h = h.settle(tick, nobody, level)
	}
	is.Equal(h.bound(5000), 5000.0)
}

// TestWhoGetsTooLittleHoldsTheOthers: an account whose gateways give it a fifth of what others get
// bounds them near that; one that demands little does not.
func TestWhoGetsTooLittleHoldsTheOthers(t *testing.T) {
	is := is.New(t)
	extra := func(demand, served uint64) float64 {
		d := NewDemandEstimator()
		settleFor(d, 10*time.Second, 10_000, protocol.Usage{ // a level of 2,000 to 2,500 a second
			Demands: []protocol.Demand{{Account: "a", Tokens: 1000}, {Account: "b", Tokens: 1000}, {Account: "c", Tokens: 1000}, {Account: "d", Tokens: 1000}, {Account: "few", Tokens: demand}},
			Served:  []protocol.Demand{{Account: "a", Tokens: 750}, {Account: "b", Tokens: 750}, {Account: "c", Tokens: 750}, {Account: "d", Tokens: 750}, {Account: "few", Tokens: served}},
			Started: 3000 + served,
		})
		return d.extra
	}
	is.True(extra(1000, 750) > 7000)                  // engines make 37,500
	is.True(extra(1000, 150) <= heldTimes*10*150+100) // and the others have somewhat more than 1,500
	is.True(extra(60, 10) > 7000)                     // it demands less than half of the level
}

// TestWhatIsNotReadHoldsTheOthers: an account whose gateways take few of its connections holds the others, by
// what it is given; one that is given most of what it asks does not, and no share is changed by the estimate.
func TestWhatIsNotReadHoldsTheOthers(t *testing.T) {
	is := is.New(t)
	settled := func(unread uint64) *Demand {
		d := NewDemandEstimator()
		few := protocol.Demand{Account: "few", Tokens: 400}
		settleFor(d, 10*time.Second, 10_000, protocol.Usage{
			Demands: []protocol.Demand{{Account: "a", Tokens: 1000}, {Account: "b", Tokens: 1000}, {Account: "c", Tokens: 1000}, few},
			Served:  []protocol.Demand{{Account: "a", Tokens: 1000}, {Account: "b", Tokens: 1000}, {Account: "c", Tokens: 1000}, few},
			Started: 3400, Unread: []protocol.Demand{{Account: "few", Tokens: unread}},
		})
		return d
	}
	for unread, held := range map[uint64]bool{0: false, 200: false, 1200: true, 1e9: true} {
		d := settled(unread)
		is.Equal(d.extra < 7000, held)
		if held {
			is.True(d.extra <= 2*4000) // nobody gets twice what it gets
		}
		is.Equal(d.Rates(9).Accounts[3], AccountRates{Account: "few", Demand: 4000, Served: 4000, Unread: int64(10 * unread)})
		is.Equal(d.level, settled(0).level)
	}
}
