// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines LoadFeed, which selects the backend servers' load sums to send to gateways
// next.

// loadBytes is the size of one sum in a Fleet message.
const loadBytes = 10

// requestWeight is the weight in tokens of a difference of one request, when not all changed sums
// fit into a message: a short prompt.
const requestWeight = 500

// LoadFeed records the sums that the gateways were sent. All gateways are sent the same ones:
// messages of their own would cost the leader the number of gateways times that of servers, ten
// times a second. The zero value has sent nothing.
type LoadFeed struct {
	sent map[uint32]protocol.ServerLoad // by handle, without idle servers
}

// Next returns the sums that differ from those sent, ordered by handle. If there are more than
// limit, it returns those with the largest differences. A server that has become idle has zeros.
// sums holds each busy server once. The cost is O(n log n).
func (f *LoadFeed) Next(sums []protocol.ServerLoad, limit int) []protocol.ServerLoad {
	changed := f.changedSums(sums)
	if len(changed) > limit {
		slices.SortFunc(changed, func(a, b protocol.ServerLoad) int {
			return cmp.Or(cmp.Compare(f.weightedDifference(b), f.weightedDifference(a)), cmp.Compare(a.Handle, b.Handle))
		})
		changed = changed[:limit]
	}
	f.recordSent(changed)
	slices.SortFunc(changed, func(a, b protocol.ServerLoad) int { return cmp.Compare(a.Handle, b.Handle) })
	return changed
}

// Sent returns all sums sent that are not idle, ordered by handle. A new session begins with them.
func (f *LoadFeed) Sent() []protocol.ServerLoad {
	return slices.SortedFunc(maps.Values(f.sent), func(a, b protocol.ServerLoad) int { return cmp.Compare(a.Handle, b.Handle) })
}

// changedSums returns the sums that differ from those sent, in no particular order.
func (f *LoadFeed) changedSums(sums []protocol.ServerLoad) []protocol.ServerLoad {
	var changed []protocol.ServerLoad
	running := make(map[uint32]bool, len(sums))
	for _, l := range sums {
		running[l.Handle] = true
		if f.sent[l.Handle] != l {
			changed = append(changed, l)
		}
	}
	for handle := range f.sent {
		if !running[handle] {
			changed = append(changed, protocol.ServerLoad{Handle: handle})
		}
	}
	return changed
}

// weightedDifference returns the size of the difference between a sum and the one sent.
func (f *LoadFeed) weightedDifference(l protocol.ServerLoad) uint64 {
	was := f.sent[l.Handle]
	return requestWeight*absDiff(l.Requests, was.Requests) + absDiff(l.Tokens, was.Tokens)
}

func absDiff(a, b uint32) uint64 { return uint64(max(a, b) - min(a, b)) }

// recordSent records the sums that are sent.
func (f *LoadFeed) recordSent(changed []protocol.ServerLoad) {
	if f.sent == nil {
		f.sent = map[uint32]protocol.ServerLoad{}
	}
	for _, l := range changed {
		if l.Requests == 0 && l.Tokens == 0 {
			delete(f.sent, l.Handle)
			continue
		}
		f.sent[l.Handle] = l
	}
}
