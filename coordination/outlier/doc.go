// SPDX-License-Identifier: Apache-2.0

// Package outlier decides when a backend server that fails requests is left
// alone for a while (ejected), and when one request may try it again. Nothing
// is probed: the answers to callers' requests are the only input.
//
// An ejection ends with a trial: once its time is over, one request at a time
// may go there (half-open). If that one is answered the server is in use again,
// if it fails the next ejection is twice as long, up to a bound.
//
// There are two rules, since the two roles use servers differently:
//
//   - [Consecutive], for routers: failures in a row, and never more than half of
//     a pool ejected. A router sends only what it holds a slot for, so a refusal
//     as full is a failure to it. It gives the slots of an ejected server back
//     and the allocator withholds them for a while; the bound keeps a fault that
//     is nearer to the router from costing it the whole pool.
//   - [FailureRate], for gateways: a server's weighted part of failures above
//     its pool's own, besides lost requests in a row. Gateways hold no slots, and
//     a full engine refuses requests in normal operation: as failures in a row,
//     refusals would eject servers that are only busy. Comparing with the pool
//     keeps servers in use when all fail alike, and the caller falls back on
//     ejected servers when there is no other (package place).
//
// All types are pure and not safe for concurrent use.
package outlier
