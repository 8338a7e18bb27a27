// SPDX-License-Identifier: Apache-2.0

// Package rollout decides how the requests of one pool move to a new version of its backend
// servers, and back to the old version if the new one is bad.
//
// An operator's order names a pool, a target version and the time within which all of the pool's
// requests move to it. Servers of both versions are announced side by side. The leader of the
// directory assigns the target a share of the pool's requests and raises it as evidence
// accumulates. A rollout ends as complete (the old servers may stop at once) or as rolled back (the
// target gets no more requests). docs/design/rollouts.md describes the alternatives.
//
// The package is pure: time and counts are arguments, and nothing reads a clock.
package rollout

import "time"

// This file defines Bounds.

// Bounds used when a deployment configures neither a share nor a slack.
const (
	DefaultShare = 0.1 // of a pool's requests
	DefaultSlack = 50  // requests
)

// Bounds limits the exposure to a bad version. If neither Share nor Slack is set, DefaultShare and
// DefaultSlack apply, because a version cannot be tried without any exposure.
type Bounds struct {
	// Share is the part of all the pool's requests between the order and its deadline that a bad
	// version may get, in addition to Slack requests.
	Share float64
	Slack float64
	// RollbackTime is the longest time that a bad version still gets requests after its first bad
	// answers.
	RollbackTime time.Duration
	// RepeatWindow is how long an operator repeats an order that was not clearly answered.
	RepeatWindow time.Duration
}

// orDefault returns b, or the default bounds if b sets no limit.
func (b Bounds) orDefault() Bounds {
	if b.Share <= 0 && b.Slack <= 0 {
		b.Share, b.Slack = DefaultShare, DefaultSlack
	}
	return b
}
