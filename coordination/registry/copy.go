// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Copy, the leader's list as a replica has it that passes it on.
//
// A copy outlives its leader. When the next one sends its whole list, the gateways are passed only
// what differs: their servers have the same handles, which are this replica's own.

// goneKept is the number of newest departures that a copy keeps for those who are sent all of it: a
// list that is not complete does not show what must be dropped. As many as the leader sends itself
// (listedDepartures of package directory).
const goneKept = 256

// Copy is the list of backend servers as leaders have sent it.
type Copy struct {
	handles     *Handles
	term        uint64
	complete    bool
	session     uint64            // counts the whole lists that were taken
	servers     map[string]copied // by the name in the registration as sent
	byAddress   map[string]string // the same by address
	gone        []string          // newest last
	hallsOut    []string
	hallChanges uint64
	coldUntil   time.Duration // no server is cold from then on

	own    map[uint32]uint32 // handle by the leader's
	theirs map[uint32]uint32 // the leader's by handle
}

// copied is one server, with this replica's handle.
type copied struct {
	protocol.Server
	coldUntil time.Duration // by this box's clock
	session   uint64        // in which the leader had it
}

// NewCopy returns an empty copy, whose servers get their handles from some.
func NewCopy(handles *Handles) Copy {
	return Copy{
		handles: handles, servers: map[string]copied{}, byAddress: map[string]string{},
		own: map[uint32]uint32{}, theirs: map[uint32]uint32{},
	}
}

// CopyOf returns a copy of what a registry lists, as of a leader whose term ends.
func CopyOf(now time.Duration, r *Registry, term uint64, hallsOut []string, hallChanges uint64) Copy {
	c := NewCopy(r.handles)
	list := protocol.Servers{Set: r.List(now)}.Sent(r.IsListed).Set
	c.Apply(now, protocol.Servers{Term: term, Whole: true, Set: list, HallsOut: hallsOut, HallChanges: hallChanges})
	return c
}

// Apply takes a message of the leader, and returns what the gateways that have this copy are to be
// sent.
func (c *Copy) Apply(now time.Duration, m protocol.Servers) protocol.Servers {
	if m.Whole {
		c.begin()
	}
	c.term, c.complete = m.Term, c.complete || m.Complete
	if m.HallChanges > c.hallChanges {
		c.hallsOut, c.hallChanges = m.HallsOut, m.HallChanges
	}
	for _, id := range m.Gone {
		c.drop(id)
	}
	c.gone = append(c.gone, m.Gone...)
	c.gone = c.gone[max(len(c.gone)-goneKept, 0):]
	passed := c.Header()
	passed.Gone, passed.Complete = m.Gone, m.Complete
	for _, s := range m.Set {
		if own, changed := c.set(now, s); changed || !m.Whole && !m.Part {
			passed.Set = append(passed.Set, own)
		}
	}
	if m.Complete {
		passed.Unlisted = c.dropUnlisted()
	}
	return passed
}

// begin begins the session with a leader, whose handles are others.
func (c *Copy) begin() {
	c.session++
	c.complete, c.gone = false, nil
	clear(c.own)
	clear(c.theirs)
}

// set adds or changes a server, which replaces another one at its address. It returns the server
// with its handle here, and whether it was listed otherwise or not at all.
func (c *Copy) set(now time.Duration, s protocol.Server) (own protocol.Server, changed bool) {
	before, listed := c.servers[s.ID]
	theirs := s.Handle
	s.Handle = c.handles.Assign(lifeOf(s.Registration))
	c.own[theirs], c.theirs[s.Handle] = s.Handle, theirs
	same := listed && before.Registration == s.Registration && s.Cold == nil && now >= before.coldUntil
	if !same {
		if listed && before.Handle == s.Handle {
			delete(c.byAddress, before.Address)
		} else {
			c.drop(s.ID)
		}
		if other := c.byAddress[s.Address]; other != s.ID {
			c.drop(other)
		}
	}
	e := copied{Server: s, session: c.session}
	if s.Cold != nil {
		e.coldUntil = now + s.Cold.Left
		c.coldUntil = max(c.coldUntil, e.coldUntil)
	}
	c.servers[s.ID], c.byAddress[s.Address] = e, s.ID
	return s, !same
}

// lifeOf returns the identifier of the life that a registration as sent is of.
func lifeOf(r protocol.Registration) string { return r.Received().ID }

func (c *Copy) drop(id string) {
	if e, ok := c.servers[id]; ok {
		delete(c.servers, id)
		delete(c.byAddress, e.Address)
		c.handles.Release(lifeOf(e.Registration))
	}
}

// dropUnlisted drops the servers that the leader's list, which is complete, lacks, and returns
// their lives' identifiers in order.
func (c *Copy) dropUnlisted() (lives []string) {
	for id, e := range c.servers {
		if e.session != c.session {
			lives = append(lives, lifeOf(e.Registration))
			c.drop(id)
		}
	}
	slices.Sort(lives)
	return lives
}

// Term returns the term of the leader whose list it is.
func (c *Copy) Term() uint64 { return c.term }

// Len returns the number of servers.
func (c *Copy) Len() int { return len(c.servers) }

// Header returns a list without servers, which says whose handles come and which halls are out of
// service.
func (c *Copy) Header() protocol.Servers {
	return protocol.Servers{Term: c.term, Space: c.handles.Space(), HallsOut: c.hallsOut, HallChanges: c.hallChanges}
}

// WholeList returns the message with which a gateway's session opens. It costs O(n log n).
func (c *Copy) WholeList(now time.Duration) protocol.Servers {
	m := c.Header()
	m.Whole, m.Complete, m.Gone = true, c.complete, slices.Clone(c.gone)
	m.Set = make([]protocol.Server, 0, len(c.servers))
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		m.Set = append(m.Set, c.servers[id].server(now))
	}
	return m
}

// server returns a server as it is sent now.
func (e copied) server(now time.Duration) protocol.Server {
	s := e.Server
	if s.Cold != nil {
		s.Cold = &protocol.Cold{Left: e.coldUntil - now, Shares: s.Cold.Shares}
	}
	if now >= e.coldUntil {
		s.Cold = nil
	}
	return s
}

// AnyCold reports whether a server may be cold: a list says for how long.
func (c *Copy) AnyCold(now time.Duration) bool { return now < c.coldUntil }

// Handle returns the leader's handle of a server that is listed exactly as registered and is not
// cold, and whether there is one.
func (c *Copy) Handle(now time.Duration, r protocol.Registration) (uint32, bool) {
	e, ok := c.servers[r.ID]
	theirs, known := c.theirs[e.Handle]
	return theirs, ok && known && e.Registration == r && now >= e.coldUntil
}

// WithOwnHandles returns loads under the leader's handles under those of this replica, less those of servers
// that it does not have.
func (c *Copy) WithOwnHandles(loads []protocol.ServerLoad) []protocol.ServerLoad {
	return translated(loads, c.own)
}

// WithLeaderHandles returns loads under the handles of this replica under those of the leader, less those of
// servers that the leader has not listed.
func (c *Copy) WithLeaderHandles(loads []protocol.ServerLoad) []protocol.ServerLoad {
	return translated(loads, c.theirs)
}

func translated(loads []protocol.ServerLoad, handles map[uint32]uint32) []protocol.ServerLoad {
	var out []protocol.ServerLoad
	for _, l := range loads {
		if handle, ok := handles[l.Handle]; ok {
			l.Handle = handle
			out = append(out, l)
		}
	}
	return out
}
