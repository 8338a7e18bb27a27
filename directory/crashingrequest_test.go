// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests guard against a request that crashes every server that begins it and is sent repeatedly,
// under new identifiers and to different gateways. When each gateway bounded only the attempts of one
// arrival, and gateways shared nothing about it, every arrival got two attempts: a fleet of nine servers,
// which restart, had twenty crashes within twelve seconds, each with all requests that ran on the server.
// The crashes came in pairs 90 to 430 ms apart, the second one caused by the fleet's own second attempt;
// none of 573 failed attempts had a number above 2.

// verdictTime bounds the time from the third crash until the whole fleet has the verdict.
const verdictTime = 3 * time.Second

// TestCrashingRequestIsStopped checks that a request that crashes every server is begun at most three
// times later than verdictTime after the third crash, and crashes at most four servers, while other
// requests are served.
func TestCrashingRequestIsStopped(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", 250*time.Millisecond, 14*time.Second)
			_, late := m.countCrashingRequest("deadly")
			crashed := m.countCrashes()
			others, refusedOthers := c.answeredShare("other")
			hot, refusedHot := c.answeredShare("hot")
			t.Logf("%d servers crashed, %d begun late; served %.4f of others, %.4f of the hot key", crashed, late, others, hot)
			is.True(late <= 3)
			is.True(crashed <= 4)
			is.True(others > 0.98)
			is.True(hot > 0.98)
			is.Equal(refusedOthers+refusedHot, 0)
		})
	})
}
