// SPDX-License-Identifier: Apache-2.0

// Package registry keeps which backend servers have announced themselves. It decides
// who owns an address, who is forgotten, when the list is complete, and the pace of the
// gateways' sessions with the leader.
//
// The model: soft state on the leader. A backend server announces itself once in each
// interval, under an identifier that is new at each of its starts; one that falls
// silent is not removed soon but replaced when another announces the same address.
// Announcements may be seconds late, also beyond the end of their sender. So of two
// identifiers at one address the one with the smaller number is taken for the later
// start: each start numbers its announcements from 1, and both announce at one interval.
// Ways weighed: the later arrival wins (a late announcement takes the address from the
// live server until that announces itself again); departures logged
// for whoever is replaced (a wrong one would be for good); the replaced identifiers
// kept for a while (one that was wrongly replaced must be able to come back, and a new
// leader does not have them).
//
// Where gateways are served by a relay in place of the leader, it has the leader's list as a
// Copy, and adds up its gateways' reports in Sums.
//
// Departures are not soft: the caller keeps them in a replicated log and passes on only
// the announcements of backend servers that have not departed. A new leader starts from
// the registrations in the log and is complete once all had the time to announce
// themselves.
//
// Nothing here is safe for concurrent use, and nothing reads a clock: now is the
// replica's monotonic time.
package registry

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines Registry, the table of announced backend servers.

// Announcement is what a backend server reports about itself.
type Announcement struct {
	protocol.Registration
	Leaving  bool
	Seq      uint64        // rises with each announcement of one ID
	ColdLeft time.Duration // for which it still bears few requests
}

// Invalid refuses an announcement. Nothing was changed.
type Invalid struct{ What string }

// Error names what is wrong.
func (e Invalid) Error() string { return "invalid announcement: " + e.What }

// Check returns [Invalid], or nil.
func (a Announcement) Check() error {
	if a.ID == "" || a.Pool == "" {
		return Invalid{What: "no identifier or no pool"}
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return Invalid{What: fmt.Sprintf("address %q is not IP:PORT", a.Address)}
	}
	if ip := address.Addr(); address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return Invalid{What: fmt.Sprintf("address %q is of no single server", a.Address)}
	}
	if len(a.Version) > document.MaxVersionName {
		return Invalid{What: fmt.Sprintf("a version's name of %d bytes", len(a.Version))}
	}
	if a.Slots < 0 {
		return Invalid{What: fmt.Sprintf("%d slots", a.Slots)}
	}
	if a.ColdLeft < 0 || a.ColdLeft > longestCold {
		return Invalid{What: fmt.Sprintf("cold for %v", a.ColdLeft)}
	}
	return nil
}

// Change is what an announcement or a departure changed.
type Change struct {
	Set  []protocol.Server // new or changed
	Gone []string          // identifiers
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Set) == 0 && len(c.Gone) == 0 }

// Merge returns both changes as one, a later one of a backend server in place of the
// earlier.
func (c Change) Merge(next Change) Change {
	switch {
	case next.Empty():
		return c
	case c.Empty():
		return next
	}
	later := make(map[string]bool, len(next.Set)+len(next.Gone))
	for _, s := range next.Set {
		later[s.ID] = true
	}
	for _, id := range next.Gone {
		later[id] = true
	}
	set := slices.DeleteFunc(slices.Clone(c.Set), func(s protocol.Server) bool { return later[s.ID] })
	gone := slices.DeleteFunc(slices.Clone(c.Gone), func(id string) bool { return later[id] })
	return Change{Set: append(set, next.Set...), Gone: append(gone, next.Gone...)}
}

// Registry is the table of announced backend servers.
type Registry struct {
	leaderSince time.Duration
	interval    time.Duration // between two announcements of one backend server
	servers     map[string]*entry
	byAddress   map[string]string // identifier by address
	byHandle    map[uint32]string // the same by handle
	byName      map[string]string // the same of the newest life, by the server's name
	handles     *Handles
	coldUntil   time.Duration   // no server is cold from then on
	counts      map[stand]int   // servers by pool and data hall
	succeeded   map[string]bool // earlier lives, of servers that have announced a later one
	oldest      []string        // the same, oldest first
}

