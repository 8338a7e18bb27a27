// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the router's side: Holder, the slots of one pool that a
// router holds, and Decide, what to do with one that is free.

// Holder is the slots of one pool held by one router.
type Holder struct {
	servers   map[string]*heldServer
	returned  map[string]int
	idleSince time.Duration
}

type heldServer struct {
	held    int
	running int
}

// NewHolder returns a holder without slots.
func NewHolder() *Holder {
	return &Holder{servers: map[string]*heldServer{}, returned: map[string]int{}}
}

// Grant adds slots of a backend server.
func (h *Holder) Grant(now time.Duration, server string, n int) {
	h.server(server).held += max(n, 0)
	h.idleSince = now
}

// Start uses one free slot. The caller has checked Free.
func (h *Holder) Start(server string) { h.server(server).running++ }

// Done ends the use of a slot, which is free again unless the lease ran out
// meanwhile.
func (h *Holder) Done(now time.Duration, server string) {
	s := h.server(server)
	s.running = max(s.running-1, 0)
	h.idleSince = now
	h.tidy(server)
}

// Free returns the number of slots of a server that are held and not in use.
func (h *Holder) Free(server string) int {
	s := h.servers[server]
	if s == nil {
		return 0
	}
	return max(s.held-s.running, 0)
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
	for name := range h.servers {
		if h.Free(name) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Idle returns the number of free slots.
func (h *Holder) Idle() int {
	n := 0
	for name := range h.servers {
		n += h.Free(name)
	}
	return n
}

// Return gives back up to n free slots of a server.
func (h *Holder) Return(server string, n int) {
	n = min(n, h.Free(server))
	if n <= 0 {
		return
	}
	h.servers[server].held -= n
	h.returned[server] += n
	h.tidy(server)
}

// ReturnIdle gives back every free slot.
func (h *Holder) ReturnIdle() {
	for _, name := range h.FreeServers() {
		h.Return(name, h.Free(name))
	}
}

// ReturnLingering gives back every free slot once none was used for linger.
func (h *Holder) ReturnLingering(now, linger time.Duration) {
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

// Expire is called when the lease ran out: free slots are void, and so is
// what was to be given back. Running requests go on to their end.
func (h *Holder) Expire() {
	clear(h.returned)
	for name, s := range h.servers {
		s.held = s.running
		h.tidy(name)
	}
}

// Held returns what is held for a new session's Hello, ordered by name.
// Slots about to be given back count as given back.
func (h *Holder) Held() []protocol.Held {
	clear(h.returned)
	counts := map[string]int{}
	for name, s := range h.servers {
		if n := max(s.held, s.running); n > 0 {
			counts[name] = n
		}
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

func (h *Holder) tidy(name string) {
	if s := h.servers[name]; s != nil && s.held <= 0 && s.running == 0 {
		delete(h.servers, name)
	}
}

func heldList(m map[string]int) []protocol.Held {
	var out []protocol.Held
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if m[name] > 0 {
			out = append(out, protocol.Held{Server: name, Slots: m[name]})
		}
	}
	return out
}

// Action is what to do with a free slot.
type Action uint8

// The actions.
const (
	Keep   Action = iota // nothing to run here, and nobody else waits
	Use                  // start the account that goes next here
	Return               // give the slot back
)

// ViewLife is how long a router acts on what the allocator last said about
// the fleet. An older view is ignored: a slot in use is better than a slot
// returned to nobody.
const ViewLife = time.Second

// Fleet is what a router knows of the rest of the fleet in one pool.
type Fleet struct {
	Unmet bool
	Floor float64
	Slack float64
	At    time.Duration // when the view was received
}

// Fresh reports whether the view may still be acted on.
func (f Fleet) Fresh(now time.Duration) bool { return now-f.At <= ViewLife }

// Decide tells what to do with a free slot. best is the virtual time of the
// account that goes next here, or +Inf when nothing waits here.
func Decide(now time.Duration, best float64, f Fleet) Action {
	wanted := f.Unmet && f.Fresh(now)
	switch {
	case math.IsInf(best, 1) && wanted:
		return Return
	case math.IsInf(best, 1):
		return Keep
	case wanted && best > f.Floor+f.Slack:
		return Return
	}
	return Use
}
