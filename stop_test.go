// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopRefusesRequestsThatWait guards against requests that wait for a slot when the time of a router's stop is over,
// and lose their connection although they have not run.
func TestStopRefusesRequestsThatWait(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := standardFleet(t, 1)
		var rs []request
		for range 12 { // 8 slots
			rs = append(rs, completion("r1", "hotel", 500, false)) // 10 s
		}
		wait := f.startAll(rs...)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		f.boxes["r1"].box.Stop(ctx)
		refused := 0
		for _, got := range wait() {
			if got.err == nil {
				is.Equal(got.status, 503)
				is.Equal(got.outcome, "not-run")
				refused++
			}
		}
		is.Equal(refused, 4) // the others run, and are cut off
	})
}
