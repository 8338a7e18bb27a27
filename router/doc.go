// SPDX-License-Identifier: Apache-2.0

// Package router is the router role of a box: it accepts callers' requests,
// queues them until fair sharing across the fleet lets them start, sends them
// to a backend server, and relays the answers.
//
// The router holds a table of pools and one session with the leading control
// replica. A request joins the queue of its pool and blocks. Every change of a
// pool (a request that ends, a grant, a new configuration) runs the pool's
// dispatch, which selects the requests that may start and their backend
// servers, and wakes them. The package owns locks, clock and sockets, the
// lease, the queues and the running requests; none of that state has to survive
// a restart. The decisions are made in other packages: coordination/pool (share,
// slots, place) chooses which request runs next and where, coordination/retry
// allows another attempt, coordination/claim, through the leader, deduplicates
// keyed requests, and transport/forward reports what is known about the run of a
// failed call.
//
// When the lease has expired, nothing more is dispatched: running answers are
// finished, queued requests fail as not run, and the router reports not ready.
// While no control replica leads, a majority of the replicas can extend the
// lease (see pollReplicas in leader.go).
//
// Goroutines: net/http's own, one per request; one per further dial of a silent
// server; run of the leaderClient, with two more per session (sendRenewals,
// sendReports) and one per replica during pollReplicas; tick; one per settlement
// that has not been answered.
//
// Lock order: Router.mu (the table of pools), then lockedPool.mu.
// Router.budgetMu and the locks of a session and of the claimClient are leaf
// locks. No lock is held across I/O or a channel send that can block.
//
// Every failure carries an [Outcome]. It is [NotRun] only if the request was
// never handed to a backend server, or the server itself refused it before
// starting.
package router
