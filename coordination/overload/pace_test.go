// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceFollowsTheProcessor lets more connections come than the processor bears: the
// rate settles where it is just not late, and is free again once few come.
func TestPaceFollowsTheProcessor(t *testing.T) {
	for _, offered := range []int{2000, 6000, 20000} { // a second; 500 can be borne
		is := is.New(t)
		const cost = 2 * time.Millisecond
		d, p := New(time.Second), Pace{}
		now, behind, taken, most := time.Second, time.Duration(0), 0, time.Duration(0)
		fire := func(offered int) {
			came := offered / int(time.Second/TickPeriod)
			if n, bounded := p.Allowance(); bounded {
				came = min(came, n)
			}
			taken += came
			behind = max(behind+time.Duration(came)*cost-TickPeriod, 0)
			now += TickPeriod + min(behind, time.Second)
			d = d.Tick(now, 0)
			p = p.Next(now, d.Delay, came)
		}
		for range 200 {
			fire(offered)
		}
		is.True(p.Bounded())
		taken = 0
		for range 200 {
			fire(offered)
			most = max(most, behind)
		}
		is.True(taken >= 200 && taken <= 200*12) // of 10 a firing that can be borne
		is.True(most < 500*time.Millisecond)
		for range 300 {
			fire(100)
		}
		is.True(!p.Bounded())
	}
}

func TestNoPaceWithoutDelay(t *testing.T) {
	is := is.New(t)
	var p Pace
	for n := range 1000 {
		p = p.Next(time.Duration(n+1)*TickPeriod, DelayBeyond-1, 100)
		is.True(!p.Bounded())
	}
}
