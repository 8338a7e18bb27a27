// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"

	"github.com/badgerspoke/badgerspoke/internal/mix"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which replica serves a gateway when sessions are spread.

// SelectReplica returns the address of the replica that serves a gateway, or "" if all are to be
// avoided. Replicas in the gateway's data hall are preferred. Rendezvous hashing gives each replica
// an equal part of the gateways, and only the gateways of a replica that is gone move to another.
func SelectReplica(places []protocol.ServingReplica, hall, gateway string, avoid []string) string {
	places = slices.DeleteFunc(slices.Clone(places), func(p protocol.ServingReplica) bool { return slices.Contains(avoid, p.Address) })
	if AnyInHall(places, hall) {
		places = slices.DeleteFunc(places, func(p protocol.ServingReplica) bool { return p.Hall != hall })
	}
	if len(places) == 0 {
		return ""
	}
	return slices.MaxFunc(places, func(a, b protocol.ServingReplica) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(gateway, a.Address), rendezvousWeight(gateway, b.Address)), cmp.Compare(a.Address, b.Address))
	}).Address
}

// AnyInHall reports whether one of the replicas is in the data hall, if that is named.
func AnyInHall(places []protocol.ServingReplica, hall string) bool {
	return hall != "" && slices.ContainsFunc(places, func(p protocol.ServingReplica) bool { return p.Hall == hall })
}

// rendezvousWeight is a replica's rendezvousWeight for a gateway, which is served by the replica
// with the largest one. It must not change, since replicas of different versions have to agree.
func rendezvousWeight(gateway, replica string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, gateway+" "+replica) // a hash returns no error
	return mix.Bits(hash.Sum64())
}
