// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines tick, the goroutine that watches this gateway's processor.

// tick publishes how late its timer fires, and gives backend servers to requests
// that wait for what others' load leaves free.
func (g *Gateway) tick() {
	for range sleep.Every(g.ctx, overload.TickPeriod) {
		old := g.overload.Load()
		d := old.Tick(g.now())
		g.overload.Store(&d)
		if d.Shedding != old.Shedding {
			g.cfg.Log.StateChange("processor pressure", slog.Bool("high", d.Shedding),
				milliseconds("delay_ms", d.Delay.Round(time.Millisecond)), slog.Int64("requests", g.calls.Load()))
		}
		g.grantAll()
	}
}
