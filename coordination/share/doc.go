// SPDX-License-Identifier: Apache-2.0

// Package share decides whose waiting work goes next in one pool on one
// router, and counts what each client account has received.
//
// Service is counted in units of cost ([Weights]) and divided by the account's
// share; the quotient is the account's virtual time. The account with the
// lowest virtual time goes next ([Queue.Next]). What a request costs is certain
// only when it ends, so an estimate is charged when it starts ([Meter]), more
// while it streams past the estimate, and the difference is settled at the end.
//
// Invariants:
//
//   - An account that becomes backlogged is lifted to the lowest settled
//     virtual time among the fleet's backlogged accounts ([Queue.SetLift]), so
//     idle time earns no credit.
//   - An account that is ahead stays ahead when it goes idle, so going idle
//     pays no debt.
//   - A change of share affects what is charged from then on, never the past.
//
// Inside an account the same rule orders the flows (users or classes that
// requests name), with equal shares.
//
// Virtual times are fleet-wide: the package owns this router's copy of them,
// and relies on the allocator (coordination/slots) for the sums, and on protocol
// for the form in which they travel.
// [Queue.SetVirtualTime] takes the allocator's sum and adds what this router has
// charged since; [Queue.TakeChanges] reports what the allocator lacks.
//
// Deficit round robin was rejected: it needs the cost before the start, or
// lets one long request through per round, and its counters do not add up
// over routers. Time-stamped FIFO is the baseline in the benchmarks.
//
// All types are pure: the time is an argument. Nothing is safe for concurrent
// use.
package share
