// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines the messages between the leading directory replica and the gateways about
// rollouts: shifting a pool's requests to another version of its backend servers.

// Rollout describes how gateways treat the versions of one pool's backend servers.
type Rollout struct {
	Pool string `cbor:"1,keyasint"`
	// Attempt numbers the pool's rollouts. Outcomes are counted from 0 in each.
	Attempt uint64 `cbor:"2,keyasint,omitempty"`
	// Target is the version to which the current rollout moves requests; empty if there is
	// none.
	Target string `cbor:"3,keyasint,omitempty"`
	// Share is the fraction of the pool's requests that goes to Target, 0 to 1, on routes not
	// listed in Routes.
	Share float64 `cbor:"4,keyasint,omitempty"`
	// Barred are rolled-back versions, whose servers receive no requests.
	Barred []string `cbor:"5,keyasint,omitempty"`
	// Replaced are versions replaced by a complete rollout. Their servers receive no requests
	// while the pool has servers of any other version.
	Replaced []string `cbor:"6,keyasint,omitempty"`
	// Routes are shares of single routes, so that a route with few requests is also tried.
	Routes []RouteShare `cbor:"7,keyasint,omitempty"`
	// Final is set while the leader is about to complete the rollout. The old servers may stop
	// at any moment, so all requests go to Target until a later list changes this.
	Final bool `cbor:"8,keyasint,omitempty"`
}

// RouteShare is the fraction of one route's requests that goes to a rollout's target.
type RouteShare struct {
	_     struct{} `cbor:",toarray"`
	Route string
	Share float32
}

// Rollouts is sent by the leader to every gateway when its session opens and on each change. It
// lists all pools that have had a rollout. A Share is in force while the session is open, and
// for a bounded time after the newest report that the leader has counted. Barred, Replaced and
// Final are in force until a later list. A barred target stays barred under later lists that
// lack it, until its attempt is complete or another begins.
type Rollouts struct {
	Term uint64    `cbor:"1,keyasint"`
	Seq  uint64    `cbor:"2,keyasint,omitempty"` // increases within a term
	List []Rollout `cbor:"3,keyasint,omitempty"`
}

// BarredTarget identifies the rollout whose target receives no requests.
type BarredTarget struct {
	_       struct{} `cbor:",toarray"`
	Pool    string
	Attempt uint64 // of the pool's rollouts
}

// Outcomes counts the results of the attempts at one version of a pool's servers on one route,
// since the gateway received the first list with this attempt. Counts are cumulative and each
// report replaces the previous one, so that lost or duplicate reports have no effect.
type Outcomes struct {
	_          struct{} `cbor:",toarray"`
	Pool       string
	Attempt    uint64 // of the pool's rollouts
	Version    string
	Route      string
	Sent       uint64   // attempts begun
	Answered   uint64   // completely, without a failure
	Failed     uint64   // failed by the server
	PaceCounts []uint32 // answers by the ratio of the actual to the expected time to their start (rollout.PaceBucket)
}
