// SPDX-License-Identifier: Apache-2.0

// Package entitlement computes max-min fair shares of a token rate for the client accounts
// and classifies each request by whether its account's share covers it.
//
// It provides fairness for routed HTTP, where no slots are granted. The directory's leader
// averages the usage that all gateways report ([DemandEstimator]), computes a max-min level
// over the accounts' demands ([MaxMinLevel]), and sends every gateway the fraction of demand
// that is covered for each account that demands more than its share. Each gateway marks that
// fraction of the requests that arrive there ([Classifier], [Marker]), independently of where
// the account's other requests arrive, and orders the requests that have to wait
// ([RecentService]). Package share is the alternative for boxes that hold slots under a
// lease.
//
// The guarantee: over any six seconds, an account with requests waiting throughout is served
// at least half of what it requested or half of what any other account was served, whichever
// is less (TestWaitingAccountIsServedHalf checks it on a model of a fleet). Covered fractions
// alone do not ensure it, because a gateway may lack the processor time or memory to serve
// them and demands change. The control loop is therefore closed: gateways report what each
// account was served, and the account's share is corrected by the difference from what it was
// due (balance). The averages follow large changes quickly (rate). No gateway serves one
// account more than the whole fleet may, even while it receives nothing from the leader
// (bucket). docs/incidents/fair-kmo-mapa-grown.md describes the failures of the open loop.
//
// Rates are in tokens per second and costs in tokens. Times are readings of the calling box's
// monotonic clock and are never 0. All types are pure and not safe for concurrent use.
package entitlement
