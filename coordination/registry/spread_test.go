// SPDX-License-Identifier: Apache-2.0

package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
)

// TestSpreadHysteresis: sessions are spread when the lists of all gateways take the leader's link
// for longer than a tenth of a second. They stay spread while gateways are disconnected for less
// than five minutes.
func TestSpreadHysteresis(t *testing.T) {
	is := is.New(t)
	const gigabit = 125e6
	var s registry.Spread
	is.True(!s.Decide(0, false, 295, 171, gigabit))
	is.True(s.Decide(0, false, 290, 3000, gigabit))
	is.True(s.Decide(0, false, 985, 9998, gigabit))
	is.True(!s.Decide(0, false, 985, 9998, 0)) // the rate of the link is not known
	is.True(s.Decide(time.Second, true, 0, 9998, gigabit))
	is.True(s.Decide(4*time.Minute, true, 0, 9998, gigabit))
	is.True(s.Decide(4*time.Minute+time.Second, true, 985, 9998, gigabit)) // the gateways are back
	is.True(s.Decide(5*time.Minute, true, 0, 9998, gigabit))
	is.True(s.Decide(9*time.Minute, true, 0, 9998, gigabit))
	is.True(!s.Decide(11*time.Minute, true, 0, 9998, gigabit))
}
