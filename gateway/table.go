// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines table, the backend servers that the gateway knows, what runs on
// them, and the choice of one for a request.

// serverState is one backend server as this gateway sees it.
type serverState struct {
	protocol.Server
	health   outlier.FailureRate
	pace     pace
	requests int // own, running there
	tokens   int // of own prompts whose first event has not come
	others   protocol.ServerLoad
	reported time.Duration // when others was heard
	unlisted bool          // the directory did not list it when complete
}

// othersHalfLife is the age at which others' load counts half.
const othersHalfLife = time.Second

// load returns what runs there from all gateways, as far as known.
func (s *serverState) load(now time.Duration) (requests, tokens int) {
	requests, tokens = s.requests, s.tokens
	if now-s.reported < 4*othersHalfLife {
		requests += int(s.others.Requests)
		tokens += int(s.others.Tokens)
	}
	return requests, tokens
}

type table struct {
	hall string

	mu       sync.Mutex
	members  map[string]*serverState
	byHandle map[uint32]*serverState
	pools    map[string]*pool
	term     uint64
}

// pool is the backend servers of one name with what waits for them.
type pool struct {
	members  []*serverState // ordered by identifier
	waiting  []*waiter
	failures outlier.PoolRate
	rate     float64 // tokens that an engine reads in a millisecond; 0 is not known
	refusing float64 // how far engines refuse what is beyond their slots, 0 to 1
}

func newTable(hall string) *table {
	return &table{hall: hall, members: map[string]*serverState{}, byHandle: map[uint32]*serverState{}, pools: map[string]*pool{}}
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

// tableChange is what an update of the list changed.
type tableChange struct{ joined, left []string }

// update takes a message of the directory.
func (t *table) update(m protocol.Servers) tableChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed tableChange
	if m.Term != t.term { // handles are the leader's own
		t.term = m.Term
		clear(t.byHandle)
		for _, known := range t.members {
			known.Handle = 0
		}
	}
	for _, id := range m.Gone {
		if t.remove(id) {
			changed.left = append(changed.left, id)
		}
	}
	for _, b := range m.Set {
		if t.set(b) {
			changed.joined = append(changed.joined, b.ID)
		}
	}
	if m.Whole && m.Complete {
		t.markUnlisted(m.Set)
	}
	return changed
}

// set adds or changes a backend server and reports whether it is new.
func (t *table) set(b protocol.Server) bool {
	known := t.members[b.ID]
	if known != nil && known.Pool == b.Pool {
		known.Server, known.unlisted = b, false
		t.byHandle[b.Handle] = known
		return false
	}
	if known != nil {
		t.remove(b.ID)
	}
	for _, other := range t.members {
		if other.Address == b.Address {
			t.remove(other.ID)
			break
		}
	}
	known = &serverState{Server: b}
	t.members[b.ID] = known
	t.byHandle[b.Handle] = known
	p := t.pool(b.Pool)
	p.members = append(p.members, known)
	slices.SortFunc(p.members, func(a, b *serverState) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return true
}

func (t *table) remove(id string) bool {
	known := t.members[id]
	if known == nil {
		return false
	}
	delete(t.members, id)
	delete(t.byHandle, known.Handle)
	p := t.pool(known.Pool)
	p.members = slices.DeleteFunc(p.members, func(s *serverState) bool { return s.ID == id })
	return true
}

// markUnlisted marks backend servers that a complete list lacks: they are used only
// as long as they answer.
func (t *table) markUnlisted(list []protocol.Server) {
	in := map[string]bool{}
	for _, b := range list {
		in[b.ID] = true
	}
	for id, s := range t.members {
		s.unlisted = !in[id]
	}
}

// removeMisdirected drops a backend server whose address belongs to another one now.
func (t *table) removeMisdirected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
}

// updateLoads takes what runs on all other gateways.
func (t *table) updateLoads(now time.Duration, running []protocol.ServerLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.members {
		s.others, s.reported = protocol.ServerLoad{}, now
	}
	for _, r := range running {
		if s := t.byHandle[r.Handle]; s != nil {
			s.others = r
		}
	}
}

// running returns what runs on this gateway, for the report.
func (t *table) running() []protocol.ServerLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []protocol.ServerLoad
	for _, p := range t.pools {
		for _, s := range p.members {
			if s.Handle != 0 && s.requests > 0 {
				out = append(out, protocol.ServerLoad{Handle: s.Handle, Requests: uint32(s.requests), Tokens: uint32(max(s.tokens, 0))})
			}
		}
	}
	return out
}

// size returns how many backend servers are known.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}

// Servers returns the identifiers of the backend servers that the gateway knows, in
// order.
func (g *Gateway) Servers() []string {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return slices.Sorted(maps.Keys(g.table.members))
}
