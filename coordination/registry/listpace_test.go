// SPDX-License-Identifier: Apache-2.0

package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
)

// TestListRate: lists for many simultaneous requests take half of a link, and are never
// ahead of that by more than a list and 20 ms. A link of unknown rate is not paced.
func TestListRate(t *testing.T) {
	is := is.New(t)
	const rate, size = 125e6, 740_000 // 1 Gbit/s
	pace := registry.NewListPace(rate / 2)
	sent, now := 0, time.Second
	for ; now < 2*time.Second; now += time.Millisecond {
		for pace.Wait(now) == 0 {
			pace.RecordSent(now, size)
			sent += size
		}
		due := rate / 2 * (now - time.Second).Seconds()
		is.True(float64(sent) <= due+size+rate/2*0.020)
		is.True(float64(sent) >= due)
	}
	is.Equal(pace.ListsWithin(time.Second, 10_000), rate/2/750_000.0)
	is.Equal(pace.TimeToSend(now+time.Second, 3, 10_000), 36*time.Millisecond)
	unknown := registry.NewListPace(0)
	is.Equal(unknown.TimeToSend(now, 3, 10_000), time.Duration(0))
	unknown.RecordSent(now, size)
	is.Equal(unknown.Wait(now), time.Duration(0))
}

// TestListChangeRate: entries of servers for many sessions go out at the same pace,
// in one message per period.
func TestListChangeRate(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{125e6, 3e6} {
		const sessions, bytes = 985, 75
		pace := registry.NewListPace(rate / 2)
		sent, now := 0, time.Second
		for ; now < 31*time.Second; now += registry.FleetPeriod {
			n := pace.EntryAllowance(now, sessions)
			pace.RecordSent(now, n*bytes*sessions)
			sent += n
		}
		due := rate / 2 * 30 / (bytes * sessions) // servers
		is.True(float64(sent) > 0.9*due)
		is.True(float64(sent) < 1.1*due+1)
	}
}

// TestEntrySizeIsMeasured: entries that are larger or smaller than defaultEntryBytes keep to the
// pace too, because their size is measured.
func TestEntrySizeIsMeasured(t *testing.T) {
	is := is.New(t)
	const rate, sessions = 4e6, 20
	for _, bytes := range []int{45, 75, 150} {
		pace := registry.NewListPace(rate)
		sent, now := 0, time.Second
		for ; now < 31*time.Second; now += registry.FleetPeriod {
			n := pace.EntryAllowance(now, sessions)
			pace.RecordEntries(now, n*bytes, n, sessions)
			sent += n
		}
		due := rate * 30 / float64(bytes*sessions) // servers
		is.True(float64(sent) > 0.95*due)
		is.True(float64(sent) < 1.05*due)
	}
}
