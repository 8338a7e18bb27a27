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
	is.Equal(n.Rest(0), time.Duration(0))
	is.True(!n.WithRest(0, time.Second).Admits(2 * time.Second)) // a rest that is over changes nothing
}

func TestRest(t *testing.T) {
	is := is.New(t)
	var n Notice
	is.True(n.Admits(0))
	n = n.WithRest(10*time.Second, 3*time.Second)
	is.Equal(n.Rest(11*time.Second), 2*time.Second)
	is.True(!n.Admits(13*time.Second - 1))
	is.True(n.Admits(13 * time.Second))
	is.Equal(n.WithRest(11*time.Second, time.Second), n)                                    // a shorter one
	is.Equal(n.WithRest(11*time.Second, 0), n)                                              // none
	is.Equal(n.WithRest(11*time.Second, -time.Minute), n)                                   // the same
	is.Equal(n.WithRest(12*time.Second, 3*time.Second).Rest(13*time.Second), 2*time.Second) // a longer one
	is.Equal(n.WithRest(10*time.Second, math.MaxInt64).Rest(10*time.Second), LongestRest)   // an absurd one
}
