// SPDX-License-Identifier: Apache-2.0

// Package control implements the control role of a box. It stores the fleet's
// configuration and claims in replicated logs and, while it leads, maintains the
// routers' sessions and grants slots.
//
// Every control replica runs the same two consensus groups ([replica]): one for the
// configuration and the list of routers that may hold slots, and one for the claims
// of keyed requests. The leader of the configuration group is the allocator. Its
// epoch is the term of its leadership: a term has one leader, and a leader acts only
// once it has committed an entry of its term, so the log itself grants the epoch.
// Routers dial any replica and are redirected to the leader.
//
// The package owns the replicas of both groups with their folders, the links that
// it accepts, and the allocator. Packages coordination/slots and coordination/claim
// decide what is granted, state/config defines changes and when they are refused,
// and transport/mesh maintains the links to other replicas.
//
// One goroutine, the dispatcher (dispatcher.go), owns the allocator and the
// sessions; links, replicas and operators' calls send it events. It never waits
// for the network or a disk, and acts only while the leader's lease is valid by its
// own monotonic clock. There is also one goroutine for each group's replica, for
// each link and its outbox, for each open claim or settlement, and one that keeps
// the leaders of both groups on the same replica (claims.go).
//
// Locks: ReplicatedState.mu (the applied configuration) and claimWatchers.mu are
// leaf locks. Neither is held while the other is taken, or while waiting.
package control
