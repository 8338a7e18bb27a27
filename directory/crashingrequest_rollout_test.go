// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests a rollout during which a request crashes servers of both versions.

// TestCrashingRequestDoesNotFailRollout checks that crashes caused by a request do not count against
// the version.
func TestCrashingRequestDoesNotFailRollout(t *testing.T) {
	for _, at := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			withFleet(t, 3, func(x *fleet) {
				is := is.New(t)
				m := x.startCrashingServers(6, 250*time.Millisecond)
				m.firstTarget = 4
				x.withCallers(m, 4, func(c *callers) {
					is.NoErr(x.orderRollout(rollout.Order{Pool: "p", Target: "v2", Duration: rolloutTime}))
					m.mu.Lock()
					m.ordered = true
					m.mu.Unlock()
					m.announce()
					var repeating sync.WaitGroup
					defer repeating.Wait()
					repeating.Go(func() {
						time.Sleep(at)
						c.repeat("deadly", crashingRequestPeriod, 5*time.Second)
					})
					var state document.RolloutState
					for began := time.Now(); time.Since(began) < rolloutTime; time.Sleep(20 * time.Millisecond) {
						if state = x.newestRollout().State; state != document.RolloutUnderWay {
							break
						}
					}
					sent, _ := m.countCrashingRequest("deadly")
					t.Logf("begun %d times", sent)
					is.Equal(state, document.RolloutComplete)
				})
			})
		})
	}
}
