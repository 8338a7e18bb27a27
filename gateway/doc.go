// SPDX-License-Identifier: Apache-2.0

// Package gateway implements the gateway role of a node. It accepts callers' requests, routes them
// by host and path to pools of announced backend servers, shares the pools fairly among accounts,
// and relays the answers.
//
// The decision rules are pure functions in coordination/. This package reads clocks, state and
// sockets, applies the rules' results, and records metrics and logs.
//
// The gateway owns each request from arrival to end, and the session with the directory. None of
// this state has to survive the process. The directory supplies the document, the list of servers
// and the load totals of the fleet; while it is unreachable, the gateway continues with the newest
// versions it holds. Before its first document the gateway is not ready and refuses every request
// as not run.
//
// # The life of a request
//
//   - headers.go: a [HeaderCodec] decodes the head, so that header names are up to the deployment.
//   - call.go: ServeHTTP creates a call. call.admit matches it to a route and an account
//     (routes.go), classifies it by the account's share (accounts.go), checks the processor's
//     scheduling delay, and only then reads the body (bodies.go). call.serve acquires servers and makes
//     attempts until one answers.
//   - acquire.go, queue.go: the call gets a server at once if the most suitable one has
//     capacity (choose.go), and waits in fair order otherwise. The candidates depend on the regions
//     (regions.go), on the homes of its route and account (homes.go) and, during a rollout of the
//     pool, on their versions (versions.go).
//   - attempt.go: one attempt sends the request and reports whether it ran;
//     coordination/retry decides from that alone whether to retry. outcomes.go and unreached.go count
//     the results per version during a rollout.
//   - silence.go: a server that sends nothing is given up only once another one has answered. hedge.go
//     makes attempts beside it, and usable.go says which answer may take over.
//   - relay.go: a plain answer is forwarded once it is complete, a stream event by event. An answer
//     that only the end of its connection ends is forwarded in the same way: nothing states that it is
//     complete, and nothing concludes that it is.
//   - continuation.go, position.go: what may follow in a response that has begun. The response is written through a
//     [response.Writer], which refuses a second head.
//   - stop.go: a stopping gateway counts a request before it ends, or refuses it.
//   - answermemory.go: what is held of answers takes its memory from a bounded part.
//   - quarantine.go, partquarantine.go: requests, and parts of prompts, under which backend servers
//     crash (crashdetector.go) are reported to the directory, and refused once it has condemned them
//     (coordination/quarantine). probes.go sends one of them again now and then.
//   - streamorigin.go, origins.go: a stream that breaks continues only at the version of the server
//     that began it. The gateway records its own streams, reports them to the directory, and asks it
//     about those of other gateways (coordination/streamversion). restarts.go finds the streams
//     whose server has restarted with another version, restartdoubt.go the servers that may have.
//   - finish.go: the gateway's own error response if there is one (errors.go), the counters
//     (stats.go; tokens.go per account) and the log line.
//
// # Terms
//
//   - An engine is a backend server that runs a model; its work is counted in tokens. The servers of
//     all other pools form plain services, whose work is counted in requests.
//   - A cold server has just started, or become cold again, and can handle only the request rate that
//     its pool states. The leader divides this rate among the gateways (coordination/coldstart).
//   - The homes of a route or an account are the regions in which its requests may be served.
//   - A handle is the number that the leader assigns to a backend server, which identifies it in load
//     reports and totals.
//
// # Goroutines
//
// There is one goroutine per request (from net/http), and while its server is silent one that makes
// hedges and one for each of them; they use a copy of the call, and never the response. There is one for the watcher (watch.go) and one for
// its reports during a session, and one for those of streams; one for tick (gateway.go), which
// measures the processor's scheduling delay; and one that logs token totals once a second
// (tokens.go).
//
// # Locks
//
// silenceWatch.mu is acquired before table.mu, because whether a silence still counts is decided
// together with what it counts. table.mu is acquired before accounts.mu, because ordering waiting
// requests reads the service received by their accounts. answerMemory.mu is acquired before bodyMemory.mu.
// admission.mu, Gateway.retriesMu, stats.mu, tokenCounters.mu, origins.mu and the locks
// of suspicions and partSuspicions are never held together with another lock. No lock is held across
// I/O or a blocking channel send.
package gateway
