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
// pool has a rollout. What is counted of the answers is in outcomes.go.

// sharesLease is for how long a share is in force after the report by which it was last renewed: the
// leader has counted it. It is twice the longest pause between two of the leader's sums and some
// reports.
const sharesLease = 2 * time.Second

// switchTime is how long a gateway takes from the switch on to move all requests to engines of
// the target: the longest pause between two of the leader's sums. At once, what waits at all
// gateways would go to idle engines in the time in which none knows what the others send: 68
// requests in 200 ms to 24 slots, whose slow answers rolled a good version back
// (TestGoodVersionUnderAFlood).
const switchTime = 600 * time.Millisecond

// versionSet is a set of kinds of server, by their version.
type versionSet uint8

// The kinds. A server that is barred is of none.
const (
	oldVersion      versionSet = 1 << iota // any but the target
	trialVersion                           // those of the target that a trial goes to
	targetVersion                          // all of the target
	replacedVersion                        // replaced by another that is listed
)

// anyVersion is a server of a pool without a rollout, or any that is not replaced.
const anyVersion = oldVersion | trialVersion | targetVersion

// rolloutListID names a list of rollouts.
type rolloutListID struct{ term, seq uint64 }

// poolRollout is a pool's rollouts, as the directory's newest list has them.
type poolRollout struct {
	protocol.Rollout
	routes     map[string]float64 // shares
	switched   bool               // the target was given all requests last
	fullFrom   time.Duration      // when it gets all of them here, if its servers are engines
	engine     bool               // they are
	barredHere bool               // an earlier leader barred the target, and the list does not
	oldListed  bool               // a server of the old version is listed, in a hall in service
	outcomes   outcomes
	breaker    breaker
	unreached  unreached
}

// underWay reports whether there is a target that may have requests.
func (r *poolRollout) underWay() bool {
	return r.Target != "" && !slices.Contains(r.Barred, r.Target)
}

// share returns the part of a route's requests that goes to the target.
func (r *poolRollout) share(route string) float64 {
	if share, ok := r.routes[route]; ok {
		return share
	}
	return r.Share
}

// updateRollouts takes the directory's list of rollouts and returns those that have changed.
// An older list than the one held changes nothing, nor does an older attempt.
func (t *table) updateRollouts(m protocol.Rollouts) (changed []protocol.Rollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := rolloutListID{m.Term, m.Seq}
	if list.term < t.rollouts.term || (list.term == t.rollouts.term && list.seq <= t.rollouts.seq) {
		return nil
	}
	t.rollouts = list
	for _, next := range m.List {
		if t.pool(next.Pool).applyRollout(t.now(), next) {
			changed = append(changed, next)
		}
	}
	t.classifyVersions()
	return changed
}

// applyRollout takes the pool's rollout from a list and reports whether it differs from the one held.
func (p *pool) applyRollout(now time.Duration, next protocol.Rollout) bool {
	r := p.rollout
	if r == nil {
		r = &poolRollout{unreached: unreached{}}
		p.rollout = r
	}
	if next.Attempt < r.Attempt {
		return false
	}
	// What a leader has barred before the log had it stays barred: the next leader may not
	// know. Only the log's end of this attempt, or another attempt, says otherwise.
	r.barredHere = next.Attempt == r.Attempt && next.Target != "" && slices.Contains(r.Barred, next.Target) &&
		!slices.Contains(next.Barred, next.Target)
	if r.barredHere {
		next.Barred = append(slices.Clone(next.Barred), next.Target)
	}
	if next.Attempt != r.Attempt {
		r.outcomes, r.breaker, r.unreached = outcomes{}, breaker{}, unreached{}
	}
	same := next.Attempt == r.Attempt && next.Target == r.Target && next.Share == r.Share && next.Final == r.Final &&
		slices.Equal(next.Barred, r.Barred) && slices.Equal(next.Replaced, r.Replaced)
	if next.Share >= 1 && !r.switched {
		r.fullFrom = now + switchTime
	}
	r.Rollout, r.switched = next, next.Share >= 1
	r.routes = make(map[string]float64, len(next.Routes))
	for _, s := range next.Routes {
		r.routes[s.Route] = float64(s.Share)
	}
	return !same
}

