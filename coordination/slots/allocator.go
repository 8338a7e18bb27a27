// SPDX-License-Identifier: Apache-2.0

package slots

import (
	"maps"
	"slices"
	"time"
)

// This file defines Allocator and its configuration. Sessions and leases are in session.go,
// reports in report.go, grants in grant.go, recalls in recall.go, and views in view.go.

// Server is the allocator's configuration of a backend server.
type Server struct {
	Name       string
	Pool       string
	Slots      int
	Overcommit int // slots granted beyond Slots; their requests wait in the server's own queue
	Serving    bool
}

// Account is the allocator's configuration of a client account.
type Account struct {
	Name  string
	Share float64
}

// Process identifies one run of a router. Boot differs between the runs.
type Process struct {
	Router string
	Boot   uint64
}

// Allocator grants the slots of every pool to the routers.
type Allocator struct {
	epoch          uint64
	lease          Lease
	pace           Pace
	takeoverEnds   time.Duration    // latest end of the takeover
	unreported     map[Process]bool // processes that may hold slots and have not reported them
	pools          map[string]*fleetPool
	servers        map[string]*server
	shares         map[string]float64
	sessions       map[string]*session
	sortedSessions []*session // sorted by router name
}

// NewAllocator returns an allocator for an epoch. expected lists the processes that may hold
// slots of an earlier epoch.
func NewAllocator(epoch uint64, now time.Duration, lease Lease, pace Pace, expected []Process) *Allocator {
	a := &Allocator{
		epoch: epoch, lease: lease, pace: pace, takeoverEnds: now + lease.total(),
		unreported: map[Process]bool{}, pools: map[string]*fleetPool{}, servers: map[string]*server{},
		shares: map[string]float64{}, sessions: map[string]*session{},
	}
	for _, p := range expected {
		a.unreported[p] = true
	}
	return a
}

// Epoch returns the allocator's epoch.
func (a *Allocator) Epoch() uint64 { return a.epoch }

// Configure applies the backend servers and accounts of a configuration.
func (a *Allocator) Configure(servers []Server, accounts []Account) {
	seen := map[string]bool{}
	for _, config := range servers {
		seen[config.Name] = true
		s := a.servers[config.Name]
		if s == nil {
			s = &server{freeIndex: -1}
			a.servers[config.Name] = s
		}
		if s.pool != nil {
			s.pool.removeFree(s)
		}
		s.Server, s.pool = config, a.pool(config.Pool)
		s.pool.updateFree(s)
	}
	for _, name := range slices.Sorted(maps.Keys(a.servers)) {
		if s := a.servers[name]; !seen[name] {
			s.pool.removeFree(s)
			delete(a.servers, name)
		}
	}
	a.configureAccounts(accounts)
}

func (a *Allocator) configureAccounts(accounts []Account) {
	clear(a.shares)
	for _, acc := range accounts {
		a.shares[acc.Name] = acc.Share
	}
	for _, p := range a.pools {
		p.setShares(a.shares)
	}
}

func (a *Allocator) pool(name string) *fleetPool {
	p := a.pools[name]
	if p == nil {
		p = newFleetPool(name)
		p.setShares(a.shares)
		a.pools[name] = p
	}
	return p
}
