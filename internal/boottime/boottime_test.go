// SPDX-License-Identifier: Apache-2.0

package boottime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClock: it goes as Go's own does while the box runs.
func TestClock(t *testing.T) {
	is := is.New(t)
	clock := Clock()
	began, own := clock(), time.Now()
	for time.Since(own) < 20*time.Millisecond {
		is.True(clock() >= began)
	}
	is.True((clock() - began - time.Since(own)).Abs() < 10*time.Millisecond)
}

func BenchmarkClock(b *testing.B) {
	clock := Clock()
	for b.Loop() {
		clock()
	}
}
