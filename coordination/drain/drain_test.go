// SPDX-License-Identifier: Apache-2.0

package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	grace = Grace(8 * time.Second) // admits until 2.72 s, cuts off at 7.04 s
	ms    = time.Millisecond
)

func TestAdmits(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		since, patience time.Duration
		admitted        bool
	}{
		{0, time.Hour, true}, // not stopping
		{2720 * ms, time.Hour, true},
		{2721 * ms, time.Hour, false},
		{2721 * ms, 4319 * ms, true},
		{2721 * ms, 4320 * ms, false},
		{7041 * ms, 0, false},
	} {
		is.Equal(grace.Admits(tt.since, tt.patience), tt.admitted) // tt
	}
	is.True(Grace(0).Admits(0, time.Hour))
}

func TestNext(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		since   time.Duration
		running int64
		step    Step
	}{
		{100 * ms, 0, Continue}, // balancers may still send some
		{2720 * ms, 0, Continue},
		{2721 * ms, 0, End},
		{2721 * ms, 1, Continue},
		{7040 * ms, 1, Continue},
		{7041 * ms, 1, CutOff},
		{7041 * ms, 0, CutOff},
	} {
		is.Equal(grace.Next(tt.since, tt.running), tt.step) // tt
	}
}

// TestLongGraceAdmitsNoLonger guards against requests that are admitted after balancers have stopped sending, and are cut
// off at the end of a long grace period.
func TestLongGraceAdmitsNoLonger(t *testing.T) {
	is := is.New(t)
	long := Grace(20 * time.Second)
	is.True(long.Admits(3000*ms, time.Hour))
	is.True(!long.Admits(3001*ms, time.Hour))
	is.True(long.Admits(3001*ms, 14*time.Second))
	is.Equal(long.CloseBy(), 19*time.Second)
}
