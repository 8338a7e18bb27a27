// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"time"
)

// This file defines rate, an average in tokens per second that is smooth under small changes
// and responsive to large ones.
//
// One exponential moving average cannot be both. With a time constant of 1.5 s, an account
// whose flood begins is served 2.6 times its share for three seconds, and one whose flood
// ends is served two thirds of it for as long (docs/incidents/fair-kmo-mapa-grown.md). A time
// constant of 300 ms alone follows every burst. The slow average is therefore used, but kept
// within a constant factor of the fast one.

// Time constants of an average and the bound of its ratio. The slow average alone violates
// the guarantee that TestWaitingAccountIsServedHalf checks.
const (
	slowTimeConstant = 1500 * time.Millisecond // covers some hundred requests of an account at its share
	fastTimeConstant = 300 * time.Millisecond  // covers three reports
	// maxFastRatio is the largest factor between the slow and the fast average. It must
	// exceed random variation: 45 requests in 300 ms at a share of 400,000 tokens per second
	// have a standard deviation of a third of their sum.
	maxFastRatio = 1.5
)

// minSpan is the shortest time that an average must cover to be used unscaled; a shorter one
// is scaled down. It is also how soon a new leader detects floods.
const minSpan = 300 * time.Millisecond

// weights holds the filled fraction of the slow and fast averages, 0 to 1. All averages start
// empty at the same time.
type weights struct{ slow, fast float64 }

// update returns the weights after elapsed time.
func (w weights) update(elapsed time.Duration) weights {
	return weights{
		slow: ewma(w.slow, 1, elapsed, slowTimeConstant), fast: ewma(w.fast, 1, elapsed, fastTimeConstant),
	}
}

// coversMinSpan reports whether the averages cover at least minSpan.
func (w weights) coversMinSpan() bool { return w.slow >= filledFraction(minSpan, slowTimeConstant) }

// filledFraction returns how much of an average is filled after a span of samples.
func filledFraction(span, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-float64(span)/float64(timeConstant))
}

// ewma returns the exponential moving average after value was observed for the elapsed time.
func ewma(average, value float64, elapsed, timeConstant time.Duration) float64 {
	return average + filledFraction(elapsed, timeConstant)*(value-average)
}

// rate is an averaged token rate.
type rate struct {
	tokens     float64 // since the last update
	slow, fast float64 // tokens per second, not yet divided by their weights
	average    float64 // tokens per second
}

// update folds the tokens of the elapsed time into the average. w holds the weights after it.
func (r *rate) update(elapsed time.Duration, w weights) {
	r.fast = ewma(r.fast, r.tokens/elapsed.Seconds(), elapsed, fastTimeConstant)
	r.updateSlow(elapsed, w)
	fast := r.fast / max(w.fast, filledFraction(minSpan, fastTimeConstant))
	r.average = min(max(r.average, fast/maxFastRatio), fast*maxFastRatio)
	r.slow = r.average * max(w.slow, filledFraction(minSpan, slowTimeConstant))
}

// updateSlow updates the slow average alone, for rates that need no fast response.
func (r *rate) updateSlow(elapsed time.Duration, w weights) {
	r.slow = ewma(r.slow, r.tokens/elapsed.Seconds(), elapsed, slowTimeConstant)
	r.average = r.slow / max(w.slow, filledFraction(minSpan, slowTimeConstant))
	r.tokens = 0
}
