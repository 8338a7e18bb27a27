// SPDX-License-Identifier: Apache-2.0

// Package registry holds the announced backend servers. It decides which server owns an address,
// when a silent server is removed, when the list is complete, and at what pace gateways and the
// leader exchange messages.
//
// The registry is soft state on the leader. A backend server announces itself once per interval,
// under an identifier that is new at each start. A silent server is not removed soon, but replaced
// when another one announces the same address. Announcements may arrive seconds late, even after
// the sender's end. Therefore, of two identifiers at one address, the one with the smaller sequence
// number counts as the later start: each start numbers its announcements from 1, and all announce
// at the same interval.
//
// Alternatives considered:
//   - The later arrival wins: a late announcement takes the address from the live server until that
//     announces itself again.
//   - The departure of a replaced server is logged: a wrong one could not be undone.
//   - Replaced identifiers are kept for a while: a server that was wrongly replaced must be able to
//     come back, and a new leader does not have them.
//
// A relay that serves gateways in place of the leader holds the leader's list as a [Copy], and
// merges its gateways' reports in a [ReportAggregator].
//
// Departures are not soft state: the caller keeps them in a replicated log, and passes on
// announcements only of backend servers that have not departed. A new leader starts from the
// registrations in the log. Its list is complete once all servers had the time to announce
// themselves.
//
// Nothing here is safe for concurrent use, and nothing reads a clock: now is the replica's
// monotonic time.
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

// Announcement is a backend server's report about itself.
type Announcement struct {
	protocol.Registration
	Leaving  bool
	Seq      uint64        // increases with each announcement of one ID
	ColdLeft time.Duration // remaining time in which it can serve only few requests
}

// InvalidAnnouncement is the error for an announcement that fails [Announcement.Check].
type InvalidAnnouncement struct{ Reason string }

// Error returns the reason.
func (e InvalidAnnouncement) Error() string { return "invalid announcement: " + e.Reason }

// Check returns an [InvalidAnnouncement] error if a field is missing or out of range.
func (a Announcement) Check() error {
	if a.ID == "" || a.Pool == "" {
		return InvalidAnnouncement{Reason: "the identifier or the pool is missing"}
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return InvalidAnnouncement{Reason: fmt.Sprintf("address %q is not IP:PORT", a.Address)}
	}
	if ip := address.Addr(); address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return InvalidAnnouncement{Reason: fmt.Sprintf("address %q does not identify one server", a.Address)}
	}
	if len(a.Version) > document.MaxVersionName {
		return InvalidAnnouncement{Reason: fmt.Sprintf("the version name has %d bytes, more than %d", len(a.Version), document.MaxVersionName)}
	}
	if a.Slots < 0 {
		return InvalidAnnouncement{Reason: fmt.Sprintf("the number of slots is %d", a.Slots)}
	}
	if a.ColdLeft < 0 || a.ColdLeft > maxColdTime {
		return InvalidAnnouncement{Reason: fmt.Sprintf("the cold time of %v is not between 0 and %v", a.ColdLeft, maxColdTime)}
	}
	return nil
}

// Change is the effect of an announcement or a departure on the list.
type Change struct {
	Set  []protocol.Server // new or changed
	Gone []string          // identifiers
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Set) == 0 && len(c.Gone) == 0 }

// Merge returns both changes as one. Of two changes to one backend server, the later one counts.
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
	leaderSince   time.Duration
	interval      time.Duration // between two announcements of one backend server
	servers       map[string]*entry
	byAddress     map[string]string // identifiers by address
	byHandle      map[uint32]string // identifiers by handle
	byName        map[string]string // identifiers of the newest lives by server name
	handles       *Handles
	coldUntil     time.Duration       // no server is cold from then on
	counts        map[location]int    // number of servers
	versions      map[poolVersion]int // number of servers; 0 until the next ObserveVersions
	replaced      map[string]bool     // identifiers of replaced lives
	replacedOrder []string            // the same, oldest first
}

