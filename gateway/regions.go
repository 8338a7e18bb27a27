// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines the choice of a backend server across regions: a pool's servers grouped by
// region, the requests that leave the gateway's own region, and the bytes that they put on the link
// between regions. The rules are in coordination/place.

// site is the gateway's region and the topology of the fleet as seen from there.
type site struct {
	region      string
	topology    topology.Topology
	regionCount int     // regions in the fleet
	linkRate    float64 // one-way capacity between two regions, in bytes per second; 0 is the default
}

// hasRemoteRegions reports whether servers can be in another region than the gateway: the fleet has
// several regions, and the gateway's own is configured.
func (s *site) hasRemoteRegions() bool { return s.regionCount > 1 && s.region != "" }

// setSite sets the gateway's region and the fleet's topology. It must be called before the first
// server is added.
func (t *table) setSite(region string, fleet topology.Topology, linkRate float64) {
	t.site = site{region: region, topology: fleet, regionCount: len(fleet.Regions()), linkRate: linkRate}
}

// linkShare returns this gateway's share of the link's capacity. It assumes the same number of
// gateways in each region, rounded up so that no gateway uses more than its share.
func (s *site) linkShare(gateways int) place.LinkShare {
	regions := max(s.regionCount, 1)
	return place.LinkShare{Rate: s.linkRate, Gateways: (gateways + regions - 1) / regions}
}

// regionServers holds the servers of a pool in one region, ordered by identifier.
type regionServers struct {
	region  string
	servers []*knownServer
}

// insertServer inserts a server into a list that is ordered by identifier.
func insertServer(servers []*knownServer, k *knownServer) []*knownServer {
	i, _ := slices.BinarySearchFunc(servers, k.ID, compareID)
	return slices.Insert(servers, i, k)
}

func compareID(k *knownServer, id string) int { return strings.Compare(k.ID, id) }

// addToRegion sets a server's region and, if there are remote regions, adds the server to the
// pool's list for its region. The gateway's own region comes first in p.regions.
func (t *table) addToRegion(p *pool, k *knownServer) {
	k.region = t.site.topology.Region(k.Hall)
	if !t.site.hasRemoteRegions() {
		return
	}
	if len(p.regions) == 0 {
		p.regions = []regionServers{{region: t.site.region}}
	}
	i := slices.IndexFunc(p.regions, func(x regionServers) bool { return x.region == k.region })
	if i < 0 {
		i = len(p.regions)
		p.regions = append(p.regions, regionServers{region: k.region})
	}
	p.regions[i].servers = insertServer(p.regions[i].servers, k)
}

// removeFromRegion removes a server from the pool's list for its region.
func (p *pool) removeFromRegion(k *knownServer) {
	for i, x := range p.regions {
		if x.region == k.region {
			p.regions[i].servers = slices.DeleteFunc(x.servers, func(o *knownServer) bool { return o == k })
		}
	}
}

// regionDecision records why a choice left the gateway's region, or what prevented that.
type regionDecision struct {
	reason     place.LeaveReason // place.Stay if it did not leave
	stayReason stayReason
}

// stayReason says what kept a request in the gateway's region although it had a reason to leave.
type stayReason string

// Values of stayReason. They are values of log attributes and of a metric's label.
const (
	stayedForClass    stayReason = "class" // the request is beyond its account's share
	stayedForTime     stayReason = "time"  // the round trip would miss its objective, or it has not waited long enough
	stayedForLink     stayReason = "link"  // the link budget lacks the bytes, or the link looks congested
	stayedForCapacity stayReason = "room"  // no other region has capacity either
)

// choose returns the best backend server for the request, as an index into the pool's servers. It
// considers the gateway's own region first, and other regions only if package place gives a reason
// to leave. The caller holds mu.
func (t *table) choose(p *pool, now time.Duration, req *requirements) (place.Choice, regionDecision) {
	req.homes = t.homes.forRequest(req)
	if !t.site.hasRemoteRegions() || len(p.regions) == 0 {
		if c, ok := t.chooseFromRanks(p, now, req); ok {
			return c, regionDecision{}
		}
		return p.placer.Choose(req.placeRequest(), t.candidates(p, p.servers, now, req)), regionDecision{}
	}
	own := p.regions[0].servers
	local, reason := p.placer.ChooseInRegion(req.placeRequest(), t.candidates(p, own, now, req))
	local = p.withPoolIndex(local, own)
	if reason == place.Stay {
		return local, regionDecision{}
	}
	remote, stay := t.chooseRemote(p, now, req, reason, local.Index >= 0)
	if stay == "" || local.Index < 0 || (reason == place.NoServer && remote.Index >= 0 && stay == stayedForCapacity) {
		return remote, regionDecision{reason: reason, stayReason: stay}
	}
	return local, regionDecision{stayReason: stay}
}

