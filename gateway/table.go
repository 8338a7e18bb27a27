// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/backpressure"
	"github.com/badgerspoke/badgerspoke/coordination/coldstart"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/streamversion"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines table, which holds the backend servers known to the gateway and their load.

// knownServer is the table's entry for one backend server.
type knownServer struct {
	protocol.Server
	health        outlier.FailureRate
	silence       outlier.ServerSilence
	ejectedSilent atomic.Bool // ejected while an attempt was silent, and has sent nothing since
	latencyRatio  place.LatencyRatio
	ownLoad       place.Work   // from this gateway; prompts count until their first event
	streams       int          // begun streams of this gateway
	heardAt       atomic.Int64 // when the server last sent something, or was given its first request; gateway clock in ns
	totalLoad     place.Work   // from all gateways, as last sent by the leader
	othersLoad    place.Work   // from all other gateways, as of table.othersUpdatedAt
	peakLoad      place.Peak   // recent peak of totalLoad
	cold          coldstart.Allowance
	notice        backpressure.Notice // last notice of backoff or leaving
	region        string              // region of its hall; empty if no setting assigns one
	versionSet    versionSet          // kinds of its version in the pool's rollout
	lastList      uint64              // number (table.listCount) of the last whole list that named it, itself or by a later change
	unlisted      bool                // not announcing itself to the leader, see [table.markUnlisted]
	removed       bool                // no longer in the pool
	begun         []begunStream       // streams that began here recently, see restarts.go
	doubt         restartDoubt
}

// heard records that something came from the server, or that it has got its first request.
func (k *knownServer) heard(now time.Duration) { k.heardAt.Store(int64(now)) }

// table holds the backend servers known to the gateway, by pool, with their load.
type table struct {
	gateway string // name of this gateway
	hall    string
	site    site
	now     func() time.Duration // gateway's clock

	mu              sync.Mutex
	servers         map[string]*knownServer
	byHandle        map[uint32]*knownServer
	byAddress       map[string]*knownServer // keyed by HOST:PORT
	pools           map[string]*pool
	term            uint64
	handleSpace     uint64        // identifies the numbering that handles belong to
	listeningSince  time.Duration // when the session with the directory began; 0 without one
	listCount       uint64        // number of whole lists received
	markedList      uint64        // number of the list by which servers were last marked as unlisted
	outage          outlier.Outage
	reports         []loadReport // sent in this session, newest last
	othersUpdatedAt time.Duration
	// staleOthers holds the servers whose othersLoad may differ from totalLoad, because the load
	// reported by this gateway was subtracted from one of them.
	staleOthers []*knownServer

	restarts restarts // of servers with another version

	// unlistedNotices holds the notices of servers that are not listed at present.
	unlistedNotices map[string]unlistedNotice

	hallsOut        map[string]bool // data halls out of service
	hallChanges     uint64          // version of hallsOut
	coldSharesUntil time.Duration   // expiry of this gateway's shares of cold servers

	rollouts           rolloutListID    // newest list received
	rolloutSharesUntil time.Duration    // expiry of the rollout shares
	linkBudget         place.LinkBudget // between this gateway's region and the others
	homes              homesIndex       // of the document in force
}

// pool holds the backend servers of a pool and the requests waiting for them.
type pool struct {
	servers           []*knownServer  // ordered by ID
	regions           []regionServers // servers by region, the gateway's own first; empty without remote regions
	waiting           []*waiter
	placer            place.CapacityPlacer
	failures          outlier.PoolRate
	candidateBuf      []place.Server // reused by every selection
	ranks             place.Ranks
	withReliableRatio map[*knownServer]bool // servers with a reliable latency ratio
	busy              map[*knownServer]bool // servers with requests from this gateway, and some that had
	rollout           *poolRollout          // nil if the pool never had one

	answerBytes float64 // average size of an answer from another region; zero if unknown

	recentResults []attemptResult // most recent attempts, oldest first

	versionCounts map[string]int         // number of servers by version
	versions      streamversion.Versions // that may have begun a stream
}

// attemptResult records whether an attempt ended with a complete answer.
type attemptResult struct {
	server   string
	answered bool
}

