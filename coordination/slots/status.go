// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
	"time"
)

// This file defines what the allocator shows of its tables, for status and
// metrics.

// Standing is one account in one pool.
type Standing struct {
	Pool        string
	Account     string
	Share       float64
	VirtualTime float64 // virtual time
	Waiting     int     // requests
}

// Standings returns every account of every pool in order.
func (a *Allocator) Standings() []Standing {
	var out []Standing
	for _, pn := range slices.Sorted(maps.Keys(a.pools)) {
		p := a.pools[pn]
		for _, an := range slices.Sorted(maps.Keys(p.accounts)) {
			acc := p.accounts[an]
			st := Standing{Pool: pn, Account: an, Share: acc.share, VirtualTime: acc.time}
			for _, w := range acc.places {
				st.Waiting += w.reported
			}
			out = append(out, st)
		}
	}
	return out
}

// Occupancy is the slots of one server.
type Occupancy struct {
	Server  string
	Pool    string
	Slots   int // without those granted beyond
	Granted int
}

// Occupancies returns every server in order.
func (a *Allocator) Occupancies() []Occupancy {
	var out []Occupancy
	for _, name := range slices.Sorted(maps.Keys(a.servers)) {
		s := a.servers[name]
		out = append(out, Occupancy{Server: name, Pool: s.Pool, Slots: s.Slots, Granted: s.granted})
	}
	return out
}

// RouterState is one session.
type RouterState struct {
	Router  string
	Linked  bool
	Renewed time.Duration // when the lease was last renewed
	Held    int           // slots
}

// Routers returns every session in order.
func (a *Allocator) Routers() []RouterState {
	var out []RouterState
	for _, s := range a.order {
		held := 0
		for _, n := range s.held {
			held += n
		}
		out = append(out, RouterState{Router: s.router, Linked: s.linked, Renewed: s.renewed, Held: held})
	}
	return out
}

// Processes returns the processes whose lease has not run out.
func (a *Allocator) Processes() []Process {
	out := make([]Process, 0, len(a.order))
	for _, s := range a.order {
		out = append(out, Process{Router: s.name, Boot: s.boot})
	}
	return out
}