// classifyVersions notes the kind of version of each server in pools that had a rollout, so that no
// choice has to compare names. The caller holds mu.
func (t *table) classifyVersions() {
	for _, p := range t.pools {
		if p.rollout != nil {
			t.classifyPoolVersions(p)
		}
	}
}

// classifyPoolVersions is sortVersions for one pool, which had a rollout. The caller holds mu.
func (t *table) classifyPoolVersions(p *pool) {
	r := p.rollout
	other := slices.ContainsFunc(p.servers, func(k *knownServer) bool {
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
		case other && slices.Contains(r.Replaced, k.Version):
			k.versionSet = replacedVersion
		default:
			k.versionSet = oldVersion
			r.oldListed = r.oldListed || t.inService(k) && !k.unlisted
		}
	}
	for _, group := range t.trialGroups(r.unreached.others(target)) {
		for _, k := range trialServers(group, r.Share) {
			k.versionSet |= trialVersion
		}
	}
}

// trialGroups returns the target's servers by region, if there are several, so that each region
// has some in the trial and no request leaves it for that.
func (t *table) trialGroups(target []*knownServer) [][]*knownServer {
	if t.site.regions < 2 {
		return [][]*knownServer{target}
	}
	groups := map[string][]*knownServer{}
	for _, k := range target {
		groups[k.region] = append(groups[k.region], k)
	}
	return slices.Collect(maps.Values(groups))
}

// trialServers returns the target's servers that a trial goes to: as many as the share is of
// all, so that each has the load that an old one has. All gateways choose the same.
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

// versionOrder is which versions a request may go to, one after the other.
type versionOrder struct {
	first, second             versionSet // second may be none
	onlyIfNone                bool       // second only if first has no candidate at all, not for want of room
	firstReason, secondReason string     // why the request goes there, for the log
}

// Why a request went to a version.
const (
	byNone    = ""            // the pool has no rollout under way
	byShare   = "share"       // by lot
	byRest    = "rest"        // by lot to the old version
	byRetry   = "retry"       // it failed once
	byRoom    = "no room"     // the target's servers in the trial have none
	byLease   = "no lease"    // the leader's shares are not in force
	byOwn     = "bad answers" // counted at this gateway (mistrust)
	byAll     = "switched"    // the target gets all requests
	byNoUse   = "none usable" // of the target's servers
	byOldGone = "old gone"    // no server of the old version is listed, or none in its homes
)

// lotParts is 2 to the number of leading bits of random that lot leaves out: enough to choose among
// any number of servers.
const lotParts = float64(1 << 24)

// versionOrder returns which versions a request may go to. The caller holds mu.
func (t *table) versionOrder(p *pool, now time.Duration, req *requirements) versionOrder {
	r := p.rollout
	if r != nil {
		r.engine = req.pool.Engine
	}
	switch {
	case r == nil || !r.underWay():
		return versionOrder{first: anyVersion, firstReason: byNone}
	case !t.oldReachable(p, req):
		return versionOrder{first: anyVersion, firstReason: byOldGone}
	case r.Final:
		return versionOrder{first: targetVersion, firstReason: byAll, second: oldVersion, onlyIfNone: true, secondReason: byNoUse}
	case now >= t.sharesUntil:
		o := versionOrder{first: oldVersion, firstReason: byLease}
		if r.switched && len(req.avoid) > 0 { // the old servers may have stopped
			o.second, o.secondReason = targetVersion, byRetry
		}
		return o
	case r.breaker.isOpen(now):
		return versionOrder{first: oldVersion, firstReason: byOwn}
	case r.isRamping(now) && lot(req.random) >= r.moved(now):
		return versionOrder{first: oldVersion, firstReason: byRest}
	case r.switched:
		return versionOrder{first: targetVersion, firstReason: byAll, second: oldVersion, onlyIfNone: true, secondReason: byNoUse}
	case len(req.avoid) > 0:
		return versionOrder{first: oldVersion, firstReason: byRetry}
	case lot(req.random) < r.share(req.route.Name):
		return versionOrder{first: trialVersion, firstReason: byShare, second: oldVersion, secondReason: byRoom}
	}
	return versionOrder{first: oldVersion, firstReason: byRest}
}

