// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines overload: how a gateway notices that its processor cannot
// keep up, and what it does then.
//
// A timer that fires late says how long everything else waits as well. The
// sterner the averaged delay, the more is done:
//
//   - streams are passed on in larger pieces: a gateway that waits a little
//     after each piece finds several events for one read and one write, which
//     is most of what an event costs;
//   - the gateway is not ready for a while, because the balancer spreads
//     callers unevenly and other gateways may be idle, and requests beyond
//     their account's share are refused, the further beyond the sooner;
//   - every new request is refused, as not run, with its connection closed, so
//     that its caller reaches another gateway.
//
// Requests are ranked before any of that: the cause of pressure is mostly one
// account far beyond its share, and refusing what is beyond it is cheap, so that
// the others on this gateway need not be refused with it.
//
// A firing counts for as long as it took to come, because a starved timer
// fires rarely; a machine that stood still looks the same for the first half
// second after.

// Limits of the averaged delay.
const (
	delayNoticed = 5 * time.Millisecond  // pieces of streams are gathered from here on
	delayBeyond  = 12 * time.Millisecond // and for longer; what is beyond every share is refused
	delayExtra   = 20 * time.Millisecond // what is beyond the named share is refused
	delayTooLong = 35 * time.Millisecond // all new requests are refused
	delayShort   = 10 * time.Millisecond
	delayMost    = 120 * time.Millisecond // that one firing counts
	delayMemory  = 250 * time.Millisecond // time constant of the average
)

// How long a stream waits after a piece under pressure.
const (
	coalesceMin  = 40 * time.Millisecond
	coalesceMax  = 100 * time.Millisecond
	coalesceGaps = 0.3 // of the pause that callers notice
)

type overload struct {
	delay        float64      // averaged, in seconds; owned by the ticking goroutine
	published    atomic.Int64 // the same, for everybody
	shedding     atomic.Bool
	unreadyUntil atomic.Int64 // when the gateway may be ready again, by its clock
	lastTick     atomic.Int64 // when the timer last fired, by the gateway's clock
}

// late reports whether this gateway cannot keep up now, or has just stood
// still, so that it may not have read what has come.
func (p *overload) late(now time.Duration) bool {
	overdue := now-time.Duration(p.lastTick.Load()) > tickPeriod+delayNoticed
	return overdue || time.Duration(p.published.Load()) > delayNoticed
}

// unreadyFor is how long a gateway under pressure is not ready: the balancer
// must see it twice before it sends callers elsewhere.
const unreadyFor = 2500 * time.Millisecond

// unready reports whether new callers should go to other gateways.
func (p *overload) unready(now time.Duration) bool { return int64(now) < p.unreadyUntil.Load() }

// admits reports whether a request of that standing may begin.
func (p *overload) admits(c entitlement.Class) bool {
	delay := time.Duration(p.published.Load())
	switch c {
	case entitlement.Beyond:
		return delay < delayBeyond
	case entitlement.Extra:
		return delay < delayExtra
	}
	return !p.shedding.Load()
}

// coalesce returns how long a stream should wait after a piece, if callers
// notice a pause of that length; 0 without pressure.
func (p *overload) coalesce(pause time.Duration) time.Duration {
	delay := time.Duration(p.published.Load())
	switch {
	case delay <= delayNoticed:
		return 0
	case delay <= delayBeyond || pause == 0:
		return coalesceMin
	}
	return max(min(part(pause, coalesceGaps), coalesceMax), coalesceMin)
}

// observe takes how late the timer was and reports whether the pressure has
// become high or low by it.
func (p *overload) observe(late time.Duration) (changed bool) {
	weight := 1 - math.Exp(-float64(tickPeriod+late)/float64(delayMemory))
	late = min(max(late, 0), delayMost)
	p.delay += weight * (late.Seconds() - p.delay)
	p.published.Store(int64(p.delay * float64(time.Second)))
	high := p.shedding.Load()
	switch {
	case !high && p.delay > delayTooLong.Seconds():
		p.shedding.Store(true)
		return true
	case high && p.delay < delayShort.Seconds():
		p.shedding.Store(false)
		return true
	}
	return false
}

// tick watches the pressure, and gives backend servers to requests that wait for what
// others' load leaves free.
func (g *Gateway) tick() {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	last := g.now()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-t.C:
		}
		now := g.now()
		if time.Duration(g.overload.published.Load()) >= delayBeyond {
			g.overload.unreadyUntil.Store(int64(now + unreadyFor))
		}
		if g.overload.observe(now - last - tickPeriod) {
			g.cfg.Log.StateChange("processor pressure", slog.Bool("high", g.overload.shedding.Load()),
				slog.Int("delay_ms", int(math.Round(1000*g.overload.delay))), slog.Int64("requests", g.calls.Load()))
		}
		last = now
		g.overload.lastTick.Store(int64(now))
		g.grantAll()
	}
}
