// SPDX-License-Identifier: Apache-2.0

// Package backpressure decides when a gateway sends nothing to a backend server because the
// server has said so in an answer.
//
// That is no health check (package outlier): a server that is overloaded and says so is
// well, and no trial is due before the time that it named is over; one that leaves is not tried at
// all. It holds for one gateway and one life of a server: each gateway is told by itself, and a
// server that starts again has said nothing.
//
// All types are pure values.
package backpressure

import "time"

// LongestBackoff bounds a backoff, so that a server whose answers are wrong is not lost for good while
// it runs.
const LongestBackoff = time.Hour

// Notice is what one life of a backend server has said of further requests. The zero value has
// said nothing.
type Notice struct {
	backoffUntil time.Duration
	leaving      bool
}

// WithBackoff returns the notice after the server has asked for a backoff from now on. It does not
// shorten one that lasts longer; a backoff of 0 or less asks for nothing.
func (n Notice) WithBackoff(now, backoff time.Duration) Notice {
	n.backoffUntil = max(n.backoffUntil, now+min(backoff, LongestBackoff))
	return n
}

// WithLeaving returns the notice after the server has said that it leaves. A life does not take that
// back.
func (n Notice) WithLeaving() Notice {
	n.leaving = true
	return n
}

// Leaving reports whether the server has said that it leaves.
func (n Notice) Leaving() bool { return n.leaving }

// Admits reports whether the server may have a request.
func (n Notice) Admits(now time.Duration) bool { return !n.leaving && n.BackoffLeft(now) == 0 }

// BackoffLeft returns what is left of the time that the server asked for.
func (n Notice) BackoffLeft(now time.Duration) time.Duration { return max(n.backoffUntil-now, 0) }
