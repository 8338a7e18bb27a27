// SPDX-License-Identifier: Apache-2.0

package slots

import "time"

// This file defines Pacer, which keeps one direction of one link inside its
// byte budget by stretching the time between messages.

// Pacer decides when a coalesced message may go. What is urgent goes after
// the short gap, the rest after the long one, and neither while the budget is
// overdrawn by more than the burst. The zero value sends at once, always.
type Pacer struct {
	Short, Long time.Duration // gaps between messages, urgent and not
	Budget      float64       // bytes a second; 0 is no budget
	Burst       float64       // bytes that may be overdrawn by urgent messages

	debt float64 // bytes sent and not yet earned
	at   time.Duration
	last time.Duration
	sent bool
}

// Due returns the earliest time at which a message may go.
func (p *Pacer) Due(urgent bool) time.Duration {
	gap, allowed := p.Long, 0.0
	if urgent {
		gap, allowed = p.Short, p.Burst
	}
	due := time.Duration(0)
	if p.sent {
		due = p.last + gap
	}
	if p.Budget > 0 && p.debt > allowed {
		wait := (p.debt - allowed) / p.Budget
		due = max(due, p.at+time.Duration(wait*float64(time.Second)))
	}
	return due
}

// Sent tells that a message of that size went at time now.
func (p *Pacer) Sent(now time.Duration, bytes int) {
	p.debt = max(p.debt-p.Budget*(now-p.at).Seconds(), 0) + float64(bytes)
	p.at, p.last, p.sent = now, now, true
}
