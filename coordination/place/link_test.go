// SPDX-License-Identifier: Apache-2.0

package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file tests the byte budget for the link between regions.

// admittedBytes offers equal transfers for some time and returns the bytes that were admitted.
func admittedBytes(l *LinkBudget, s LinkShare, p Transfer, interval, span time.Duration) (bytes float64) {
	for now := time.Second; now < time.Second+span; now += interval {
		if l.Admits(now, s, p) {
			l.Spend(now, s, p.Bytes)
			bytes += p.Bytes
		}
	}
	return bytes
}

// TestFloodDoesNotFillTheLink offers many times the link's capacity from 44 gateways in each of two
// regions. They must leave room for the fleet's own messages, also when requests are larger than a
// bucket, and optional transfers must leave room for required ones.
func TestFloodDoesNotFillTheLink(t *testing.T) {
	const capacity, gateways = 6e6, 44
	share := LinkShare{Rate: capacity, Gateways: gateways}
	for _, tt := range []struct {
		name  string
		p     Transfer
		most  float64 // fractions of the capacity, summed over both regions and directions
		least float64
		span  time.Duration
	}{
		{"required", Transfer{Bytes: 10_000, Required: true}, 0.75, 0.65, 20 * time.Second},
		{"optional", Transfer{Bytes: 10_000}, 0.55, 0.45, 20 * time.Second},
		{"class Extra", Transfer{Bytes: 10_000, Class: entitlement.Extra}, 0.55, 0.45, 20 * time.Second},
		{"larger than a bucket", Transfer{Bytes: 4e6, Required: true}, 0.75, 0.65, 2000 * time.Second}, // each gateway sends one at first, then as the debt is repaid
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			total := 0.0
			for range 2 * gateways {
				total += admittedBytes(&LinkBudget{}, share, tt.p, 10*time.Millisecond, tt.span)
			}
			part := total / tt.span.Seconds() / capacity
			t.Logf("%.2f of the capacity", part)
			is.True(part <= tt.most)
			is.True(part >= tt.least)
		})
	}
}

// TestLinkBudgetPriorities uses up the bucket step by step. Optional transfers of class Extra are refused
// first, then other optional transfers, and required transfers last.
func TestLinkBudgetPriorities(t *testing.T) {
	is := is.New(t)
	share := LinkShare{Rate: 6e6, Gateways: 44}
	l := &LinkBudget{}
	entitled, extra, required := Transfer{Bytes: 1000}, Transfer{Bytes: 1000, Class: entitlement.Extra}, Transfer{Bytes: 1000, Required: true}
	is.True(l.Admits(time.Second, share, extra))
	l.Spend(time.Second, share, share.rate()*optionalFraction*0.6)
	is.True(!l.Admits(time.Second, share, extra))
	is.True(l.Admits(time.Second, share, entitled))
	l.Spend(time.Second, share, share.rate()*optionalFraction*0.4)
	is.True(!l.Admits(time.Second, share, entitled))
	is.True(l.Admits(time.Second, share, required))
	l.Spend(time.Second, share, share.rate())
	is.True(!l.Admits(time.Second, share, required))
	is.True(l.Admits(3*time.Second, share, required)) // the bucket has refilled
	l.Spend(3*time.Second, share, 4000)
	l.Spend(3*time.Second, share, -4000) // the answer was not sent
	is.True(l.Admits(3*time.Second, share, extra))
}

// TestRoundTripEstimate checks that the estimated round-trip time follows new connections, and that one
// which takes several times as long suspends optional transfers for a while.
func TestRoundTripEstimate(t *testing.T) {
	is := is.New(t)
	share, l := LinkShare{Gateways: 10}, &LinkBudget{}
	is.Equal(l.RoundTrip("south"), AssumedRoundTrip)
	l.ObserveRoundTrip(time.Second, "south", 40*time.Millisecond)
	is.Equal(l.RoundTrip("south"), 40*time.Millisecond)
	l.ObserveRoundTrip(time.Second, "south", 50*time.Millisecond)
	is.Equal(l.RoundTrip("south"), 41*time.Millisecond)
	is.Equal(l.RoundTrip("west"), AssumedRoundTrip)
	is.True(l.Admits(time.Second, share, Transfer{Bytes: 1000}))
	l.ObserveRoundTrip(time.Second, "south", 300*time.Millisecond)
	is.Equal(l.RoundTrip("south"), 41*time.Millisecond) // the estimate ignores congestion
	is.True(!l.Admits(2*time.Second, share, Transfer{Bytes: 1000}))
	is.True(l.Admits(2*time.Second, share, Transfer{Bytes: 1000, Required: true}))
	is.True(l.Admits(time.Second+congestionPause, share, Transfer{Bytes: 1000}))
}
