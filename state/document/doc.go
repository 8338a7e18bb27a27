// SPDX-License-Identifier: Apache-2.0

// Package document holds complete configurations that operators number: the routes,
// pools, accounts and limits of routed HTTP.
//
// A [Document] is an immutable value that replaces the previous one as a whole.
// Documents are ordered by the number that their author assigned. The document with
// the highest number is in force. A document without a higher number has no effect,
// whatever its content, so resends and late arrivals are harmless. [Store] is the state
// machine that a replicated log drives. Package config offers conditional changes
// instead, for operators who edit one shared configuration; numbered documents suit
// those who keep the configuration elsewhere and send it as a whole.
package document
