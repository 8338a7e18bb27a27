// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines which versions of a pool's backend servers a request may go to while the
// pool has a rollout. The outcomes of the attempts are counted in outcomes.go.

// rolloutSharesLease is how long rollout shares stay in force after the gateway sent the last
// report that the leader has counted. It is twice the longest interval between two of the leader's
// load totals, plus a few report periods.
const rolloutSharesLease = 2 * time.Second

// switchDuration is how long a gateway takes after the switch to move all requests to engines of
// the target. It covers the longest interval between two of the leader's load totals. If requests
// moved at once, the queues of all gateways would flood the idle engines before any gateway sees the
// others' load: 68 requests reached 24 slots in 200 ms, and the slow answers caused the rollback of
// a good version.
const switchDuration = 600 * time.Millisecond

// versionSet is a set of server kinds, which are derived from the servers' versions.
type versionSet uint8

// Kinds of server. A server whose version is barred is of no kind.
const (
	oldVersion      versionSet = 1 << iota // every version but the target, barred and replaced ones
	trialVersion                           // servers of the target that are selected for the trial
	targetVersion                          // all servers of the target
	replacedVersion                        // versions replaced by another one that is listed
)

// anyVersion is the set of a pool without a rollout: every kind but replaced versions.
const anyVersion = oldVersion | trialVersion | targetVersion

// rolloutListID identifies a list of rollouts; a larger one is newer.
type rolloutListID struct{ term, seq uint64 }

// poolRollout is the state of a pool's rollout from the newest list of the directory, with what this
// gateway has counted for it.
type poolRollout struct {
	protocol.Rollout
	routeShares   map[string]float64 // shares by route, where they differ from Share
	switched      bool               // the last list gives the target all requests
	rampEnd       time.Duration      // when this gateway sends it all requests, if isEngine
	isEngine      bool               // the pool's servers are engines
	barredLocally bool               // an earlier leader barred the target, but the newest list does not
	oldListed     bool               // a server of the old version is listed and its hall is in service
	outcomes      outcomes
	breaker       breaker
	unreached     unreached
	silences      *targetSilences
}

// underWay reports whether there is a target and it is not barred.
func (r *poolRollout) underWay() bool {
	return r.Target != "" && !slices.Contains(r.Barred, r.Target)
}

// routeShare returns the fraction of a route's requests that goes to the target.
func (r *poolRollout) routeShare(route string) float64 {
	if share, ok := r.routeShares[route]; ok {
		return share
	}
	return r.Share
}

// updateRollouts applies the directory's list of rollouts and returns those that have changed. Lists
// older than the current one and older attempts of a pool are ignored.
func (t *table) updateRollouts(m protocol.Rollouts) (changed []protocol.Rollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := rolloutListID{m.Term, m.Seq}
	if id.term < t.rollouts.term || (id.term == t.rollouts.term && id.seq <= t.rollouts.seq) {
		return nil
	}
	t.rollouts = id
	for _, next := range m.List {
		if t.pool(next.Pool).applyRollout(t.now(), next) {
			changed = append(changed, next)
		}
	}
	t.classifyVersions()
	return changed
}

// applyRollout applies the pool's rollout from a list and reports whether it has changed.
func (p *pool) applyRollout(now time.Duration, next protocol.Rollout) bool {
	r := p.rollout
	if r == nil {
		r = &poolRollout{unreached: unreached{}, silences: newTargetSilences()}
		p.rollout = r
	}
	if next.Attempt < r.Attempt {
		return false
	}
	// A leader announces a barred target before the verdict is in the replicated log, so the next
	// leader may lack it. The target stays barred until the log ends this attempt or another attempt
	// starts.
	r.barredLocally = next.Attempt == r.Attempt && next.Target != "" && slices.Contains(r.Barred, next.Target) &&
		!slices.Contains(next.Barred, next.Target)
	if r.barredLocally {
		next.Barred = append(slices.Clone(next.Barred), next.Target)
	}
	if next.Attempt != r.Attempt {
		r.outcomes, r.breaker, r.unreached, r.silences = outcomes{}, breaker{}, unreached{}, newTargetSilences()
	}
	same := next.Attempt == r.Attempt && next.Target == r.Target && next.Share == r.Share && next.Final == r.Final &&
		slices.Equal(next.Barred, r.Barred) && slices.Equal(next.Replaced, r.Replaced)
	if next.Share >= 1 && !r.switched {
		r.rampEnd = now + switchDuration
	}
	r.Rollout, r.switched = next, next.Share >= 1
	r.routeShares = make(map[string]float64, len(next.Routes))
	for _, s := range next.Routes {
		r.routeShares[s.Route] = float64(s.Share)
	}
	return !same
}

