// SPDX-License-Identifier: Apache-2.0

// Package control is the control role of a box: it keeps the fleet's
// configuration and claims in replicated logs, and while it leads, it holds
// the routers' sessions and hands out slots.
//
// The model: every control replica runs the same two groups ([replica]), one
// for the configuration and the list of routers that may hold slots, one for
// claims of keyed requests. The leader of the configuration group is the
// allocator, under an epoch that is the term of its leadership: a term has one
// leader, and a leader acts only once it has committed an entry of its term,
// so the log itself grants the epoch. Routers dial any replica and are sent on
// to the leader.
//
// The package owns both groups' replicas with their folders, the links that it
// accepts, and the allocator. It relies on coordination/slots and
// coordination/claim for what is granted, on state/config for what a change is
// and when it is refused, and on transport/mesh for the links to other replicas.
//
// One goroutine, the dispatcher (dispatcher.go), owns the allocator and the
// sessions; links, replicas and operators' calls hand it events. It never
// waits for the network or a disk. It acts only while the leader's lease runs
// by its own monotonic clock. Besides it there are a goroutine for each group's
// replica, for each link and its outbox, for each open claim or settlement, and
// the one that keeps both groups' leaders on one replica (claims.go).
//
// Locks: Replicated.mu (the applied configuration) and claimWatchers.mu are
// leaves; neither is held while the other is taken, or across a wait.
package control
