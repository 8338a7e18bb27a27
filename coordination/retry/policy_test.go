// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/state/document"
)

var (
	once       = document.Route{Kind: document.Once, MaxAttempts: 2}
	repeatable = document.Route{Kind: document.Repeatable, MaxAttempts: 2}
	stream     = document.Route{Kind: document.Stream, MaxAttempts: 2}
	resumable  = document.Route{Kind: document.Stream, MaxAttempts: 2, Resumable: true}
	unbounded  = document.Route{Kind: document.Repeatable, MaxAttempts: 100}
)

// TestRetryAndEndingAfterAttempts checks whether another attempt is allowed after a series of attempts, whether it is
// charged to the budget, and how the request ends if there is none.
func TestRetryAndEndingAfterAttempts(t *testing.T) {
	const late, head, noBudget = true, true, true // timed out; head written; budget exhausted
	type executions []Execution
	type next struct{ allowed, fromBudget bool }
	stop, free, paid := next{}, next{true, false}, next{true, true}
	for _, tt := range []struct {
		name                 string
		route                document.Route
		attempts             executions
		late, head, noBudget bool
		next                 next
		ending               Ending
	}{
		{"not sent", once, executions{NotSent}, false, false, false, free, EndNoServer},
		{"refused", once, executions{Refused}, false, false, false, paid, EndRefused},
		{"refused without a budget", once, executions{Refused}, false, false, noBudget, paid, EndNoBudget},
		{"may have run once", once, executions{MayHaveRun}, false, false, false, stop, EndMayHaveRun},
		{"failed", once, executions{HasRun}, false, false, false, stop, EndServerError},
		{"may run again", repeatable, executions{MayHaveRun}, false, false, false, paid, EndMayHaveRun},
		{"may run again, no budget", repeatable, executions{MayHaveRun}, false, false, noBudget, paid, EndMayHaveRun},
		{"failure that may run again", repeatable, executions{HasRun}, false, false, false, paid, EndServerError},
		{"as often as the route allows", repeatable, executions{MayHaveRun, MayHaveRun}, false, false, false, stop, EndMayHaveRun},
		{"refused after it may have run", repeatable, executions{MayHaveRun, Refused}, false, false, false, paid, EndMayHaveRun},
		{"not sent after it may have run", repeatable, executions{MayHaveRun, NotSent}, false, false, false, free, EndMayHaveRun},
		{"one refusal more than runs", once, executions{Refused, Refused, Refused}, false, false, false, stop, EndRefused},
		{"no limit means one run", document.Route{}, executions{Refused, Refused}, false, false, false, stop, EndRefused},
		{"arrivals are bounded", unbounded, executions{MayHaveRun, MayHaveRun, MayHaveRun}, false, false, false, stop, EndMayHaveRun},
		{"below the bound of attempts", unbounded, executions{NotSent, NotSent, NotSent, NotSent}, false, false, false, free, EndNoServer},
		{"attempts are bounded", unbounded, executions{NotSent, NotSent, NotSent, NotSent, NotSent}, false, false, false, stop, EndNoServer},
		{"late, may have run", repeatable, executions{MayHaveRun}, late, false, false, stop, EndTimedOut},
		{"late, failed", repeatable, executions{HasRun}, late, false, false, stop, EndServerError},
		{"late, refused", once, executions{Refused}, late, false, false, stop, EndRefused},
		{"late, not sent", once, executions{NotSent}, late, false, false, stop, EndNoServer},
		{"stream has begun", stream, executions{MayHaveRun}, false, head, false, stop, EndBroken},
		{"stream has begun and resumes", resumable, executions{MayHaveRun}, false, head, false, paid, EndBroken},
		{"large answer has begun", repeatable, executions{MayHaveRun}, false, head, false, stop, EndBroken},
		{"stream has not begun", stream, executions{MayHaveRun}, false, false, false, stop, EndMayHaveRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := Request{Route: tt.route, HeadWritten: tt.head, TimeLeft: !tt.late}
			for _, e := range tt.attempts {
				r.Counts = r.Counts.With(e)
			}
			last := tt.attempts[len(tt.attempts)-1]
			allowed, fromBudget := r.MayRetry(last)
			is.Equal(next{allowed, fromBudget}, tt.next)
			is.Equal(r.EndingAfterAttempt(last, tt.noBudget), tt.ending)
		})
	}
}

// TestFinalAnswerEndsRequest checks that a request whose answer nothing can continue is cut off, also on a
// resumable route.
func TestFinalAnswerEndsRequest(t *testing.T) {
	for _, final := range []bool{false, true} {
		is := is.New(t)
		r := Request{Route: resumable, Counts: Counts{}.With(MayHaveRun), HeadWritten: true, Final: final, TimeLeft: true}
		allowed, _ := r.MayRetry(MayHaveRun)
		is.Equal(allowed, !final)
		is.Equal(r.EndingAfterAttempt(MayHaveRun, false), EndBroken)
	}
	r := Request{Route: resumable, Counts: Counts{}.With(MayHaveRun), Final: true, TimeLeft: true}
	allowed, _ := r.MayRetry(MayHaveRun)
	is.New(t).True(allowed) // nothing has been written yet
}

func TestEndingWithoutServer(t *testing.T) {
	is := is.New(t)
	const covered, extra = entitlement.Covered, entitlement.Extra
	for _, tt := range []struct {
		counts   Counts
		left     bool
		class    entitlement.Class
		allTried bool
		ending   Ending
	}{
		{Counts{}, true, covered, false, EndOverloaded},
		{Counts{}, true, extra, false, EndBeyondShare},
		{Counts{}, true, extra, true, EndNoServer},
		{Counts{}, false, extra, true, EndOverloaded},
		{Counts{Begun: 1}, false, covered, true, EndOverloaded}, // it reached no server
		{Counts{Begun: 1, Arrived: 1}, false, covered, false, EndTimedOut},
		{Counts{Begun: 1, Arrived: 1}, true, covered, false, EndOverloaded},
		{Counts{Begun: 1, Arrived: 1, Runs: 1}, true, covered, true, EndMayHaveRun},
		{Counts{Begun: 1, Arrived: 1, Runs: 1}, false, covered, true, EndTimedOut},
	} {
		r := Request{Counts: tt.counts, TimeLeft: tt.left}
		is.Equal(r.EndingWithoutServer(tt.class, tt.allTried), tt.ending) // tt
	}
}

func TestCounts(t *testing.T) {
	is := is.New(t)
	var c Counts
	for _, e := range []Execution{NotSent, Refused, MayHaveRun, HasRun, Answered} {
		c = c.With(e)
	}
	is.Equal(c, Counts{Begun: 5, Arrived: 4, Runs: 3})
}

// TestUnneededRunLeavesItsServer checks that a server whose run was ended as not needed may run the request again, and
// that all other limits hold.
func TestUnneededRunLeavesItsServer(t *testing.T) {
	is := is.New(t)
	r := Request{Route: document.Route{Kind: document.Repeatable, MaxAttempts: 2}, TimeLeft: true}
	r.Counts = r.With(MayHaveRun).With(MayHaveRun)
	allowed, _ := r.MayRetry(MayHaveRun)
	is.True(!allowed)
	r.Reusable = 1
	allowed, fromBudget := r.MayRetry(MayHaveRun)
	is.True(allowed)
	is.True(fromBudget)
	r.Counts = r.With(Refused)
	allowed, _ = r.MayRetry(MayHaveRun)
	is.True(!allowed) // three arrivals
}