// oldReachable reports whether a server of the old version is listed where the request may be
// served. The caller holds mu.
func (t *table) oldReachable(p *pool, req *requirements) bool {
	h := t.homes.of(req)
	if !h.bound || !p.rollout.oldListed {
		return p.rollout.oldListed
	}
	return slices.ContainsFunc(p.servers, func(k *knownServer) bool {
		return k.versionSet&oldVersion != 0 && t.inService(k) && !k.unlisted && h.may(k.region)
	})
}

// isRamping reports whether requests still move to the target after the switch.
func (r *poolRollout) isRamping(now time.Duration) bool {
	return r.switched && r.engine && now < r.fullFrom
}

// moved returns the part of the requests that has moved to the target since the switch.
func (r *poolRollout) moved(now time.Duration) float64 {
	return 1 - float64(r.fullFrom-now)/float64(switchTime)
}

// lot returns a number from 0 to 1 that does not depend on the first digits of random, which
// choose among servers.
func lot(random float64) float64 {
	_, rest := math.Modf(random * lotParts)
	return rest
}

// inService reports whether a server is there for new requests, if not at this moment: its data hall is in
// service and it does not leave. The caller holds mu.
func (t *table) inService(k *knownServer) bool { return !t.hallsOut[k.Hall] && !k.notice.Leaving() }

// anyUsable reports whether a server of some versions may have the request now. The caller holds
// mu.
func (t *table) anyUsable(p *pool, now time.Duration, req *requirements, among versionSet) bool {
	leased := now < t.coldSharesUntil
	return slices.ContainsFunc(p.servers, func(k *knownServer) bool {
		return k.versionSet&among != 0 && t.inService(k) && k.cold.Admits(now, leased) && t.mayBeServedAt(req, k)
	})
}

// candidateVersions returns the versions that a choice is among. Where a request's homes have servers
// in service of replaced versions alone, those serve it for as long as they are there. The caller
// holds mu.
func (t *table) candidateVersions(p *pool, req *requirements) versionSet {
	if p.rollout == nil || len(p.rollout.Replaced) == 0 || !req.homes.bound {
		return req.versionSet
	}
	if slices.ContainsFunc(p.servers, func(k *knownServer) bool {
		return k.versionSet&anyVersion != 0 && t.inService(k) && t.mayBeServedAt(req, k)
	}) {
		return req.versionSet
	}
	return req.versionSet | replacedVersion
}

// versionAttempt is what an attempt counts for, while its pool has a rollout.
type versionAttempt struct {
	tally         *tally // nil: not counted
	attempt       uint64 // of the pool's rollouts
	version       string
	isTarget      bool
	reason        string
	expectedFirst time.Duration // until the first part of the answer
}

// beginAttempt counts an attempt that begins.
func (p *pool) beginAttempt(k *knownServer, req *requirements, choice place.Choice, reason string) versionAttempt {
	r := p.rollout
	if r == nil {
		return versionAttempt{}
	}
	t := versionAttempt{version: k.Version, reason: reason, attempt: r.Attempt, isTarget: r.Target != "" && k.Version == r.Target}
	if r.underWay() {
		t.tally = r.outcomes.tallyFor(k.Version, req.route.Name)
		t.tally.sent++
		t.tally.changed = true
		t.expectedFirst = p.placer.ExpectedTimeToFirst(req.pool.Engine, choice.Read+choice.Before.Tokens)
	}
	return t
}

// logAttrs are the attributes of a request's last line.
func (t *versionAttempt) logAttrs() []slog.Attr {
	if t.reason == "" && t.version == "" {
		return nil
	}
	return []slog.Attr{slog.String("version", t.version), slog.String("version_for", t.reason)}
}
