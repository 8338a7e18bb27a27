// SPDX-License-Identifier: Apache-2.0

package retry

import "time"

// This file defines Window, the retry budget of the gateway.

// Limits of a fleet.
type Limits struct {
	Ratio  float64       // retries allowed for each request
	Extra  float64       // retries allowed besides, by the whole fleet
	Window time.Duration // over which both hold
}

// AssumedGateways is the number of gateways before the directory has reported one: many, so that an
// unconnected gateway takes a small part of the extra.
const AssumedGateways = 16

// safety is the part of the allowance that is used: the windows of gateways and
// of whoever checks them do not begin together, and requests are counted where
// they are sent from. Chosen; TestFleetKeepsToItsBudget checks that it suffices.
const safety = 0.7

// slices of a window. Retries leave it a slice late, requests a slice early.
// Chosen: a tenth of the window is the error that safety has to cover.
const slices = 10

// Window is one gateway's budget for one pool: its own requests earn it the
// ratio, and of the extra it takes an even part.
type Window struct {
	limits   Limits
	requests [slices]int
	retries  [slices + 1]int
	slice    int64 // number of the current slice since time 0
}

// NewWindow returns a budget with nothing counted.
func NewWindow(limits Limits) *Window { return &Window{limits: limits} }

// Request counts a request's first attempt.
func (w *Window) Request(now time.Duration) {
	w.advance(now)
	w.requests[w.slice%slices]++
}

// Retry reports whether one more attempt is within the budget of one of n
// gateways, and counts it if it is.
func (w *Window) Retry(now time.Duration, n int) bool {
	w.advance(now)
	allowed := safety * (w.limits.Ratio*float64(sum(w.requests[:])) + w.limits.Extra/float64(max(n, 1)))
	if float64(sum(w.retries[:])+1) > allowed {
		return false
	}
	w.retries[w.slice%(slices+1)]++
	return true
}

// advance clears the slices that have gone by.
func (w *Window) advance(now time.Duration) {
	width := max(w.limits.Window/slices, 1)
	current := int64(now / width)
	steps := min(current-w.slice, slices+1)
	for i := range steps {
		at := current - i
		w.requests[at%slices] = 0
		w.retries[at%(slices+1)] = 0
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
