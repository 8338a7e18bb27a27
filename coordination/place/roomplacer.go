// SPDX-License-Identifier: Apache-2.0

package place

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
)

// This file defines RoomPlacer, the gateways' choice: which servers of a pool
// are candidates for a request, which one suits it best, and whether that one
// has room for it now.

// Request is what a choice takes of a request and of its pool.
type Request struct {
	Prompt     Prompt
	Class      entitlement.Class
	Objective  time.Duration // for the first part of the answer
	Repeatable bool          // may run more than once

	Engine      bool // the pool's servers are engines, not plain services
	Connections int  // that each server of the pool accepts; 0 is unknown
	Gateways    int  // that share them

	Random float64 // from 0 to 1, drawn for this choice
}

// Work is what runs on a server.
type Work struct {
	Requests int
	Tokens   int // of prompts that it has still to read
}

// Server is a backend server of the pool.
type Server struct {
	ID         string
	Slots      int // 0 is unknown
	SameHall   bool
	Own        Work // from this gateway
	Others     Work // from all other gateways
	OthersAge  time.Duration
	RecentPeak Work // the most from all gateways, of late
	Pace       Pace
	Health     outlier.State
	Avoid      bool // the request has failed there
	Closed     bool // it gets nothing now, whatever else there is
	LostInARow int  // requests in a row, from this gateway
}

// MaxOthersAge is the age from which the report of other gateways' work is not counted, so that a
// gateway that is cut off from the directory goes by its own work alone. Reports come every 100 to 600
// ms.
const MaxOthersAge = 4 * time.Second

// fromAll returns what runs on the server from all gateways, without the others
// when their report is too old.
func (s *Server) fromAll() Work {
	if s.OthersAge >= MaxOthersAge {
		return s.Own
	}
	return Work{Requests: s.Own.Requests + s.Others.Requests, Tokens: s.Own.Tokens + s.Others.Tokens}
}

// Choice is the server that suits a request best.
type Choice struct {
	Index    int     // of the server; -1 if there is no candidate
	Bound    Bound   // why it may not have the request now; Free if it may
	Read     int     // tokens that it has to read for the request
	Before   Work    // on it, from all gateways
	Slowness float64 // how many times slower than others it counts
}

// RoomPlacer chooses servers of one pool, and holds what is learned of them for
// that. The zero value has learned nothing.
type RoomPlacer struct {
	refusing float64 // how far engines refuse what is beyond their slots, 0 to 1
	rate     float64 // tokens that an engine reads in a millisecond; 0 is unknown
}

// Choose returns the server that suits the request best. Of a plain service it is one by lot
// that has room, if any has.
//
// An engine is returned whether it has room or not, and others that have room are not taken
// instead: what is read again takes room from others, so that ever more requests leave their first
// engine.
func (p *RoomPlacer) Choose(r Request, servers []Server) Choice {
	found, _ := candidates(r, servers)
	return p.choose(r, found)
}

// choose is Choose among candidates.
func (p *RoomPlacer) choose(r Request, found []candidate) Choice {
	if !r.Engine {
		return p.spread(r, found)
	}
	best, read, ok := suited(r, found)
	if !ok {
		return Choice{Index: -1}
	}
	return Choice{Index: best.index, Bound: p.bound(r, best), Read: read, Before: best.load, Slowness: best.slowness}
}

// suited returns the candidate that suits the request best and the tokens that it has to read for
// it. What is beyond the named shares stays at the engine that keeps its shared parts: elsewhere
// they would be read again, which takes room from what is within a share.
func suited(r Request, found []candidate) (best candidate, read int, ok bool) {
	if r.Class < entitlement.Extra || len(r.Prompt.Shared) == 0 || len(found) == 0 {
		return cheapest(r.Prompt, found)
	}
	order := rendezvous(r.Prompt.key(), found)
	return found[order.indexes[0]], r.Prompt.Own, true
}

// ChooseWithRoom returns the server that suits the request best among those
// that have room. It is for requests that would otherwise be refused and should not
// be. There may be few of them, because what is read again takes room from others.
func (p *RoomPlacer) ChooseWithRoom(r Request, servers []Server) Choice {
	found, _ := candidates(r, servers)
	return p.withRoom(r, found)
}

// withRoom is ChooseWithRoom among candidates, whose slice it uses up.
func (p *RoomPlacer) withRoom(r Request, found []candidate) Choice {
	if !r.Engine {
		if c := p.spread(r, found); c.Bound == Free {
			return c
		}
		return Choice{Index: -1}
	}
	open := slices.DeleteFunc(found, func(c candidate) bool { return p.bound(r, c) != Free })
	best, _, ok := cheapest(r.Prompt, open)
	if !ok {
		return Choice{Index: -1}
	}
	// No shared part of the prompt is kept there.
	return Choice{Index: best.index, Read: r.Prompt.Tokens(), Before: best.load, Slowness: best.slowness}
}

// candidate is a server that a request may go to.
type candidate struct {
	*Server
	index    int     // of the server
	load     Work    // from all gateways
	slowness float64 // how many times slower than others; 1 is as fast
}

// candidates returns the servers that the request may go to: those in use, and
// for what may run more than once those that are due for a trial. Better an
// ejected one than none, then healthy is false; and the only server of a pool may have a
// request again.
func candidates(r Request, servers []Server) (found []candidate, healthy bool) {
	found = make([]candidate, 0, len(servers))
	typical := typicalPace(servers)
	for _, anyHealth := range []bool{false, true} {
		for i := range servers {
			s := &servers[i]
			notAvoided := !s.Avoid || (anyHealth && len(servers) == 1)
			if notAvoided && (usableFor(r, s) || anyHealth) && !s.Closed {
				found = append(found, candidate{Server: s, index: i, load: s.fromAll(), slowness: s.Pace.slowness(typical)})
			}
		}
		if len(found) > 0 {
			return found, !anyHealth
		}
	}
	return nil, false
}

// usableFor reports whether a server is in use for a request, or due for a trial by it.
func usableFor(r Request, s *Server) bool {
	return s.Health == outlier.InUse || (s.Health == outlier.Trial && r.Repeatable)
}
