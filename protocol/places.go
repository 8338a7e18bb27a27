// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines the message by which the leading directory replica informs the others which
// replicas serve gateways.

// ServingReplica is a replica that serves gateways.
type ServingReplica struct {
	_       struct{} `cbor:",toarray"`
	Address string   // fleet address
	Hall    string   // data hall; empty if not configured
}

// ServingReplicas is sent by the leader to its relays on each change. It lists the replicas that
// serve the gateways of its region, ordered by address.
type ServingReplicas struct {
	List []ServingReplica `cbor:"1,keyasint,omitempty"`
}
