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

// This file defines which replica serves a gateway, where several do.

// SelectReplica returns which of some replicas is to serve a gateway, "" if there is none but those to
// avoid. Those of its data hall go first. Each is given an equal part of the gateways, and one that
// ends moves only its own.
func SelectReplica(places []protocol.Place, hall, gateway string, avoid []string) string {
	places = slices.DeleteFunc(slices.Clone(places), func(p protocol.Place) bool { return slices.Contains(avoid, p.Address) })
	if AnyInHall(places, hall) {
		places = slices.DeleteFunc(places, func(p protocol.Place) bool { return p.Hall != hall })
	}
	if len(places) == 0 {
		return ""
	}
	return slices.MaxFunc(places, func(a, b protocol.Place) int {
		return cmp.Or(cmp.Compare(weight(gateway, a.Address), weight(gateway, b.Address)), cmp.Compare(a.Address, b.Address))
	}).Address
}

// AnyInHall reports whether one of some replicas stands in a data hall that is named.
func AnyInHall(places []protocol.Place, hall string) bool {
	return hall != "" && slices.ContainsFunc(places, func(p protocol.Place) bool { return p.Hall == hall })
}

// weight is a replica's weight for a gateway: the largest serves it. Replicas of two versions have to agree, so
// it does not change.
func weight(gateway, replica string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, gateway+" "+replica) // a hash takes all
	return mix.Bits(hash.Sum64())
}
