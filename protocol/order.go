// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// This file defines what an operator's command sends a directory replica about a rollout, and
// the answer.

// OrderAct is what a [RolloutOrder] asks for. Its numbers are on the wire.
type OrderAct uint8

// The acts.
const (
	OrderStart  OrderAct = iota + 1 // begin a rollout
	OrderStatus                     // read the newest
	OrderAbort                      // end the one under way as rolled back
)

// RolloutOrder is sent by an operator's command to any directory replica, as the first message
// of a link. It may be sent again.
type RolloutOrder struct {
	Act      OrderAct      `cbor:"1,keyasint"`
	Pool     string        `cbor:"2,keyasint"`
	Target   string        `cbor:"3,keyasint,omitempty"` // version, of one that begins
	Duration time.Duration `cbor:"4,keyasint,omitempty"` // of one that begins
	Attempt  uint64        `cbor:"5,keyasint,omitempty"` // that an abort ends, so that a late copy ends no later one
}

// OrderOutcome is what became of a [RolloutOrder]. Its numbers are on the wire.
type OrderOutcome uint8

// The outcomes.
const (
	OrderDone      OrderOutcome = iota + 1 // it is on the disks of a majority, or a copy, or was read
	OrderRefused                           // it is wrong, or asks about what is not there
	OrderConflict                          // another version is under way
	OrderElsewhere                         // another replica leads
	OrderUnclear                           // nobody can tell: send it again
)

// RolloutAnswer is the answer to a [RolloutOrder], on the same link.
type RolloutAnswer struct {
	Outcome OrderOutcome `cbor:"1,keyasint"`
	Reason  string       `cbor:"2,keyasint,omitempty"` // unless done
	Leader  string       `cbor:"3,keyasint,omitempty"` // fleet address, if elsewhere
	// Newest is the pool's newest rollout after the order, if done; nil if it is not known.
	Newest *RolloutStatus `cbor:"4,keyasint,omitempty"`
}

// RolloutStatus is the newest rollout of a pool, as the directory's log holds it.
type RolloutStatus struct {
	Target   string        `cbor:"1,keyasint"`
	State    uint8         `cbor:"2,keyasint"` // as it is stored: 1 under way, 2 complete, 3 rolled back
	Attempt  uint64        `cbor:"3,keyasint"`
	Duration time.Duration `cbor:"4,keyasint"`           // from the order to the deadline
	Elapsed  time.Duration `cbor:"5,keyasint,omitempty"` // since the order, as last noted
	Barred   []string      `cbor:"6,keyasint,omitempty"` // versions that were rolled back
	Replaced []string      `cbor:"7,keyasint,omitempty"` // by the newest complete rollout
}