// chooseRemote returns a server of the nearest other region that can take the request now. If there
// is none, it returns the server to wait for and the reason why the request cannot go there.
// Ejected servers of other regions are considered only if the own region has no ejected one
// either. The caller holds mu.
func (t *table) chooseRemote(p *pool, now time.Duration, req *requirements, reason place.LeaveReason, ownEjected bool) (place.Choice, stayReason) {
	best, bestReason, stay := place.Choice{Index: -1}, place.NoServer, stayedForCapacity
	required := reason == place.NoServer
	transfer := place.Transfer{Bytes: float64(req.requestBytes) + p.expectedAnswerBytes(), Class: req.Class, Required: required}
	admitted := t.linkBudget.Admits(now, t.site.linkShare(req.gateways), transfer)
	switch {
	case !required && !place.MayLeave(req.Class):
		return best, stayedForClass
	case !required && !admitted:
		return best, stayedForLink
	}
	for _, remote := range t.remoteRegions(p) {
		if !required && !t.mayCrossNow(p, now, req, reason, remote.region) {
			stay = stayedForTime
			continue
		}
		c, remoteReason := p.placer.ChooseInRegion(req.placeRequest(), t.candidates(p, remote.servers, now, req))
		switch c = p.withPoolIndex(c, remote.servers); {
		case remoteReason == place.Stay && admitted:
			return c, ""
		case !required || c.Index < 0 || (remoteReason == place.NoServer && ownEjected):
		case best.Index < 0 || (bestReason == place.NoServer && remoteReason != place.NoServer):
			best, bestReason = c, remoteReason // the server to wait for, or an ejected one as the last resort
		}
	}
	if !admitted && best.Index >= 0 {
		return boundByLink(best), stayedForLink
	}
	return best, stay
}

// boundByLink marks a choice as one that the link budget does not admit now.
func boundByLink(c place.Choice) place.Choice {
	if c.Index >= 0 && c.Bound == place.Free {
		c.Bound = place.RegionLink
	}
	return c
}

// remoteRegions returns the pool's servers in other regions, ordered by round trip. Servers whose
// region is unknown come last.
func (t *table) remoteRegions(p *pool) []regionServers {
	remote := slices.Clone(p.regions[1:])
	slices.SortStableFunc(remote, func(a, b regionServers) int {
		if (a.region == "") != (b.region == "") {
			return cmp.Compare(b.region, a.region)
		}
		return cmp.Or(cmp.Compare(t.linkBudget.RoundTrip(a.region), t.linkBudget.RoundTrip(b.region)), cmp.Compare(a.region, b.region))
	})
	return remote
}

// mayCrossNow reports whether a request that has servers in its own region may go to another region
// now: it has waited as long as its reason requires, and an idle server there would still meet its
// objective after the round trip.
func (t *table) mayCrossNow(p *pool, now time.Duration, req *requirements, reason place.LeaveReason, region string) bool {
	roundTrip := t.linkBudget.RoundTrip(region)
	inTime := req.objectiveDeadline == 0 || now+roundTrip+p.placer.ExpectedTimeToFirst(req.pool.Engine, req.prompt.Tokens()) <= req.objectiveDeadline
	return inTime && reason.Due(now-req.waitingSince, roundTrip)
}

// withPoolIndex converts a choice whose index refers to some of the pool's servers into one whose
// index refers to all of them.
func (p *pool) withPoolIndex(c place.Choice, among []*knownServer) place.Choice {
	if c.Index >= 0 {
		c.Index, _ = slices.BinarySearchFunc(p.servers, among[c.Index].ID, compareID)
	}
	return c
}

// chooseWithCapacity is choose restricted to servers that have capacity. The caller holds mu.
func (t *table) chooseWithCapacity(p *pool, now time.Duration, req *requirements) (place.Choice, regionDecision) {
	req.homes = t.homes.forRequest(req)
	if !t.site.hasRemoteRegions() || len(p.regions) == 0 {
		return p.placer.ChooseWithCapacity(req.placeRequest(), t.candidates(p, p.servers, now, req)), regionDecision{}
	}
	own := p.regions[0].servers
	local, reason := p.placer.ChooseInRegion(req.placeRequest(), t.candidates(p, own, now, req))
	if reason == place.NoServer {
		if remote := t.chooseRemoteWithCapacity(p, now, req, local.Index >= 0); remote.Index >= 0 {
			return remote, regionDecision{reason: reason}
		}
	}
	c := p.placer.ChooseWithCapacity(req.placeRequest(), t.candidates(p, own, now, req))
	if c.Index >= 0 || reason == place.NoServer {
		return p.withPoolIndex(c, own), regionDecision{}
	}
	remote, stay := t.chooseRemote(p, now, req, reason, false)
	if stay != "" {
		return place.Choice{Index: -1}, regionDecision{stayReason: stay}
	}
	return remote, regionDecision{reason: reason}
}

