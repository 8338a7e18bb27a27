// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Of the queue that is played: 300 connections are taken a second, six each 20 ms, with a look each 5 ms.
const (
	queueMost   = 64
	lookPeriod  = 5 * time.Millisecond
	reportEvery = 100 * time.Millisecond
	queuePlayed = 4 * time.Second
)

// playQueue lets connections come at each look, and returns the estimates of the reports after a time.
func playQueue(came func(now time.Duration) int, after time.Duration) (untaken int) {
	var a Arrivals
	waiting := 0
	for now := lookPeriod; now <= queuePlayed; now += lookPeriod {
		waiting = min(waiting+came(now), queueMost)
		a = a.WithSample(now, waiting, queueMost)
		if now%TickPeriod == 0 {
			for range min(6, waiting) {
				a = a.WithAccepted()
				waiting--
			}
		}
		if now%reportEvery != 0 {
			continue
		}
		var n int
		if n, a = a.Unaccepted(now); now > after {
			untaken += n
		}
	}
	return untaken
}

// TestArrivals lets connections come evenly.
func TestArrivals(t *testing.T) {
	for _, tt := range []struct {
		name         string
		rate         float64 // connections a second that come
		lowest, most int     // untaken in a second: never more than there are, and enough to tell twice as many
	}{
		{"nobody comes", 0, 0, 0},
		{"all are taken", 250, 0, 5},
		{"a fifth too many", 360, 20, 60},
		{"twice as many", 600, 200, 300},
		{"four times as many", 1200, 600, 900},
		{"more than can be seen", 9000, 600, 900},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fraction := 0.0
			untaken := playQueue(func(time.Duration) int {
				whole := int(fraction + tt.rate*lookPeriod.Seconds())
				fraction += tt.rate*lookPeriod.Seconds() - float64(whole)
				return whole
			}, time.Second) / 3
			t.Logf("%d a second", untaken)
			is.True(untaken >= tt.lowest)
			is.True(untaken <= tt.most)
		})
	}
}

// TestBurstsThatWait: connections that come at once and wait for their turn are not taken for ones that were
// never let in.
func TestBurstsThatWait(t *testing.T) {
	is := is.New(t)
	untaken := playQueue(func(now time.Duration) int {
		if now%(250*time.Millisecond) == 0 {
			return 50
		}
		return 0
	}, 0)
	is.True(untaken <= 50) // of 800, at the edges between looks
}

// TestArrivalsUnseen: nothing is said without a look, nor where the queue never had room.
func TestArrivalsUnseen(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	n, a := a.Unaccepted(time.Second)
	is.Equal(n, 0)
	a = a.WithSample(time.Second, 64, 64).WithSample(2*time.Second, 64, 64)
	n, a = a.Unaccepted(2 * time.Second)
	is.Equal(n, 0)
	a = a.WithAccepted().WithSample(2*time.Second+10*time.Millisecond, 64, 64)
	n, _ = a.Unaccepted(3 * time.Second)
	is.Equal(n, 99) // one in 10 ms, and one was taken
}
