// SPDX-License-Identifier: Apache-2.0

// Package directory is the directory role of a node: it keeps the numbered
// configuration document and the list of backend servers, and sends both to the
// gateways.
//
// The model: one open consensus group (package replica) replicates a
// [document.Store]: the highest document, the departures of backend servers and their
// registrations. The leader alone takes announcements, into a registry that ends with
// its term; the next leader starts from the replicated registrations, and until its
// list is complete, gateways keep what they had. One goroutine, the hub, owns the
// registry, or what a relay passes on, and the gateways' sessions.
//
// In a fleet over several regions a replica in another region than the leader is a
// relay: it serves its region's gateways from one session with the leader, and adds
// their reports up to one. The leader stands where the majority of the voters does.
//
// Every operation is answered by the leader, under its lease, or refused:
// [NotLeader] names the leader, [Unavailable] means that there is none, or that this
// replica cannot know. So nothing older than what was acknowledged is ever
// read, at any replica, cut off or not.
//
// Lock order: Replicated.mu and the hub's published state are leaves.
package directory
