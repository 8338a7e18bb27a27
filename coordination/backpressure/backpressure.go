// SPDX-License-Identifier: Apache-2.0

// Package backpressure decides when a gateway stops sending requests to a backend server because the server has
// asked for that in an answer.
//
// It is separate from health checking (package outlier): a server that reports its overload is healthy, and is
// not tried before the time it named has passed. A server that is leaving is not tried at all. The state covers
// one gateway and one run of a server process: each gateway receives its own notice, and a restarted server has
// sent none.
//
// All types are pure values.
package backpressure

import "time"

// MaxBackoff bounds a backoff, so that a faulty value in an answer does not exclude a server until it restarts.
const MaxBackoff = time.Hour

// Notice is the back-pressure that a backend server has signalled since it started. The zero value is none.
type Notice struct {
	backoffUntil time.Duration
	leaving      bool
}

// WithBackoff returns the notice after the server has asked for a backoff, starting now. It never shortens a
// backoff in progress, and a duration of zero or less has no effect.
func (n Notice) WithBackoff(now, backoff time.Duration) Notice {
	n.backoffUntil = max(n.backoffUntil, now+min(backoff, MaxBackoff))
	return n
}

// WithLeaving returns the notice after the server has announced that it is leaving, which it cannot revoke
// before it restarts.
func (n Notice) WithLeaving() Notice {
	n.leaving = true
	return n
}

// Leaving reports whether the server is leaving.
func (n Notice) Leaving() bool { return n.leaving }

// Admits reports whether the server accepts requests.
func (n Notice) Admits(now time.Duration) bool { return !n.leaving && n.BackoffLeft(now) == 0 }

// BackoffLeft returns the rest of the backoff.
func (n Notice) BackoffLeft(now time.Duration) time.Duration { return max(n.backoffUntil-now, 0) }
