// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests guard against a request that crashes every server that begins it and is sent repeatedly,
// under new identifiers and to different gateways. Twenty servers of a fleet of nine (they restart)
// ended within twelve seconds, with all requests that ran there: each gateway bounded the attempts of
// one arrival only, so every arrival got two attempts. Nothing about it outlived the arrival or was
// shared between gateways. The logs showed pairs of ends 90 to 430 ms apart, the second of each pair by
// the fleet's own second attempt, and no attempt number above 2 among 573 failed attempts.

// verdictTime bounds the time from the third end until the whole fleet has the verdict.
const verdictTime = 3 * time.Second

// TestCrashingRequestIsStopped checks that a request that ends every server is begun at most three times
// later than contactTime after the third end, and ends at most four servers, while other requests are
// served.
func TestCrashingRequestIsStopped(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", 250*time.Millisecond, 14*time.Second)
			_, late := m.countCrashingRequest("deadly")
			ended := m.countCrashes()
			others, refusedOthers := c.answeredShare("other")
			hot, refusedHot := c.answeredShare("hot")
			t.Logf("%d servers ended, %d begun late; served %.4f of others, %.4f of the hot key", ended, late, others, hot)
			is.True(late <= 3)
			is.True(ended <= 4)
			is.True(others > 0.98)
			is.True(hot > 0.98)
			is.Equal(refusedOthers+refusedHot, 0)
		})
	})
}