type entry struct {
	protocol.Server
	seq      uint64        // of the last announcement; 0 if restored
	lastSeen time.Duration // time of the last announcement, or of the restoring
	cold     coldness
}

// completeAfter is how long a leader waits, in announcement intervals, before it takes its list for
// complete: one announcement may be late and one lost.
const completeAfter = 3

// forgetAfter is the silence, in announcement intervals, after which a backend server is forgotten. It
// is long because gateways see sooner whether the server answers; this bound only keeps the table from
// growing.
const forgetAfter = 40

// Which of two backend servers has an address.
const (
	// firstNumbers are of a backend server that has just started: one announcement may have got no
	// answer.
	firstNumbers = 2
	// aliveFor is how long a backend server counts as alive after an announcement, in intervals: one
	// may be late.
	aliveFor = 2
)

// New returns an empty registry of a replica that leads from now on. Its servers get their handles
// from some.
func New(now, interval time.Duration, handles *Handles) *Registry {
	return &Registry{
		leaderSince: now, interval: interval, handles: handles,
		servers: map[string]*entry{}, byAddress: map[string]string{}, byHandle: map[uint32]string{}, byName: map[string]string{},
		counts: map[stand]int{}, succeeded: map[string]bool{},
	}
}

// Restore adds a backend server that announced itself to an earlier leader. Any
// announcement to this one goes before it.
func (r *Registry) Restore(now time.Duration, s protocol.Registration) {
	name, _ := protocol.SplitLife(s.ID)
	if r.servers[s.ID] == nil && r.byAddress[s.Address] == "" && r.byName[name] == "" {
		r.add(now, s, 0)
	}
}

// Announce takes an announcement of a backend server that has not departed. A late
// one changes nothing: one with a number that is not above the last, and one of a backend
// server whose address another one has that started later.
func (r *Registry) Announce(now time.Duration, a Announcement) Change {
	e := r.servers[a.ID]
	if e == nil && (r.earlierLife(now, a.ID) || r.outlived(now, a)) {
		return Change{}
	}
	if e == nil {
		before := r.succeed(a.ID)
		change := r.add(now, a.Registration, a.Seq)
		change.Gone = append(before, change.Gone...)
		e = r.servers[a.ID]
		e.cold = e.cold.withAnnounced(now, a.ColdLeft)
		r.coldUntil = max(r.coldUntil, e.cold.until)
		change.Set[0] = e.server(now)
		return change
	}
	if a.Seq <= e.seq {
		return Change{}
	}
	before, coldBefore := e.Registration, e.cold
	r.count(e.Registration, -1)
	e.Registration, e.seq, e.lastSeen = a.Registration, a.Seq, now
	r.count(e.Registration, 1)
	e.cold = e.cold.withAnnounced(now, a.ColdLeft)
	r.coldUntil = max(r.coldUntil, e.cold.until)
	if before == a.Registration && e.cold.until == coldBefore.until {
		return Change{}
	}
	var gone []string
	if before.Address != a.Address {
		delete(r.byAddress, before.Address)
		gone = r.occupy(a.Registration)
	}
	return Change{Set: []protocol.Server{e.server(now)}, Gone: gone}
}

// Again returns the announcement of a listed backend server that has not changed and is not
// cold. ok is false if no server has the handle any more.
func (r *Registry) Again(m protocol.AnnouncedAgain) (a Announcement, ok bool) {
	id, ok := r.byHandle[m.Handle]
	if !ok {
		return Announcement{}, false
	}
	return Announcement{Registration: r.servers[id].Registration, Seq: m.Seq}, true
}

