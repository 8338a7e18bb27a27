// SPDX-License-Identifier: Apache-2.0

package registry

// This file defines Handles, the short numbers of backend servers.

// Handles numbers the lives of backend servers for all that one replica sends to gateways. A number
// outlives the leader: who leads, and whose list a replica passes on, may change, and gateways keep
// what they have. Numbers of one leader's term had every gateway read the whole list again after
// each change of leaders, 740 KB each with 9,998 servers. No number is used twice, and 0 is none.
type Handles struct {
	space uint64
	byID  map[string]uint32
	last  uint32
}

// spaceMark is set in the number of every space, so that none is a leader's term.
const spaceMark = 1 << 63

// NewHandles returns no handles, in a space with a random number.
func NewHandles(random uint64) *Handles {
	return &Handles{space: random | spaceMark, byID: map[string]uint32{}}
}

// Space returns the number that tells these handles from those of other replicas, and of this one
// before its process started again.
func (h *Handles) Space() uint64 { return h.space }

// Assign returns the handle of a life, a new one if it has none.
func (h *Handles) Assign(id string) uint32 {
	if handle, ok := h.byID[id]; ok {
		return handle
	}
	h.last++
	h.byID[id] = h.last
	return h.last
}

// Release forgets a life that gateways were told is gone.
func (h *Handles) Release(id string) { delete(h.byID, id) }
