// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPatience(t *testing.T) {
	is := is.New(t)
	var p Patience
	is.Equal(p.Observe(1, 0), time.Duration(0))
	is.Equal(p.Observe(1, 3*time.Second), time.Duration(0)) // the first says nothing
	is.Equal(p.Observe(2, 10*time.Second), time.Duration(0))
	is.Equal(p.Observe(3, 9*time.Second), time.Second)
	is.Equal(p.Observe(patienceSpan+3, 9*time.Second), time.Second) // the span before counts
	is.Equal(p.Observe(2*patienceSpan+4, 9*time.Second), time.Duration(0))
}