// outlived reports whether the announcement of an unlisted backend server is of one that
// ended before the present one at its address started. One that was listed by an earlier
// leader and has not announced itself here has no number yet, and counts as the later
// start for as long as it may be alive.
func (r *Registry) outlived(now time.Duration, a Announcement) bool {
	present := r.servers[r.byAddress[a.Address]]
	if present != nil && sameName(present.ID, a.ID) {
		return false // which is the later one is known
	}
	return present != nil && now-present.lastSeen <= aliveFor*r.interval && a.Seq > max(present.seq, firstNumbers)
}

// occupy gives a backend server its address, and removes and returns any other one
// there.
func (r *Registry) occupy(s protocol.Registration) (gone []string) {
	if old, taken := r.byAddress[s.Address]; taken {
		r.Remove(old)
		gone = append(gone, old)
	}
	r.byAddress[s.Address] = s.ID
	return gone
}

// add adds a backend server.
func (r *Registry) add(now time.Duration, s protocol.Registration, seq uint64) Change {
	gone := r.occupy(s)
	e := &entry{Server: protocol.Server{Registration: s, Handle: r.handles.Assign(s.ID)}, seq: seq, lastSeen: now}
	r.servers[s.ID], r.byHandle[e.Handle] = e, s.ID
	r.count(s, 1)
	name, _ := protocol.SplitLife(s.ID)
	r.byName[name] = s.ID
	return Change{Set: []protocol.Server{e.server(now)}, Gone: gone}
}

// server returns the entry as gateways are sent it.
func (e *entry) server(now time.Duration) protocol.Server {
	s := e.Server
	s.Cold = e.cold.sent(now)
	return s
}

// Remove removes a backend server that has departed.
func (r *Registry) Remove(id string) {
	if e := r.servers[id]; e != nil {
		r.count(e.Registration, -1)
		delete(r.servers, id)
		delete(r.byHandle, e.Handle)
		r.handles.Release(id)
		if r.byAddress[e.Address] == id {
			delete(r.byAddress, e.Address)
		}
		if name, _ := protocol.SplitLife(id); r.byName[name] == id {
			delete(r.byName, name)
		}
	}
}

// ExpireSilent removes backend servers that have been silent for more than
// forgetAfter intervals.
func (r *Registry) ExpireSilent(now time.Duration) Change {
	var change Change
	for id, e := range r.servers {
		if now-e.lastSeen > forgetAfter*r.interval {
			change.Gone = append(change.Gone, id)
		}
	}
	slices.Sort(change.Gone)
	for _, id := range change.Gone {
		r.Remove(id)
	}
	return change
}

// Complete reports whether every backend server that runs has had the time to
// announce itself here.
func (r *Registry) Complete(now time.Duration) bool {
	return now-r.leaderSince >= completeAfter*r.interval
}

// Diff returns the servers that gateways lack which have a copy's, and the lives that the copy has
// and this registry does not: they may announce themselves yet.
func (r *Registry) Diff(now time.Duration, c *Copy) (set []protocol.Server, missing []string) {
	for _, s := range r.List(now) {
		e, listed := c.servers[s.Sent().ID]
		if !listed || e.Registration != s.Sent() || s.Cold != nil || now < e.coldUntil {
			set = append(set, s)
		}
	}
	for _, e := range c.servers {
		if life := lifeOf(e.Registration); r.servers[life] == nil {
			missing = append(missing, life)
		}
	}
	slices.Sort(missing)
	return set, missing
}

// ForgetUnlisted forgets and returns those of some lives that are not listed.
func (r *Registry) ForgetUnlisted(lives []string) []string {
	missing := slices.DeleteFunc(slices.Clone(lives), func(id string) bool { return r.servers[id] != nil })
	for _, id := range missing {
		r.handles.Release(id)
	}
	return missing
}

// Len returns the number of backend servers.
func (r *Registry) Len() int { return len(r.servers) }

// List returns all backend servers, ordered by identifier, as gateways are sent them.
func (r *Registry) List(now time.Duration) []protocol.Server {
	list := make([]protocol.Server, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		list = append(list, r.servers[id].server(now))
	}
	return list
}
