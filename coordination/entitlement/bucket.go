// SPDX-License-Identifier: Apache-2.0

package entitlement

import "time"

// This file defines bucket, a leaky bucket that limits what one gateway serves one account.

// bucketBurst is the allowed burst, expressed as a time at the rate that drains the bucket. It
// lets bursts pass that the account's share covers.
const bucketBurst = 500 * time.Millisecond

// bucket holds the tokens that an account was served and that its rate has not yet drained.
// It may exceed the burst by one request. The zero value is an empty bucket.
type bucket struct {
	debt      float64
	updatedAt time.Duration // time of the last update of debt
}

// debtAt returns the debt that is left at time now when it drains at rate tokens per second.
func (b bucket) debtAt(now time.Duration, rate float64) float64 {
	return max(b.debt-rate*(now-b.updatedAt).Seconds(), 0)
}

// exhausted reports whether the burst is used up, so that no request may start now.
func (b bucket) exhausted(now time.Duration, rate float64) bool {
	return b.debtAt(now, rate) >= rate*bucketBurst.Seconds()
}

// spend returns the bucket after a request of that cost.
func (b bucket) spend(now time.Duration, rate, cost float64) bucket {
	return bucket{debt: b.debtAt(now, rate) + cost, updatedAt: now}
}