// chooseRemoteWithCapacity returns a server with capacity in the nearest other region, for a request
// that its own region cannot serve. Ejected servers of other regions are considered only if the own
// region has no ejected one either. The caller holds mu.
func (t *table) chooseRemoteWithCapacity(p *pool, now time.Duration, req *requirements, ownEjected bool) place.Choice {
	transfer := place.Transfer{Bytes: float64(req.requestBytes) + p.expectedAnswerBytes(), Class: req.Class, Required: true}
	if !t.linkBudget.Admits(now, t.site.linkShare(req.gateways), transfer) {
		return place.Choice{Index: -1}
	}
	for _, remote := range t.remoteRegions(p) {
		_, reason := p.placer.ChooseInRegion(req.placeRequest(), t.candidates(p, remote.servers, now, req))
		if reason == place.NoServer && ownEjected {
			continue
		}
		if c := p.placer.ChooseWithCapacity(req.placeRequest(), t.candidates(p, remote.servers, now, req)); c.Index >= 0 {
			return p.withPoolIndex(c, remote.servers)
		}
	}
	return place.Choice{Index: -1}
}

// Sizes of answers from other regions.
const (
	assumedAnswerBytes = 4e3  // bytes of an answer, before the first one has been observed
	answerBytesWeight  = 0.05 // weight of one answer in the exponential moving average
)

// expectedAnswerBytes returns the expected size of an answer of the pool.
func (p *pool) expectedAnswerBytes() float64 {
	if p.answerBytes == 0 {
		return assumedAnswerBytes
	}
	return p.answerBytes
}

// recordDestination records the region that an attempt goes to and, if it is another region, charges
// the link budget for the request and the expected answer. The caller holds mu.
func (t *table) recordDestination(a *assignment, now time.Duration, req *requirements, decision regionDecision) *assignment {
	a.region, a.leaveReason, a.homes = a.entry.region, decision.reason, req.homes
	if decision.reason == place.Stay {
		return a
	}
	a.roundTrip = t.linkBudget.RoundTrip(a.region)
	a.chargedBytes = float64(req.requestBytes) + t.pool(a.entry.Pool).expectedAnswerBytes()
	t.linkBudget.Spend(now, t.site.linkShare(req.gateways), a.chargedBytes)
	return a
}

// settleLink replaces the bytes charged to the link budget for an attempt by the bytes that it
// transferred, and updates the region counters.
func (g *Gateway) settleLink(a *assignment, sent int) {
	if a.leaveReason == place.Stay {
		return
	}
	t := g.table
	t.mu.Lock()
	if a.receivedBytes > 0 {
		p := t.pool(a.entry.Pool)
		p.answerBytes = p.expectedAnswerBytes() + answerBytesWeight*(float64(a.receivedBytes)-p.expectedAnswerBytes())
	}
	t.linkBudget.Spend(g.now(), t.site.linkShare(int(g.gatewayCount.Load())), float64(sent+a.receivedBytes)-a.chargedBytes)
	t.mu.Unlock()
	from, to := t.site.region, a.region
	count := func(name, labels string, n int) {
		g.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("badgerspoke_gateway_region_%s_total{%s}", name, labels)).Add(n)
	}
	count("requests", fmt.Sprintf("from=%q,to=%q,why=%q", from, to, a.leaveReason), 1)
	count("bytes", fmt.Sprintf("from=%q,to=%q", from, to), sent)
	count("bytes", fmt.Sprintf("from=%q,to=%q", to, from), a.receivedBytes)
}

// observeRoundTrip updates the round trip estimate of another region from a connection that was
// opened for an attempt there. Samples are skipped while this process is delayed itself, since they
// would include its own delay.
func (g *Gateway) observeRoundTrip(a *assignment) {
	openedAt := a.openedAt()
	if a.leaveReason == place.Stay || openedAt <= a.startedAt || g.overload.Load().Late(g.now()) {
		return
	}
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.table.linkBudget.ObserveRoundTrip(g.now(), a.region, openedAt-a.startedAt)
}

// countingBody counts the bytes of an answer that are read from the link.
type countingBody struct {
	io.ReadCloser
	n *int
}

// Read implements [io.Reader].
func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	*b.n += n
	return n, err
}

// regionAttrs returns the log attributes for the region of a request's last attempt: where it went
// and why, or why it stayed, and the homes that restricted it.
func (c *call) regionAttrs() []slog.Attr {
	var attrs []slog.Attr
	homes, restricted := document.CommonHomes(c.route.Homes, c.account.Homes)
	if a := c.assigned; a != nil {
		if a.region != "" {
			attrs = append(attrs, slog.String("region", a.region))
		}
		if a.leaveReason != place.Stay {
			attrs = append(attrs, slog.String("left_region", a.leaveReason.String()))
		}
		homes, restricted = a.homes.regions, a.homes.restricted
	}
	if stay := c.shortage.stayReason; stay != "" {
		attrs = append(attrs, slog.String("stayed", string(stay)))
	}
	if restricted {
		attrs = append(attrs, slog.Any("homes", homes))
	}
	return attrs
}
