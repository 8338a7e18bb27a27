// SPDX-License-Identifier: Apache-2.0

// Package slots decides which router may start work on which backend server, so that no slot
// is counted twice, no slot stays free while work waits anywhere, and the client account that
// is furthest behind in the whole fleet is served next.
//
// A slot is the permission to have one request in a backend server's batch. The [Allocator],
// one for the fleet, grants slots to routers. A router keeps its slots in a [Holder] and
// reuses a slot without any message as long as its own next account is not further ahead than
// the fleet's floor plus some slack ([Decide]). Otherwise it returns the slot, and the
// allocator grants it to a router where the account that is furthest behind has work waiting.
// Messages are therefore sent when slots move between routers, not per request.
//
// Where each rule is implemented:
//
//	reuse or return a slot        Decide (decide.go), slack (account.go)
//	which router gets a slot      Allocate (grant.go)
//	which slot is recalled        recall (recall.go)
//	floor, lift and floor rate    account.go
//	lease and margin              Lease, ExpireSessions (session.go)
//	takeover by a new allocator   TakingOver, OpenSession (session.go)
//	message frequency             Pacer (pacer.go)
//
// Three alternatives were rejected (docs/design/fair-sharing.md has the figures). A grant per
// request costs a message per request and leaves a slot idle for a round trip after each.
// Grants bound to an account and recalled by the allocator race with completions, and the
// allocator has to guess what runs where. Fair queueing per router without any exchange is
// the baseline and does not bound the gap.
//
// The package owns the slot counts of the allocator and the routers, and the fleet-wide
// virtual times. It relies on coordination/pool to apply views at a router and to report, on
// protocol for the messages, and on the replicated log for the epoch and the processes that
// may hold slots.
//
// Invariants:
//
//   - Nothing is granted on a server whose slots, overcommitted ones included, are all held.
//   - A slot of a router that stopped or stays disconnected is granted again only after its
//     lease and the margin have passed.
//   - An allocator grants nothing until every router that may hold slots has reported what it
//     holds, or the lease and the margin have passed.
//
// Only requests that still run when their router's lease expires can exceed a server's slots.
// A router counts its lease from when it sent the renewal and the allocator from when it
// received it, so the router's always ends first.
//
// While accounts a and b are both backlogged for a pool, with weights w, slots M, the largest
// request L, the service C that the pool can do per second, and views at most D seconds old,
// the gap between them is bounded:
//
//	|S_a/w_a − S_b/w_b| ≤ (M+1)·L/min(w_a, w_b) + slack + 2·C·D/min(w_a, w_b)
//
// A slot is reused for a only while a's virtual time is at most floor + slack in the router's
// view. That view lacks at most what others charged within D, on both sides. Virtual times
// include estimates for at most M running requests, each wrong by at most L, plus the one
// that is being started.
//
// All types are pure: the time is an argument, messages are values, and every iteration order
// is defined. Nothing is safe for concurrent use.
package slots
