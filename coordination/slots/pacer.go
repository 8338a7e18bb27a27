// SPDX-License-Identifier: Apache-2.0

package slots

import "time"

// This file defines Pacer, the rule of how often views and reports go: one for
// each direction of a router's link, which it keeps inside its byte budget by
// stretching the time between messages.
//
// Two sorts of message share the budget. Urgent ones are small (a slot, a
// request that the allocator lacks) and may overdraw the budget by a burst;
// full ones carry the counters and wait until the budget is earned, but not for
// longer than [StretchMost] times their gap, as the fairness bound counts on
// them.

// Pace is how often messages go one way between the allocator and one router,
// and how many bytes they may take.
type Pace struct {
	UrgentInterval, FullInterval time.Duration // least gaps: before an urgent message, between full ones
	Budget                       float64       // bytes a second; 0 is no budget
	Burst                        float64       // bytes by which urgent messages may overdraw it
}

// DefaultPace sends what is urgent every 5 ms and the rest every 250 ms, and
// stretches that under 2,000 bytes a second.
// BenchmarkFleet/linen compares paces (docs/design/fair-sharing.md).
var DefaultPace = Pace{UrgentInterval: 5 * time.Millisecond, FullInterval: 250 * time.Millisecond, Budget: 2000, Burst: 4000}

// MaxStretch is how many times its usual gap a full message may be late: 1 s at DefaultPace, which is
// [MaxViewAge].
const MaxStretch = 4

// Pacer decides when a coalesced message may go. The zero value sends at
// once, always.
type Pacer struct {
	Pace
	debt     float64       // bytes sent and not yet earned, at time last
	last     time.Duration // of any message
	lastFull time.Duration
	sent     bool
}

// DueUrgent returns the earliest time at which an urgent message may go.
func (p *Pacer) DueUrgent() time.Duration {
	if !p.sent {
		return 0
	}
	return max(p.last+p.UrgentInterval, p.earned(p.Burst))
}

// DueFull returns the earliest time at which a full message may go.
func (p *Pacer) DueFull() time.Duration {
	if !p.sent {
		return 0
	}
	return max(p.lastFull+p.FullInterval, min(p.earned(0), p.lastFull+MaxStretch*p.FullInterval))
}

// earned returns when the debt is down to what is allowed.
func (p *Pacer) earned(allowed float64) time.Duration {
	if p.Budget <= 0 || p.debt <= allowed {
		return 0
	}
	return p.last + time.Duration((p.debt-allowed)/p.Budget*float64(time.Second))
}

// RecordSent counts a message that went at time now.
func (p *Pacer) RecordSent(now time.Duration, bytes int, full bool) {
	p.debt = max(p.debt-p.Budget*(now-p.last).Seconds(), 0) + float64(bytes)
	p.last, p.sent = now, true
	if full {
		p.lastFull = now
	}
}
