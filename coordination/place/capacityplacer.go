// SPDX-License-Identifier: Apache-2.0

package place

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
)

// This file defines CapacityPlacer, which gateways use to choose a server: the candidates for a request,
// the best one among them, and whether that one has capacity for it now.

// Request holds the inputs of a choice: the request and the properties of its pool.
type Request struct {
	Prompt     Prompt
	Class      entitlement.Class
	Objective  time.Duration // until the first part of the answer
	Repeatable bool          // whether it may run more than once

	Engine      bool // whether the pool's servers are engines, not plain services
	Connections int  // accepted by each server of the pool; zero means unknown
	Gateways    int  // number of gateways that share these

	Random float64 // between 0 and 1, drawn for this choice
}

// Work is the outstanding work of a server.
type Work struct {
	Requests int
	Tokens   int // prompt tokens still to be read
}

// Server is a backend server of the pool.
type Server struct {
	ID           string
	Slots        int // zero means unknown
	SameHall     bool
	Own          Work // sent by this gateway
	Others       Work // sent by all other gateways
	OthersAge    time.Duration
	RecentPeak   Work // highest recent load from all gateways
	LatencyRatio LatencyRatio
	Health       outlier.State
	Avoid        bool // whether an attempt of the request has failed there
	Closed       bool // whether it accepts no requests at present
	LostInARow   int  // consecutive requests of this gateway that were lost there
}

// MaxOthersAge is the age from which the reported work of other gateways is ignored, so that a
// gateway that has lost the directory relies on its own work alone. Reports arrive every 100 to 600
// ms.
const MaxOthersAge = 4 * time.Second

// totalWork returns the server's load from all gateways, without that of the others if their report
// is too old.
func (s *Server) totalWork() Work {
	if s.OthersAge >= MaxOthersAge {
		return s.Own
	}
	return Work{Requests: s.Own.Requests + s.Others.Requests, Tokens: s.Own.Tokens + s.Others.Tokens}
}

// Choice is the best server for a request.
type Choice struct {
	Index    int     // of the server; -1 if there is no candidate
	Bound    Bound   // limit that keeps it from accepting the request now; Free if none
	Read     int     // tokens that the server has to read for the request
	Before   Work    // load from all gateways before the request
	Slowness float64 // how many times slower than a typical server it is
}

// CapacityPlacer chooses servers of one pool and holds the estimates used for that. The zero value has
// none.
type CapacityPlacer struct {
	refusalLevel float64 // how consistently engines refuse requests beyond their slots, 0 to 1
	learnedRate  float64 // tokens that an engine reads in a millisecond; zero means unknown
}

// Choose returns the best server for the request. For a plain service it is a random one, among
// those with capacity if there are any.
//
// For an engine it is the best one regardless of its capacity. Moving the request to an engine that
// has capacity would make that one read the shared parts again, which takes capacity from other
// requests and pushes ever more of them off their first engine.
func (p *CapacityPlacer) Choose(r Request, servers []Server) Choice {
	cands, _ := candidates(r, servers)
	return p.choose(r, cands)
}

// choose is like Choose for a list of candidates.
func (p *CapacityPlacer) choose(r Request, cands []candidate) Choice {
	if !r.Engine {
		return p.weightedChoice(r, cands)
	}
	best, read, ok := bestCandidate(r, cands)
	if !ok {
		return Choice{Index: -1}
	}
	return Choice{Index: best.index, Bound: p.bound(r, best), Read: read, Before: best.load, Slowness: best.slowness}
}

// bestCandidate returns the best candidate for the request and the number of tokens that it has to
// read. Requests of class Extra or Beyond stay at the engine that caches their shared parts: reading
// these again elsewhere would take capacity from requests of class Covered or Entitled.
func bestCandidate(r Request, cands []candidate) (best candidate, read int, ok bool) {
	if r.Class < entitlement.Extra || len(r.Prompt.Shared) == 0 || len(cands) == 0 {
		return cheapest(r.Prompt, cands)
	}
	order := rendezvous(r.Prompt.key(), cands)
	return cands[order.indexes[0]], r.Prompt.Own, true
}

// ChooseWithCapacity returns the best server among those with capacity. It is a last resort for requests
// that would otherwise be refused and should be rare, because reading shared parts again takes
// capacity from other requests.
func (p *CapacityPlacer) ChooseWithCapacity(r Request, servers []Server) Choice {
	cands, _ := candidates(r, servers)
	return p.chooseWithCapacity(r, cands)
}

// chooseWithCapacity is like ChooseWithCapacity for a list of candidates, which it overwrites.
func (p *CapacityPlacer) chooseWithCapacity(r Request, cands []candidate) Choice {
	if !r.Engine {
		if c := p.weightedChoice(r, cands); c.Bound == Free {
			return c
		}
		return Choice{Index: -1}
	}
	withCapacity := slices.DeleteFunc(cands, func(c candidate) bool { return p.bound(r, c) != Free })
	best, _, ok := cheapest(r.Prompt, withCapacity)
	if !ok {
		return Choice{Index: -1}
	}
	// The engine is assumed to cache none of the shared parts.
	return Choice{Index: best.index, Read: r.Prompt.Tokens(), Before: best.load, Slowness: best.slowness}
}

// candidate is a server that a request may be sent to.
type candidate struct {
	*Server
	index    int     // in the list of servers
	load     Work    // from all gateways
	slowness float64 // how many times slower than a typical server; at least 1
}

// candidates returns the servers that the request may be sent to: those in use and, if the request
// may run more than once, those due for a trial, or else those whose trial is overdue. If there are none, it falls back to ejected servers,
// and healthy is false; only then may the sole server of a pool get the same request again.
func candidates(r Request, servers []Server) (cands []candidate, healthy bool) {
	cands = make([]candidate, 0, len(servers))
	typical := typicalLatencyRatio(servers)
	for _, anyHealth := range []bool{false, true} {
		for i := range servers {
			s := &servers[i]
			notAvoided := !s.Avoid || (anyHealth && len(servers) == 1)
			if notAvoided && (usableFor(r, s) || anyHealth) && !s.Closed {
				cands = append(cands, candidate{Server: s, index: i, load: s.totalWork(), slowness: s.LatencyRatio.slowness(typical)})
			}
		}
		if len(cands) > 0 {
			return cands, !anyHealth
		}
	}
	return nil, false
}

// usableFor reports whether a server is in use, or due for a trial that the request may serve as.
func usableFor(r Request, s *Server) bool {
	return s.Health == outlier.InUse || s.Health == outlier.OverdueTrial || (s.Health == outlier.Trial && r.Repeatable)
}