type entry struct {
	protocol.Server
	seq      uint64        // of the last announcement; 0 if restored
	lastSeen time.Duration // when it was last announced or restored
	cold     coldState
}

// completeAfterIntervals is how long a new leader waits before its list counts as complete, in
// announcement intervals: one announcement may be late and one lost.
const completeAfterIntervals = 3

// expireAfterIntervals is the silence after which a backend server is removed, in announcement
// intervals. It is long because gateways detect a dead server sooner; the limit only bounds the
// size of the table.
const expireAfterIntervals = 40

// Parameters that decide which of two backend servers owns an address.
const (
	// maxInitialSeq is the largest sequence number of a server that has just started: one
	// announcement may have got no answer.
	maxInitialSeq = 2
	// aliveIntervals is how long a backend server that is not silent counts as alive after an announcement, in
	// announcement intervals: one may be late.
	aliveIntervals = 2
	// maxSilence is how much longer it counts as alive, because a sound server may send nothing for a while.
	maxSilence = 1500 * time.Millisecond
)

// New returns an empty registry of a replica that leads from now on. handles assigns the servers'
// handles.
func New(now, interval time.Duration, handles *Handles) *Registry {
	return &Registry{
		leaderSince: now, interval: interval, handles: handles,
		servers: map[string]*entry{}, byAddress: map[string]string{}, byHandle: map[uint32]string{}, byName: map[string]string{},
		counts: map[location]int{}, versions: map[poolVersion]int{}, replaced: map[string]bool{},
	}
}

// Restore adds a backend server that announced itself to an earlier leader. It has no effect if a
// server with its identifier, address or name is listed.
func (r *Registry) Restore(now time.Duration, s protocol.Registration) {
	name, _ := protocol.SplitLife(s.ID)
	if r.servers[s.ID] == nil && r.byAddress[s.Address] == "" && r.byName[name] == "" {
		r.add(now, s, 0)
	}
}

// Announce applies an announcement of a backend server that has not departed. A late one changes
// nothing: its sequence number is not above the last one, or its address belongs to a server that
// started later.
func (r *Registry) Announce(now time.Duration, a Announcement) Change {
	e := r.servers[a.ID]
	if e == nil && (r.isEarlierLife(now, a.ID) || r.isSuperseded(now, a)) {
		return Change{}
	}
	if e == nil {
		before := r.replaceEarlierLife(a.ID)
		change := r.add(now, a.Registration, a.Seq)
		change.Gone = append(before, change.Gone...)
		e = r.servers[a.ID]
		e.cold = e.cold.withAnnounced(now, a.ColdLeft)
		r.coldUntil = max(r.coldUntil, e.cold.until)
		change.Set[0] = e.toServer(now)
		return change
	}
	if a.Seq <= e.seq {
		return Change{}
	}
	before, coldBefore := e.Registration, e.cold
	r.adjustCount(e.Registration, -1)
	e.Registration, e.seq, e.lastSeen = a.Registration, a.Seq, now
	r.adjustCount(e.Registration, 1)
	e.cold = e.cold.withAnnounced(now, a.ColdLeft)
	r.coldUntil = max(r.coldUntil, e.cold.until)
	if before == a.Registration && e.cold.until == coldBefore.until {
		return Change{}
	}
	var gone []string
	if before.Address != a.Address {
		delete(r.byAddress, before.Address)
		gone = r.claimAddress(a.Registration)
	}
	return Change{Set: []protocol.Server{e.toServer(now)}, Gone: gone}
}

// FullAnnouncement returns the announcement for which m stands: that of a listed backend server
// that has not changed and is not cold. ok is false if no server has the handle.
func (r *Registry) FullAnnouncement(m protocol.UnchangedAnnouncement) (a Announcement, ok bool) {
	id, ok := r.byHandle[m.Handle]
	if !ok {
		return Announcement{}, false
	}
	return Announcement{Registration: r.servers[id].Registration, Seq: m.Seq}, true
}

