// SPDX-License-Identifier: Apache-2.0

// Package directory implements the directory role of a node. It stores the numbered configuration
// document and the list of backend servers, and sends both to the gateways.
//
// An open consensus group (package replica) replicates a [document.Store]: the document with the
// highest number, the registrations of backend servers and their departures. Only the leader
// applies announcements. Its registry lasts for its term, the handles of the servers last longer. A
// new leader restores the registry from the replicated registrations; until its list is complete,
// gateways keep the servers that they already have. One goroutine, the hub, owns the registry or
// the relay state, and the gateways' sessions.
//
// In a fleet with several regions, a replica outside the leader's region is a relay: it serves the
// gateways of its region over one session with the leader and sums up their reports. The leader is
// placed in the region with the majority of the voters. Within one region the same is done for data
// halls once the fleet is too large for one replica to serve all its gateways: every replica then
// serves a part of them, and their sessions outlive the leader.
//
// Server lists, their changes and documents are large. They are paced to the capacity of the box's
// link, so that they never delay a leader's heartbeats (lists.go).
//
// Every operation is answered by the leader under its lease, or refused: [NotLeader] names the
// leader; [Unavailable] means that there is no leader, or that this replica cannot determine the
// result. Therefore no read at any replica, partitioned or not, returns state older than the newest
// acknowledged change.
//
// Lock order: Replicated.mu and the hub's published state are leaf locks.
package directory