const (
	// maxRecentResults is the number of a pool's most recent attempts that show whether it answers.
	// It equals the number of slots of a large engine.
	maxRecentResults = 64
	// maxAttemptsPerAnswer is the highest ratio of recent attempts to complete answers at which a
	// pool counts as answering. The ratio stays below it even while three of four callers leave
	// early, and exceeds it in an outage.
	maxAttemptsPerAnswer = 8
)

// recordResult records whether an attempt ended with a complete answer. The caller holds mu.
func (p *pool) recordResult(server string, answered bool) {
	if len(p.recentResults) == maxRecentResults {
		p.recentResults = p.recentResults[1:]
	}
	p.recentResults = append(p.recentResults, attemptResult{server: server, answered: answered})
}

// recordAlive records an answer whose end nothing stated and whose server was alive afterwards.
func (t *table) recordAlive(pool, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool(pool).recordResult(server, true)
}

// othersAnswering reports whether servers of the pool other than the given one recently returned
// complete answers to this gateway. It also returns true if they received no attempts.
func (t *table) othersAnswering(name, except string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	answered, all := 0, 0
	for _, e := range t.pool(name).recentResults {
		if e.server == except {
			continue
		}
		all++
		if e.answered {
			answered++
		}
	}
	return answered*maxAttemptsPerAnswer >= all
}

func newTable(gateway, hall string, now func() time.Duration) *table {
	return &table{
		gateway: gateway, hall: hall, now: now, servers: map[string]*knownServer{}, byHandle: map[uint32]*knownServer{},
		byAddress: map[string]*knownServer{}, pools: map[string]*pool{}, unlistedNotices: map[string]unlistedNotice{},
	}
}

// pool returns a pool and creates it if needed. The caller holds mu.
func (t *table) pool(name string) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{}
		t.pools[name] = p
	}
	return p
}

// update applies a message of the directory and returns the IDs of the backend servers that it
// added and removed.
func (t *table) update(m protocol.Servers) (joined, left []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Term != t.term {
		t.startTerm(m.Term)
	}
	if space := cmp.Or(m.HandleSpace, m.Term); space != t.handleSpace {
		t.handleSpace = space
		clear(t.byHandle)
		for _, k := range t.servers {
			k.Handle = 0
		}
	}
	if m.Whole {
		t.beginSession()
	}
	for _, id := range m.Removed {
		if t.remove(id) {
			left = append(left, id)
		}
	}
	for _, s := range m.Set {
		if t.upsert(s) {
			joined = append(joined, s.ID)
		}
	}
	t.setHallsOut(m)
	for _, id := range m.Unlisted {
		if k := t.servers[id]; k != nil {
			k.lastList, k.unlisted = 0, true
		}
	}
	if m.Complete && t.markedList != t.listCount {
		t.markUnlisted()
	}
	t.classifyVersions()
	return joined, left
}

// startTerm switches to the term of a new leader. All rollout outcomes have to be reported to it
// again. The caller holds mu.
func (t *table) startTerm(term uint64) {
	t.term = term
	t.reportAllOutcomes()
	for _, k := range t.servers {
		k.cold = k.cold.WithoutShare() // the leader that renewed the share has been replaced
	}
}

// leaderTerm returns the term of the leader that sent the last message.
func (t *table) leaderTerm() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term
}

// setHallsOut applies a list of data halls out of service, unless the table holds a newer one. The
// caller holds mu.
func (t *table) setHallsOut(m protocol.Servers) {
	if m.HallChanges <= t.hallChanges {
		return
	}
	t.hallChanges = m.HallChanges
	t.hallsOut = make(map[string]bool, len(m.HallsOut))
	for _, hall := range m.HallsOut {
		t.hallsOut[hall] = true
	}
}

// listHallsOut returns the data halls that are out of service, in order, and the version of the
// list.
func (t *table) listHallsOut() (out []string, changes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.hallsOut)), t.hallChanges
}

// beginSession discards state of the previous session. A session begins with a whole list, and
// totals and report numbers start anew. The caller holds mu.
func (t *table) beginSession() {
	t.listCount++
	t.reports = nil
	t.reportAllOutcomes()
	for _, k := range t.servers {
		if k.totalLoad != (place.Work{}) {
			k.totalLoad = place.Work{}
			t.staleOthers = append(t.staleOthers, k)
		}
	}
}

