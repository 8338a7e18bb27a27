// SPDX-License-Identifier: Apache-2.0

// Package quarantine decides which requests are not sent to backend servers any more, because
// servers end under them.
//
// Callers draw a new identifier for each try, so a request that comes again is known by what it
// is, its [Key]. When a server ends, each request that ran there is a suspect, and most of them
// are innocent. [Evidence] keeps at which ends in a row a key was, without a whole answer in
// between, and condemns it when three things hold:
//
//   - it was at three ends, each of a run that began after the end before, while other servers
//     of the pool gave answers;
//   - a request that ends nothing has such a record with a chance of one in a million at the
//     most, as often as servers end by themselves and as long as its runs took;
//   - no other suspect was at all of these ends. Else either may be the cause, and the next end
//     tells them apart. What was at an end together with a condemned request is cleared of it.
//
// A whole answer clears a key at once, so a key that is asked for all the time is never
// condemned for being everywhere. [List] is what gateways hold: condemned keys, which they
// refuse, and suspects, whose answers they report.
//
// Weighed, and not taken: a count of ends alone (of 230 requests that ran at 16 servers that
// ended by themselves, one was at three ends); to try a suspect once more alone, which costs
// one more server and all that runs there; to condemn by the time from a request's begin to the
// end, which a server's queue decides.
//
// All is pure: times are arguments, by one monotonic clock. Nothing is safe for concurrent use,
// but a List is immutable. The package relies on its caller to tell the end of a server from a
// broken connection.
package quarantine
