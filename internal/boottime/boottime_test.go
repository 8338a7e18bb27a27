// SPDX-License-Identifier: Apache-2.0

package boottime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClockAdvancesLikeMonotonicClock checks that the clock advances like Go's monotonic clock while
// the box is running.
func TestClockAdvancesLikeMonotonicClock(t *testing.T) {
	is := is.New(t)
	clock := Clock()
	start, goStart := clock(), time.Now()
	for time.Since(goStart) < 20*time.Millisecond {
		is.True(clock() >= start)
	}
	is.True((clock() - start - time.Since(goStart)).Abs() < 10*time.Millisecond)
}

func BenchmarkClock(b *testing.B) {
	clock := Clock()
	for b.Loop() {
		clock()
	}
}
