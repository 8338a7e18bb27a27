// SPDX-License-Identifier: Apache-2.0

package retry

import "time"

// This file defines Window, the retry budget of the gateway.

// Limits is the retry allowance of a fleet.
type Limits struct {
	Ratio  float64       // retries allowed per request
	Extra  float64       // number of further retries allowed to the whole fleet; unrelated to entitlement.Extra
	Window time.Duration // period over which both apply
}

// AssumedGateways is the number of gateways assumed until the directory reports one. It is high, so that
// a gateway without a connection uses a small part of the extra retries.
const AssumedGateways = 16

// usedFraction is the fraction of the allowance that is used. The windows of different gateways, and of whoever
// checks the limit, do not start at the same time, and requests are counted at the gateway that sends
// them. TestFleetKeepsToItsBudget checks that the fraction suffices.
const usedFraction = 0.7

// sliceCount is the number of slices of a window. Retries leave the window one slice late and requests
// one slice early, an error of a tenth that usedFraction has to cover.
const sliceCount = 10

// Window is one gateway's retry budget for one pool: the ratio of its own requests, plus an equal part of
// the fleet's extra retries.
type Window struct {
	limits   Limits
	requests [sliceCount]int
	retries  [sliceCount + 1]int
	slice    int64 // number of the current slice since time zero
}

// NewWindow returns a budget without requests or retries.
func NewWindow(limits Limits) *Window { return &Window{limits: limits} }

// RecordRequest records the first attempt of a request.
func (w *Window) RecordRequest(now time.Duration) {
	w.advance(now)
	w.requests[w.slice%sliceCount]++
}

// HasRetry reports whether one more attempt is within the budget of one of n gateways.
func (w *Window) HasRetry(now time.Duration, n int) bool {
	w.advance(now)
	allowed := usedFraction * (w.limits.Ratio*float64(sum(w.requests[:])) + w.limits.Extra/float64(max(n, 1)))
	return float64(sum(w.retries[:])+1) <= allowed
}

// AllowRetry is HasRetry, and charges the attempt to the budget if it is within.
func (w *Window) AllowRetry(now time.Duration, n int) bool {
	if !w.HasRetry(now, n) {
		return false
	}
	w.retries[w.slice%(sliceCount+1)]++
	return true
}

// advance clears the slices that have expired.
func (w *Window) advance(now time.Duration) {
	width := max(w.limits.Window/sliceCount, 1)
	current := int64(now / width)
	steps := min(current-w.slice, sliceCount+1)
	for i := range steps {
		at := current - i
		w.requests[at%sliceCount] = 0
		w.retries[at%(sliceCount+1)] = 0
	}
	w.slice = max(w.slice, current)
}

func sum(counts []int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
