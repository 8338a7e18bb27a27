// SPDX-License-Identifier: Apache-2.0

// Package directory implements the directory role of a node. It stores the numbered configuration
// document and the list of backend servers, and sends both to the gateways.
//
// An open consensus group (package replica) replicates a [document.Store]: the document with the
// highest number, the registrations of backend servers and their departures. Only the leader
// applies announcements. Its registry lasts for its term. The handles of the servers, which are the
// numbers that stand for them in messages, last longer. A new leader restores the registry from the
// replicated registrations; until every server has had time to announce itself to the new leader,
// gateways keep the servers that they already have. One goroutine, the hub, owns the registry or
// the relay state, and the gateways' sessions.
//
// A life of a backend server is the time from one start of its process to its end. A server that
// restarts under its name begins a new life, and only the newest one is listed. An identifier
// consists of the name and the start time of the life ([protocol.LifeID]). A server is cold for a while after a start, and then sustains only the request
// rate that its pool states. The servers of a pool are either engines, which run models and whose
// work is counted in tokens, or plain services. The homes of an account or a route are the regions
// that may serve and store its requests.
//
// A relay is a follower that serves gateways on the leader's behalf: it has one session with the
// leader and combines its gateways' reports into one. In a fleet with several regions, a replica
// outside the leader's region is a relay for the gateways of its own region. The leader is placed in
// the region with the majority of the voters. Within one region, sessions are spread once the
// fleet is too large for one replica to serve all its gateways: every replica then serves a part of
// them, preferably those of its own data hall, and their sessions outlive the leader.
//
// Each replica holds, in memory, which versions of servers began the streams of the gateways that it
// serves (streams.go). Gateways report their streams again in their next session.
//
// Server lists, their changes and documents are large. Their rate is limited to what the box's link
// can carry, so that they never delay a leader's heartbeats (lists.go).
//
// Every operation is answered by the leader under its lease, or refused: [NotLeader] names the
// leader; [Unavailable] means that there is no leader, or that this replica cannot determine the
// result. Therefore no read at any replica, partitioned or not, returns state older than the newest
// acknowledged change.
//
// Lock order: Replicated.mu and the hub's published state are leaf locks.
package directory
