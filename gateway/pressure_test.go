// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPressureRisesAndFalls(t *testing.T) {
	is := is.New(t)
	var p pressure
	for range 1000 {
		is.True(!p.fired(2 * time.Millisecond))
	}
	rise := 0
	for !p.fired(80 * time.Millisecond) {
		rise++
	}
	is.True(p.high.Load())
	is.True(p.noticed.Load())
	is.True(rise < 5)
	fall := 0
	for !p.fired(0) {
		fall++
	}
	is.True(!p.high.Load())
	is.True(fall < 40)
}

// TestStarvedTimerFiresRarely: seconds late, once, is as bad as late all the
// time; and half a second later nothing is left of it.
func TestStarvedTimerFiresRarely(t *testing.T) {
	is := is.New(t)
	var p pressure
	is.True(p.fired(2 * time.Second))
	is.True(p.high.Load())
	fall := 0
	for !p.fired(0) {
		fall++
	}
	is.True(fall*int(tickPeriod) < int(700*time.Millisecond))
}

func TestUnderPressureRequestsAreRefusedAtOnce(t *testing.T) {
	bubble(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.pressure.high.Store(true)
		got := x.ask("/once/x")
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Connection"), "close")
		is.Equal(got.took, time.Duration(0))
		is.Equal(x.backends.count(), 0)
		is.True(!x.g.Ready())
		x.g.pressure.high.Store(false)
		is.Equal(x.ask("/once/x").status, 200)
		is.True(x.g.Ready())
	}, answers(200, "fine", 0))
}
