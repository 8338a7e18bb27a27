// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"math"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how the reports of routers go into the allocator's tables.

// suspectFor is how long a router is not given slots of a backend server that it could not reach.
const suspectFor = 2 * time.Second

// maxService bounds the service of one report, in units of cost: more than any router can do between
// two.
const maxService = 1e12

// Report takes what happened at a router. A report of an unlinked session is
// dropped: the router's next session begins with all that it holds.
func (a *Allocator) Report(now time.Duration, router string, r protocol.Report) {
	s := a.sessions[router]
	if s == nil || !s.linked {
		return
	}
	s.reports++
	a.acknowledge(s, r.ViewSeq)
	for _, h := range r.Returned {
		n := a.release(s, h.Server, h.Slots)
		if srv := a.servers[h.Server]; srv != nil && n > 0 {
			s.pool(srv.pool).recallDone(n)
		}
	}
	for _, name := range r.Suspects {
		s.suspect[name] = now + suspectFor
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

func (p *fleetPool) report(s *session, pr protocol.PoolReport) {
	r := s.pool(p)
	r.idle = max(pr.Idle, 0)
	for _, ar := range pr.Accounts {
		acc := p.accounts[ar.Account]
		if acc == nil || !sane(ar) {
			continue
		}
		acc.charge(ar)
		p.setWaiting(s, acc, ar.Waiting, ar.Running)
		_, followed := r.accounts[ar.Account]
		switch {
		case ar.Waiting == 0:
			delete(r.accounts, ar.Account)
		case !followed:
			r.accounts[ar.Account] = -1 // no virtual time, so that the next view has it
		}
	}
}

// sane reports whether a router can have counted these numbers. Of a report
// that is not, nothing is taken.
func sane(ar protocol.AccountReport) bool {
	return min(ar.Waiting, ar.Started, ar.Running) >= 0 && finite(ar.Service) && math.Abs(ar.Service) < maxService
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
