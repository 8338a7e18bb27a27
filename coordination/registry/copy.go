// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Copy, a replica's copy of the leader's list, which it passes on to gateways.
//
// A replica keeps its copy when the leader changes. When the next leader sends its whole list, only
// the differences are passed on to gateways: the servers keep their handles, which this replica
// assigned.

// maxDepartures is the number of newest departures that a copy keeps for whole lists: an incomplete
// list does not show which servers are gone. The leader sends as many itself (maxListedDepartures
// of package directory).
const maxDepartures = 256

// Copy is the list of backend servers as received from leaders.
type Copy struct {
	handles     *Handles
	term        uint64
	complete    bool
	session     uint64                  // number of whole lists received
	servers     map[string]copiedServer // by the identifier in the registration as sent
	byAddress   map[string]string       // identifiers by address
	gone        []string                // departures, newest last
	hallsOut    []string
	hallChanges uint64
	coldUntil   time.Duration // no server is cold from then on

	ownHandles    map[uint32]uint32 // this replica's handles by the leader's
	leaderHandles map[uint32]uint32 // the leader's handles by this replica's
}

// copiedServer is a server as listed by the leader, but with this replica's handle.
type copiedServer struct {
	protocol.Server
	coldUntil time.Duration // by this box's clock
	session   uint64        // last session in which the leader listed it
}

// NewCopy returns an empty copy. handles assigns the servers' handles.
func NewCopy(handles *Handles) Copy {
	return Copy{
		handles: handles, servers: map[string]copiedServer{}, byAddress: map[string]string{},
		ownHandles: map[uint32]uint32{}, leaderHandles: map[uint32]uint32{},
	}
}

// CopyOf returns a copy of a registry's list when its leader's term ends.
func CopyOf(now time.Duration, r *Registry, term uint64, hallsOut []string, hallChanges uint64) Copy {
	c := NewCopy(r.handles)
	list := protocol.Servers{Set: r.List(now)}.ToWire(r.IsListed).Set
	c.Apply(now, protocol.Servers{Term: term, Whole: true, Set: list, HallsOut: hallsOut, HallChanges: hallChanges})
	return c
}

// Apply applies a message of the leader, and returns the message for the gateways that have this
// copy.
func (c *Copy) Apply(now time.Duration, m protocol.Servers) protocol.Servers {
	if m.Whole {
		c.beginSession()
	}
	c.term, c.complete = m.Term, c.complete || m.Complete
	if m.HallChanges > c.hallChanges {
		c.hallsOut, c.hallChanges = m.HallsOut, m.HallChanges
	}
	for _, id := range m.Removed {
		c.drop(id)
	}
	c.gone = append(c.gone, m.Removed...)
	c.gone = c.gone[max(len(c.gone)-maxDepartures, 0):]
	passed := c.Header()
	passed.Removed, passed.Complete = m.Removed, m.Complete
	for _, s := range m.Set {
		if own, changed := c.setServer(now, s); changed || !m.Whole && !m.Part {
			passed.Set = append(passed.Set, own)
		}
	}
	if m.Complete {
		passed.Unlisted = c.dropUnlisted()
	}
	return passed
}

// beginSession starts the session with a leader, which uses other handles.
func (c *Copy) beginSession() {
	c.session++
	c.complete, c.gone = false, nil
	clear(c.ownHandles)
	clear(c.leaderHandles)
}

// setServer adds or changes a server, and removes any other server at its address. It returns the
// server with this replica's handle, and whether the entry is new or different.
func (c *Copy) setServer(now time.Duration, s protocol.Server) (own protocol.Server, changed bool) {
	before, listed := c.servers[s.ID]
	leaderHandle := s.Handle
	s.Handle = c.handles.Assign(lifeOf(s.Registration))
	c.ownHandles[leaderHandle], c.leaderHandles[s.Handle] = s.Handle, leaderHandle
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
	e := copiedServer{Server: s, session: c.session}
	if s.Cold != nil {
		e.coldUntil = now + s.Cold.Remaining
		c.coldUntil = max(c.coldUntil, e.coldUntil)
	}
	c.servers[s.ID], c.byAddress[s.Address] = e, s.ID
	return s, !same
}

// lifeOf returns the identifier of the life to which a registration as sent belongs.
func lifeOf(r protocol.Registration) string { return r.FromWire().ID }

func (c *Copy) drop(id string) {
	if e, ok := c.servers[id]; ok {
		delete(c.servers, id)
		delete(c.byAddress, e.Address)
		c.handles.Release(lifeOf(e.Registration))
	}
}

// dropUnlisted drops the servers that the leader's complete list lacks, and returns the identifiers
// of their lives in order.
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

// Term returns the term of the leader that sent the list.
func (c *Copy) Term() uint64 { return c.term }

// Len returns the number of servers.
func (c *Copy) Len() int { return len(c.servers) }

// Header returns a list without servers, which contains the space of the handles and the halls out
// of service.
func (c *Copy) Header() protocol.Servers {
	return protocol.Servers{Term: c.term, HandleSpace: c.handles.Space(), HallsOut: c.hallsOut, HallChanges: c.hallChanges}
}

// WholeList returns the first message of a gateway's session. It costs O(n log n).
func (c *Copy) WholeList(now time.Duration) protocol.Servers {
	m := c.Header()
	m.Whole, m.Complete, m.Removed = true, c.complete, slices.Clone(c.gone)
	m.Set = make([]protocol.Server, 0, len(c.servers))
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		m.Set = append(m.Set, c.servers[id].toServer(now))
	}
	return m
}

// toServer returns the server as it is sent now.
func (e copiedServer) toServer(now time.Duration) protocol.Server {
	s := e.Server
	if s.Cold != nil {
		s.Cold = &protocol.Cold{Remaining: e.coldUntil - now, Shares: s.Cold.Shares}
	}
	if now >= e.coldUntil {
		s.Cold = nil
	}
	return s
}

// AnyCold reports whether a server may be cold. A list that holds a cold server contains its
// remaining time.
func (c *Copy) AnyCold(now time.Duration) bool { return now < c.coldUntil }

// LeaderHandle returns the leader's handle of a server, and false if the server is cold or not
// listed exactly as registered.
func (c *Copy) LeaderHandle(now time.Duration, r protocol.Registration) (uint32, bool) {
	e, ok := c.servers[r.ID]
	leaderHandle, hasHandle := c.leaderHandles[e.Handle]
	return leaderHandle, ok && hasHandle && e.Registration == r && now >= e.coldUntil
}

// WithOwnHandles replaces the leader's handles in loads by this replica's. Loads of servers that it
// does not list are dropped.
func (c *Copy) WithOwnHandles(loads []protocol.ServerLoad) []protocol.ServerLoad {
	return translateHandles(loads, c.ownHandles)
}

// WithLeaderHandles replaces this replica's handles in loads by the leader's. Loads of servers that
// the leader has not listed are dropped.
func (c *Copy) WithLeaderHandles(loads []protocol.ServerLoad) []protocol.ServerLoad {
	return translateHandles(loads, c.leaderHandles)
}

func translateHandles(loads []protocol.ServerLoad, handles map[uint32]uint32) []protocol.ServerLoad {
	var out []protocol.ServerLoad
	for _, l := range loads {
		if handle, ok := handles[l.Handle]; ok {
			l.Handle = handle
			out = append(out, l)
		}
	}
	return out
}
