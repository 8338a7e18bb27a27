// SPDX-License-Identifier: Apache-2.0

// Package share decides whose waiting work goes next on one router, and keeps
// the account of what each account has received.
//
// The model: service is counted in units of cost (see [Weights]) and divided
// by the account's share; the quotient is the account's virtual time. The
// account with the lowest virtual time goes next. What a request costs is
// known only when it ends, so an estimate is charged when it starts
// ([Meter]), more while it streams past the estimate, and the difference is
// settled at the end.
//
// The rules that keep this fair:
//
//   - An account that becomes backlogged is lifted to the floor, the lowest
//     virtual time among backlogged accounts, so idle time earns no credit.
//   - An account that is ahead stays ahead when it goes idle, so going idle
//     pays no debt.
//   - A change of share affects what is charged from then on, never the past.
//
// Virtual times are fleet-wide: [Queue.SetTime] takes what the allocator
// says, and the queue adds what this router has charged since. Inside an
// account the same rule is applied once more between the users or classes
// that requests name, with equal shares.
//
// Deficit round robin was rejected: it needs the cost before the start, or
// lets one long request through per round, and its counters do not add up
// over routers. Time-stamped FIFO is the baseline in the benchmarks.
//
// All types here are pure: time and randomness come in as arguments, and
// nothing is safe for concurrent use.
package share
