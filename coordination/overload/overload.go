// SPDX-License-Identifier: Apache-2.0

// Package overload detects that a gateway's processor cannot keep up, and decides how the gateway sheds
// load.
//
// A timer that fires late indicates how long everything else waits for the processor. The response grows
// with the averaged delay:
//
//   - Streams are forwarded in larger pieces. Most of the cost of an event is one read and one write; a
//     gateway that waits briefly after each piece handles several events with one of each.
//   - The gateway reports that it is not ready, since balancers spread callers unevenly and other
//     gateways may be idle. Requests beyond their account's share are refused, those furthest beyond
//     first.
//   - New connections are accepted no faster than the processor can handle them ([AcceptLimit]).
//   - While the delay is too long, every new request is refused as not run and its connection closed, so
//     that its caller reaches another gateway.
//
// Requests are classified (package entitlement) before any of this. Overload is mostly caused by one
// account far beyond its share. Refusing its excess requests is cheap and spares the other accounts on
// the gateway.
//
// A [Detector] is an immutable value: one goroutine derives the next one whenever its timer fires, and
// any number of goroutines may read it without a lock.
package overload

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines Detector, which averages how late a timer fires, and the thresholds of that delay.

// TickPeriod is the period of the watched timer.
const TickPeriod = 20 * time.Millisecond

// Thresholds of the averaged delay.
const (
	DelayLate    = 5 * time.Millisecond  // the gateway is late; pieces of streams are coalesced
	DelayBeyond  = 12 * time.Millisecond // pieces wait longer; the gateway is not ready; requests beyond every share are refused
	delayExtra   = 20 * time.Millisecond // requests beyond the named share are refused
	DelayTooLong = 35 * time.Millisecond // all new requests are refused
	delayShort   = 10 * time.Millisecond // high pressure has ended
)

// A tick is weighted by the time since the last one, because a starved timer fires rarely. A gateway
// whose machine was paused cannot be told from a starved one for the first half second afterwards. With these
// values, the effect of one tick that is seconds late ends within 700 ms.
const (
	maxTickDelay      = 120 * time.Millisecond // upper bound on the delay of one tick
	delayTimeConstant = 250 * time.Millisecond // time constant of the average
)

// unreadyFor is how long an overloaded gateway reports that it is not ready. The balancer checks every
// second and must see it twice before it moves callers elsewhere.
const unreadyFor = 2500 * time.Millisecond

// Wait of a stream after each piece. Nearly all of the cost of an event is in system calls.
const (
	coalesceMin         = 40 * time.Millisecond  // minimum, whatever the gap between events
	coalesceMax         = 100 * time.Millisecond // maximum, whatever that gap
	coalesceGapFraction = 0.3                    // fraction of the gap that callers notice
)

// Detector is the state of a gateway's delay as of one tick of its timer.
type Detector struct {
	Delay        time.Duration // moving average
	High         bool          // whether it has exceeded DelayTooLong and not fallen below delayShort since; for the log
	unreadyUntil time.Duration // when the gateway may be ready again
	lastTick     time.Duration // when the timer last fired
}

// New returns a detector for a timer that is started now.
func New(now time.Duration) Detector { return Detector{lastTick: now} }

// Tick returns the detector after the timer has fired. waited is the longest time since the last tick that
// runnable goroutines have waited, or 0 if unknown. The timer's own goroutine runs before all others, so
// the timer is late only if something else occupies the processor.
func (d Detector) Tick(now, waited time.Duration) Detector {
	if d.Delay >= DelayBeyond {
		d.unreadyUntil = now + unreadyFor
	}
	elapsed := now - d.lastTick
	d.lastTick = now
	weight := 1 - math.Exp(-float64(elapsed)/float64(delayTimeConstant))
	late := min(max(elapsed-TickPeriod, waited, 0), maxTickDelay)
	d.Delay += time.Duration(weight * float64(late-d.Delay))
	switch {
	case d.Delay > DelayTooLong:
		d.High = true
	case d.Delay < delayShort:
		d.High = false
	}
	return d
}

// Unready reports whether new callers should use other gateways.
func (d Detector) Unready(now time.Duration) bool { return now < d.unreadyUntil }

// Late reports whether the gateway cannot keep up now, or was paused until a moment ago and may not have
// read everything that has arrived.
func (d Detector) Late(now time.Duration) bool {
	overdue := now-d.lastTick > TickPeriod+DelayLate
	return overdue || d.Delay > DelayLate
}

// Admits reports whether a request of the given class may begin. Only the present delay counts, without
// hysteresis: while a flood is refused, requests within their account's share begin as soon as there is
// processor time for them. Refusing everything until the delay is short again would deny an account its
// whole share at the gateway that its own callers flood (docs/incidents/fair-kmo-mapa-grown.md).
func (d Detector) Admits(c entitlement.Class) bool {
	switch c {
	case entitlement.Beyond:
		return d.Delay < DelayBeyond
	case entitlement.Extra:
		return d.Delay < delayExtra
	}
	return d.Delay <= DelayTooLong
}

// Coalesce returns how long a stream should wait after a piece, or 0 without overload. gap is the pause
// that callers notice, or 0 if unknown.
func (d Detector) Coalesce(gap time.Duration) time.Duration {
	switch {
	case d.Delay <= DelayLate:
		return 0
	case d.Delay <= DelayBeyond || gap == 0:
		return coalesceMin
	}
	return min(max(time.Duration(coalesceGapFraction*float64(gap)), coalesceMin), coalesceMax)
}
