// SPDX-License-Identifier: Apache-2.0

package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Parameters of the model: 300 connections are accepted a second, six every 20 ms, and the queue is sampled
// every 5 ms.
const (
	queueCapacity = 64
	samplePeriod  = 5 * time.Millisecond
	reportEvery   = 100 * time.Millisecond
	queueDuration = 4 * time.Second
)

// simulateQueue adds arrivals before each sample, and returns the sum of the estimates after a given time.
func simulateQueue(arrivals func(now time.Duration) int, after time.Duration) (unaccepted int) {
	var a Arrivals
	waiting := 0
	for now := samplePeriod; now <= queueDuration; now += samplePeriod {
		waiting = min(waiting+arrivals(now), queueCapacity)
		a = a.WithSample(now, waiting, queueCapacity)
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
			unaccepted += n
		}
	}
	return unaccepted
}

// TestArrivals checks the estimate for arrivals at a constant rate.
func TestArrivals(t *testing.T) {
	for _, tt := range []struct {
		name         string
		rate         float64 // connections a second
		lowest, most int     // unaccepted per second: never too many, and enough to detect a doubled rate
	}{
		{"no arrivals", 0, 0, 0},
		{"all are accepted", 250, 0, 5},
		{"a fifth too many", 360, 20, 60},
		{"twice as many", 600, 200, 300},
		{"four times as many", 1200, 600, 900},
		{"more than the queue shows", 9000, 600, 900},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fraction := 0.0
			unaccepted := simulateQueue(func(time.Duration) int {
				whole := int(fraction + tt.rate*samplePeriod.Seconds())
				fraction += tt.rate*samplePeriod.Seconds() - float64(whole)
				return whole
			}, time.Second) / 3
			t.Logf("%d unaccepted a second", unaccepted)
			is.True(unaccepted >= tt.lowest)
			is.True(unaccepted <= tt.most)
		})
	}
}

// TestWaitingConnectionsAreNotUnaccepted checks that bursts of connections that wait in the queue are not
// counted as unaccepted.
func TestWaitingConnectionsAreNotUnaccepted(t *testing.T) {
	is := is.New(t)
	unaccepted := simulateQueue(func(now time.Duration) int {
		if now%(250*time.Millisecond) == 0 {
			return 50
		}
		return 0
	}, 0)
	is.True(unaccepted <= 50) // of 800, from rounding at the intervals' ends
}

// TestNoEstimateWithoutVisibleArrivals checks that there is no estimate without samples, or if the queue never
// had room.
func TestNoEstimateWithoutVisibleArrivals(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	n, a := a.Unaccepted(time.Second)
	is.Equal(n, 0)
	a = a.WithSample(time.Second, 64, 64).WithSample(2*time.Second, 64, 64)
	n, a = a.Unaccepted(2 * time.Second)
	is.Equal(n, 0)
	a = a.WithAccepted().WithSample(2*time.Second+10*time.Millisecond, 64, 64)
	n, _ = a.Unaccepted(3 * time.Second)
	is.Equal(n, 99) // one per 10 ms, of which one was accepted
}