// upsert adds or updates a backend server and reports whether it is new. The caller holds mu.
func (t *table) upsert(s protocol.Server) bool {
	k := t.servers[s.ID]
	if k != nil && k.Pool == s.Pool {
		t.releaseAddress(k)
		if k.Hall != s.Hall {
			t.pool(k.Pool).removeFromRegion(k)
			defer t.addToRegion(t.pool(k.Pool), k)
		}
		t.recordRestart(k, s.Version)
		if k.Version != s.Version {
			k.doubt.clear()
		}
		t.pool(k.Pool).countServer(t.now(), k.Version, -1)
		t.pool(k.Pool).countServer(t.now(), s.Version, 1)
		k.Server, k.lastList, k.unlisted = s, t.listCount, false
		t.setCold(k)
		t.byHandle[s.Handle], t.byAddress[s.Address] = k, k
		return false
	}
	t.remove(s.ID)
	if other := t.byAddress[s.Address]; other != nil {
		t.remove(other.ID)
	}
	if earlier := t.restarts.removedLife(s.ID); earlier != nil && earlier.Pool == s.Pool {
		t.recordRestart(earlier, s.Version)
	}
	k = &knownServer{Server: s, lastList: t.listCount, versionSet: anyVersion, notice: t.unlistedNotices[s.ID].Notice}
	delete(t.unlistedNotices, s.ID)
	t.setCold(k)
	t.servers[s.ID], t.byHandle[s.Handle], t.byAddress[s.Address] = k, k, k
	p := t.pool(s.Pool)
	p.servers = insertServer(p.servers, k)
	p.ranks.Add(k.ID)
	p.countServer(t.now(), k.Version, 1)
	t.addToRegion(p, k)
	return true
}

// setCold applies the directory's cold state of a backend server. The state expires by itself
// rather than when an entry lacks it, because a new leader may not hold it yet.
func (t *table) setCold(k *knownServer) {
	if k.Cold != nil {
		k.cold = k.cold.WithCold(t.now(), k.Cold.Remaining, k.ID, t.gateway, k.Cold.Shares)
	}
}

// remove drops a backend server and reports whether the table held it. The caller holds mu.
func (t *table) remove(id string) bool {
	k := t.servers[id]
	if k == nil {
		return false
	}
	delete(t.servers, id)
	t.setNotice(t.now(), id, k.notice)
	delete(t.byHandle, k.Handle)
	t.releaseAddress(k)
	p := t.pool(k.Pool)
	p.servers = slices.DeleteFunc(p.servers, func(o *knownServer) bool { return o == k })
	p.ranks.Remove(k.ID)
	p.countServer(t.now(), k.Version, -1)
	delete(p.withReliableRatio, k)
	delete(p.busy, k)
	k.removed = true
	p.removeFromRegion(k)
	t.restarts.addRemoved(t.now(), k)
	return true
}

// releaseAddress drops the mapping from a backend server's address, unless it points to another
// server. The caller holds mu.
func (t *table) releaseAddress(k *knownServer) {
	if t.byAddress[k.Address] == k {
		delete(t.byAddress, k.Address)
	}
}

// markUnlisted marks backend servers that are neither in the last whole list nor in a later change.
// A whole list ([protocol.Servers].Whole) is not a delta, but a new leader may send it before every
// server has announced itself; servers are marked only once the leader sets Complete, which says
// that all had time to do so. Marked servers are used only as long as they answer. Marking once per
// list is enough: servers added later are listed, and Unlisted names the others. The caller holds
// mu.
func (t *table) markUnlisted() {
	t.markedList = t.listCount
	for _, k := range t.servers {
		k.unlisted = k.lastList != t.listCount
	}
}

// removeMisdirected drops a backend server whose address now belongs to another one.
func (t *table) removeMisdirected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
	t.classifyVersions()
}

// size returns the number of known backend servers.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.servers)
}

// poolSize returns the number of known backend servers of a pool.
func (t *table) poolSize(pool string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pool(pool).servers)
}

// Servers returns the IDs of the backend servers known to the gateway, in order.
func (g *Gateway) Servers() []string {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return slices.Sorted(maps.Keys(g.table.servers))
}
