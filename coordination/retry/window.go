// SPDX-License-Identifier: Apache-2.0

// Package retry bounds how often the whole fleet sends requests again,
// without its routers talking about it.
//
// The model: over any window of time, the fleet may send a part of the
// requests of a pool again, and some more. Each router counts its own requests
// and repeats in a sliding window and keeps to its own part: the ratio of its
// own requests, and an even part of the extra, by the number of routers that
// it last heard of. A router that hears of nobody assumes many.
package retry

import "time"

// Limits of a fleet.
type Limits struct {
	Ratio  float64       // repeats allowed for each request
	Extra  float64       // repeats allowed besides, by the whole fleet
	Window time.Duration // over which both hold
}

// safety is the part of the allowance that is used: windows of routers and of
// whoever counts do not begin together, and requests are counted where they
// are sent from.
const safety = 0.7

// slices of a window. Repeats leave it a slice late, requests a slice early.
const slices = 10

// Window is one router's budget for one pool. It is not safe for concurrent
// use.
type Window struct {
	limits   Limits
	requests [slices]int
	repeats  [slices + 1]int
	slice    int64 // number of the current slice since time 0
}

// New returns a budget with nothing counted.
func New(limits Limits) *Window { return &Window{limits: limits} }

// Request counts a request's first attempt.
func (w *Window) Request(now time.Duration) {
	w.advance(now)
	w.requests[w.slice%slices]++
}

// Repeat reports whether one more attempt is within the budget of one of n
// routers, and counts it if it is.
func (w *Window) Repeat(now time.Duration, n int) bool {
	w.advance(now)
	allowed := safety * (w.limits.Ratio*float64(sum(w.requests[:])) + w.limits.Extra/float64(max(n, 1)))
	if float64(sum(w.repeats[:])+1) > allowed {
		return false
	}
	w.repeats[w.slice%(slices+1)]++
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
		w.repeats[at%(slices+1)] = 0
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
