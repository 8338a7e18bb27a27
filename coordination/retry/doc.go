// SPDX-License-Identifier: Apache-2.0

// Package retry decides whether a request is sent to a backend server again, how it ends if it is
// not, and the timeouts that apply.
//
// The policy depends on the outcome of an attempt ([Execution]). A request that has not run may be
// sent elsewhere; one that may have run only if its route allows a second run ([Request.MayRetry]). The
// number of attempts is limited for each request ([Counts]), and for the fleet as a whole by one of
// two budgets:
//
//   - [Window], used by the gateway, is an allowance of the fleet over a sliding window: a ratio of
//     the requests, plus a fixed number that is available even without requests. Each gateway gets
//     an equal part of that number.
//   - [Budget], used by the router, is a ratio alone, with a small burst. If every router keeps to
//     the ratio, so does the fleet, whatever the number of routers.
//
// The two are not interchangeable: a window grants its fixed number again as time passes, while a
// budget grants nothing that requests have not earned.
//
// The package also defines the times around retries: how long a request waits for a server
// ([QueueTimeout]), when a refused caller should try again ([After]), and when a silent server is
// given up ([StallTimeouts]).
//
// It relies on the routes of state/document. All types are pure and not safe for concurrent use;
// the time is an argument.
package retry
