// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

var limits = Limits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}

func TestExtraRetriesAreDividedEvenly(t *testing.T) {
	is := is.New(t)
	w := NewWindow(limits)
	allowed := 0
	for range 100 {
		if w.AllowRetry(0, 6) {
			allowed++
		}
	}
	is.Equal(allowed, 7) // usedFraction x 60 / 6
}

func TestRequestsEarnRetries(t *testing.T) {
	is := is.New(t)
	w := NewWindow(limits)
	for range 1000 {
		w.RecordRequest(0)
	}
	allowed := 0
	for range 1000 {
		if w.AllowRetry(0, 6) {
			allowed++
		}
	}
	is.Equal(allowed, 147) // usedFraction x (0.2 x 1000 + 10)
}

func TestRetriesExpire(t *testing.T) {
	is := is.New(t)
	w := NewWindow(Limits{Extra: 10, Window: 10 * time.Second})
	for w.AllowRetry(0, 1) {
	}
	is.True(!w.AllowRetry(10*time.Second, 1)) // retries expire one slice after the window
	is.True(w.AllowRetry(12*time.Second, 1))
	is.True(w.AllowRetry(time.Hour, 1)) // after many windows
}

// TestFleetKeepsToItsBudget lets several gateways with uneven traffic retry as often as allowed, and checks
// that the fleet as a whole stays within its allowance in every window.
func TestFleetKeepsToItsBudget(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 9).Draw(t, "gateways")
		gateways := make([]*Window, n)
		for i := range gateways {
			gateways[i] = NewWindow(limits)
		}
		const step, steps = 50 * time.Millisecond, 800
		requests, retries := make([]int, steps), make([]int, steps)
		for s := range steps {
			now := time.Duration(s) * step
			for i, r := range gateways {
				for range rng.IntN(1 + i*2) {
					r.RecordRequest(now)
					requests[s]++
				}
				for rng.IntN(3) > 0 && r.AllowRetry(now, n) {
					retries[s]++
				}
			}
		}
		window := int(limits.Window / step)
		for s := window; s < steps; s++ {
			asked, again := sum(requests[s-window:s]), sum(retries[s-window:s])
			before := sum(requests[max(s-2*window, 0) : s-window]) // the allowance is that of the window with more requests
			allowed := limits.Ratio*float64(max(asked, before)) + limits.Extra
			if float64(again) > allowed {
				t.Fatalf("%d retries in the window to %d, %.0f allowed", again, s, allowed)
			}
		}
	})
}
