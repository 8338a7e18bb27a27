// SPDX-License-Identifier: Apache-2.0

// Package overload decides when a gateway's processor cannot keep up, and what
// the gateway does then.
//
// A timer that fires late shows how long everything else waits as well. The
// longer the averaged delay, the more is done:
//
//   - streams are passed on in larger pieces: a gateway that waits a little
//     after each piece finds several events for one read and one write, which
//     is most of what an event costs;
//   - the gateway is not ready for a while, because the balancer spreads
//     callers unevenly and other gateways may be idle, and requests beyond
//     their account's share are refused, the further beyond the sooner;
//   - new connections are taken no faster than the processor bears ([Pace]);
//   - every new request is refused, as not run, with its connection closed, so
//     that its caller reaches another gateway, for as long as the delay is that long.
//
// Requests are classed (package entitlement) before any of that: the cause of
// overload is mostly one account far beyond its share, and refusing what is
// beyond it is cheap, so that the others on this gateway need not be refused
// with it.
//
// A [Detector] is an immutable value: one goroutine makes the next one from each
// firing of its timer, and any number may read it without a lock.
package overload

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines Detector, which averages how late a timer fires, and the
// thresholds of that delay.

// TickPeriod is the period of the timer that is watched.
const TickPeriod = 20 * time.Millisecond

// Thresholds of the averaged delay.
const (
	DelayNoticed = 5 * time.Millisecond  // pieces of streams are gathered from here on
	DelayBeyond  = 12 * time.Millisecond // and for longer; the gateway is not ready; what is beyond every share is refused
	delayExtra   = 20 * time.Millisecond // what is beyond the named share is refused
	DelayTooLong = 35 * time.Millisecond // all new requests are refused
	delayShort   = 10 * time.Millisecond // a pressure that was high is over
)

// A firing counts for as long as it took to come, because a starved timer fires rarely; a machine that
// stood still looks the same for the first half second after. With these, one firing that is seconds
// late is forgotten within 700 ms.
const (
	delayMost   = 120 * time.Millisecond // that one firing counts
	delayMemory = 250 * time.Millisecond // time constant of the average
)

// unreadyFor is how long an overloaded gateway is not ready: the balancer,
// which checks every second, must see it twice before it sends callers elsewhere.
const unreadyFor = 2500 * time.Millisecond

// How long a stream waits after a piece: what an event costs is nearly all system calls.
const (
	coalesceMin  = 40 * time.Millisecond  // whatever the gap between events
	coalesceMax  = 100 * time.Millisecond // however long that gap may be
	coalesceGaps = 0.3                    // of the pause that callers notice
)

// Detector is what is known of a gateway's delay at one firing of its timer.
type Detector struct {
	Delay        time.Duration // averaged
	High         bool          // it was too long and has not been short since; for the log
	unreadyUntil time.Duration // when the gateway may be ready again
	lastTick     time.Duration // when the timer last fired
}

// New returns a detector whose timer is started now.
func New(now time.Duration) Detector { return Detector{lastTick: now} }

// Tick returns the detector after a firing of the timer. waited is how long what was ready
// to run has waited since the last one, 0 if nothing says so: the timer's own goroutine goes
// before all others, and is late only when the processor is held by something else.
func (d Detector) Tick(now, waited time.Duration) Detector {
	if d.Delay >= DelayBeyond {
		d.unreadyUntil = now + unreadyFor
	}
	elapsed := now - d.lastTick
	d.lastTick = now
	weight := 1 - math.Exp(-float64(elapsed)/float64(delayMemory))
	late := min(max(elapsed-TickPeriod, waited, 0), delayMost)
	d.Delay += time.Duration(weight * float64(late-d.Delay))
	switch {
	case d.Delay > DelayTooLong:
		d.High = true
	case d.Delay < delayShort:
		d.High = false
	}
	return d
}

// Unready reports whether new callers should go to other gateways.
func (d Detector) Unready(now time.Duration) bool { return now < d.unreadyUntil }

// Late reports whether the gateway cannot keep up now, or has just stood
// still, so that it may not have read what has come.
func (d Detector) Late(now time.Duration) bool {
	overdue := now-d.lastTick > TickPeriod+DelayNoticed
	return overdue || d.Delay > DelayNoticed
}

// Admits reports whether a request of that class may begin. The present delay alone
// decides, the same way for all classes: while a flood is refused, what is within its
// account's share begins as soon as there is processor for it. Refusing all until the
// delay was short again took an account's whole share from it at the gateway where its own
// callers flooded (docs/incidents/fair-kmo-mapa-grown.md).
func (d Detector) Admits(c entitlement.Class) bool {
	switch c {
	case entitlement.Beyond:
		return d.Delay < DelayBeyond
	case entitlement.Extra:
		return d.Delay < delayExtra
	}
	return d.Delay <= DelayTooLong
}

// Coalesce returns how long a stream should wait after a piece, if callers
// notice a pause of gap (0: unknown); 0 without overload.
func (d Detector) Coalesce(gap time.Duration) time.Duration {
	switch {
	case d.Delay <= DelayNoticed:
		return 0
	case d.Delay <= DelayBeyond || gap == 0:
		return coalesceMin
	}
	return min(max(time.Duration(coalesceGaps*float64(gap)), coalesceMin), coalesceMax)
}
