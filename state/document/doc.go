// SPDX-License-Identifier: Apache-2.0

// Package document holds whole configurations that an operator numbers: the
// routes, pools, accounts and limits of routed HTTP.
//
// The model: a [Document] is an immutable value that replaces the one before
// as a whole. Documents are ordered by the number that their author gave them;
// the highest one is in force, and one that is not higher changes nothing,
// whatever it says, so that resends and late arrivals are harmless. [Store] is
// the state machine that a replicated log drives. The conditional changes of
// package config are another front for operators who share one configuration;
// numbers suit those who keep theirs elsewhere and send it whole.
package document
