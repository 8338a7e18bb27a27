// SPDX-License-Identifier: Apache-2.0

// Package slots decides which router may start work on which backend server,
// so that no slot is counted twice, none stays free while work waits anywhere,
// and the client account that is furthest behind in the whole fleet goes
// next.
//
// A slot is the permission to have one request in a backend server's batch.
// The [Allocator], one for the fleet, grants slots to routers; a router keeps
// what it was granted in a [Holder] and uses a slot again and again, without a
// message, as long as its own next account is not further ahead than the
// fleet's floor plus some slack ([Decide]). Otherwise it gives the slot back,
// and the allocator grants it to a router where the account that is furthest
// behind has work waiting. So messages flow when shares shift, not when
// requests do.
//
// Where each rule is:
//
//	used here or given back   Decide (decide.go), slack (account.go)
//	who is granted a slot     Allocate (grant.go)
//	which slot is recalled    recall (recall.go)
//	floor, lift and rate      account.go
//	lease and margin          Lease, Tick (session.go)
//	a new allocator           TakingOver, Open (session.go)
//	how often messages go     Pacer (pacer.go)
//
// Three ways were weighed against it (docs/design/fair-sharing.md has the
// figures): a grant per request (a message a request, and a round trip of
// idle time after each); grants bound to an account and recalled by the
// allocator (recalls cross with completions, and the allocator must guess
// what is running where); and fair queueing per router with no exchange,
// which is the baseline and does not bound the gap.
//
// The package owns the counts of slots on both sides and the fleet-wide virtual
// times. It relies on coordination/pool to apply views at a router and to
// report, on protocol for the messages, and on the replicated log for the
// epoch and the processes that may hold slots.
//
// Invariants: nothing is granted of a server whose slots and extra ones are all
// held; a slot of a router that vanished is granted again only after its lease
// and margin; an allocator grants nothing until every router that may hold
// slots has reported what it holds, or the lease and the margin have passed.
// Only requests that run on past a lease exceed a server's slots. A router
// counts its lease from the moment that the renewal was sent, the allocator
// from the moment that it was received, so the router's always ends first.
//
// The bound. While accounts a and b are both backlogged for a pool, with
// weights w, slots M, the largest request L, the service C that the pool can
// do in a second, and views at most D seconds old:
//
//	|S_a/w_a − S_b/w_b| ≤ (M+1)·L/min(w_a, w_b) + slack + 2·C·D/min(w_a, w_b)
//
// A slot is reused for a only while a's virtual time is at most floor + slack
// as the router sees it. That view misses at most what others charged in D,
// on both sides; and virtual times hold estimates for at most M running
// requests, each wrong by at most L, plus the one that is being started.
//
// All types are pure: the time is an argument, messages are values, and the
// order of every iteration is defined. Nothing is safe for concurrent use.
package slots
