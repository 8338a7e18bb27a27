// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file connects backend server selection to the gateway's state: it builds the candidates for
// package place and accounts for the requests it assigns. The rules are in coordination/place and
// coordination/outlier.

// requirements holds the inputs for selecting a backend server for a request.
type requirements struct {
	entitlement.WaitingRequest
	pool         document.Pool
	route        document.Route
	prompt       place.Prompt
	repeatable   bool            // may run more than once
	triedServers map[string]bool // IDs of servers that have already been tried
	onlyServers  map[string]bool // IDs of the servers that the request may go to; nil means all
	gateways     int
	random       float64 // in [0, 1)
	// mayBegin reports whether the request may still be sent when the gateway stops; nil means that
	// it may.
	mayBegin func() bool
	// maxBackoff is how long the request waits if all servers are in backoff. It is zero for a
	// request that has not run, which is refused at once because another gateway's servers may
	// accept it.
	maxBackoff time.Duration
	// maxQuiet excludes servers that seem to be silent themselves. It is nil but for hedges.
	maxQuiet *quietLimit

	versionSet versionSet   // server versions that the current selection is limited to
	version    versionLimit // the version that a stream may go on at

	accountHomes      []string      // from the document under which the request was admitted
	homes             homes         // from the document in force at the last selection
	requestBytes      int           // size of the request
	waitingSince      time.Duration // start of the wait, on the gateway's clock
	objectiveDeadline time.Duration // on the gateway's clock; zero means none
}

// placeRequest converts the requirements for package place.
func (r *requirements) placeRequest() place.Request {
	return place.Request{
		Prompt: r.prompt, Class: r.Class, Objective: r.route.Objective, Repeatable: r.repeatable,
		Engine: r.pool.Engine, Connections: r.pool.Connections, Gateways: r.gateways, Random: r.random,
	}
}

// shortage explains why a request got no backend server. It names the most suitable server and its
// load, and is empty if there was no candidate.
type shortage struct {
	serverID       string
	bound          place.Bound
	serverRequests int
	serverTokens   int
	slowness       float64
	estimates      place.Estimates
	loadAge        time.Duration // age of the data on other gateways' load
	hallsOut       []string      // halls out of service, if they hold all servers of the pool
	homesCause     Cause         // set if the homes exclude every server
	stayReason     stayReason    // why the request stayed in its region, if it had a reason to leave
	versionGone    bool          // no server of the version that began the request's stream takes requests
	backingOff     bool          // every server is in backoff for longer than the request waits
	backoff        time.Duration // until the first server accepts requests again; set with backingOff
}

// final reports whether waiting cannot help.
func (s *shortage) final() bool {
	return len(s.hallsOut) > 0 || s.homesCause != "" || s.versionGone || s.backingOff
}

// acquire assigns the most suitable backend server if it has capacity, and otherwise returns nil
// and the reason. The caller holds mu.
func (t *table) acquire(now time.Duration, req requirements) (*assignment, shortage) {
	p := t.pool(req.pool.Name)
	order := t.versionOrder(p, now, &req)
	if t.versionGone(p, &req, order.first|order.second) {
		return nil, shortage{versionGone: true}
	}
	a, short, found := t.acquireAmong(p, now, req, order.first, order.firstReason)
	usable := found && short.bound != place.RegionLink || short.backingOff // a backoff does not re-enable the old version
	if a != nil || order.second == 0 || (order.onlyIfNone && usable) {
		return a, short
	}
	a, other, foundOther := t.acquireAmong(p, now, req, order.second, order.secondReason)
	if a == nil && found && !foundOther {
		return nil, short
	}
	return a, other
}

