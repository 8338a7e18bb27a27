// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math"
	"time"
)

// This file defines health, what a gateway believes of one backend server from its
// answers alone. No probe is sent: a request that may run again tries a
// suspected backend server when its time has come.

// Parameters of the judgement.
const (
	failureMemory   = 12.0 // answers over which failures are averaged
	suspectAt       = 0.35 // failing part above the pool's own
	minSamples      = 4
	shortestSuspect = 1500 * time.Millisecond
	longestSuspect  = 12 * time.Second
	pacePart        = 0.1 // weight of a new pace
)

type health struct {
	failing   float64       // averaged part of failures, 0 to 1
	samples   int           // answers since the last suspicion ended
	until     time.Duration // suspected until then; 0 is trusted
	wait      time.Duration // of the next suspicion
	trying    bool          // one request tries it
	row       int           // failures in a row
	pace      float64       // averaged time to an answer against what was expected; 0 is unknown
	paceCount int
}

// usable reports whether requests may go there, and whether only one may, as
// a trial.
func (h *health) usable(now time.Duration) (ok, trial bool) {
	switch {
	case h.until == 0:
		return true, false
	case now < h.until || h.trying:
		return false, false
	}
	return true, true
}

func (h *health) succeeded() {
	h.until, h.trying, h.row = 0, false, 0
	h.wait = max(h.wait/2, shortestSuspect)
	h.count(0)
}

// failed counts a failure of some weight, 1 for a lost request, and reports
// whether the backend server has become suspected by it. poolFailing is the part of
// failures over the whole pool.
func (h *health) failed(now time.Duration, weight, poolFailing float64) bool {
	h.count(weight)
	if weight >= 1 {
		h.row++
	}
	bad := h.samples >= minSamples && h.failing > poolFailing+suspectAt
	if h.trying || bad || h.row >= 3 {
		return h.suspect(now)
	}
	return false
}

func (h *health) suspect(now time.Duration) bool {
	again := h.until == 0 || h.trying
	h.trying = false
	h.wait = min(max(h.wait, shortestSuspect), longestSuspect)
	h.until = now + h.wait
	h.wait *= 2
	h.samples, h.failing, h.row = 0, 0, 0
	return again
}

func (h *health) count(weight float64) {
	h.samples++
	n := math.Min(float64(h.samples), failureMemory)
	h.failing += (weight - h.failing) / n
}

// paced takes how long an answer took against what was expected.
func (h *health) paced(ratio float64) {
	h.paceCount++
	if h.paceCount == 1 {
		h.pace = ratio
		return
	}
	h.pace += pacePart * (ratio - h.pace)
}
