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

// This file defines how the choice of a backend server is carried out: what is
// known goes to package place, and what runs is counted. The rules are in
// coordination/place and coordination/outlier.

// requirements are what the choice of a backend server depends on.
type requirements struct {
	entitlement.WaitingRequest
	pool       document.Pool
	route      document.Route
	prompt     place.Prompt
	repeatable bool            // may run more than once
	avoid      map[string]bool // backend servers that had the request already
	gateways   int
	random     float64 // from 0 to 1
	// maxBackoff is how long a backoff of all servers may be for the request to wait for its end. What has not
	// run is refused at once instead: another gateway's servers may take it.
	maxBackoff time.Duration

	versions versions // the servers' versions that the choice under way is among

	accountHomes      []string      // by the document with which the request was taken
	homes             homes         // by the document in force at the last choice
	requestBytes      int           // that it sends
	waitingSince      time.Duration // when it began to wait, by the gateway's clock
	objectiveDeadline time.Duration // by the gateway's clock; 0 is none
}

// placeRequest translates them for package place.
func (r *requirements) placeRequest() place.Request {
	return place.Request{
		Prompt: r.prompt, Class: r.Class, Objective: r.route.Objective, Repeatable: r.repeatable,
		Engine: r.pool.Engine, Connections: r.pool.Connections, Gateways: r.gateways, Random: r.random,
	}
}

// shortage is why a request got no backend server: the one that suits it best, with
// what was known to run there. It is empty if there was no candidate.
type shortage struct {
	serverID   string
	bound      place.Bound
	serverRequests   int
	serverTokens     int
	slowness   float64
	learned    place.Learned
	loadAge        time.Duration // of what is known of other gateways' requests
	hallsOut      []string      // out of service, where all servers of the pool are
	homesCause      Cause         // why its homes let nothing serve it, if so
	stayed     stayed        // what kept it in its region, if it had a reason to leave
	backingOff bool          // all asked for more backoff than it waits
	backoff    time.Duration // until one takes requests again, if so
}

// final reports whether waiting is of no use.
func (s *shortage) final() bool { return len(s.hallsOut) > 0 || s.homesCause != "" || s.backingOff }

// acquire returns the backend server that suits the request best if it has room, or
// nil and why. The caller holds mu.
func (t *table) acquire(now time.Duration, req requirements) (*assignment, shortage) {
	p := t.pool(req.pool.Name)
	order := t.order(p, now, &req)
	a, full, found := t.acquireAmong(p, now, req, order.first, order.why)
	usable := found && full.bound != place.RegionLink || full.backingOff // a backoff does not bring an old version back
	if a != nil || order.second == 0 || (order.ifNone && usable) {
		return a, full
	}
	a, other, foundOther := t.acquireAmong(p, now, req, order.second, order.otherwise)
	if a == nil && found && !foundOther {
		return nil, full
	}
	return a, other
}

// acquireAmong is acquire among some versions, and reports whether there was a candidate. why is for
// the log. The caller holds mu.
func (t *table) acquireAmong(p *pool, now time.Duration, req requirements, among versions, why string) (a *assignment, full shortage, found bool) {
	req.versions = among
	choice, left := t.choose(p, now, &req)
	switch {
	case choice.Index < 0:
		backoff, backingOff := t.allBackingOff(p, now, &req)
		return nil, shortage{
			hallsOut: t.blockingHalls(p, &req), homesCause: t.homesRefusal(p, &req), stayed: left.stayed, backingOff: backingOff, backoff: backoff,
		}, false
	case choice.Bound != place.Free:
		k := p.servers[choice.Index]
		return nil, shortage{
			serverID: k.ID, bound: choice.Bound, serverRequests: choice.Before.Requests, serverTokens: choice.Before.Tokens,
			slowness: choice.Slowness, learned: p.placer.Learned(), loadAge: now - t.othersUpdatedAt,
			stayed: left.stayed,
		}, true
	}
	return t.depart(p.assign(now, choice, &req, why), now, &req, left), shortage{}, true
}

// blockingHalls returns the data halls that are out of service, if all servers of the pool that the
// request's homes allow are in them: then nothing can be served until an operator puts one
// back. The caller holds mu.
func (t *table) blockingHalls(p *pool, req *requirements) []string {
	if len(t.hallsOut) == 0 || len(p.servers) == 0 {
		return nil
	}
	for _, k := range p.servers {
		if !t.hallsOut[k.Hall] && t.mayBeServedAt(req, k) {
			return nil
		}
	}
	return slices.Sorted(maps.Keys(t.hallsOut))
}

// acquireWithRoom returns the backend server that suits the request best among those
// that have room, or nil. The caller holds mu.
func (t *table) acquireWithRoom(now time.Duration, req requirements) *assignment {
	p := t.pool(req.pool.Name)
	order := t.order(p, now, &req)
	for i, among := range []versions{order.first, order.second} {
		req.versions = among
		if among == 0 || (i > 0 && order.ifNone && t.anyUsable(p, now, &req, order.first)) {
			continue
		}
		if choice, left := t.chooseWithRoom(p, now, &req); choice.Index >= 0 {
			return t.depart(p.assign(now, choice, &req, []string{order.why, order.otherwise}[i]), now, &req, left)
		}
	}
	return nil
}