// acquireAmong is acquire limited to some versions. It also reports whether there was a candidate.
// The log gives reason as the cause of the choice of version. The caller holds mu.
func (t *table) acquireAmong(p *pool, now time.Duration, req requirements, among versionSet, reason string) (a *assignment, short shortage, found bool) {
	req.versionSet = among
	choice, leave := t.choose(p, now, &req)
	switch {
	case choice.Index < 0:
		backoff, backingOff := t.allBackingOff(p, now, &req)
		return nil, shortage{
			hallsOut: t.blockingHalls(p, &req), homesCause: t.homesRefusal(p, &req), stayReason: leave.stayReason, backingOff: backingOff, backoff: backoff,
		}, false
	case choice.Bound != place.Free:
		k := p.servers[choice.Index]
		return nil, shortage{
			serverID: k.ID, bound: choice.Bound, serverRequests: choice.Before.Requests, serverTokens: choice.Before.Tokens,
			slowness: choice.Slowness, estimates: p.placer.Estimates(), loadAge: now - t.othersUpdatedAt,
			stayReason: leave.stayReason,
		}, true
	}
	return t.recordDestination(p.assign(now, choice, &req, reason), now, &req, leave), shortage{}, true
}

// blockingHalls returns the halls that are out of service if they hold all servers of the pool that
// the request's homes allow. In that case no request can be served until an operator puts a hall
// back into service. The caller holds mu.
func (t *table) blockingHalls(p *pool, req *requirements) []string {
	if len(t.hallsOut) == 0 || len(p.servers) == 0 {
		return nil
	}
	for _, k := range p.servers {
		if !t.hallsOut[k.Hall] && t.homesAllow(req, k) {
			return nil
		}
	}
	return slices.Sorted(maps.Keys(t.hallsOut))
}

// acquireWithCapacity assigns the most suitable of the backend servers that have capacity, or
// returns nil. The caller holds mu.
func (t *table) acquireWithCapacity(now time.Duration, req requirements) *assignment {
	p := t.pool(req.pool.Name)
	order := t.versionOrder(p, now, &req)
	for i, among := range []versionSet{order.first, order.second} {
		req.versionSet = among
		if among == 0 || (i > 0 && order.onlyIfNone && t.anyUsable(p, now, &req, order.first)) {
			continue
		}
		if choice, leave := t.chooseWithCapacity(p, now, &req); choice.Index >= 0 {
			return t.recordDestination(p.assign(now, choice, &req, []string{order.firstReason, order.secondReason}[i]), now, &req, leave)
		}
	}
	return nil
}

// expectedFirst returns the expected time to the first part of the answer on an idle server.
func (t *table) expectedFirst(pool document.Pool, prompt place.Prompt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(pool.Name).placer.ExpectedTimeToFirst(pool.Engine, prompt.Tokens())
}

// candidates returns the state of some servers of the pool for one selection. The result is valid
// until the next call. The caller holds mu.
func (t *table) candidates(p *pool, servers []*knownServer, now time.Duration, req *requirements) []place.Server {
	coldSharesInForce := now < t.coldSharesUntil
	// A pool's only server may be retried. The only server of a region may not, if the pool has
	// servers elsewhere.
	onlyInRegion := len(servers) == 1 && len(p.servers) > 1 && !req.homes.restricted
	v := candidateContext{coldSharesInForce: coldSharesInForce, versions: t.candidateVersions(p, req), onlyInRegion: onlyInRegion}
	p.candidateBuf = p.candidateBuf[:0]
	for _, k := range servers {
		p.candidateBuf = append(p.candidateBuf, t.candidate(k, now, req, v))
	}
	if req.version.limited {
		retryOnlyServer(p.candidateBuf)
	}
	return p.candidateBuf
}

// retryOnlyServer allows a second attempt at the only server that a stream may go on at, as at the
// only server of a pool.
func retryOnlyServer(all []place.Server) {
	only := -1
	for i := range all {
		switch {
		case all[i].Closed:
		case only >= 0:
			return
		default:
			only = i
		}
	}
	if only >= 0 {
		all[only].Avoid = false
	}
}

// candidateContext holds the values that are the same for all candidates of a selection.
type candidateContext struct {
	coldSharesInForce bool       // shares of cold servers are in force
	versions          versionSet // versions that the selection is limited to
	onlyInRegion      bool       // the only server of its region, in a pool that has others
}

// candidate returns the state of one server for a selection. The caller holds mu.
func (t *table) candidate(k *knownServer, now time.Duration, req *requirements, v candidateContext) place.Server {
	return place.Server{
		ID: k.ID, Slots: k.Slots, SameHall: k.Hall == t.hall, Own: k.ownLoad, Others: k.othersLoad, OthersAge: now - t.othersUpdatedAt,
		RecentPeak: k.peakLoad.At(now), LatencyRatio: k.latencyRatio, Health: k.health.State(now), Avoid: req.triedServers[k.ID],
		LostInARow: k.health.LostInARow(), Closed: t.isExcluded(k, now, req, v),
	}
}