// classifyVersions sets the kind of each server in pools that have had a rollout, so that a choice
// need not compare version names. The caller holds mu.
func (t *table) classifyVersions() {
	for _, p := range t.pools {
		if p.rollout != nil {
			t.classifyPoolVersions(p)
		}
	}
}

// classifyPoolVersions is classifyVersions for one pool, which must have had a rollout. The caller
// holds mu.
func (t *table) classifyPoolVersions(p *pool) {
	r := p.rollout
	hasCurrent := slices.ContainsFunc(p.servers, func(k *knownServer) bool {
		return !slices.Contains(r.Barred, k.Version) && !slices.Contains(r.Replaced, k.Version)
	})
	var target []*knownServer
	r.oldListed = false
	for _, k := range p.servers {
		k.versionSet = 0
		switch {
		case slices.Contains(r.Barred, k.Version):
		case r.Target != "" && k.Version == r.Target:
			k.versionSet = targetVersion
			if t.inService(k) {
				target = append(target, k)
			}
		case hasCurrent && slices.Contains(r.Replaced, k.Version):
			k.versionSet = replacedVersion
		default:
			k.versionSet = oldVersion
			r.oldListed = r.oldListed || t.inService(k) && !k.unlisted
		}
	}
	r.silences.changed = false
	for _, group := range t.trialGroups(r.silences.speaking(r.unreached.reachable(target))) {
		for _, k := range trialServers(group, r.Share) {
			k.versionSet |= trialVersion
		}
	}
}

// trialGroups splits the target's servers by region if the fleet has several, so that each region
// has servers in the trial and no request crosses regions for it.
func (t *table) trialGroups(target []*knownServer) [][]*knownServer {
	if t.site.regionCount < 2 {
		return [][]*knownServer{target}
	}
	groups := map[string][]*knownServer{}
	for _, k := range target {
		groups[k.region] = append(groups[k.region], k)
	}
	return slices.Collect(maps.Values(groups))
}

