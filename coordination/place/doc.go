// SPDX-License-Identifier: Apache-2.0

// Package place chooses the backend server for a request. A server of a pool is either an engine, which
// reads a prompt before it answers and caches the parts that it has read, or belongs to a plain service,
// whose requests are short.
//
// Both placers assign a price to every candidate and take the lowest. The price is the work to
// be done before the first token: the queue ahead of the request on that server, plus the part
// of its prompt that is missing from the server's cache. Both are estimates. Rendezvous hashing
// makes all boxes agree on a choice without exchanging messages, even before any load is known.
//
// There are two placers, one for each way of sharing servers:
//
//	                  SlotPlacer                   CapacityPlacer
//	used by           routers (package pool)       gateways
//	candidates        servers with a free slot     all servers of the pool
//	                  held by this router
//	no capacity       cannot happen: holding a     the request waits for its cheapest
//	                  slot implies capacity        server, see CapacityPlacer.Choose
//	cached prompts    Index: blocks of bytes and   the first server in the rendezvous
//	                  the servers they were        order of the prompt's named parts
//	                  sent to
//	load              own requests; the server's   own requests and tokens; those of
//	                  report, with a half-life     other gateways, up to a maximum
//	                  of one second                age
//	failing servers   outlier.Consecutive          outlier.FailureRate
//
// The allocator's slots bound the load of a server, so a router never queues a request for the
// sake of affinity: a busy server only has a higher price, and no capacity is left idle elsewhere.
// Gateways hold no slots and bound the wait on a server themselves. There are many of them, so a
// prompt has to reach the same engine from any gateway. Moving it to another engine consumes
// capacity for all gateways, so a short wait is cheaper.
//
// In a fleet of several regions, CapacityPlacer chooses among the servers of one region (regions.go
// defines when another region is considered), and LinkBudget bounds the bytes that a gateway
// sends over the link between regions.
//
// All types are pure and not safe for concurrent use.
package place