// isExcluded reports whether the request may not go to a server even if no other is available. The
// caller holds mu.
func (t *table) isExcluded(k *knownServer, now time.Duration, req *requirements, v candidateContext) bool {
	switch {
	case v.onlyInRegion && req.triedServers[k.ID]:
		return true
	case t.hallsOut[k.Hall], v.versions&k.versionSet == 0, !req.version.allows(k.Version), !t.homesAllow(req, k):
		return true
	case req.onlyServers != nil && !req.onlyServers[k.ID]:
		return true
	case req.maxQuiet != nil && k.isQuiet(now, *req.maxQuiet):
		return true
	case req.version.limited && k.doubt.holds(now, t.listeningSince):
		return true
	}
	return !k.cold.Admits(now, v.coldSharesInForce) || !k.notice.Admits(now)
}

// minSpreadServers is the pool size from which requests with a shared prompt are spread at random
// over the first servers of its ranking, as many as they need
// ([place.CapacityPlacer.ChooseFromOrder]). In smaller pools the load totals cover every busy server,
// and examining all servers is cheap.
const minSpreadServers = 256

// chooseFromRanks selects among the first servers of the request's ranking. ok is false if all servers
// have to be examined. The caller holds mu.
func (t *table) chooseFromRanks(p *pool, now time.Duration, req *requirements) (c place.Choice, ok bool) {
	if !req.pool.Engine || len(p.servers) < minSpreadServers || len(req.prompt.Shared) == 0 || req.version.limited {
		return c, false
	}
	ids := p.ranks.First(req.prompt)
	c, ok = p.placer.ChooseFromOrder(req.placeRequest(), t.candidatesByID(p, ids, now, req), p.typicalLatencyRatio())
	if ok {
		c.Index, _ = slices.BinarySearchFunc(p.servers, ids[c.Index], compareID)
	}
	return c, ok
}

// candidatesByID is candidates for the servers with the given IDs. The caller holds mu.
func (t *table) candidatesByID(p *pool, ids []string, now time.Duration, req *requirements) []place.Server {
	v := candidateContext{coldSharesInForce: now < t.coldSharesUntil, versions: t.candidateVersions(p, req)}
	p.candidateBuf = p.candidateBuf[:0]
	for _, id := range ids {
		p.candidateBuf = append(p.candidateBuf, t.candidate(t.servers[id], now, req, v))
	}
	return p.candidateBuf
}

// typicalLatencyRatio returns the median latency ratio of the pool's servers, in O(n) of those that
// have answered.
func (p *pool) typicalLatencyRatio() float64 {
	ratios := make([]place.LatencyRatio, 0, len(p.withReliableRatio))
	for k := range p.withReliableRatio {
		ratios = append(ratios, k.latencyRatio)
	}
	return place.TypicalLatencyRatio(ratios)
}

// assign records a request on the selected backend server.
func (p *pool) assign(now time.Duration, choice place.Choice, req *requirements, reason string) *assignment {
	k := p.servers[choice.Index]
	if k.ownLoad.Requests == 0 {
		k.heard(now)
	}
	k.ownLoad.Requests++
	k.ownLoad.Tokens += choice.Read
	p.markBusy(k)
	k.cold = k.cold.WithBegun(now)
	return &assignment{
		entry: k, serverID: k.ID, address: k.Address, version: k.Version, tokensToRead: choice.Read, startedAt: now,
		tokensAhead: choice.Before.Tokens, expectedFirst: p.placer.ExpectedTimeToFirst(req.pool.Engine, choice.Read+choice.Before.Tokens),
		trial: k.health.Sent(now), versionAttempt: p.beginAttempt(k, req, choice, reason),
	}
}

// markBusy records that this gateway has a request on a server. The caller holds mu.
func (p *pool) markBusy(k *knownServer) {
	if p.busy == nil {
		p.busy = map[*knownServer]bool{}
	}
	p.busy[k] = true
}
