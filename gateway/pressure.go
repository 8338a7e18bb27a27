// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"math"
	"sync/atomic"
	"time"
)

// This file defines pressure: how a gateway notices that its processor cannot
// keep up, and what it does then.
//
// A timer that fires late says how long everything else waits as well. While
// it is late on average, new requests are refused at once, as not run, with
// their connections closed, and the gateway is not ready: their callers reach
// other gateways, whose processors may be idle, because the balancer spreads
// callers unevenly. One long delay says nothing: the machine stood still.

// Limits of the averaged delay.
const (
	delayTooLong = 35 * time.Millisecond
	delayShort   = 10 * time.Millisecond
	delayMost    = 150 * time.Millisecond // that one firing counts
	delayWeight  = 0.12                   // of one firing
)

type pressure struct {
	delay float64 // averaged, in seconds; owned by the ticking goroutine
	high  atomic.Bool
}

// fired takes how late the timer was and reports whether the pressure has
// become high or low by it.
func (p *pressure) fired(late time.Duration) (changed bool) {
	late = min(max(late, 0), delayMost)
	p.delay += delayWeight * (late.Seconds() - p.delay)
	high := p.high.Load()
	switch {
	case !high && p.delay > delayTooLong.Seconds():
		p.high.Store(true)
		return true
	case high && p.delay < delayShort.Seconds():
		p.high.Store(false)
		return true
	}
	return false
}

// tick watches the pressure, and gives backends to requests that wait for what
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
		if g.pressure.fired(now - last - tickPeriod) {
			g.set.Log.Belief("processor pressure", slog.Bool("high", g.pressure.high.Load()),
				slog.Int("delay_ms", int(math.Round(1000*g.pressure.delay))), slog.Int64("requests", g.calls.Load()))
		}
		last = now
		g.grantAll()
	}
}
