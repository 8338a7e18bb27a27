// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/state/document"
)

const ms = time.Millisecond

func TestQueueTimeout(t *testing.T) {
	is := is.New(t)
	const covered, extra, beyond = entitlement.Covered, entitlement.Extra, entitlement.Beyond
	for _, tt := range []struct {
		objective                    time.Duration
		class                        entitlement.Class
		runs                         int
		spent, waited, left, expects time.Duration
		waits                        time.Duration
	}{
		{400 * ms, covered, 0, 0, 0, 3000 * ms, 50 * ms, 230 * ms}, // 0.3 of the objective is reserved
		{400 * ms, entitlement.Entitled, 0, 0, 0, 3000 * ms, 50 * ms, 230 * ms},
		{400 * ms, covered, 0, 0, 80 * ms, 3000 * ms, 50 * ms, 150 * ms},
		{400 * ms, covered, 0, 60 * ms, 0, 3000 * ms, 50 * ms, 170 * ms},  // it returned immediately
		{400 * ms, covered, 0, 0, 240 * ms, 3000 * ms, 50 * ms, -10 * ms}, // no time left to wait
		{400 * ms, covered, 0, 0, 0, 50 * ms, 50 * ms, 50 * ms},
		{400 * ms, covered, 0, 0, 0, 3000 * ms, 300 * ms, time.Second}, // late in any case
		{400 * ms, covered, 0, 900 * ms, 0, 3000 * ms, 50 * ms, time.Second},
		{400 * ms, extra, 0, 0, 0, 3000 * ms, 50 * ms, 40 * ms},
		{400 * ms, beyond, 0, 900 * ms, 30 * ms, 3000 * ms, 50 * ms, 10 * ms},
		{400 * ms, beyond, 1, 0, 0, 3000 * ms, 50 * ms, time.Second},
		{400 * ms, covered, 1, 0, 300 * ms, 3000 * ms, 50 * ms, 700 * ms},
		{0, covered, 0, 0, 0, 3000 * ms, 50 * ms, time.Second},
	} {
		got := QueueTimeout(QueuedRequest{
			Route: document.Route{Objective: tt.objective}, Class: tt.class, Runs: tt.runs, Spent: tt.spent,
			Waited: tt.waited, Left: tt.left, Expected: tt.expects,
		})
		is.Equal(got, tt.waits) // tt
	}
}

func TestRetryDelays(t *testing.T) {
	is := is.New(t)
	is.Equal(After(-time.Second), ShortDelay)
	is.Equal(After(200*ms), ShortDelay)
	is.Equal(After(3*time.Second), 300*ms)
	is.Equal(After(time.Minute), LongDelay)
	is.Equal(AfterOverload(entitlement.Entitled, time.Minute, 0.5), ShortDelay)
	is.Equal(AfterOverload(entitlement.Extra, 10*time.Second, 0), 3300*ms)
	is.Equal(UncoveredRequest{Left: -time.Second}.After(0), ShortDelay)
	is.Equal(UncoveredRequest{Left: 10 * time.Second}.After(0), 3300*ms) // up to a third of the remaining time
	is.Equal(UncoveredRequest{Left: 10 * time.Second}.After(1), 2475*ms)
}

// TestPartlyCoveredRequestsAreRetriedWithinTheObjective checks that a request is retried within its objective if the
// share covers some of its account's requests and it can still be in time.
func TestPartlyCoveredRequestsAreRetriedWithinTheObjective(t *testing.T) {
	is := is.New(t)
	some := UncoveredRequest{CoveredFraction: 0.1, Objective: 400 * ms, Left: 12 * time.Second}
	is.Equal(some.After(0), 80*ms)
	is.Equal(some.After(1), 180*ms)
	little := some
	little.CoveredFraction = 0.09
	is.Equal(little.After(0), 3960*ms)
	late := some
	late.Spent = 300 * ms
	is.Equal(late.After(0), 80*ms) // 380 ms after its first request
	is.Equal(late.After(1), 2970*ms)
	short := some
	short.Objective = 100 * ms
	is.Equal(short.After(0), ShortDelay)
	none := some
	none.Objective = 0
	is.Equal(none.After(0), 3960*ms)
}

func TestStallTimeouts(t *testing.T) {
	is := is.New(t)
	route := document.Route{Kind: document.Stream, Resumable: true, MaxAttempts: 2, Objective: 400 * ms, EventGap: 250 * ms}
	first, gap, watched := StallTimeouts(route, 0)
	is.Equal(first, time.Second)
	is.Equal(gap, time.Second)
	is.True(watched)
	_, _, watched = StallTimeouts(route, 1)
	is.True(!watched) // the last attempt that the route allows
	route.Objective, route.EventGap = 0, 50*ms
	first, gap, _ = StallTimeouts(route, 0)
	is.Equal(first, MinStall)
	is.Equal(gap, MinStall)
	route.Resumable = false
	_, _, watched = StallTimeouts(route, 0)
	is.True(!watched) // no other server may continue the answer
}

// TestCanAnswerInTime checks that requests which no server can answer before the deadline are not sent.
func TestCanAnswerInTime(t *testing.T) {
	is := is.New(t)
	w := QueuedRequest{Expected: 100 * time.Millisecond, Left: 50 * time.Millisecond}
	is.True(CanAnswerInTime(w))
	w.Left--
	is.True(!CanAnswerInTime(w))
	w.Left = -time.Second
	is.True(!CanAnswerInTime(w))
	w.Runs = 1 // it may have run, so it must not be refused as not run
	is.True(CanAnswerInTime(w))
}

// TestRetryDelayAfterBackoff checks that callers retry after the backoff, at different times.
func TestRetryDelayAfterBackoff(t *testing.T) {
	is := is.New(t)
	is.Equal(AfterBackoff(2*time.Second, 10*time.Second, 0), 2*time.Second)
	is.Equal(AfterBackoff(2*time.Second, 10*time.Second, 1), 3*time.Second)
	is.Equal(AfterBackoff(2*time.Second, -time.Second, 1), 2*time.Second) // no time left
	is.Equal(AfterBackoff(0, 0, 0), ShortDelay)
}
