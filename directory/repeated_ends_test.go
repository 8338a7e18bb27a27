// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller sent one request, whose run ends the server that begins it, again and again under new
// identifiers, to one gateway after the other. Twenty servers of a fleet of nine ended within
// twelve seconds, with all that ran there.
//
// Each gateway counted the attempts of one arrival only. Nothing outlived the arrival and nothing
// was shared, so every arrival was given its two attempts for good.
//
// What settled it were the gateways' logs. Servers ended in pairs, 90 to 430 ms apart, and what the
// log says of the second of a pair is "cause":"stream broken","error":"unexpected EOF","attempt":2,
// "took_ms":358,"again":false,"last_event":"": the fleet's own second attempt. Of 573 failed attempts
// none had a number above 2, so no arrival was sent too often; the same came again.

// contactTime is within how long after the third end the whole fleet has to know.
const contactTime = 3 * time.Second

// TestRequestThatEndsServers: of a request that ends each server that begins it no more than
// three are begun later than the contact time after the third end; it is stopped after four ends
// at the most, and what else is asked for is served.
func TestRequestThatEndsServers(t *testing.T) {
	withFleet(t, 3, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", 250*time.Millisecond, 14*time.Second)
			_, late := m.countDeadly("deadly")
			ended := m.ended()
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
