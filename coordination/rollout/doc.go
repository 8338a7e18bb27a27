// SPDX-License-Identifier: Apache-2.0

// Package rollout decides how the requests of one pool move to a new version of its backend
// servers, and back to the old one when the new one is bad.
//
// The model: an operator's order names a pool, a target version and the time in which the
// pool's requests are to be on it. Servers of both versions are announced side by side. The
// leader of the directory gives the target a share of the pool's requests, raises it as the
// evidence allows, and ends the rollout as complete (the old servers may stop at once) or as
// rolled back (the target gets nothing more). docs/design/rollouts.md has the ways weighed.
//
// Everything here is pure: time and counts are arguments, and nothing reads a clock.
package rollout

import "time"

// This file defines Bounds.

// Bounds of deployments that state neither a share nor requests besides.
const (
	DefaultShare = 0.1 // of a pool's requests
	DefaultSlack = 50  // requests
)

// Bounds is what a bad version may cost, by the deployment's settings. With neither a share nor
// a slack they are DefaultShare and DefaultSlack: under none no version could be tried.
type Bounds struct {
	// Share is the part of all requests to the pool, from the order to its deadline, that a
	// bad version may get, beside Slack requests.
	Share float64
	Slack float64
	// RollbackTime is how long after its first bad answers a bad version may get requests.
	RollbackTime time.Duration
	// RepeatWindow is for how long an operator repeats an order that got no clear answer.
	RepeatWindow time.Duration
}

// orDefault returns the bounds that are in force.
func (b Bounds) orDefault() Bounds {
	if b.Share <= 0 && b.Slack <= 0 {
		b.Share, b.Slack = DefaultShare, DefaultSlack
	}
	return b
}
