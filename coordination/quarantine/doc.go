// SPDX-License-Identifier: Apache-2.0

// Package quarantine detects requests, and parts of prompts, that make backend servers fail, so that
// they are no longer sent to any server.
//
// Callers use a new identifier for each attempt, so a repeated request is recognized by its
// content, its [Key]. When a server fails, each request that was running there is a suspect, and
// most suspects are innocent. [Evidence] records the consecutive failures at which a key was
// running, without a complete answer in between. It condemns the key if three conditions hold:
//
//   - It was running at three failures, each time in a run that began after the previous failure,
//     while other servers of the pool were answering.
//   - The probability that an innocent request has such a record is at most one in a million, given
//     how often servers fail by themselves and how long the runs took.
//   - No other suspect was running at all of these failures. Otherwise either may be the cause, and
//     the next failure distinguishes them. A failure at which a condemned request was running no
//     longer counts against others.
//
// A complete answer clears a key at once, so a key that is requested all the time, and is therefore
// running at most failures, is rarely condemned. Servers that fail in series leave no time for one, so a key that
// was served before, or a part, needs a record that a series does not explain ([Loss].Served). And no verdict is
// for good: [Probes] says when one request may be sent again. Gateways hold a [List] of condemned keys, which they
// refuse, and of suspects, whose answers they report.
//
// A part of prompts may make servers fail in requests of which no two are alike. [PartEvidence] records
// the parts of requests that were waiting for their answers at failing servers, and condemns them by
// similar conditions, with these differences:
//
//   - The first byte of an answer clears all parts of its request, at any gateway ([Begun]): such a part
//     makes a server fail before it.
//   - A part needs failures under three different requests.
//   - Parts that are always together are condemned as a [PartSet]: only requests with all of them are
//     refused, and the answer to a request with one of them tells them apart.
//
// Gateways hold a [PartList] of condemned sets and suspected parts.
//
// Alternatives considered:
//   - Counting failures alone: of 230 requests that ran at 16 servers failing by themselves, one
//     was running at three failures.
//   - Trying a suspect once more alone: this costs one more server and all requests running there.
//   - Condemning by the time from a request's start to the failure: this depends on the server's
//     queue.
//
// The package is pure: times are arguments of one monotonic clock. Nothing is safe for concurrent
// use, except that a List is immutable. The caller must distinguish the failure of a server from a
// broken connection.
package quarantine
