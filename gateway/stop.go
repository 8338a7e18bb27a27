// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/drain"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines the planned stop of a gateway, and admission, which orders the decision to end
// against the requests that still arrive.

// admission counts the requests being served and refuses further ones once it is closed. A request
// is either counted before the close or refused.
type admission struct {
	mu      sync.Mutex // leaf lock; guards the fields below
	running int64
	closed  bool
}

// begin counts a request, and reports false if admission is closed.
func (a *admission) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.running++
	return true
}

// end is called at the end of each request for which begin returned true.
func (a *admission) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

// count returns the number of requests being served.
func (a *admission) count() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// closeIfIdle closes admission unless a request is being served, and reports whether it is closed.
func (a *admission) closeIfIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = a.closed || a.running == 0
	return a.closed
}

// close refuses all further requests.
func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// stopPollInterval is how often a stopping gateway checks whether it may end.
const stopPollInterval = 20 * time.Millisecond

// Stop drains and ends the gateway. The gateway reports not ready at once and closes each
// connection after its answer. Package drain decides which requests may still start and when the
// remaining ones are cut off. When Stop returns, no request is passed on any more, and those that
// arrive are refused. ctx bounds the whole stop.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopBeganAt.Store(int64(g.now()))
	defer g.stop()
	defer g.admission.close()
	grace := drain.Grace(g.cfg.Grace)
	for range sleep.Every(ctx, stopPollInterval) {
		if !grace.AcceptsAny(g.stopping()) {
			g.endLateStarts()
		}
		switch grace.Next(g.stopping(), g.admission.count()) {
		case drain.CutOff:
			g.cutOffRequests(ctx)
			return
		case drain.End:
			if g.admission.closeIfIdle() {
				return
			}
		}
	}
}

// cutOffRequests ends the requests that are still running and waits until their callers have been
// answered, as far as ctx allows.
func (g *Gateway) cutOffRequests(ctx context.Context) {
	g.cfg.Log.StateChange("requests cut off by stop", slog.Int64("requests", g.admission.count()))
	g.cutOff()
	for range sleep.Every(ctx, stopPollInterval) {
		if g.admission.closeIfIdle() {
			return
		}
	}
}

// stopping returns how long the gateway has been stopping, or 0 if it is not.
func (g *Gateway) stopping() time.Duration {
	began := g.stopBeganAt.Load()
	if began == 0 {
		return 0
	}
	return g.now() - time.Duration(began)
}

// mayBegin reports whether the request may be sent to a server: a stopping gateway does not begin a
// request that might outlast it. One that may have run already is not refused, since nothing can
// promise any more that it has not run.
func (c *call) mayBegin() bool {
	return c.counts.Runs > 0 || drain.Grace(c.g.cfg.Grace).Admits(c.g.stopping(), c.timeLeft())
}
