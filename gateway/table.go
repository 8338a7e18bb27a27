// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/backpressure"
	"github.com/badgerspoke/badgerspoke/coordination/coldstart"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines table, the backend servers that the gateway has and what
// runs on them.

// knownServer is one backend server as this gateway sees it.
type knownServer struct {
	protocol.Server
	health     outlier.FailureRate
	doubt      outlier.ServerSilence
	pace       place.Pace
	ownLoad    place.Work // running there from this gateway; prompts count until their first event
	totalLoad  place.Work // the same of all gateways, as the leader last sent it
	othersLoad place.Work // of all but this gateway, as of the table's othersAt
	peakLoad   place.Peak // of all
	cold       coldstart.Allowance
	notice     backpressure.Notice // what it said of further requests
	region     string              // of its hall; empty if no setting names it
	versionSet versionSet          // its version, as the pool's rollout has it
	list       uint64              // number of the last whole list that had it, itself or by a change since
	unlisted   bool                // a complete list of the directory lacked it
	left       bool                // the pool
}

type table struct {
	gateway string // this one's name
	hall    string
	site    site
	now     func() time.Duration // the gateway's clock

	mu        sync.Mutex
	servers   map[string]*knownServer
	byHandle  map[uint32]*knownServer
	byAddress map[string]*knownServer // by address
	pools     map[string]*pool
	term      uint64
	space     uint64 // of the handles
	lists     uint64 // whole lists taken
	marked    uint64 // the list that was complete when servers were last marked as unlisted
	outage    outlier.Outage
	reports   []report // of this session, newest last
	othersAt  time.Duration
	// unequal are the servers whose others may differ from all: what this gateway reported is in the
	// one and not in the other.
	unequal []*knownServer

	// unlistedNotices are those of servers that are not listed now.
	unlistedNotices map[string]unlistedNotice

	hallsOut        map[string]bool // data halls whose servers get nothing
	hallChanges     uint64          // as of which
	coldSharesUntil time.Duration   // until when this gateway's shares of cold servers are in force

	rollouts    rolloutListID    // the newest held
	sharesUntil time.Duration    // until when its shares are in force
	link        place.LinkBudget // between this gateway's region and others
	homes       homesIndex       // of the document in force
}

// pool is the backend servers of one name with what waits for them.
type pool struct {
	servers  []*knownServer  // ordered by identifier
	parts    []regionServers // the same by region, the gateway's own first; empty without a far side
	waiting  []*waiter
	placer   place.RoomPlacer
	failures outlier.PoolRate
	viewed   []place.Server // the last view; kept for its memory
	ranks    place.Ranks
	paced    map[*knownServer]bool // those whose pace counts
	busy     map[*knownServer]bool // those that this gateway has requests on, and some that had
	rollout  *poolRollout          // nil: the pool had none

	answerBytes float64 // that an answer from another region brings; 0 is unknown

	ended []attemptEnd // the last ones, oldest first
}

// attemptEnd is how an attempt ended: with a whole answer, or without.
type attemptEnd struct {
	server   string
	answered bool
}

const (
	// attemptsKept is how many of a pool's last attempts tell whether it serves. The places of one
	// large engine.
	attemptsKept = 64
	// servingPart is how many of them one must have been answered of. Is so while three of four
	// callers leave early, and is not in an outage.
	servingPart = 8
)

// noteEnd keeps how an attempt ended. The caller holds mu.
func (p *pool) noteEnd(server string, answered bool) {
	if len(p.ended) == attemptsKept {
		p.ended = p.ended[1:]
	}
	p.ended = append(p.ended, attemptEnd{server: server, answered: answered})
}

// othersServe reports whether other servers of a pool than one gave whole answers lately, as far as
// this gateway has seen; true if it has seen nothing.
func (t *table) othersServe(name, but string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	answered, all := 0, 0
	for _, e := range t.pool(name).ended {
		if e.server == but {
			continue
		}
		all++
		if e.answered {
			answered++
		}
	}
	return answered*servingPart >= all
}

func newTable(gateway, hall string, now func() time.Duration) *table {
	return &table{
		gateway: gateway, hall: hall, now: now, servers: map[string]*knownServer{}, byHandle: map[uint32]*knownServer{},
		byAddress: map[string]*knownServer{}, pools: map[string]*pool{}, unlistedNotices: map[string]unlistedNotice{},
	}
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
	if m.Term != t.term {
		t.followTerm(m.Term)
	}
	if space := cmp.Or(m.Space, m.Term); space != t.space {
		t.space = space
		clear(t.byHandle)
		for _, k := range t.servers {
			k.Handle = 0
		}
	}
	if m.Whole {
		t.beginSession()
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
	t.setHalls(m)
	for _, id := range m.Unlisted {
		if k := t.servers[id]; k != nil {
			k.list, k.unlisted = 0, true
		}
	}
	if m.Complete && t.marked != t.lists {
		t.markUnlisted()
	}
	t.classifyVersions()
	return joined, left
}

// followTerm takes that another leader leads, to which all that was seen of rollouts is to be
// reported again. The caller holds mu.
func (t *table) followTerm(term uint64) {
	t.term = term
	t.beginOutcomes()
	for _, k := range t.servers {
		k.cold = k.cold.WithoutShare() // the leader that renewed it leads no more
	}
}

// leaderTerm returns the term of the leader of whom the gateway last heard.
func (t *table) leaderTerm() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term
}

