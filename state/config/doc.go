// SPDX-License-Identifier: Apache-2.0

// Package config holds what operators have decided: client accounts with
// their shares, and backend servers with their marks.
//
// The model is a value. A [Config] never changes; [Config.Apply] returns the
// next one, one revision higher, or a typed refusal that names every mistake.
// Two replicas that apply the same operations from the same revision hold
// equal values, because nothing here reads a clock, a random source or the
// order of a map.
//
// [Store] adds what a replicated log needs around the value: a change names
// the revision it builds on and carries an identifier chosen by its author.
// The store promises
//
//   - exactly one content wins a revision; an author that named the same revision
//     with other content gets a [Conflict] that carries the winner;
//   - a change sent again (same identifier, or same revision and same
//     content) gets the first answer, however often and after any number of
//     restarts inside the remembered window of [HistoryLength] revisions;
//   - a revision never decreases.
//
// A last-writer-wins map was rejected: two operators who raise the share of
// one account at the same moment must not both get a success.
package config
