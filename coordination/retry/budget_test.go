// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"testing"

	"github.com/matryer/is"
)

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := Budget{Ratio: 0.1, Burst: 5}
	retries := 0
	for range 1000 {
		b.RecordRequest()
		if b.AllowRetry() {
			retries++
		}
	}
	is.True(retries <= 100)
	is.True(retries >= 99)
}
