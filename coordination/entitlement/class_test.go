// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestStaleListIsIgnored checks that a list older than maxListAge is treated like no list.
func TestStaleListIsIgnored(t *testing.T) {
	is := is.New(t)
	c := NewClassifier()
	is.Equal(c.Classify(time.Second, "big", 100, false), Entitled) // no list yet
	is.True(c.Admits(time.Second, "big", Beyond))
	c.Update(time.Second, []protocol.Entitlement{{Account: "big"}}, nil, true)
	for _, tt := range []struct {
		now        time.Duration
		big, small Class
		beyond     bool
	}{
		{time.Second, Beyond, Covered, false},
		{time.Second + maxListAge, Beyond, Covered, false},
		{time.Second + maxListAge + 1, Entitled, Entitled, true},
	} {
		is.Equal(c.Classify(tt.now, "big", 100, false), tt.big)
		is.Equal(c.Classify(tt.now, "small", 100, false), tt.small)
		is.Equal(c.Admits(tt.now, "big", Beyond), tt.beyond)
		is.True(c.Admits(tt.now, "big", Extra))
		_, age := c.Entitlement(tt.now, "big")
		is.Equal(age, tt.now-time.Second)
	}
}

// TestClassesMatchFractions checks that of one account's requests a fifth is entitled, three
// tenths are extra and the rest is beyond.
func TestClassesMatchFractions(t *testing.T) {
	is := is.New(t)
	c := NewClassifier()
	c.Update(1, []protocol.Entitlement{{Account: "big", Part: 0.2, Extra: 0.5}}, nil, false)
	var counts [Beyond + 1]int
	for range 1000 {
		counts[c.Classify(1, "big", 100, false)]++
	}
	is.Equal(counts[Covered], 0)
	is.True(counts[Entitled] >= 199 && counts[Entitled] <= 201)
	is.True(counts[Extra] >= 298 && counts[Extra] <= 302)
}

// TestOneGatewayKeepsToMaxAccountRate checks that a gateway limits what it serves one account
// to the maximum rate whatever the list says, and to half of it without contact to the leader.
func TestOneGatewayKeepsToMaxAccountRate(t *testing.T) {
	is := is.New(t)
	c := NewClassifier()
	c.SetMaxAccountRate(1000)
	c.Update(time.Second, nil, nil, false)
	served := func(from, to time.Duration) (tokens float64) {
		for now := from; now < to; now += 10 * time.Millisecond {
			if class := c.Classify(now, "a", 100, false); c.Admits(now, "a", class) {
				c.RecordStart(now, "a", 100)
				tokens += 100
			}
		}
		return tokens
	}
	is.True(served(time.Second, 2*time.Second) <= 1000*(1+bucketBurst.Seconds())+100)
	leaderless := served(2*time.Second, 6*time.Second) // no update since the first second
	is.True(leaderless > 1500 && leaderless <= 2000)
	c.Update(6*time.Second, nil, nil, false)
	is.True(served(6*time.Second, 7*time.Second) >= 1000)
	is.True(c.Admits(7*time.Second, "b", Covered)) // other accounts have limits of their own
}
