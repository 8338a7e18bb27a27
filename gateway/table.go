// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines table, the backend servers that the gateway has and what
// runs on them.

// knownServer is one backend server as this gateway sees it.
type knownServer struct {
	protocol.Server
	health   outlier.FailureRate
	doubt    outlier.Doubt
	pace     place.Pace
	own      place.Work // running there from this gateway; prompts count until their first event
	others   place.Work // the same of all other gateways, as of othersAt
	othersAt time.Duration
	unlisted bool // a complete list of the directory lacked it
}

type table struct {
	hall string

	mu       sync.Mutex
	servers  map[string]*knownServer
	byHandle map[uint32]*knownServer
	pools    map[string]*pool
	term     uint64
}

// pool is the backend servers of one name with what waits for them.
type pool struct {
	servers  []*knownServer // ordered by identifier
	waiting  []*waiter
	placer   place.RoomPlacer
	failures outlier.PoolRate
	viewed   []place.Server // the last view; kept for its memory
}

func newTable(hall string) *table {
	return &table{hall: hall, servers: map[string]*knownServer{}, byHandle: map[uint32]*knownServer{}, pools: map[string]*pool{}}
}

// pool returns a pool, new if need be. The caller holds mu.
func (t *table) pool(name string) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{}
		t.pools[name] = p
	}
	return p
}

// update takes a message of the directory and returns the identifiers of the backend
// servers that joined and left by it.
func (t *table) update(m protocol.Servers) (joined, left []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Term != t.term { // handles are the leader's own
		t.term = m.Term
		clear(t.byHandle)
		for _, k := range t.servers {
			k.Handle = 0
		}
	}
	for _, id := range m.Gone {
		if t.remove(id) {
			left = append(left, id)
		}
	}
	for _, s := range m.Set {
		if t.set(s) {
			joined = append(joined, s.ID)
		}
	}
	if m.Whole && m.Complete {
		t.markUnlisted(m.Set)
	}
	return joined, left
}

// set adds or changes a backend server and reports whether it is new.
func (t *table) set(s protocol.Server) bool {
	k := t.servers[s.ID]
	if k != nil && k.Pool == s.Pool {
		k.Server, k.unlisted = s, false
		t.byHandle[s.Handle] = k
		return false
	}
	t.remove(s.ID)
	for _, other := range t.servers {
		if other.Address == s.Address {
			t.remove(other.ID)
			break
		}
	}
	k = &knownServer{Server: s}
	t.servers[s.ID] = k
	t.byHandle[s.Handle] = k
	p := t.pool(s.Pool)
	p.servers = append(p.servers, k)
	slices.SortFunc(p.servers, func(a, b *knownServer) int { return strings.Compare(a.ID, b.ID) })
	return true
}

// remove drops a backend server and reports whether it was known.
func (t *table) remove(id string) bool {
	k := t.servers[id]
	if k == nil {
		return false
	}
	delete(t.servers, id)
	delete(t.byHandle, k.Handle)
	p := t.pool(k.Pool)
	p.servers = slices.DeleteFunc(p.servers, func(o *knownServer) bool { return o == k })
	return true
}

// markUnlisted marks backend servers that a complete list lacks: they are used only
// as long as they answer.
func (t *table) markUnlisted(list []protocol.Server) {
	listed := map[string]bool{}
	for _, s := range list {
		listed[s.ID] = true
	}
	for id, k := range t.servers {
		k.unlisted = !listed[id]
	}
}

// removeMisdirected drops a backend server whose address belongs to another one now.
func (t *table) removeMisdirected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
}

// updateLoads takes what runs on all other gateways.
func (t *table) updateLoads(now time.Duration, loads []protocol.ServerLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.servers {
		k.others, k.othersAt = place.Work{}, now
	}
	for _, l := range loads {
		if k := t.byHandle[l.Handle]; k != nil {
			k.others = place.Work{Requests: int(l.Requests), Tokens: int(l.Tokens)}
		}
	}
}

// loads returns what runs on this gateway, for the report.
func (t *table) loads() []protocol.ServerLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []protocol.ServerLoad
	for _, p := range t.pools {
		for _, k := range p.servers {
			if k.Handle != 0 && k.own.Requests > 0 {
				out = append(out, protocol.ServerLoad{
					Handle: k.Handle, Requests: uint32(k.own.Requests), Tokens: uint32(max(k.own.Tokens, 0)),
				})
			}
		}
	}
	return out
}

// size returns how many backend servers are known.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.servers)
}

// poolSize returns how many backend servers of a pool are known.
func (t *table) poolSize(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pool(name).servers)
}

// Servers returns the identifiers of the backend servers that the gateway knows, in
// order.
func (g *Gateway) Servers() []string {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return slices.Sorted(maps.Keys(g.table.servers))
}
