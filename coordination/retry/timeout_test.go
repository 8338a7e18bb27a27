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
	for _, tt := range []struct {
		objective           time.Duration
		runs                int
		waited, left, waits time.Duration
	}{
		{400 * ms, 0, 0, 3000 * ms, 88 * ms},
		{400 * ms, 0, 80 * ms, 3000 * ms, 8 * ms},
		{400 * ms, 0, 100 * ms, 3000 * ms, -12 * ms}, // not at all
		{400 * ms, 0, 0, 50 * ms, 50 * ms},
		{400 * ms, 1, 0, 3000 * ms, time.Second},
		{400 * ms, 1, 300 * ms, 3000 * ms, 700 * ms},
		{0, 0, 0, 3000 * ms, time.Second},
	} {
		got := QueueTimeout(document.Route{Objective: tt.objective}, tt.runs, tt.waited, tt.left)
		is.Equal(got, tt.waits) // tt
	}
}

func TestWhenToComeBack(t *testing.T) {
	is := is.New(t)
	is.Equal(After(-time.Second), Soon)
	is.Equal(After(200*ms), Soon)
	is.Equal(After(3*time.Second), 300*ms)
	is.Equal(After(time.Minute), Later)
	is.Equal(AfterOverload(entitlement.Entitled, time.Minute), Soon)
	is.Equal(AfterOverload(entitlement.Extra, time.Minute), Later)
}

func TestStallTimeouts(t *testing.T) {
	is := is.New(t)
	route := document.Route{Kind: document.Stream, Resumable: true, MaxAttempts: 2, Objective: 400 * ms, EventGap: 250 * ms}
	first, gap, watched := StallTimeouts(route, 0)
	is.Equal(first, time.Second)
	is.Equal(gap, time.Second)
	is.True(watched)
	_, _, watched = StallTimeouts(route, 1)
	is.True(!watched) // this attempt is the last that the route allows
	route.Objective, route.EventGap = 0, 50*ms
	first, gap, _ = StallTimeouts(route, 0)
	is.Equal(first, MinStall)
	is.Equal(gap, MinStall)
	route.Resumable = false
	_, _, watched = StallTimeouts(route, 0)
	is.True(!watched) // nobody else may go on
}
