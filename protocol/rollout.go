// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines what the leading directory replica and the gateways send each other
// about rollouts: the move of a pool's requests to another version of its backend servers.

// Rollout is what gateways are to do about the versions of one pool's backend servers.
type Rollout struct {
	Pool string `cbor:"1,keyasint"`
	// Attempt numbers the pool's rollouts. Outcomes are counted from 0 in each.
	Attempt uint64 `cbor:"2,keyasint,omitempty"`
	// Target is the version that the rollout under way moves requests to; empty if none is.
	Target string `cbor:"3,keyasint,omitempty"`
	// Share is the part of the pool's requests that goes to Target, 0 to 1, on routes that
	// Routes does not have.
	Share float64 `cbor:"4,keyasint,omitempty"`
	// Barred are versions whose servers get nothing, because they were rolled back.
	Barred []string `cbor:"5,keyasint,omitempty"`
	// Replaced are versions that a complete rollout has replaced: their servers get nothing
	// while the pool has any other.
	Replaced []string `cbor:"6,keyasint,omitempty"`
	// Routes are other shares by route, so that a route with few requests is tried as well.
	Routes []RouteShare `cbor:"7,keyasint,omitempty"`
	// Final is set while the leader is about to complete the rollout: the old servers may stop
	// at any moment, so Target has all requests for good, until a later list says otherwise.
	Final bool `cbor:"8,keyasint,omitempty"`
}

// RouteShare is the part of one route's requests that goes to a rollout's target.
type RouteShare struct {
	_     struct{} `cbor:",toarray"`
	Route string
	Share float32
}

// Rollouts is sent by the leader to every gateway when its session opens and with each
// change: all pools that had a rollout. A Share is in force for as long as the session lives;
// Barred, Replaced and Final are in force for good.
type Rollouts struct {
	Term uint64    `cbor:"1,keyasint"`
	Seq  uint64    `cbor:"2,keyasint,omitempty"` // rises within a term
	List []Rollout `cbor:"3,keyasint,omitempty"`
}

// Barred names the rollout whose target gets nothing.
type Barred struct {
	_       struct{} `cbor:",toarray"`
	Pool    string
	Attempt uint64 // of the pool's rollouts
}

// Outcomes counts how the attempts at one version of a pool's servers ended on one route,
// since the gateway took notice of the rollout. A later report replaces an earlier one, so
// that one that is lost or comes twice changes nothing.
type Outcomes struct {
	_        struct{} `cbor:",toarray"`
	Pool     string
	Attempt  uint64 // of the pool's rollouts
	Version  string
	Route    string
	Sent     uint64   // attempts begun
	Answered uint64   // whole and without a failure
	Failed   uint64   // by the server
	Paces    []uint32 // answers by how long they took to begin against what was expected (rollout.PaceBucket)
}
