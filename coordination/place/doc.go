// SPDX-License-Identifier: Apache-2.0

// Package place chooses the backend server of a request.
//
// The model of both roles: every candidate has a price, the lowest wins. The
// price is the work that must be done before the first token: what waits in
// front of the request on that server, and the part of its prompt that the
// server's cache does not hold. Both are estimates. Without any data,
// rendezvous hashing makes all boxes choose alike without a message.
//
// There are two placers, one for each way to share servers:
//
//	                  SlotPlacer                   RoomPlacer
//	used by           routers (package pool)       gateways
//	candidates        servers with a free slot     all servers of the pool
//	                  that this router holds
//	no room           cannot happen: a slot is     the cheapest is waited for; see
//	                  room                         RoomPlacer.Choose
//	cached prompts    Index: blocks of bytes that  first in the rendezvous order of
//	                  this router sent where       the parts that the caller names
//	load              own requests; the server's   own requests and tokens; the
//	                  report, halved each second   other gateways', up to an age
//	failing servers   outlier.Consecutive          outlier.FailureRate
//
// The allocator's slots bound what runs on a server, so affinity need not make a
// router's request wait: a hot server costs its price, never idle capacity
// elsewhere. Gateways hold no slots. They bound the wait on a server themselves,
// and they are many, so a prompt must find the same engine from any of them;
// leaving it takes room from all of them, and a short wait is cheaper.
//
// In a fleet over several regions a choice of RoomPlacer is among the servers of one region
// (regions.go says when another one is looked at), and Link bounds what a gateway puts on the
// link between them.
//
// All types are pure and not safe for concurrent use.
package place
