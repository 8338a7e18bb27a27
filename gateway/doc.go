// SPDX-License-Identifier: Apache-2.0

// Package gateway is the gateway role of a node: it takes callers' requests,
// routes them by host and path to pools of announced backend servers, shares the
// pools fairly among accounts, and relays the answers.
//
// The rules are pure and live in coordination/. This package reads clocks, state
// and sockets, carries out what the rules return, counts and logs.
//
// It owns callers' requests from their arrival to their end, and the session
// with the directory. Nothing of that must survive the process. It relies on
// the directory for the document, the list of servers and the fleet's sums;
// without it, it goes on with the newest that it has. Before its first document
// it refuses everything as not run and is not ready.
//
// # The life of a request
//
//   - headers.go: what a deployment calls its headers is the business of a
//     [HeaderCodec], which reads the head.
//   - call.go: ServeHTTP makes a call. Its admit matches it to a route and an
//     account (routes.go), classes it by the account's share (accounts.go) and
//     by how late the processor is, and only then reads the body. Its serve
//     takes servers and makes attempts until one answers.
//   - queue.go: the call gets a server at once if the one that suits it has
//     room (choose.go), and waits in fair order otherwise. Which servers are looked at
//     depends on the regions (regions.go), on the homes of its route and account
//     (homes.go) and, while the pool has a rollout, on their versions (versions.go).
//   - attempt.go: one attempt sends the request and ends with what is known
//     about its run, from which coordination/retry alone decides what follows.
//     stall.go ends an attempt whose server sends nothing. outcomes.go and
//     unreached.go count how attempts at the versions of a rollout end.
//   - relay.go: a plain answer goes to the caller once it is whole, a stream
//     event by event.
//   - finish.go: the gateway's own answer, if there is one (errors.go), the
//     counters (stats.go; tokens.go by account) and the log's line.
//
// # Goroutines
//
// One for each request (net/http's own); one for the watcher (watch.go), and one
// for its reports while a session lasts; one for tick (gateway.go), which
// measures how late the processor is; one for the sums of tokens that are logged
// once a second (tokens.go).
//
// # Locks
//
// table.mu, then accounts.mu, because the order of waiting requests needs the
// accounts' service. Gateway.retriesMu, stats.mu and tokens.mu are taken alone. No lock is
// held across I/O or a channel send that can block.
package gateway