// trialServers returns the servers of the target that take part in a trial. Their number is in
// proportion to the share, so that each has the load of an old server. They are ordered by a hash of
// their identifiers, so all gateways select the same ones.
func trialServers(target []*knownServer, share float64) []*knownServer {
	if len(target) == 0 {
		return nil
	}
	n := max(int(math.Ceil(share*float64(len(target)))), 1)
	slices.SortFunc(target, func(a, b *knownServer) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a.ID), xxh3.HashString(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return target[:min(n, len(target))]
}

// versionOrder is the order in which versions are tried for a request.
type versionOrder struct {
	first, second             versionSet // second may be empty
	onlyIfNone                bool       // second is tried only if first has no usable candidate, not if it lacks capacity
	firstReason, secondReason string     // why the request goes to first or second, for the log
}

// Reasons why a request went to a version. They are values of a log attribute.
const (
	reasonNone       = ""            // the pool has no rollout under way
	reasonShare      = "share"       // random draw within the target's share
	reasonRest       = "rest"        // random draw outside the target's share
	reasonRetry      = "retry"       // an earlier attempt failed
	reasonNoCapacity = "no room"     // the trial servers have no capacity
	reasonNoLease    = "no lease"    // the lease of the leader's shares has expired
	reasonBadAnswers = "bad answers" // too many bad answers at this gateway ([breaker])
	reasonSwitched   = "switched"    // the target gets all requests
	reasonNoneUsable = "none usable" // no server of the target is usable
	reasonOldGone    = "old gone"    // no server of the old version is listed in the request's homes
	reasonStream     = "stream"      // the version began the request's stream
)

// versionDrawScale is 2 to the power of the number of leading bits of a random number that
// versionDraw skips. 24 bits suffice to choose among any number of servers.
const versionDrawScale = float64(1 << 24)

// versionOrder returns the versions that a request may go to. The caller holds mu.
func (t *table) versionOrder(p *pool, now time.Duration, req *requirements) versionOrder {
	r := p.rollout
	if r != nil {
		r.isEngine = req.pool.Engine
		if r.silences.changed {
			t.classifyPoolVersions(p)
		}
	}
	switch {
	case r == nil || !r.underWay():
		return versionOrder{first: anyVersion, firstReason: reasonNone}
	case req.version.limited:
		return versionOrder{first: t.streamVersions(p, now, req), firstReason: reasonStream}
	case !t.oldInHomes(p, req):
		return versionOrder{first: anyVersion, firstReason: reasonOldGone}
	case r.Final:
		return versionOrder{first: targetVersion, firstReason: reasonSwitched, second: oldVersion, onlyIfNone: true, secondReason: reasonNoneUsable}
	case now >= t.rolloutSharesUntil:
		o := versionOrder{first: oldVersion, firstReason: reasonNoLease}
		if r.switched && len(req.triedServers) > 0 { // the old servers may have stopped
			o.second, o.secondReason = targetVersion, reasonRetry
		}
		return o
	case r.breaker.isOpen(now):
		return versionOrder{first: oldVersion, firstReason: reasonBadAnswers}
	case r.isRamping(now) && versionDraw(req.random) >= r.rampedShare(now):
		return versionOrder{first: oldVersion, firstReason: reasonRest}
	case r.switched:
		return versionOrder{first: targetVersion, firstReason: reasonSwitched, second: oldVersion, onlyIfNone: true, secondReason: reasonNoneUsable}
	case len(req.triedServers) > 0:
		return versionOrder{first: oldVersion, firstReason: reasonRetry}
	case versionDraw(req.random) < r.routeShare(req.route.Name):
		return versionOrder{first: trialVersion, firstReason: reasonShare, second: oldVersion, secondReason: reasonNoCapacity}
	}
	return versionOrder{first: oldVersion, firstReason: reasonRest}
}

// streamVersions returns the versions at which streams may go on: all that get requests now,
// whatever their shares. The pool has a rollout under way. The caller holds mu.
func (t *table) streamVersions(p *pool, now time.Duration, req *requirements) versionSet {
	r := p.rollout
	switch {
	case !t.oldInHomes(p, req):
		return anyVersion
	case r.Final:
		return targetVersion
	case r.switched:
		return oldVersion | targetVersion
	case now >= t.rolloutSharesUntil, r.breaker.isOpen(now):
		return oldVersion
	}
	return oldVersion | trialVersion
}

// versionLimit limits a request to one version of the servers' software. The zero value is no limit.
type versionLimit struct {
	limited bool
	version string
}

// allows reports whether the request may go to a server of a version.
func (v versionLimit) allows(version string) bool { return !v.limited || v.version == version }

// versionGone reports whether no server that takes requests may take this one because of its
// version, so that waiting would not help it. The caller holds mu.
func (t *table) versionGone(p *pool, req *requirements, among versionSet) bool {
	if !req.version.limited {
		return false
	}
	req.versionSet, req.homes = among, t.homes.forRequest(req)
	among = t.candidateVersions(p, req)
	return !slices.ContainsFunc(p.servers, func(k *knownServer) bool {
		return k.versionSet&among != 0 && req.version.allows(k.Version) && t.inService(k) && t.homesAllow(req, k)
	})
}

// oldInHomes reports whether a server of the old version is listed in the request's homes. The
// caller holds mu.
func (t *table) oldInHomes(p *pool, req *requirements) bool {
	h := t.homes.forRequest(req)
	if !h.restricted || !p.rollout.oldListed {
		return p.rollout.oldListed
	}
	return slices.ContainsFunc(p.servers, func(k *knownServer) bool {
		return k.versionSet&oldVersion != 0 && t.inService(k) && !k.unlisted && h.allows(k.region)
	})
}

// isRamping reports whether requests are still being moved to the target after the switch.
func (r *poolRollout) isRamping(now time.Duration) bool {
	return r.switched && r.isEngine && now < r.rampEnd
}

// rampedShare returns the fraction of the requests that has moved to the target since the switch.
func (r *poolRollout) rampedShare(now time.Duration) float64 {
	return 1 - float64(r.rampEnd-now)/float64(switchDuration)
}

// versionDraw derives a second random number in [0, 1) from random. It is independent of the leading
// bits, which choose among servers.
func versionDraw(random float64) float64 {
	_, rest := math.Modf(random * versionDrawScale)
	return rest
}

// inService reports whether a server's data hall is in service and the server is not leaving. The
// server may still be full or in backoff. The caller holds mu.
func (t *table) inService(k *knownServer) bool { return !t.hallsOut[k.Hall] && !k.notice.Leaving() }

// anyUsable reports whether a server of the given versions may take the request now, if it has
// capacity. The caller holds mu.
func (t *table) anyUsable(p *pool, now time.Duration, req *requirements, among versionSet) bool {
	coldSharesInForce := now < t.coldSharesUntil
	return slices.ContainsFunc(p.servers, func(k *knownServer) bool {
		return k.versionSet&among != 0 && t.inService(k) && k.cold.Admits(now, coldSharesInForce) && t.homesAllow(req, k)
	})
}

// candidateVersions returns the versions among which to choose a server. If the only servers in
// service in a request's homes run replaced versions, those serve it until they are removed. The
// caller holds mu.
func (t *table) candidateVersions(p *pool, req *requirements) versionSet {
	if p.rollout == nil || len(p.rollout.Replaced) == 0 || !req.homes.restricted {
		return req.versionSet
	}
	if slices.ContainsFunc(p.servers, func(k *knownServer) bool {
		return k.versionSet&anyVersion != 0 && t.inService(k) && t.homesAllow(req, k)
	}) {
		return req.versionSet
	}
	return req.versionSet | replacedVersion
}

// versionAttempt says what an attempt is counted as while its pool has a rollout.
type versionAttempt struct {
	tally          *tally // nil if the attempt is not counted
	rolloutAttempt uint64 // number of the pool's rollout attempt
	version        string
	isTarget       bool
	reason         string        // why the request went to this version, for the log
	expectedFirst  time.Duration // expected time to the first part of the answer
	severalServers bool          // the target has more than one server
	silences       *targetSilences
}

// beginAttempt counts the start of an attempt at a server.
func (p *pool) beginAttempt(k *knownServer, req *requirements, choice place.Choice, reason string) versionAttempt {
	r := p.rollout
	if r == nil {
		return versionAttempt{}
	}
	t := versionAttempt{version: k.Version, reason: reason, rolloutAttempt: r.Attempt, isTarget: r.Target != "" && k.Version == r.Target}
	if r.underWay() {
		t.tally = r.outcomes.tallyFor(k.Version, req.route.Name)
		t.tally.sent++
		t.tally.changed = true
		t.silences, t.severalServers = r.silences, t.isTarget && p.targetCount() > 1
		t.expectedFirst = p.placer.ExpectedTimeToFirst(req.pool.Engine, choice.Read+choice.Before.Tokens)
	}
	return t
}

// logAttrs returns why the request went to its version, for the log line of its end.
func (t *versionAttempt) logAttrs() []slog.Attr {
	if t.reason == "" && t.version == "" {
		return nil
	}
	return []slog.Attr{slog.String("version_for", t.reason)}
}
