// SPDX-License-Identifier: Apache-2.0

// Package share decides which account's waiting request is served next in one pool on one
// router, and counts the service that each client account has received.
//
// Service is counted in units of cost ([Weights]) and divided by the account's share; the
// quotient is the account's virtual time. The account with the lowest virtual time is served
// next ([Queue.Next]). A request's cost is certain only when it ends, so an estimate is
// charged when it starts ([Meter]), more while it streams past the estimate, and the
// difference is settled at the end.
//
// Invariants:
//
//   - An account that becomes backlogged is raised to the lift ([Queue.SetLift]), so idle time
//     earns no credit. The lift is the lowest settled virtual time among the fleet's backlogged
//     accounts and never decreases. An account's settled virtual time leaves out the charges for
//     requests that still run.
//   - An account that is ahead stays ahead when it becomes idle, so idling pays no debt.
//   - A change of an account's share affects later charges only.
//
// Inside an account the same rule, with equal shares, orders the flows: the users or classes
// that requests name.
//
// Virtual times are fleet-wide. The package owns this router's copy of them and relies on the
// allocator (coordination/slots) for the sums and on protocol for their encoding.
// [Queue.SetVirtualTime] applies the allocator's sum and adds what this router has charged
// since. [Queue.TakeChanges] reports the charges that the allocator has not received.
//
// Deficit round robin was rejected: it needs the cost before the start, or lets one long
// request through per round, and its counters do not add up over routers. First-in, first-out
// order by arrival time is the baseline in the benchmarks.
//
// All types are pure: the time is an argument. Nothing is safe for concurrent use.
package share
