// SPDX-License-Identifier: Apache-2.0

// Package outlier decides when a backend server that fails requests is ejected, and when a request may
// try it again. There are no probes; the results of callers' requests are the only input.
//
// An ejection ends with a trial: once its time has passed, one request at a time may be sent there
// (half-open). If it is answered, the server is in use again. If it fails, the next ejection is twice as
// long, up to a maximum.
//
// There are two rules, since routers and gateways use servers differently:
//
//   - [Consecutive], for routers, counts consecutive failures and ejects at most half of a pool. A router
//     only sends requests for which it holds a slot, so a refusal for lack of capacity is a failure. It
//     returns the slots of an ejected server, and the allocator withholds them for a while. Because of
//     the limit, a fault on the router's side cannot cost it the whole pool.
//   - [FailureRate], for gateways, compares a server's weighted failure rate with that of its pool, and
//     also counts consecutive lost requests. Gateways hold no slots, and a full engine refuses requests
//     in normal operation. Counting refusals as consecutive failures would eject servers that are merely
//     busy. The comparison keeps servers in use while all of them fail alike, and the caller falls back
//     to ejected servers if there are no others (package place).
//
// All types are pure and not safe for concurrent use.
package outlier