// expectedFirst returns how long a server that runs nothing else is expected to need
// until the first part of its answer.
func (t *table) expectedFirst(pool document.Pool, prompt place.Prompt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(pool.Name).placer.ExpectedTimeToFirst(pool.Engine, prompt.Tokens())
}

// candidates returns what is known of some of the pool's servers, for one choice. The caller holds
// mu.
func (t *table) candidates(p *pool, servers []*knownServer, now time.Duration, req *requirements) []place.Server {
	leased := now < t.coldSharesUntil
	// The only server of a region is not the only one of its pool, which may have a request again.
	alone := len(servers) == 1 && len(p.servers) > 1 && !req.homes.bound
	among := t.versionsFor(p, req)
	p.candidateBuf = p.candidateBuf[:0]
	for _, k := range servers {
		p.candidateBuf = append(p.candidateBuf, t.candidate(k, now, req, candidateContext{leased: leased, among: among, alone: alone}))
	}
	return p.candidateBuf
}

// candidateContext is what is the same for all servers of a view.
type candidateContext struct {
	leased bool     // shares of cold servers are in force
	among  versions // that the choice is among
	alone  bool     // the only one of its region, of several in the pool
}

// candidate returns what is known of one server. The caller holds mu.
func (t *table) candidate(k *knownServer, now time.Duration, req *requirements, v candidateContext) place.Server {
	return place.Server{
		ID: k.ID, Slots: k.Slots, SameHall: k.Hall == t.hall, Own: k.ownLoad, Others: k.othersLoad, OthersAge: now - t.othersUpdatedAt,
		RecentPeak: k.peakLoad.At(now), Pace: k.pace, Health: k.health.State(now), Avoid: req.avoid[k.ID],
		LostInARow: k.health.LostInARow(), Closed: t.closed(k, now, req, v),
	}
}

// closed reports whether a server gets nothing of the request now, whatever else there is. The caller
// holds mu.
func (t *table) closed(k *knownServer, now time.Duration, req *requirements, v candidateContext) bool {
	switch {
	case v.alone && req.avoid[k.ID]:
		return true
	case t.hallsOut[k.Hall], v.among&k.versions == 0, !t.mayBeServedAt(req, k):
		return true
	}
	return !k.cold.Admits(now, v.leased) || !k.notice.Admits(now)
}

// minSpreadServers is the number of servers from which a prompt's requests part by lot over as many of the
// first ones of its order as they need ([place.RoomPlacer.ChooseSpread]): below, the sums of what runs
// name all that is busy, and a look at all servers is short.
const minSpreadServers = 256

// chooseSpread is choose among the first servers of the request's order. ok is false if all have to be
// looked at. The caller holds mu.
func (t *table) chooseSpread(p *pool, now time.Duration, req *requirements) (c place.Choice, ok bool) {
	if !req.pool.Engine || len(p.servers) < minSpreadServers || len(req.prompt.Shared) == 0 {
		return c, false
	}
	ids := p.ranks.First(req.prompt)
	c, ok = p.placer.ChooseSpread(req.placeRequest(), t.candidatesByID(p, ids, now, req), p.typicalPace())
	if ok {
		c.Index, _ = slices.BinarySearchFunc(p.servers, ids[c.Index], compareID)
	}
	return c, ok
}

// candidatesByID is view of the pool's servers with some identifiers. The caller holds mu.
func (t *table) candidatesByID(p *pool, ids []string, now time.Duration, req *requirements) []place.Server {
	v := candidateContext{leased: now < t.coldSharesUntil, among: t.versionsFor(p, req)}
	p.candidateBuf = p.candidateBuf[:0]
	for _, id := range ids {
		p.candidateBuf = append(p.candidateBuf, t.candidate(t.servers[id], now, req, v))
	}
	return p.candidateBuf
}

// typicalPace returns the median pace of the pool's servers. It costs O(servers that answered).
func (p *pool) typicalPace() float64 {
	paces := make([]place.Pace, 0, len(p.paced))
	for k := range p.paced {
		paces = append(paces, k.pace)
	}
	return place.TypicalPace(paces)
}

// assign counts a request at the chosen backend server.
func (p *pool) assign(now time.Duration, choice place.Choice, req *requirements, why string) *assignment {
	k := p.servers[choice.Index]
	k.ownLoad.Requests++
	k.ownLoad.Tokens += choice.Read
	p.markBusy(k)
	k.cold = k.cold.WithBegun(now)
	return &assignment{
		entry: k, serverID: k.ID, address: k.Address, tokensToRead: choice.Read, startedAt: now,
		tokensAhead: choice.Before.Tokens, expectedFirst: p.placer.ExpectedTimeToFirst(req.pool.Engine, choice.Read+choice.Before.Tokens),
		trial: k.health.Sent(now), tried: p.begin(k, req, choice, why),
	}
}

// markBusy notes that this gateway has a request on a server. The caller holds mu.
func (p *pool) markBusy(k *knownServer) {
	if p.busy == nil {
		p.busy = map[*knownServer]bool{}
	}
	p.busy[k] = true
}
