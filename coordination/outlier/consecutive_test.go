// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

func TestConsecutiveFailures(t *testing.T) {
	is := is.New(t)
	h := NewConsecutive()
	h.SetSize(4)
	now := time.Second
	is.True(!h.Failed(now, "a"))
	h.Succeeded("a") // only consecutive failures count
	is.True(!h.Failed(now, "a"))
	is.True(!h.Failed(now, "a"))
	is.True(h.Failed(now, "a"))
	is.True(!h.Usable(now, "a"))
	later := now + minRouterEjection
	is.True(h.Usable(later, "a"))
	h.Sent(later, "a")
	is.True(!h.Usable(later, "a")) // one trial at a time
	is.True(h.Failed(later, "a"))
	is.True(!h.Usable(later+minRouterEjection, "a")) // twice as long as the first ejection
	h.Sent(later+2*minRouterEjection, "a")
	h.Abandoned("a") // the caller gave up, so another request may be the trial
	is.True(h.Usable(later+2*minRouterEjection, "a"))
	h.Sent(later+2*minRouterEjection, "a")
	h.Succeeded("a")
	is.True(h.Usable(later, "a"))
}

func TestAtMostHalfOfThePoolIsEjected(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		h := NewConsecutive()
		n := rapid.IntRange(1, 9).Draw(t, "servers")
		h.SetSize(n)
		for i := range rapid.IntRange(0, 200).Draw(t, "failures") {
			h.Failed(time.Duration(i)*time.Millisecond, fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "server")))
			if 2*h.ejected() > n {
				t.Fatalf("%d of %d servers are ejected", h.ejected(), n)
			}
		}
	})
}

// TestUnconfirmedAnswers checks that an answer whose end nothing states neither ends a row of failures nor an
// ejection, and that a server which gives no others returns after several trials.
func TestUnconfirmedAnswers(t *testing.T) {
	is := is.New(t)
	c := NewConsecutive()
	c.SetSize(3)
	for n := range failuresToEject {
		c.Unconfirmed("s")
		is.Equal(c.Failed(time.Second, "s"), n == failuresToEject-1)
	}
	now := time.Second + minRouterEjection
	for range unconfirmedTrials {
		is.True(c.Usable(now, "s"))
		c.Sent(now, "s")
		is.True(!c.Usable(now, "s"))
		c.Unconfirmed("s")
	}
	is.Equal(len(c.servers), 0)
}