// setHalls takes the data halls that are out of service, unless it has a newer list. The
// caller holds mu.
func (t *table) setHalls(m protocol.Servers) {
	if m.HallChanges <= t.hallChanges {
		return
	}
	t.hallChanges = m.HallChanges
	t.hallsOut = make(map[string]bool, len(m.HallsOut))
	for _, hall := range m.HallsOut {
		t.hallsOut[hall] = true
	}
}

// halls returns the data halls that are out of service, in order, and as of which change.
func (t *table) halls() (out []string, changes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.hallsOut)), t.hallChanges
}

// beginSession forgets what was sent in the session before: a whole list opens one, and
// all sums and numbers of reports begin anew. The caller holds mu.
func (t *table) beginSession() {
	t.lists++
	t.reports = nil
	t.beginOutcomes()
	for _, k := range t.servers {
		if k.totalLoad != (place.Work{}) {
			k.totalLoad = place.Work{}
			t.unequal = append(t.unequal, k)
		}
	}
}

// set adds or changes a backend server and reports whether it is new.
func (t *table) set(s protocol.Server) bool {
	k := t.servers[s.ID]
	if k != nil && k.Pool == s.Pool {
		t.leaveAddress(k)
		if k.Hall != s.Hall {
			t.pool(k.Pool).removeFromRegion(k)
			defer t.addToRegion(t.pool(k.Pool), k)
		}
		k.Server, k.list, k.unlisted = s, t.lists, false
		t.setCold(k)
		t.byHandle[s.Handle], t.byAddress[s.Address] = k, k
		return false
	}
	t.remove(s.ID)
	if other := t.byAddress[s.Address]; other != nil {
		t.remove(other.ID)
	}
	k = &knownServer{Server: s, list: t.lists, versionSet: anyVersion, notice: t.unlistedNotices[s.ID].Notice}
	delete(t.unlistedNotices, s.ID)
	t.setCold(k)
	t.servers[s.ID], t.byHandle[s.Handle], t.byAddress[s.Address] = k, k, k
	p := t.pool(s.Pool)
	p.servers = insertServer(p.servers, k)
	p.ranks.Add(k.ID)
	t.addToRegion(p, k)
	return true
}

// setCold takes from the directory's entry that a backend server is cold. It ends being so
// by itself: a new leader does not know yet which ones are.
func (t *table) setCold(k *knownServer) {
	if k.Cold != nil {
		k.cold = k.cold.WithCold(t.now(), k.Cold.Left, k.ID, t.gateway, k.Cold.Shares)
	}
}

// remove drops a backend server and reports whether it was known.
func (t *table) remove(id string) bool {
	k := t.servers[id]
	if k == nil {
		return false
	}
	delete(t.servers, id)
	t.setNotice(t.now(), id, k.notice)
	delete(t.byHandle, k.Handle)
	t.leaveAddress(k)
	p := t.pool(k.Pool)
	p.servers = slices.DeleteFunc(p.servers, func(o *knownServer) bool { return o == k })
	p.ranks.Remove(k.ID)
	delete(p.paced, k)
	delete(p.busy, k)
	k.left = true
	p.removeFromRegion(k)
	return true
}

// leaveAddress forgets that a backend server is at its address, unless another one is.
func (t *table) leaveAddress(k *knownServer) {
	if t.byAddress[k.Address] == k {
		delete(t.byAddress, k.Address)
	}
}

// markUnlisted marks backend servers that neither the last whole list nor a change since
// has: they are used only as long as they answer. Once for each list is enough: what is set later
// is listed, and Unlisted names others. The caller holds mu.
func (t *table) markUnlisted() {
	t.marked = t.lists
	for _, k := range t.servers {
		k.unlisted = k.list != t.lists
	}
}

// removeMisdirected drops a backend server whose address belongs to another one now.
func (t *table) removeMisdirected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
	t.classifyVersions()
}

// size returns how many backend servers are known.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.servers)
}

// poolSize returns how many backend servers of a pool are known.
func (t *table) poolSize(pool string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pool(pool).servers)
}

// Servers returns the identifiers of the backend servers that the gateway knows, in
// order.
func (g *Gateway) Servers() []string {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return slices.Sorted(maps.Keys(g.table.servers))
}
