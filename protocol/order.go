// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// This file defines the order about a rollout that an operator's command sends to a directory
// replica, and the answer.

// OrderAction is the action that a [RolloutOrder] requests. Its numbers are on the wire.
type OrderAction uint8

// The actions of an order.
const (
	OrderStart  OrderAction = iota + 1 // begin a rollout
	OrderStatus                        // read the status of the newest rollout
	OrderAbort                         // roll back the current rollout
)

// RolloutOrder is sent by an operator's command to any directory replica, as the first message
// of a link. Resending it is safe.
type RolloutOrder struct {
	Action   OrderAction   `cbor:"1,keyasint"`
	Pool     string        `cbor:"2,keyasint"`
	Target   string        `cbor:"3,keyasint,omitempty"` // version to roll out, for OrderStart
	Duration time.Duration `cbor:"4,keyasint,omitempty"` // time limit, for OrderStart
	Attempt  uint64        `cbor:"5,keyasint,omitempty"` // attempt to abort, so that a delayed copy does not abort a later one
}

// OrderOutcome is the result of a [RolloutOrder] or a [QuarantineOrder]. Its numbers are on the
// wire.
type OrderOutcome uint8

// The outcomes of an order.
const (
	OrderDone      OrderOutcome = iota + 1 // the change is durable on a majority, the order is a copy of an earlier one, or the status was read
	OrderRefused                           // invalid, or refers to something that does not exist
	OrderConflict                          // a rollout to another version is in progress
	OrderNotLeader                         // another replica leads
	OrderUnknown                           // the result is unknown: resend the order
)

// RolloutAnswer is the answer to a [RolloutOrder], on the same link.
type RolloutAnswer struct {
	Outcome OrderOutcome `cbor:"1,keyasint"`
	Reason  string       `cbor:"2,keyasint,omitempty"` // unless OrderDone
	Leader  string       `cbor:"3,keyasint,omitempty"` // fleet address, if OrderNotLeader
	// Newest is the pool's newest rollout after the order, if OrderDone; nil if it is not
	// available.
	Newest *RolloutStatus `cbor:"4,keyasint,omitempty"`
}

// RolloutStatus is the newest rollout of a pool, as recorded in the directory's log.
type RolloutStatus struct {
	Target   string        `cbor:"1,keyasint"`
	State    uint8         `cbor:"2,keyasint"` // stored state: 1 under way, 2 complete, 3 rolled back
	Attempt  uint64        `cbor:"3,keyasint"`
	Duration time.Duration `cbor:"4,keyasint"`           // from the order to the deadline
	Elapsed  time.Duration `cbor:"5,keyasint,omitempty"` // since the order, as last recorded
	Barred   []string      `cbor:"6,keyasint,omitempty"` // versions that were rolled back
	Replaced []string      `cbor:"7,keyasint,omitempty"` // versions replaced by the newest complete rollout
}
