// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how what happens in the pools reaches the allocator:
// coalesced, urgent things soon, the rest seldom, all inside the byte budget.

// wake tells the reporter that there is something to tell.
func (f *fleet) wake(urgent bool) {
	ch := f.wakeup
	if urgent {
		ch = f.hurry
	}
	select {
	case ch <- struct{}{}:
	default:
	}
}

// reporting sends reports until the session ends. The first one goes at once.
func (f *fleet) reporting(ctx context.Context, s *session) {
	pace := f.r.cfg.Pace
	pacer := slots.Pacer{Short: pace.Short, Long: pace.Long, Budget: pace.Budget, Burst: pace.Burst}
	f.sendReport(s, &pacer)
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-f.hurry:
			urgent = true
		case <-f.wakeup:
		}
		if !f.awaitDue(ctx, &pacer, urgent) {
			return
		}
		f.sendReport(s, &pacer)
	}
}

// awaitDue sleeps until a report may go. Something urgent that happens
// meanwhile shortens the sleep.
func (f *fleet) awaitDue(ctx context.Context, p *slots.Pacer, urgent bool) bool {
	for {
		due := p.DueFull()
		if urgent {
			due = min(due, p.DueUrgent())
		}
		wait := due - f.r.now()
		if wait <= 0 {
			return true
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return false
		case <-f.hurry:
			urgent = true
		case <-t.C:
		}
		t.Stop()
	}
}

// sendReport sends what is new.
func (f *fleet) sendReport(s *session, p *slots.Pacer) {
	report, worth := f.buildReport(s)
	if !worth {
		return
	}
	s.out.Send(report)
	size := 0
	if b, err := protocol.Encode(report); err == nil {
		size = len(b)
	}
	p.Sent(f.r.now(), size, true)
}

// buildReport takes what is new from every pool and reports whether there was
// anything.
func (f *fleet) buildReport(s *session) (protocol.Report, bool) {
	s.mu.Lock()
	s.reports++
	seq := s.reports
	report := protocol.Report{ViewSeq: s.viewSeq}
	s.mu.Unlock()
	for _, p := range f.r.poolList() {
		p.locked(func(pl *pool.Pool) { pl.TakeReport(seq, &report) })
	}
	worth := len(report.Pools) > 0 || len(report.Returned) > 0 || len(report.Suspects) > 0
	if !worth {
		s.mu.Lock()
		s.reports-- // the allocator counts only what it receives
		s.mu.Unlock()
	}
	return report, worth
}
