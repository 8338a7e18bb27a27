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

// This file defines Holder, the slots of one pool that a router holds, and how
// they go back. What a free slot is used for is in decide.go.

// Holder is the slots of one pool held by one router.
type Holder struct {
	servers   map[string]*heldServer
	returned  map[string]int // by server, not reported yet
	granted   int            // slots granted and not used since
	owed      int            // slots recalled that were not free
	idleSince time.Duration  // when a slot last came or became free
}

type heldServer struct {
	held    int
	running int // may exceed held after the lease ran out
}

func (s *heldServer) free() int { return max(s.held-s.running, 0) }

// NewHolder returns a holder without slots.
func NewHolder() *Holder {
	return &Holder{servers: map[string]*heldServer{}, returned: map[string]int{}}
}

// Grant adds slots of a backend server.
func (h *Holder) Grant(now time.Duration, server string, n int) {
	h.server(server).held += max(n, 0)
	h.granted += max(n, 0)
	h.idleSince = now
}

// Start uses one free slot of a server that FreeServers returned.
func (h *Holder) Start(server string) {
	h.server(server).running++
	h.granted = max(h.granted-1, 0)
}

// HasUnusedGrant reports whether a granted slot is still unused. The allocator's
// counters are newer than the router's view, so its grant is used without
// looking at the floor again. (Looking again was tried: a floor that had just
// passed sent the slot back, and allocator and router returned it to each
// other.)
func (h *Holder) HasUnusedGrant() bool { return h.granted > 0 }

// Done ends the use of a slot, which is free again unless the lease has run out
// since its start.
func (h *Holder) Done(now time.Duration, server string) {
	s := h.server(server)
	s.running = max(s.running-1, 0)
	h.idleSince = now
	if h.owed > 0 && s.free() > 0 {
		h.Return(server, 1)
		h.owed--
	}
	h.tidy(server)
}

// Running returns the number of requests running on a server through this
// router.
func (h *Holder) Running(server string) int {
	if s := h.servers[server]; s != nil {
		return s.running
	}
	return 0
}

// FreeServers returns the servers with a free slot, ordered by name.
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

// Return gives back up to n free slots of a server.
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
	h.granted = min(h.granted, h.Idle())
	h.tidy(server)
}

// Recall gives back n slots: free ones, from the server with most of them
// first, then those that become free next.
func (h *Holder) Recall(n int) {
	held := 0
	for _, s := range h.servers {
		held += s.held
	}
	h.owed = min(h.owed+n, held)
	for ; h.owed > 0; h.owed-- {
		names := h.FreeServers()
		if len(names) == 0 {
			return
		}
		h.Return(slices.MaxFunc(names, func(x, y string) int {
			return cmp.Compare(h.servers[x].free(), h.servers[y].free())
		}), 1)
	}
}

// Usable returns the slots held of each server, in use or free.
func (h *Holder) Usable() map[string]int {
	out := map[string]int{}
	for name, s := range h.servers {
		out[name] = s.held
	}
	return out
}

// ReturnIdle gives back every free slot.
func (h *Holder) ReturnIdle() {
	for _, name := range h.FreeServers() {
		h.Return(name, math.MaxInt)
	}
}

// ReturnIdleAfter gives back every free slot once none was used for linger.
func (h *Holder) ReturnIdleAfter(now, linger time.Duration) {
	if now-h.idleSince >= linger {
		h.ReturnIdle()
	}
}

// TakeReturned returns and clears what was given back, ordered by name.
func (h *Holder) TakeReturned() []protocol.Held {
	out := heldList(h.returned)
	clear(h.returned)
	return out
}

// HasReturned reports whether TakeReturned would return anything.
func (h *Holder) HasReturned() bool { return len(h.returned) > 0 }

// Expire voids the free slots and what was to be given back, once the lease
// has run out. Running requests go on to their end.
func (h *Holder) Expire() {
	clear(h.returned)
	h.granted, h.owed = 0, 0
	for name, s := range h.servers {
		s.held = s.running
		h.tidy(name)
	}
}

// Held returns what is held for a new session's Hello, ordered by name.
// Slots about to be given back count as given back.
func (h *Holder) Held() []protocol.Held {
	clear(h.returned)
	h.owed = 0
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

// tidy forgets a server of which nothing is held or used.
func (h *Holder) tidy(name string) {
	if s := h.servers[name]; s != nil && s.held <= 0 && s.running == 0 {
		delete(h.servers, name)
	}
}

// heldList returns what is above zero, ordered by name.
func heldList(m map[string]int) []protocol.Held {
	var out []protocol.Held
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if m[name] > 0 {
			out = append(out, protocol.Held{Server: name, Slots: m[name]})
		}
	}
	return out
}
