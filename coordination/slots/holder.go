// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Holder, the slots of one pool that a router holds, and how they are
// returned. decide.go defines what a free slot is used for.

// Holder holds the slots of one pool at one router.
type Holder struct {
	servers        map[string]*heldServer
	returned       map[string]int // slots by server, not reported yet
	unusedGrants   int            // granted slots that were not used yet
	pendingRecalls int            // recalled slots that were not free
	lastFreed      time.Duration  // time when a slot was last granted or became free
}

type heldServer struct {
	held    int
	running int // may exceed held after the lease has expired
}

func (s *heldServer) free() int { return max(s.held-s.running, 0) }

// NewHolder returns a holder without slots.
func NewHolder() *Holder {
	return &Holder{servers: map[string]*heldServer{}, returned: map[string]int{}}
}

// Grant adds n slots of a backend server.
func (h *Holder) Grant(now time.Duration, server string, n int) {
	h.server(server).held += max(n, 0)
	h.unusedGrants += max(n, 0)
	h.lastFreed = now
}

// Start uses one free slot of a server, which must be among FreeServers.
func (h *Holder) Start(server string) {
	h.server(server).running++
	h.unusedGrants = max(h.unusedGrants-1, 0)
}

// HasUnusedGrant reports whether a granted slot is still unused. Such a slot is used without
// comparing the virtual time with the floor, because the allocator's counters are newer than
// the router's view. If the router did compare, a floor that had just risen would make it
// return the slot, and the slot would bounce between allocator and router.
func (h *Holder) HasUnusedGrant() bool { return h.unusedGrants > 0 }

// Done ends the use of a slot. The slot is free again unless the lease has expired since its
// start.
func (h *Holder) Done(now time.Duration, server string) {
	s := h.server(server)
	s.running = max(s.running-1, 0)
	h.lastFreed = now
	if h.pendingRecalls > 0 && s.free() > 0 {
		h.Return(server, 1)
		h.pendingRecalls--
	}
	h.removeIfEmpty(server)
}

// Running returns the number of requests that this router runs on a server.
func (h *Holder) Running(server string) int {
	if s := h.servers[server]; s != nil {
		return s.running
	}
	return 0
}

// FreeServers returns the servers with a free slot, sorted by name.
func (h *Holder) FreeServers() []string {
	var names []string
	for name, s := range h.servers {
		if s.free() > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Idle returns the number of free slots.
func (h *Holder) Idle() int {
	n := 0
	for _, s := range h.servers {
		n += s.free()
	}
	return n
}

// Return returns up to n free slots of a server to the allocator.
func (h *Holder) Return(server string, n int) {
	s := h.servers[server]
	if s == nil {
		return
	}
	if n = min(n, s.free()); n <= 0 {
		return
	}
	s.held -= n
	h.returned[server] += n
	h.unusedGrants = min(h.unusedGrants, h.Idle())
	h.removeIfEmpty(server)
}

// Recall returns n slots: free ones first, starting at the server with most of them, then
// those that become free next.
func (h *Holder) Recall(n int) {
	held := 0
	for _, s := range h.servers {
		held += s.held
	}
	h.pendingRecalls = min(h.pendingRecalls+n, held)
	for ; h.pendingRecalls > 0; h.pendingRecalls-- {
		names := h.FreeServers()
		if len(names) == 0 {
			return
		}
		h.Return(slices.MaxFunc(names, func(x, y string) int {
			return cmp.Compare(h.servers[x].free(), h.servers[y].free())
		}), 1)
	}
}

// HeldByServer returns the number of slots held on each server, in use or free.
func (h *Holder) HeldByServer() map[string]int {
	out := map[string]int{}
	for name, s := range h.servers {
		out[name] = s.held
	}
	return out
}

// ReturnIdle returns every free slot.
func (h *Holder) ReturnIdle() {
	for _, name := range h.FreeServers() {
		h.Return(name, math.MaxInt)
	}
}

// ReturnIdleAfter returns every free slot if none was granted or became free for linger.
func (h *Holder) ReturnIdleAfter(now, linger time.Duration) {
	if now-h.lastFreed >= linger {
		h.ReturnIdle()
	}
}

// TakeReturned returns the slots that were returned, sorted by server name, and clears them.
func (h *Holder) TakeReturned() []protocol.ServerSlots {
	out := heldList(h.returned)
	clear(h.returned)
	return out
}

// HasReturned reports whether TakeReturned would return anything.
func (h *Holder) HasReturned() bool { return len(h.returned) > 0 }

// Expire drops the free slots and unreported returns after the lease has expired. Running
// requests continue to their end.
func (h *Holder) Expire() {
	clear(h.returned)
	h.unusedGrants, h.pendingRecalls = 0, 0
	for name, s := range h.servers {
		s.held = s.running
		h.removeIfEmpty(name)
	}
}

// Held returns the slots to declare in a new session's Hello, sorted by server name.
// It clears unreported returns and pending recalls, since the declared count supersedes them.
func (h *Holder) Held() []protocol.ServerSlots {
	clear(h.returned)
	h.pendingRecalls = 0
	counts := map[string]int{}
	for name, s := range h.servers {
		counts[name] = max(s.held, s.running)
	}
	return heldList(counts)
}

func (h *Holder) server(name string) *heldServer {
	s := h.servers[name]
	if s == nil {
		s = &heldServer{}
		h.servers[name] = s
	}
	return s
}

// removeIfEmpty removes a server with no slots held or in use.
func (h *Holder) removeIfEmpty(name string) {
	if s := h.servers[name]; s != nil && s.held <= 0 && s.running == 0 {
		delete(h.servers, name)
	}
}

// heldList returns the positive counts, sorted by server name.
func heldList(m map[string]int) []protocol.ServerSlots {
	var out []protocol.ServerSlots
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if m[name] > 0 {
			out = append(out, protocol.ServerSlots{Server: name, Slots: m[name]})
		}
	}
	return out
}
