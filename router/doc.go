// SPDX-License-Identifier: Apache-2.0

// Package router is the router role of a box: it takes callers' requests,
// keeps them waiting until the fleet's fairness lets them go next, sends them
// to a backend server, and relays the answers.
//
// The model: a table of pools, and one session with the control replica that
// leads. A request joins the queue of its pool and sleeps; whoever changes the
// pool (another request that ends, a grant, a new configuration) runs the
// pool's dispatch, which ends the wait of the requests that may start and names
// their backend servers. The package owns locks, clock and sockets, the lease, the queues and
// what runs; nothing of it must survive a restart. It relies on
// coordination/pool (share, slots, place) for whose request goes where, on
// coordination/retry for another attempt, on coordination/claim, through the
// leader, for keyed requests, and on transport/forward for what is known of a
// failed call.
//
// When the lease has run out, nothing more is dispatched: running answers go on
// to their end, waiting requests fail as not run, and readiness turns false.
// While no control replica leads, a majority of the replicas can extend it (see
// survey in leader.go).
//
// Goroutines: net/http's own, one a request; the leaderClient's run, with two
// more for each session (renewals, reporting) and one a replica during a
// survey; the tick; one for each settlement that has no answer yet.
//
// Lock order: Router.mu (the table of pools), then lockedPool.mu.
// Router.budgetMu and the locks of a session and of the claimClient are leaves.
// No lock is held across I/O or a channel send that can block.
//
// Every failure carries an [Outcome]. It is [NotRun] only if the request was
// never handed to a backend server, or the server itself refused it before
// starting.
package router
