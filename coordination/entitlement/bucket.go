// SPDX-License-Identifier: Apache-2.0

package entitlement

import "time"

// This file defines bucket, a bound on what one account is given at one gateway.

// bucketSpan is how long an account that was given nothing may be given more than the rate: bursts of
// an account that its share covers must pass.
const bucketSpan = 500 * time.Millisecond

// bucket is what an account was given beyond the rate that fills it, in tokens. It may
// hold one request too much. The zero value is empty of debts.
type bucket struct {
	spent float64
	at    time.Duration // when spent was right
}

// left is what is spent still, if rate tokens a second are forgiven.
func (b bucket) left(now time.Duration, rate float64) float64 {
	return max(b.spent-rate*(now-b.at).Seconds(), 0)
}

// empty reports whether nothing more may be given now.
func (b bucket) empty(now time.Duration, rate float64) bool {
	return b.left(now, rate) >= rate*bucketSpan.Seconds()
}

// take returns the bucket after a request.
func (b bucket) take(now time.Duration, rate, cost float64) bucket {
	return bucket{spent: b.left(now, rate) + cost, at: now}
}
