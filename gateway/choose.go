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
	// outlast is how long a backoff of all servers may be for the request to wait for its end. What has not
	// run is refused at once instead: another gateway's servers may take it.
	outlast time.Duration

	versionSet versionSet // the servers' versions that the choice under way is among

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
	requests   int
	tokens     int
	slowness   float64
	learned    place.Learned
	age        time.Duration // of what is known of other gateways' requests
	halls      []string      // out of service, where all servers of the pool are
	homes      Cause         // why its homes let nothing serve it, if so
	stayReason stayReason    // what kept it in its region, if it had a reason to leave
	backingOff bool          // all asked for more backoff than it waits
	backoff    time.Duration // until one takes requests again, if so
}

// final reports whether waiting is of no use.
func (s *shortage) final() bool { return len(s.halls) > 0 || s.homes != "" || s.backingOff }

// acquire returns the backend server that suits the request best if it has room, or
// nil and why. The caller holds mu.
func (t *table) acquire(now time.Duration, req requirements) (*assignment, shortage) {
	p := t.pool(req.pool.Name)
	versionOrder := t.versionOrder(p, now, &req)
	a, full, found := t.acquireOf(p, now, req, versionOrder.first, versionOrder.firstReason)
	usable := found && full.bound != place.RegionLink || full.backingOff // a backoff does not bring an old version back
	if a != nil || versionOrder.second == 0 || (versionOrder.onlyIfNone && usable) {
		return a, full
	}
	a, other, foundOther := t.acquireOf(p, now, req, versionOrder.second, versionOrder.secondReason)
	if a == nil && found && !foundOther {
		return nil, full
	}
	return a, other
}

// acquireOf is acquire among some versions, and reports whether there was a candidate. why is for
// the log. The caller holds mu.
func (t *table) acquireOf(p *pool, now time.Duration, req requirements, among versionSet, why string) (a *assignment, full shortage, found bool) {
	req.versionSet = among
	choice, left := t.choose(p, now, &req)
	switch {
	case choice.Index < 0:
		backoff, backingOff := t.allBackingOff(p, now, &req)
		return nil, shortage{
			halls: t.allOut(p, &req), homes: t.homesRefusal(p, &req), stayReason: left.stayReason, backingOff: backingOff, backoff: backoff,
		}, false
	case choice.Bound != place.Free:
		k := p.servers[choice.Index]
		return nil, shortage{
			serverID: k.ID, bound: choice.Bound, requests: choice.Before.Requests, tokens: choice.Before.Tokens,
			slowness: choice.Slowness, learned: p.placer.Learned(), age: now - t.othersAt,
			stayReason: left.stayReason,
		}, true
	}
	return t.recordDestination(p.assign(now, choice, &req, why), now, &req, left), shortage{}, true
}

// allOut returns the data halls that are out of service, if all servers of the pool that the
// request's homes allow are in them: then nothing can be served until an operator puts one
// back. The caller holds mu.
func (t *table) allOut(p *pool, req *requirements) []string {
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
	versionOrder := t.versionOrder(p, now, &req)
	for i, among := range []versionSet{versionOrder.first, versionOrder.second} {
		req.versionSet = among
		if among == 0 || (i > 0 && versionOrder.onlyIfNone && t.anyUsable(p, now, &req, versionOrder.first)) {
			continue
		}
		if choice, left := t.chooseWithRoom(p, now, &req); choice.Index >= 0 {
			return t.recordDestination(p.assign(now, choice, &req, []string{versionOrder.firstReason, versionOrder.secondReason}[i]), now, &req, left)
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
	among := t.candidateVersions(p, req)
	p.viewed = p.viewed[:0]
	for _, k := range servers {
		p.viewed = append(p.viewed, t.viewOf(k, now, req, viewing{leased: leased, among: among, alone: alone}))
	}
	return p.viewed
}

// viewing is what is the same for all servers of a view.
type viewing struct {
	leased bool       // shares of cold servers are in force
	among  versionSet // that the choice is among
	alone  bool       // the only one of its region, of several in the pool
}

// viewOf returns what is known of one server. The caller holds mu.
func (t *table) viewOf(k *knownServer, now time.Duration, req *requirements, v viewing) place.Server {
	return place.Server{
		ID: k.ID, Slots: k.Slots, SameHall: k.Hall == t.hall, Own: k.ownLoad, Others: k.othersLoad, OthersAge: now - t.othersAt,
		RecentPeak: k.peakLoad.At(now), Pace: k.pace, Health: k.health.State(now), Avoid: req.avoid[k.ID],
		LostInARow: k.health.LostInARow(), Closed: t.closed(k, now, req, v),
	}
}

// closed reports whether a server gets nothing of the request now, whatever else there is. The caller
// holds mu.
func (t *table) closed(k *knownServer, now time.Duration, req *requirements, v viewing) bool {
	switch {
	case v.alone && req.avoid[k.ID]:
		return true
	case t.hallsOut[k.Hall], v.among&k.versionSet == 0, !t.mayBeServedAt(req, k):
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
	c, ok = p.placer.ChooseSpread(req.placeRequest(), t.viewOfSome(p, ids, now, req), p.typicalPace())
	if ok {
		c.Index, _ = slices.BinarySearchFunc(p.servers, ids[c.Index], compareID)
	}
	return c, ok
}

// viewOfSome is view of the pool's servers with some identifiers. The caller holds mu.
func (t *table) viewOfSome(p *pool, ids []string, now time.Duration, req *requirements) []place.Server {
	v := viewing{leased: now < t.coldSharesUntil, among: t.candidateVersions(p, req)}
	p.viewed = p.viewed[:0]
	for _, id := range ids {
		p.viewed = append(p.viewed, t.viewOf(t.servers[id], now, req, v))
	}
	return p.viewed
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
		entry: k, serverID: k.ID, address: k.Address, tokens: choice.Read, startedAt: now,
		tokensAhead: choice.Before.Tokens, expected: p.placer.ExpectedTimeToFirst(req.pool.Engine, choice.Read+choice.Before.Tokens),
		trial: k.health.Sent(now), versionAttempt: p.beginAttempt(k, req, choice, why),
	}
}

// markBusy notes that this gateway has a request on a server. The caller holds mu.
func (p *pool) markBusy(k *knownServer) {
	if p.busy == nil {
		p.busy = map[*knownServer]bool{}
	}
	p.busy[k] = true
}
