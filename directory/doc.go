// SPDX-License-Identifier: Apache-2.0

// Package directory is the directory role of a node: it keeps the numbered
// configuration document, hears backend servers announce themselves, and tells the
// gateways both.
//
// The model: one open consensus group (package replica) replicates a
// [document.Store]: the highest document and the departures of backend servers. The
// leader alone hears announcements, into a registry that is lost with its
// lead and heard again by the next leader; until that one is complete,
// gateways keep what they had. One goroutine, the hub, owns the registry and
// the gateways' sessions.
//
// Every operation is answered by the leader, under its lease, or refused:
// [Elsewhere] names the leader, [Unsure] says that there is none, or that this
// replica cannot know. So nothing older than what was acknowledged is ever
// read, at any replica, cut off or not.
//
// Lock order: Replicated.mu and the hub's published state are leaves.
package directory
