// SPDX-License-Identifier: Apache-2.0

package document

import "time"

// This file defines Rollout and RolloutChange: which version of its backend servers a pool's
// requests move to.
//
// An operator's order has no number, and copies of it may come late. So a change names how
// many changes of its pool's rollouts were applied before it: of two changes that were
// decided on from one state, the log applies one.

// RolloutState is how far a rollout is. Its numbers are stored.
type RolloutState uint8

// The states of a rollout. 0 is none.
const (
	// RolloutUnderWay moves requests to its target.
	RolloutUnderWay RolloutState = iota + 1
	// RolloutComplete has moved them: the servers of other versions may stop at once.
	RolloutComplete
	// RolloutRolledBack has moved them back: the target's servers may stop.
	RolloutRolledBack
)

// Rollout is the newest rollout of one pool.
type Rollout struct {
	Pool     string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`           // version
	Duration time.Duration `cbor:"3,keyasint"`           // from the order to its deadline
	State    RolloutState  `cbor:"4,keyasint"`           //
	Attempt  uint64        `cbor:"5,keyasint"`           // numbers the pool's rollouts from 1
	Changes  uint64        `cbor:"6,keyasint"`           // of the pool's rollouts, ever applied
	Elapsed  time.Duration `cbor:"7,keyasint,omitempty"` // since the order, as of the last change
	// Barred are the versions that were rolled back, ordered: their servers get nothing.
	Barred []string `cbor:"8,keyasint,omitempty"`
	// Replaced are the versions that the newest complete rollout has replaced, ordered.
	Replaced []string `cbor:"9,keyasint,omitempty"`
}

// RolloutChange begins a rollout, notes how far it is, or ends it.
type RolloutChange struct {
	Pool     string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint,omitempty"` // of one that begins
	State    RolloutState  `cbor:"4,keyasint"`           // from now on
	After    uint64        `cbor:"5,keyasint,omitempty"` // changes of the pool's rollouts that this one follows
	Elapsed  time.Duration `cbor:"6,keyasint,omitempty"` // since the order
	// Replaced are the versions that a complete rollout replaces.
	Replaced []string `cbor:"7,keyasint,omitempty"`
}
