// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
	"time"
)

// This file exposes the allocator's state for status and metrics.

// AccountStatus is the state of one account in one pool.
type AccountStatus struct {
	Pool        string
	Account     string
	Share       float64
	VirtualTime float64 // cost received divided by the share
	Waiting     int     // requests waiting on all routers
}

// AccountStatuses returns every account of every pool, sorted by pool and account name.
func (a *Allocator) AccountStatuses() []AccountStatus {
	var out []AccountStatus
	for _, pn := range slices.Sorted(maps.Keys(a.pools)) {
		p := a.pools[pn]
		for _, an := range slices.Sorted(maps.Keys(p.accounts)) {
			acc := p.accounts[an]
			st := AccountStatus{Pool: pn, Account: an, Share: acc.share, VirtualTime: acc.virtualTime}
			for _, b := range acc.backlogs {
				st.Waiting += b.waiting
			}
			out = append(out, st)
		}
	}
	return out
}

// Occupancy is the number of slots of one server and how many are granted.
type Occupancy struct {
	Server  string
	Pool    string
	Slots   int // without overcommitted ones
	Granted int
}

// Occupancies returns every server, sorted by name.
func (a *Allocator) Occupancies() []Occupancy {
	var out []Occupancy
	for _, name := range slices.Sorted(maps.Keys(a.servers)) {
		s := a.servers[name]
		out = append(out, Occupancy{Server: name, Pool: s.Pool, Slots: s.Slots, Granted: s.granted})
	}
	return out
}

// RouterState is the state of one session.
type RouterState struct {
	Router  string // name, with a suffix for a process that was replaced
	Linked  bool
	Renewed time.Duration // time of the last lease renewal
	Held    int           // slots
}

// Routers returns every session, sorted by router name.
func (a *Allocator) Routers() []RouterState {
	var out []RouterState
	for _, s := range a.sortedSessions {
		held := 0
		for _, n := range s.held {
			held += n
		}
		out = append(out, RouterState{Router: s.key, Linked: s.linked, Renewed: s.renewedAt, Held: held})
	}
	return out
}

// Processes returns the processes whose lease has not expired.
func (a *Allocator) Processes() []Process {
	out := make([]Process, 0, len(a.sortedSessions))
	for _, s := range a.sortedSessions {
		out = append(out, Process{Router: s.routerName, Boot: s.boot})
	}
	return out
}
