// SPDX-License-Identifier: Apache-2.0

package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	grace = Grace(10 * time.Second) // admits until 3.4 s, cuts off at 8.8 s
	ms    = time.Millisecond
)

func TestAdmits(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		since, patience time.Duration
		admitted        bool
	}{
		{0, time.Hour, true}, // not stopping
		{3400 * ms, time.Hour, true},
		{3401 * ms, time.Hour, false},
		{3401 * ms, 5399 * ms, true},
		{3401 * ms, 5400 * ms, false},
		{8801 * ms, 0, false},
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
		{3400 * ms, 0, Continue},
		{3401 * ms, 0, End},
		{3401 * ms, 1, Continue},
		{8800 * ms, 1, Continue},
		{8801 * ms, 1, CutOff},
		{8801 * ms, 0, CutOff},
	} {
		is.Equal(grace.Next(tt.since, tt.running), tt.step) // tt
	}
}
