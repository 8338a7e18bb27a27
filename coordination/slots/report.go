// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file applies the routers' reports to the allocator's state.

// suspectDuration is how long a router is granted no slots of a backend server that it could
// not reach.
const suspectDuration = 2 * time.Second

// maxReportedService bounds the service in one report, in units of cost. No router can provide
// as much between two reports.
const maxReportedService = 1e12

// Report applies a router's report. A report of an unlinked session is dropped, because the
// router's next session begins with everything that it holds.
func (a *Allocator) Report(now time.Duration, router string, r protocol.Report) {
	s := a.sessions[router]
	if s == nil || !s.linked {
		return
	}
	s.reportsReceived++
	a.acknowledge(s, r.ViewSeq)
	for _, h := range r.Returned {
		n := a.release(s, h.Server, h.Slots)
		if srv := a.servers[h.Server]; srv != nil && n > 0 {
			s.pool(srv.pool).finishRecalls(n)
		}
	}
	for _, name := range r.Suspects {
		s.suspectUntil[name] = now + suspectDuration
	}
	for _, pr := range r.Pools {
		if p := a.pools[pr.Pool]; p != nil {
			p.report(s, pr)
		}
	}
	if r.Goodbye {
		a.EndSession(router)
	}
}

// report applies a router's report of one pool.
func (p *fleetPool) report(s *session, pr protocol.PoolReport) {
	r := s.pool(p)
	r.reportedIdle = max(pr.Idle, 0)
	for _, ar := range pr.Accounts {
		acc := p.accounts[ar.Account]
		if acc == nil || !isPlausible(ar) {
			continue
		}
		acc.charge(ar)
		p.setBacklog(s, acc, ar.Waiting, ar.Running)
		_, tracked := r.sentTimes[ar.Account]
		switch {
		case ar.Waiting == 0:
			delete(r.sentTimes, ar.Account)
		case !tracked:
			r.sentTimes[ar.Account] = -1 // not a virtual time, so that the next view includes the account
		}
	}
}

// isPlausible reports whether a router can have counted these numbers. Nothing is applied
// from a report that is not.
func isPlausible(ar protocol.AccountReport) bool {
	return min(ar.Waiting, ar.Started, ar.Running) >= 0 && isFinite(ar.Service) && math.Abs(ar.Service) < maxReportedService
}

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
