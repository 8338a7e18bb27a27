// SPDX-License-Identifier: Apache-2.0

// Package entitlement decides which part of an account's demand its fair share
// of a token rate covers, and how each single request is classed by that.
//
// It is the fairness of routed HTTP, where no slots are granted: the leader of
// the directory finds a max-min level over the demand of all accounts
// ([Level]) and sends each account's part to all gateways; each gateway marks
// that part of the requests that arrive there ([Marker]), without knowing
// where the rest arrive. Package share is the other way, for boxes that hold
// slots under a lease.
//
// All types are pure and not safe for concurrent use.
package entitlement
