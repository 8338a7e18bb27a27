// SPDX-License-Identifier: Apache-2.0

package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file tests what gateways put on the link between regions.

// sends offers requests of one kind for a while and returns the bytes that got over.
func sends(l *LinkBudget, s LinkShare, p Transfer, each, span time.Duration) (bytes float64) {
	for now := time.Second; now < time.Second+span; now += each {
		if l.Admits(now, s, p) {
			l.Spend(now, s, p.Bytes)
			bytes += p.Bytes
		}
	}
	return bytes
}

// TestFloodDoesNotFillTheLink: 44 gateways of each of two regions offer together many times
// what the link carries; they leave the part of the fleet's own messages, also where requests
// are larger than a bucket, and what need not leave its region leaves a part to what must.
func TestFloodDoesNotFillTheLink(t *testing.T) {
	const capacity, gateways = 6e6, 44
	share := LinkShare{Rate: capacity, Gateways: gateways}
	for _, tt := range []struct {
		name  string
		p     Transfer
		most  float64 // parts of the capacity, over both directions of both regions
		least float64
		span  time.Duration
	}{
		{"must", Transfer{Bytes: 10_000, Required: true}, 0.75, 0.65, 20 * time.Second},
		{"by choice", Transfer{Bytes: 10_000}, 0.55, 0.45, 20 * time.Second},
		{"beyond the share", Transfer{Bytes: 10_000, Class: entitlement.Extra}, 0.55, 0.45, 20 * time.Second},
		{"larger than a bucket", Transfer{Bytes: 4e6, Required: true}, 0.75, 0.65, 2000 * time.Second}, // one of each gateway at first, then as often as the debt allows
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			total := 0.0
			for range 2 * gateways {
				total += sends(&LinkBudget{}, share, tt.p, 10*time.Millisecond, tt.span)
			}
			part := total / tt.span.Seconds() / capacity
			t.Logf("%.2f of the capacity", part)
			is.True(part <= tt.most)
			is.True(part >= tt.least)
		})
	}
}

// TestSharesFirstOnTheLink: where others' requests have used up half of a bucket, those beyond
// their account's share get nothing; what may be served nowhere else still goes over when
// nothing goes by choice any more.
func TestSharesFirstOnTheLink(t *testing.T) {
	is := is.New(t)
	share := LinkShare{Rate: 6e6, Gateways: 44}
	l := &LinkBudget{}
	entitled, extra, must := Transfer{Bytes: 1000}, Transfer{Bytes: 1000, Class: entitlement.Extra}, Transfer{Bytes: 1000, Required: true}
	is.True(l.Admits(time.Second, share, extra))
	l.Spend(time.Second, share, share.rate()*freePart*0.6)
	is.True(!l.Admits(time.Second, share, extra))
	is.True(l.Admits(time.Second, share, entitled))
	l.Spend(time.Second, share, share.rate()*freePart*0.4)
	is.True(!l.Admits(time.Second, share, entitled))
	is.True(l.Admits(time.Second, share, must))
	l.Spend(time.Second, share, share.rate())
	is.True(!l.Admits(time.Second, share, must))
	is.True(l.Admits(3*time.Second, share, must)) // it has filled again
	l.Spend(3*time.Second, share, 4000)
	l.Spend(3*time.Second, share, -4000) // an answer that did not come
	is.True(l.Admits(3*time.Second, share, extra))
}

// TestWayIsLearned: the round trip follows new connections, and one that takes several times
// as long keeps requests in their region for a while, but for those that must leave.
func TestWayIsLearned(t *testing.T) {
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
	is.Equal(l.RoundTrip("south"), 41*time.Millisecond) // says nothing of the way itself
	is.True(!l.Admits(2*time.Second, share, Transfer{Bytes: 1000}))
	is.True(l.Admits(2*time.Second, share, Transfer{Bytes: 1000, Required: true}))
	is.True(l.Admits(time.Second+pause, share, Transfer{Bytes: 1000}))
}
