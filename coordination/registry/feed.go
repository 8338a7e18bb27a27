// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Feed, which of the sums of what runs on backend servers the gateways
// are sent next.

// loadBytes is the size of one sum in a Fleet message.
const loadBytes = 10

// requestWeight is what a request more or less counts against tokens that are more or less, when not
// all that has changed fits. A short prompt.
const requestWeight = 500

// Feed is what the gateways were sent of the sums. All are sent the same: a message for
// each would cost the leader gateways times servers, ten times a second. The zero value
// has sent nothing.
type Feed struct {
	sent map[uint32]protocol.ServerLoad // by handle, nothing idle
}

// Next returns the sums that differ from what was sent, ordered by handle; the most of
// them that are asked for, those with the largest differences, if there are more. A
// server that runs nothing any more comes with zeros. sums holds each server that runs
// something once. It costs O(n log n).
func (f *Feed) Next(sums []protocol.ServerLoad, most int) []protocol.ServerLoad {
	changed := f.differences(sums)
	if len(changed) > most {
		slices.SortFunc(changed, func(a, b protocol.ServerLoad) int {
			return cmp.Or(cmp.Compare(f.difference(b), f.difference(a)), cmp.Compare(a.Handle, b.Handle))
		})
		changed = changed[:most]
	}
	f.take(changed)
	slices.SortFunc(changed, func(a, b protocol.ServerLoad) int { return cmp.Compare(a.Handle, b.Handle) })
	return changed
}

// Sent returns all that was sent and is not idle, ordered by handle: what a new session
// begins with.
func (f *Feed) Sent() []protocol.ServerLoad {
	return slices.SortedFunc(maps.Values(f.sent), func(a, b protocol.ServerLoad) int { return cmp.Compare(a.Handle, b.Handle) })
}

// differences returns the sums that differ from what was sent, in no order.
func (f *Feed) differences(sums []protocol.ServerLoad) []protocol.ServerLoad {
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

// difference weighs how far a sum is from what was sent.
func (f *Feed) difference(l protocol.ServerLoad) uint64 {
	was := f.sent[l.Handle]
	return requestWeight*distance(l.Requests, was.Requests) + distance(l.Tokens, was.Tokens)
}

func distance(a, b uint32) uint64 { return uint64(max(a, b) - min(a, b)) }

// take records what is sent.
func (f *Feed) take(changed []protocol.ServerLoad) {
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
