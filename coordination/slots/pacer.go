// SPDX-License-Identifier: Apache-2.0

package slots

import "time"

// This file defines Pacer, which keeps one direction of one link inside its
// byte budget by stretching the time between messages.
//
// Two sorts of message share the budget. Urgent ones are small (a slot, a
// request that nobody knows of) and may overdraw the budget by a burst; full
// ones carry the counters and wait until the budget is earned, but not for
// longer than [StretchMost] times their gap, as the fairness bound counts on
// them.

// StretchMost is how many times its usual gap a full message may be late.
const StretchMost = 4

// Pacer decides when a coalesced message may go. The zero value sends at
// once, always.
type Pacer struct {
	Short, Long time.Duration // gaps between urgent and between full messages
	Budget      float64       // bytes a second; 0 is no budget
	Burst       float64       // bytes that may be overdrawn by urgent messages

	debt     float64 // bytes sent and not yet earned
	at       time.Duration
	last     time.Duration // of any message
	lastFull time.Duration
	sent     bool
}

// DueUrgent returns the earliest time at which an urgent message may go.
func (p *Pacer) DueUrgent() time.Duration {
	if !p.sent {
		return 0
	}
	return max(p.last+p.Short, p.earned(p.Burst))
}

// DueFull returns the earliest time at which a full message may go.
func (p *Pacer) DueFull() time.Duration {
	if !p.sent {
		return 0
	}
	return max(p.lastFull+p.Long, min(p.earned(0), p.lastFull+StretchMost*p.Long))
}

// earned returns when the debt is down to what is allowed.
func (p *Pacer) earned(allowed float64) time.Duration {
	if p.Budget <= 0 || p.debt <= allowed {
		return 0
	}
	return p.at + time.Duration((p.debt-allowed)/p.Budget*float64(time.Second))
}

// Sent tells that a message of that size went at time now.
func (p *Pacer) Sent(now time.Duration, bytes int, full bool) {
	p.debt = max(p.debt-p.Budget*(now-p.at).Seconds(), 0) + float64(bytes)
	p.at, p.last, p.sent = now, now, true
	if full {
		p.lastFull = now
	}
}