// isSuperseded reports whether an unlisted backend server ended before the present one at its
// address started. A server that was listed by an earlier leader and has not announced itself here
// has no sequence number yet. It counts as the later start for as long as it may be alive.
func (r *Registry) isSuperseded(now time.Duration, a Announcement) bool {
	present := r.servers[r.byAddress[a.Address]]
	if present != nil && sameServer(present.ID, a.ID) {
		return false // two lives of one server are ordered by their start
	}
	return present != nil && r.mayBeAlive(now, present) && a.Seq > max(present.seq, maxInitialSeq)
}

// mayBeAlive reports whether a listed backend server may be alive: it has announced itself lately.
func (r *Registry) mayBeAlive(now time.Duration, e *entry) bool {
	return now-e.lastSeen <= aliveIntervals*r.interval+maxSilence
}

// claimAddress gives a backend server its address, and removes and returns any other server there.
func (r *Registry) claimAddress(s protocol.Registration) (gone []string) {
	if old, taken := r.byAddress[s.Address]; taken {
		r.Remove(old)
		gone = append(gone, old)
	}
	r.byAddress[s.Address] = s.ID
	return gone
}

// add adds a backend server.
func (r *Registry) add(now time.Duration, s protocol.Registration, seq uint64) Change {
	gone := r.claimAddress(s)
	e := &entry{Server: protocol.Server{Registration: s, Handle: r.handles.Assign(s.ID)}, seq: seq, lastSeen: now}
	r.servers[s.ID], r.byHandle[e.Handle] = e, s.ID
	r.adjustCount(s, 1)
	name, _ := protocol.SplitLife(s.ID)
	r.byName[name] = s.ID
	return Change{Set: []protocol.Server{e.toServer(now)}, Gone: gone}
}

// toServer returns the entry as it is sent to gateways.
func (e *entry) toServer(now time.Duration) protocol.Server {
	s := e.Server
	s.Cold = e.cold.forGateways(now)
	return s
}

// Remove removes a backend server that has departed.
func (r *Registry) Remove(id string) {
	if e := r.servers[id]; e != nil {
		r.adjustCount(e.Registration, -1)
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

// ExpireSilent removes backend servers that have been silent for more than expireAfterIntervals.
func (r *Registry) ExpireSilent(now time.Duration) Change {
	var change Change
	for id, e := range r.servers {
		if now-e.lastSeen > expireAfterIntervals*r.interval {
			change.Gone = append(change.Gone, id)
		}
	}
	slices.Sort(change.Gone)
	for _, id := range change.Gone {
		r.Remove(id)
	}
	return change
}

// Complete reports whether every running backend server has had the time to announce itself here.
func (r *Registry) Complete(now time.Duration) bool {
	return now-r.leaderSince >= completeAfterIntervals*r.interval
}

// Diff returns the servers that gateways with the list of c lack, and the lives that c has and this
// registry does not: these may still announce themselves.
func (r *Registry) Diff(now time.Duration, c *Copy) (set []protocol.Server, missing []string) {
	for _, s := range r.List(now) {
		e, listed := c.servers[s.ToWire().ID]
		if !listed || e.Registration != s.ToWire() || s.Cold != nil || now < e.coldUntil {
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

// ReleaseUnlisted releases the handles of those of the lives that are not listed, and returns these
// lives.
func (r *Registry) ReleaseUnlisted(lives []string) []string {
	missing := slices.DeleteFunc(slices.Clone(lives), func(id string) bool { return r.servers[id] != nil })
	for _, id := range missing {
		r.handles.Release(id)
	}
	return missing
}

// Len returns the number of backend servers.
func (r *Registry) Len() int { return len(r.servers) }

// List returns all backend servers as they are sent to gateways, ordered by identifier.
func (r *Registry) List(now time.Duration) []protocol.Server {
	list := make([]protocol.Server, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		list = append(list, r.servers[id].toServer(now))
	}
	return list
}
