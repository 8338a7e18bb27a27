// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// TestLimitFollowsTheProcessor offers more connections than the processor can handle. The rate must settle
// where the gateway is just not late, and be unlimited again once few arrive.
func TestLimitFollowsTheProcessor(t *testing.T) {
	for _, offered := range []int{2000, 6000, 20000} { // a second, of which 500 can be handled
		is := is.New(t)
		const cost = 2 * time.Millisecond
		d, p := New(time.Second), AcceptLimit{}
		now, backlog, accepted, most := time.Second, time.Duration(0), 0, time.Duration(0)
		fire := func(offered int) {
			admitted := min(offered/int(time.Second/TickPeriod), p.Allowance())
			accepted += admitted
			backlog = max(backlog+time.Duration(admitted)*cost-TickPeriod, 0)
			now += TickPeriod + min(backlog, time.Second)
			d = d.Tick(now, 0)
			p = p.Next(now, d.Delay, admitted)
		}
		for range 200 {
			fire(offered)
		}
		is.True(p.Bounded())
		accepted = 0
		for range 200 {
			fire(offered)
			most = max(most, backlog)
		}
		is.True(accepted >= 200 && accepted <= 200*12) // 10 per tick can be handled
		is.True(most < 500*time.Millisecond)
		for range 300 {
			fire(100)
		}
		is.True(!p.Bounded())
	}
}

// TestFloodIsBoundedBeforeItIsDetected starts a flood. Until the gateway detects that it is late and refuses
// requests, it must not start more than it can relay before callers give up and sessions are lost.
func TestFloodIsBoundedBeforeItIsDetected(t *testing.T) {
	const (
		serve  = 5 * time.Millisecond // relayed over stream
		stream = 500 * time.Millisecond
		refuse = 300 * time.Microsecond
	)
	for _, usual := range []int{0, 40, 150} { // connections a second, of which 200 can be served
		is := is.New(t)
		d, p := New(time.Second), AcceptLimit{}
		var backlog, relays, longest time.Duration
		fires, accepted := time.Second+TickPeriod, 0
		for now := time.Second; now < 10*time.Second; now += TickPeriod {
			if now >= fires {
				d = d.Tick(max(fires, now-TickPeriod), 0)
				p = p.Next(now, d.Delay, accepted)
				fires, accepted = max(fires, now-TickPeriod)+TickPeriod+backlog, 0
			}
			offered := usual
			if now >= 6*time.Second {
				offered = 3000
			}
			for range min(offered/int(time.Second/TickPeriod), p.Allowance()-accepted) {
				accepted++
				backlog += refuse
				if d.Admits(entitlement.Entitled) {
					relays += serve
				}
			}
			relayed := relays * TickPeriod / stream
			relays -= relayed
			backlog = max(backlog+relayed-TickPeriod, 0)
			longest = max(longest, backlog)
		}
		t.Logf("usual rate %d: backlog of %v at most", usual, longest)
		is.True(longest < time.Second)
	}
}

// TestBurstsAreAccepted checks that a gateway which is not late accepts a burst at once, as well as arrivals
// that double in a tenth of a second.
func TestBurstsAreAccepted(t *testing.T) {
	is := is.New(t)
	p := AcceptLimit{}
	is.Equal(p.Allowance(), int(freeBurst))
	now, rate := time.Second, 100.0
	for range 40 {
		now += TickPeriod
		admitted := int(rate * TickPeriod.Seconds())
		is.True(p.Allowance() >= admitted)
		p = p.Next(now, 0, admitted)
		rate *= 1.1 // doubles in 7 ticks
	}
	is.True(rate > 4000)
}

func TestNoLimitWithoutDelay(t *testing.T) {
	is := is.New(t)
	var p AcceptLimit
	for n := range 1000 {
		p = p.Next(time.Duration(n+1)*TickPeriod, DelayBeyond-1, 100)
		is.True(!p.Bounded())
	}
}
