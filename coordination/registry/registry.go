// SPDX-License-Identifier: Apache-2.0

// Package registry keeps which backend servers have announced themselves.
//
// The model: soft state on the leader. A backend server announces itself again and
// again under an identifier that is new at each of its starts; one that falls
// silent is not removed (its callers know better whether it answers) but
// replaced when another announces the same address. Departures are not soft:
// the caller keeps them in a replicated log and asks [Registry] only about
// backend servers that have not departed. A new leader starts empty and is complete
// once every backend server has had the time to announce itself ([Registry.Complete]).
//
// Nothing here is safe for concurrent use, and nothing reads a clock.
package registry

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	ID      string
	Pool    string
	Address string // IP:PORT
	Hall    string
	Slots   int
	Leaving bool
	Seq     uint64 // rises with each announcement of one ID
}

// Invalid refuses an announcement that cannot be meant.
type Invalid struct{ What string }

// Error says what is wrong.
func (e Invalid) Error() string { return "senseless announcement: " + e.What }

// Check returns [Senseless], or nil.
func (a Announcement) Check() error {
	if a.ID == "" || a.Pool == "" {
		return Invalid{What: "no identifier or no pool"}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return Invalid{What: fmt.Sprintf("address %q is not IP:PORT", a.Address)}
	}
	if a.Slots < 0 {
		return Invalid{What: fmt.Sprintf("%d slots", a.Slots)}
	}
	return nil
}

// Server is a backend server that may be used.
type Server struct {
	Announcement
	Handle   uint32        // short name within this registry
	LastSeen time.Duration // when it last announced itself
}

// Change is what an announcement changed.
type Change struct {
	Set  []Server
	Gone []string
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Set) == 0 && len(c.Gone) == 0 }

// Registry is the table of announced backend servers.
type Registry struct {
	leaderSince time.Duration
	interval    time.Duration // between announcements
	servers     map[string]*Server
	byAddress   map[string]string // identifier by address
	next        uint32
}

// completeAfter is the number of announcement intervals after which every
// backend server that is alive has been heard: one may be late or lost.
const completeAfter = 3

// forgetAfter is the number of intervals of silence after which a backend server is
// forgotten. It is long: what a backend server's callers see of it counts more.
const forgetAfter = 40

// New returns an empty registry of a leader that begins to lead now.
func New(now, interval time.Duration) *Registry {
	return &Registry{
		leaderSince: now, interval: interval,
		servers: map[string]*Server{}, byAddress: map[string]string{}, next: 1,
	}
}

// Restore adds a backend server of which another leader heard, before anybody has
// spoken here. Any announcement goes before it.
func (r *Registry) Restore(now time.Duration, a Announcement) {
	a.Seq = 0
	if r.servers[a.ID] == nil && r.byAddress[a.Address] == "" {
		r.add(now, a)
	}
}

// Announce takes an announcement of a backend server that has not departed. A late
// one, with a number that is not above the last, changes nothing.
func (r *Registry) Announce(now time.Duration, a Announcement) Change {
	b := r.servers[a.ID]
	if b == nil {
		return r.add(now, a)
	}
	if a.Seq <= b.Seq {
		return Change{}
	}
	same := b.Pool == a.Pool && b.Address == a.Address && b.Hall == a.Hall && b.Slots == a.Slots
	b.Announcement, b.LastSeen = a, now
	if same {
		return Change{}
	}
	return Change{Set: []Server{*b}}
}

func (r *Registry) add(now time.Duration, a Announcement) Change {
	var gone []string
	if old, taken := r.byAddress[a.Address]; taken {
		delete(r.servers, old)
		gone = append(gone, old)
	}
	b := &Server{Announcement: a, Handle: r.next, LastSeen: now}
	r.next++
	r.servers[a.ID] = b
	r.byAddress[a.Address] = a.ID
	return Change{Set: []Server{*b}, Gone: gone}
}

// Remove takes out a backend server that has departed. Gone names it even if it was
// not known here: a caller may know it.
func (r *Registry) Remove(id string) Change {
	if b := r.servers[id]; b != nil {
		delete(r.servers, id)
		if r.byAddress[b.Address] == id {
			delete(r.byAddress, b.Address)
		}
	}
	return Change{Gone: []string{id}}
}

// ExpireSilent takes out backend servers that have been silent for very long.
func (r *Registry) ExpireSilent(now time.Duration) Change {
	var change Change
	for _, b := range r.List() {
		if now-b.LastSeen > forgetAfter*r.interval {
			change.Gone = append(change.Gone, r.Remove(b.ID).Gone...)
		}
	}
	return change
}

// Complete reports whether every living backend server has had the time to announce
// itself here.
func (r *Registry) Complete(now time.Duration) bool {
	return now-r.leaderSince >= completeAfter*r.interval
}

// List returns all backend servers, ordered by identifier.
func (r *Registry) List() []Server {
	list := make([]Server, 0, len(r.servers))
	for _, b := range r.servers {
		list = append(list, *b)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Size returns the number of backend servers.
func (r *Registry) Size() int { return len(r.servers) }
