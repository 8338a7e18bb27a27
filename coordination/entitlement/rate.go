// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"time"
)

// This file defines rate, an average of tokens a second that is smooth while little
// changes and quick when much does.
//
// One average cannot be both. With a time constant of 1.5 s an account whose flood began
// was given 2.6 times its share for three seconds, and one whose flood ended got
// two thirds of it for as long (docs/incidents/fair-kmo-mapa-grown.md); a time constant of
// 300 ms alone follows every burst. So the slow average holds, but never further from the
// fast one than a factor.

// Time constants and bound of an average. The first two are chosen; that with them
// TestWhoWaitsGetsHalf holds is measured, and that it does not with the slow one alone.
const (
	slowMemory = 1500 * time.Millisecond // smooth: some hundred requests of an account at its share
	fastMemory = 300 * time.Millisecond  // quick: three reports
	// band is how far the slow average may be from the fast one: above what chance does.
	// 45 requests of 300 ms at a share of 400,000 tokens a second have a standard deviation
	// of a third of their sum.
	band = 1.5
)

// leastSpan is how much time an average must hold to be taken for what it says; one
// over a shorter time is taken for less. Floods are known that soon after a change of leaders.
const leastSpan = 300 * time.Millisecond

// weights say how much of an average is filled, 0 to 1: all begin at nothing, at the
// same time.
type weights struct{ slow, fast float64 }

// settle returns the weights after some more time.
func (w weights) settle(elapsed time.Duration) weights {
	return weights{
		slow: decay(w.slow, 1, elapsed, slowMemory), fast: decay(w.fast, 1, elapsed, fastMemory),
	}
}

// full reports whether averages hold leastSpan.
func (w weights) full() bool { return w.slow >= filled(leastSpan, slowMemory) }

// filled is the weight of an average over a span.
func filled(span, memory time.Duration) float64 { return 1 - math.Exp(-float64(span)/float64(memory)) }

// decay moves an average towards a value.
func decay(average, value float64, elapsed, memory time.Duration) float64 {
	return average + filled(elapsed, memory)*(value-average)
}

// rate is an averaged rate of tokens.
type rate struct {
	tokens     float64 // since the last settlement
	slow, fast float64 // tokens a second, to be divided by their weights
	average    float64 // tokens a second
}

// settle takes the tokens of the time elapsed into the average. w are the weights after it.
func (r *rate) settle(elapsed time.Duration, w weights) {
	r.fast = decay(r.fast, r.tokens/elapsed.Seconds(), elapsed, fastMemory)
	r.settleSteady(elapsed, w)
	fast := r.fast / max(w.fast, filled(leastSpan, fastMemory))
	r.average = min(max(r.average, fast/band), fast*band)
	r.slow = r.average * max(w.slow, filled(leastSpan, slowMemory))
}

// settleSteady is settle with the slow average alone, for what need not be followed.
func (r *rate) settleSteady(elapsed time.Duration, w weights) {
	r.slow = decay(r.slow, r.tokens/elapsed.Seconds(), elapsed, slowMemory)
	r.average = r.slow / max(w.slow, filled(leastSpan, slowMemory))
	r.tokens = 0
}
