// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests what late announcements of a server that is silent for a while change.

// lateBy is how much later than due a silent server announces itself.
const lateBy = 1400 * time.Millisecond

// TestSilentServerKeepsItsAddress guards against a sound server that loses its address to the one that had it before and
// has ended, because the announcements of both arrive late.
func TestSilentServerKeepsItsAddress(t *testing.T) {
	const address = "10.0.0.1:80"
	for _, period := range []time.Duration{500 * time.Millisecond, time.Second, 1200 * time.Millisecond, 2 * time.Second} {
		for announced := uint64(1); announced <= 5; announced++ { // by the new owner, before it is silent
			t.Run(fmt.Sprintf("%v, %d announcements", period, announced), func(t *testing.T) {
				is := is.New(t)
				r := New(0, period, NewHandles(1))
				r.Announce(0, announcement("old", address, 20))
				now := 10 * period
				for n := range announced {
					r.Announce(now, announcement("new", address, n+1))
					now += period
				}
				now += lateBy // the next announcement is late
				r.Announce(now-time.Millisecond, announcement("old", address, 21))
				is.Equal(ids(r.List(now)), []string{"new"})
				is.True(r.Announce(now, announcement("new", address, announced+1)).Empty())
			})
		}
	}
}

// TestSilentServerStaysListed guards against a sound server that a new leader does not list because it was silent.
func TestSilentServerStaysListed(t *testing.T) {
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	r.Restore(0, announcement("a", "10.0.0.1:80", 0).Registration)
	late := interval + lateBy
	is.True(r.ExpireSilent(late).Empty())
	is.True(r.Complete(completeAfterIntervals * interval))
	is.Equal(ids(r.List(completeAfterIntervals*interval)), []string{"a"})
	is.True(r.Announce(late, announcement("a", "10.0.0.1:80", 9)).Empty())
	is.True(late < completeAfterIntervals*interval) // one that the log lacks is listed before the list counts as complete
}
