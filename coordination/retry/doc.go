// SPDX-License-Identifier: Apache-2.0

// Package retry decides whether a request is sent to a backend server again,
// how it ends if not, and how long it waits for any of that.
//
// The policy starts from what is known after an attempt ([Execution]): what
// has not run may go elsewhere, what may have run only where its route allows
// a second run ([Request.Again]). The number of attempts is bounded for each
// request ([Counts]) and over the whole fleet by one of two budgets:
//
//   - [Window], of the gateway, is an allowance of the whole fleet over any
//     window of time: a ratio of the requests, and a fixed number besides,
//     which may be used without any request. Each gateway takes its even part.
//   - [Budget], of the router, is a ratio alone, saved up to a small burst.
//     A ratio of each router's requests is the same ratio of the fleet's, so
//     the number of routers need not be known.
//
// They are not one rule: a window gives its fixed number again and again with
// time, a budget gives nothing that requests did not earn.
//
// It also has the times around retries: how long a request waits for a server
// ([QueueTimeout]), when a refused caller should come back ([After]), and when
// a server that sends nothing is given up ([StallTimeouts]).
//
// It relies on the routes of state/document. All types are pure and not safe
// for concurrent use; time is an argument.
package retry
