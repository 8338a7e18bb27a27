// SPDX-License-Identifier: Apache-2.0

// Package router is the router role of a box: it takes callers' requests,
// keeps them waiting until the fleet's fairness says that they go next, sends
// them to a backend server, and relays the answers.
//
// The model: one goroutine a request (net/http's own), a table of pools, and
// one session with the control replica that leads. A request joins the queue
// of its pool and sleeps; whoever changes the pool (another request that
// ends, a grant, a new configuration) runs the pool's dispatch, which wakes
// the request with the backend server that it may use. The decisions are in
// coordination/share, slots and place; this package holds the locks, the
// clock and the sockets.
//
// A router holds nothing that must survive. When its lease runs out it
// dispatches nothing more: running answers go on to their end, waiting
// requests are told "not run", and readiness turns false. When no control
// replica leads, a router that hears so from a majority of the replicas keeps
// its lease (see survey in fleet.go).
//
// Lock order: Router.mu (the table of pools), then pool.mu. A claim's and a
// session's locks are leaves. No lock is held across I/O or a channel send
// that can block.
//
// Every failure carries an [Outcome], and the rule for it is simple: "not
// run" only if the request was never handed to a backend server, or the
// server itself refused it before starting.
package router
