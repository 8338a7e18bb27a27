// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/standin"
)

// This file tests that a request with an idempotency key runs at most once, on
// any router and under failures, and that callers receive its true outcome.

func TestKeyedRequestRunsOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		// Sent to two routers at the same time: it runs once, and both respond with its result.
		got := f.startAll(order("r1", "hotel", "30 sheets", "k1"), order("r2", "hotel", "30 sheets", "k1"))()
		is.Equal(f.services["s1"].Runs("30 sheets"), 1)
		for _, a := range got {
			is.NoErr(a.err)
			is.Equal(a.status, 200)
			is.Equal(a.body, got[0].body)
		}
		// Sent again later.
		a := f.do(order("r2", "hotel", "30 sheets", "k1"))
		is.Equal(a.body, got[0].body)
		is.Equal(a.outcome, "ran")
		is.Equal(a.header.Get("Badgerspoke-Replayed"), "true")
		is.Equal(f.services["s1"].Runs("30 sheets"), 1)
		// The same key with another body, and with another account.
		a = f.do(order("r1", "hotel", "99 sheets", "k1"))
		is.Equal(a.status, 422)
		is.Equal(a.outcome, "not-run")
		is.Equal(f.do(order("r1", "notary", "99 sheets", "k1")).status, 200)
		is.Equal(f.services["s1"].Runs("99 sheets"), 1)
	})
}

func TestKeyedRequestHasUnknownOutcomeAfterRouterCrash(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		f.services["s1"].FailNext(standin.Hang)
		first := f.startAll(order("r1", "hotel", "towels", "k2"))
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute) // it must not wait indefinitely
		defer cancel()
		again := order("r2", "hotel", "towels", "k2")
		again.ctx = ctx
		second := f.startAll(again) // waits for the first request
		time.Sleep(time.Second)
		f.crash("r1")
		first()
		a := second()[0]
		is.Equal(a.status, 409)
		is.Equal(a.outcome, "unknown") // the outcome can't be determined
		is.Equal(f.services["s1"].Runs("towels"), 1)
		f.start("r1")
		f.settle()
		a = f.do(order("r1", "hotel", "towels", "k2"))
		is.Equal(a.outcome, "unknown")
		is.Equal(f.services["s1"].Runs("towels"), 1)
	})
}

func TestKeyedRequestThatDidNotRunMayRunLater(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		for range 3 {
			f.services["s1"].FailNext(standin.Refuse)
		}
		a := f.do(order("r1", "hotel", "soap", "k3"))
		for a.status != 200 { // the retry budget is small; "not-run" must be correct each time
			is.Equal(a.outcome, "not-run")
			is.Equal(f.services["s1"].Runs("soap"), 0)
			time.Sleep(2 * time.Second)
			a = f.do(order("r2", "hotel", "soap", "k3"))
		}
		is.Equal(f.services["s1"].Runs("soap"), 1)
	})
}

func TestKeyedRequestsRunAtMostOnceWhileLeadersCrash(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 2)
		for i := range 3 {
			var rs []request
			for j := range 4 {
				body, key := fmt.Sprintf("order %d-%d", i, j), fmt.Sprintf("key %d-%d", i, j)
				rs = append(rs, order("r1", "hotel", body, key), order("r2", "hotel", body, key))
			}
			wait := f.startAll(rs...)
			time.Sleep(time.Duration(i*60) * time.Millisecond)
			leader := f.leader()
			f.crash(leader)
			for _, a := range wait() {
				is.True(a.status == 200 || a.outcome == "not-run" || a.outcome == "unknown")
			}
			f.start(leader)
			f.settle()
			time.Sleep(3 * time.Second)
			for j := range 4 {
				is.True(f.services["s1"].Runs(fmt.Sprintf("order %d-%d", i, j)) <= 1)
			}
		}
	})
}
