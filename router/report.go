// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/slots"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the reports of the pools to the allocator. Changes are collected; urgent ones
// are sent soon and others less often, within the byte budget.

// requestReport signals to sendReports that there is something to report.
func (l *leaderClient) requestReport(urgent bool) {
	ch := l.routineReport
	if urgent {
		ch = l.urgentReport
	}
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sendReports sends reports until the session ends. The first one is sent at once.
func (l *leaderClient) sendReports(ctx context.Context, s *session) {
	pacer := slots.Pacer{Pace: l.r.cfg.Pace}
	l.sendReport(s, &pacer)
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-l.urgentReport:
			urgent = true
		case <-l.routineReport:
		}
		if !l.awaitDue(ctx, &pacer, urgent) {
			return
		}
		l.sendReport(s, &pacer)
	}
}

// awaitDue waits until a report may be sent. An urgent change in the meantime shortens the wait. It
// returns false if ctx ends.
func (l *leaderClient) awaitDue(ctx context.Context, p *slots.Pacer, urgent bool) bool {
	for {
		due := p.DueFull()
		if urgent {
			due = min(due, p.DueUrgent())
		}
		wait := due - l.r.now()
		if wait <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-l.urgentReport:
			urgent = true
		case <-time.After(wait):
		}
	}
}

// sendReport sends the changes since the last report, if there are any.
func (l *leaderClient) sendReport(s *session, p *slots.Pacer) {
	report, changed := l.buildReport(s)
	if !changed {
		return
	}
	s.out.Send(report)
	b, _ := protocol.Encode(report) // an encoding error ends the session in the outbox, so the size no longer matters
	p.RecordSent(l.r.now(), len(b), true)
}

// buildReport collects the changes of every pool and reports whether there are any.
func (l *leaderClient) buildReport(s *session) (protocol.Report, bool) {
	s.mu.Lock()
	s.lastReport++
	seq := s.lastReport
	s.mu.Unlock()
	report := protocol.Report{ViewSeq: s.viewSeq.Load()}
	for _, p := range l.r.poolList() {
		p.withLock(func(pl *pool.Pool) { pl.AppendReport(seq, &report) })
	}
	changed := len(report.Pools) > 0 || len(report.Returned) > 0 || len(report.Suspects) > 0
	if !changed {
		s.mu.Lock()
		s.lastReport-- // the allocator counts only what it receives
		s.mu.Unlock()
	}
	return report, changed
}
