// SPDX-License-Identifier: Apache-2.0

package registry

// This file defines Handles, which assigns short numbers to backend servers.

// Handles assigns numbers to the lives of backend servers in all messages from one replica to
// gateways. A life is one run of a server's process. Numbers outlive a leader's term, so that
// gateways keep their lists when the leader changes. If numbers belonged to a term, every gateway
// would read the whole list again after each change, 740 KB with 9,998 servers. No number is used
// twice, and 0 stands for no handle.
type Handles struct {
	space uint64
	byID  map[string]uint32
	last  uint32
}

// spaceFlag is set in the number of every space, so that none equals a leader's term.
const spaceFlag = 1 << 63

// NewHandles returns an empty set of handles in a space with a random number.
func NewHandles(random uint64) *Handles {
	return &Handles{space: random | spaceFlag, byID: map[string]uint32{}}
}

// Space returns the number that distinguishes these handles from those of other replicas and of
// earlier processes of this replica.
func (h *Handles) Space() uint64 { return h.space }

// Assign returns the handle of a life, and assigns a new one if it has none.
func (h *Handles) Assign(id string) uint32 {
	if handle, ok := h.byID[id]; ok {
		return handle
	}
	h.last++
	h.byID[id] = h.last
	return h.last
}

// Release removes a life that gateways were told is gone.
func (h *Handles) Release(id string) { delete(h.byID, id) }
