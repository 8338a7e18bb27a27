// SPDX-License-Identifier: Apache-2.0

// Package config holds the configuration that operators manage: client accounts with
// their shares, and backend servers with their marks.
//
// A [Config] is an immutable value. [Config.Apply] returns the next one, one revision
// higher, or a typed error that names every mistake. Two replicas that apply the same
// operations to the same revision hold equal values, because the package reads no
// clock, no random source and no map order.
//
// [Store] is the state machine for a replicated log. A change names the revision that
// it builds on and carries an identifier that its author chose. The store guarantees:
//
//   - Exactly one change produces a revision. An author who sends different content for
//     the same base revision receives a [Conflict] with the winning change.
//   - A change that is sent again (same identifier, or same base revision and same
//     content) receives the first result, any number of times and across restarts,
//     within the last [HistoryLength] revisions.
//   - The revision never decreases.
//
// Changes are not merged by last-writer-wins: when two operators raise the share of one
// account at the same moment, they must not both receive a success.
package config
