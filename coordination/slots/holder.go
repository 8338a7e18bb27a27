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
	granted   int // slots granted and not used since
	owed      int // slots recalled that were not free
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
	h.granted += max(n, 0)
	h.idleSince = now
}

// Start uses one free slot. The caller has checked Free.
func (h *Holder) Start(server string) {
	h.server(server).running++
	h.granted = max(h.granted-1, 0)
}

// Granted reports whether a granted slot is still unused. The allocator knows
// the fleet better than the router does, so its grant is used without looking
// at the floor again. (Looking again was tried: a floor that had just passed
// sent the slot back, and allocator and router returned it to each other.)
func (h *Holder) Granted() bool { return h.granted > 0 }

// Done ends the use of a slot, which is free again unless the lease ran out
// meanwhile.
func (h *Holder) Done(now time.Duration, server string) {
	s := h.server(server)
	s.running = max(s.running-1, 0)
	h.idleSince = now
	if h.owed > 0 && h.Free(server) > 0 {
		h.Return(server, 1)
		h.owed--
	}
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
	h.granted = min(h.granted, h.Idle())
	h.tidy(server)
}

// Recall gives back n slots: free ones, from the server with most of them
// first, then those that become free next.
func (h *Holder) Recall(n int) {
	h.owed = min(h.owed+n, h.total())
	for h.owed > 0 {
		best := ""
		for _, name := range h.FreeServers() {
			if best == "" || h.Free(name) > h.Free(best) {
				best = name
			}
		}
		if best == "" {
			return
		}
		h.Return(best, 1)
		h.owed--
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

// total is the number of slots held.
func (h *Holder) total() int {
	n := 0
	for _, s := range h.servers {
		n += s.held
	}
	return n
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
	Keep   Action = iota // nothing to run here, and enough slots elsewhere
	Use                  // start the account that goes next here
	Return               // give the slot back
)

// ViewLife is how long a router acts on what the allocator last said about
// the fleet. An older view is ignored: a slot in use is better than a slot
// returned to nobody.
const ViewLife = time.Second

// Fleet is what a router knows of the rest of the fleet in one pool.
type Fleet struct {
	Short bool // more work waits in the fleet than slots are free
	Floor float64
	Slack float64
	Rate  float64       // how fast the floor rises, a second
	At    time.Duration // when the view was received
}

// limit is the virtual time up to which a slot may be used again. The floor
// has risen since it was told; without that, a router mistook its own share of
// the rise for being ahead and gave back every slot between two views.
func (f Fleet) limit(now time.Duration) float64 {
	return f.Floor + f.Rate*(now-f.At).Seconds() + f.Slack
}

// Fresh reports whether the view may still be acted on.
func (f Fleet) Fresh(now time.Duration) bool { return now-f.At <= ViewLife }

// Decide tells what to do with a free slot. best is the virtual time of the
// account that goes next here, or +Inf when nothing waits here.
func Decide(now time.Duration, best float64, granted bool, f Fleet) Action {
	wanted := f.Short && f.Fresh(now)
	switch {
	case math.IsInf(best, 1) && wanted:
		return Return
	case math.IsInf(best, 1):
		return Keep // the allocator recalls what it needs
	case granted:
		return Use
	case wanted && best > f.limit(now):
		return Return
	}
	return Use
}
