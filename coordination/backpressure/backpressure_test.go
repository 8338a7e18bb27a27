// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLeaving(t *testing.T) {
	is := is.New(t)
	n := Notice{}.WithLeaving()
	is.True(n.Leaving())
	is.True(!n.Admits(1000 * time.Hour))
	is.Equal(n.BackoffLeft(0), time.Duration(0))
	is.True(!n.WithBackoff(0, time.Second).Admits(2 * time.Second)) // an expired backoff changes nothing
}

func TestBackoff(t *testing.T) {
	is := is.New(t)
	var n Notice
	is.True(n.Admits(0))
	n = n.WithBackoff(10*time.Second, 3*time.Second)
	is.Equal(n.BackoffLeft(11*time.Second), 2*time.Second)
	is.True(!n.Admits(13*time.Second - 1))
	is.True(n.Admits(13 * time.Second))
	is.Equal(n.WithBackoff(11*time.Second, time.Second), n)                                           // shorter
	is.Equal(n.WithBackoff(11*time.Second, 0), n)                                                     // zero
	is.Equal(n.WithBackoff(11*time.Second, -time.Minute), n)                                          // negative
	is.Equal(n.WithBackoff(12*time.Second, 3*time.Second).BackoffLeft(13*time.Second), 2*time.Second) // longer
	is.Equal(n.WithBackoff(10*time.Second, math.MaxInt64).BackoffLeft(10*time.Second), MaxBackoff)    // clamped
}
