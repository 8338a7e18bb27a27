// SPDX-License-Identifier: Apache-2.0

package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests which late answers make a server look slow.

// answersOf records the answers of a server that gets a request once in a period, from a time on, until another one.
// respond returns when the answer to a request begins.
func answersOf(l *LatencyRatio, from, until, period time.Duration, respond func(sent time.Duration) time.Duration) {
	const expected = 20 * time.Millisecond
	for sent := from; sent < until; sent += period {
		at := respond(sent)
		l.ObserveAnswer(at, sent, float64(at-sent)/float64(expected))
	}
}

func takes(d time.Duration) func(time.Duration) time.Duration {
	return func(sent time.Duration) time.Duration { return sent + d }
}

// TestSilenceDoesNotMakeServerSlow guards against a sound server that gets few requests long after a silence, because
// the answers that waited for its end were late.
func TestSilenceDoesNotMakeServerSlow(t *testing.T) {
	for _, period := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		for _, silent := range []time.Duration{700 * time.Millisecond, 1400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v, one request in %v", silent, period), func(t *testing.T) {
				is := is.New(t)
				var l LatencyRatio
				end := 20*time.Second + silent
				answersOf(&l, 0, 20*time.Second, period, takes(20*time.Millisecond))
				answersOf(&l, 20*time.Second, end, period, func(time.Duration) time.Duration { return end })
				is.Equal(l.slowness(1), 1.0)
			})
		}
	}
}

// TestSlowServerIsSeen guards against a slow server that gets as many requests as others, because its late answers are
// taken for those of one silence.
func TestSlowServerIsSeen(t *testing.T) {
	for _, tt := range []struct {
		period, takes, within time.Duration
	}{
		{10 * time.Millisecond, 60 * time.Millisecond, 500 * time.Millisecond},
		{10 * time.Millisecond, 200 * time.Millisecond, time.Second},
		{10 * time.Millisecond, time.Second, 5 * time.Second},
		{300 * time.Millisecond, 60 * time.Millisecond, 2 * time.Second},
		{300 * time.Millisecond, time.Second, 5 * time.Second},
		{time.Second, 200 * time.Millisecond, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%v, one request in %v", tt.takes, tt.period), func(t *testing.T) {
			is := is.New(t)
			var l LatencyRatio
			answersOf(&l, 0, 20*time.Second, tt.period, takes(20*time.Millisecond))
			answersOf(&l, 20*time.Second, 20*time.Second+tt.within, tt.period, takes(tt.takes))
			is.True(l.slowness(1) > 1)
		})
	}
}

// TestFirstAnswerAfterSilence guards against a new server that looks slow for dozens of answers because its first one waited
// for the end of a silence.
func TestFirstAnswerAfterSilence(t *testing.T) {
	is := is.New(t)
	var l LatencyRatio
	answersOf(&l, 0, time.Second, time.Second, takes(1400*time.Millisecond))
	answersOf(&l, 2*time.Second, 5*time.Second, time.Second, takes(20*time.Millisecond))
	is.True(l.Reliable())
	is.Equal(l.slowness(1), 1.0)
	var slow LatencyRatio
	answersOf(&slow, 0, 4*time.Second, time.Second, takes(100*time.Millisecond))
	is.True(slow.slowness(1) > 1)
}
