// SPDX-License-Identifier: Apache-2.0

package slots

import "time"

// This file defines Pacer, which limits how often views and reports are sent. There is one
// for each direction of a router's link; it keeps the link within its byte budget by
// lengthening the interval between messages.
//
// Two kinds of message share the budget. Urgent ones are small (a slot, or a request that the
// allocator has no count of) and may overdraw the budget by a burst. Full ones carry the
// counters and wait until the budget is earned, but at most [MaxStretch] times their
// interval, because the fairness bound depends on them.

// Pace limits the messages in one direction between the allocator and one router.
type Pace struct {
	UrgentInterval, FullInterval time.Duration // minimum intervals: before an urgent message, and between full ones
	Budget                       float64       // bytes per second; 0 means unlimited
	Burst                        float64       // bytes by which urgent messages may overdraw the budget
}

// DefaultPace sends urgent messages at most every 5 ms and full ones every 250 ms, and
// lengthens these intervals to stay under 2,000 bytes per second. BenchmarkFleet/linen
// compares paces (docs/design/fair-sharing.md).
var DefaultPace = Pace{UrgentInterval: 5 * time.Millisecond, FullInterval: 250 * time.Millisecond, Budget: 2000, Burst: 4000}

// MaxStretch is the largest factor by which a full message's interval is lengthened: 1 s at
// DefaultPace, which is [MaxViewAge].
const MaxStretch = 4

// Pacer decides when a coalesced message may be sent. The zero value always allows sending at
// once.
type Pacer struct {
	Pace
	debt         float64       // bytes sent and not yet earned, as of lastSent
	lastSent     time.Duration // time of the last message of either kind
	lastFullSent time.Duration
	hasSent      bool
}

// DueUrgent returns the earliest time at which an urgent message may be sent.
func (p *Pacer) DueUrgent() time.Duration {
	if !p.hasSent {
		return 0
	}
	return max(p.lastSent+p.UrgentInterval, p.earnedAt(p.Burst))
}

// DueFull returns the earliest time at which a full message may be sent.
func (p *Pacer) DueFull() time.Duration {
	if !p.hasSent {
		return 0
	}
	return max(p.lastFullSent+p.FullInterval, min(p.earnedAt(0), p.lastFullSent+MaxStretch*p.FullInterval))
}

// earnedAt returns when the debt has fallen to the allowed amount.
func (p *Pacer) earnedAt(allowed float64) time.Duration {
	if p.Budget <= 0 || p.debt <= allowed {
		return 0
	}
	return p.lastSent + time.Duration((p.debt-allowed)/p.Budget*float64(time.Second))
}

// RecordSent counts a message that was sent at time now.
func (p *Pacer) RecordSent(now time.Duration, bytes int, full bool) {
	p.debt = max(p.debt-p.Budget*(now-p.lastSent).Seconds(), 0) + float64(bytes)
	p.lastSent, p.hasSent = now, true
	if full {
		p.lastFullSent = now
	}
}
