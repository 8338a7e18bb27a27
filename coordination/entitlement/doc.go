// SPDX-License-Identifier: Apache-2.0

// Package entitlement decides which part of an account's demand its fair share
// of a token rate covers, and how each single request is classed by that.
//
// It is the fairness of routed HTTP, where no slots are granted: the leader of
// the directory averages what all gateways report ([Demand]), finds a max-min
// level over it ([Level]) and sends the part of each account that demands more
// to all gateways; each gateway marks that part of the requests that arrive
// there ([Classifier], [Marker]), without knowing where the rest arrive, and
// orders what has to wait ([RecentService]). Package share is the other way, for boxes
// that hold slots under a lease.
//
// The promise: over any six seconds no account that waits all through is given
// less than half of what it asked, or of what another one got, whichever is less
// (TestWhoWaitsGetsHalf, with a model of a fleet). A part alone does not keep it,
// because gateways may not be able to serve it and demands change. So the loop is
// closed: gateways report what each account was served, and its share is corrected
// by the difference to what it was due (balance); averages follow what changes much
// (rate); and no gateway gives one account more than the fleet may, also while it does
// not hear the leader (bucket). docs/incidents/fair-kmo-mapa-grown.md has what came
// of the open loop.
//
// Rates are in tokens a second, costs in tokens. Times are monotonic, of the
// clock of the box that calls, and never 0. All types are pure and not safe for
// concurrent use.
package entitlement
