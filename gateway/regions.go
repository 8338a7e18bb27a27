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

// This file defines how the choice of a backend server goes over regions: a pool's servers by
// region, the requests that leave the gateway's own, and the bytes that they put on the link.
// The rules are in coordination/place.

// site is the gateway's region, and what its settings say of the others.
type site struct {
	region      string
	topology    topology.Topology
	regionCount int // in the fleet
	linkRate    float64
}

// hasRemoteRegions reports whether some servers are far: there are several regions, and the gateway
// knows its own.
func (s *site) hasRemoteRegions() bool { return s.regionCount > 1 && s.region != "" }

// setSite says where the gateway stands, before it knows any server.
func (t *table) setSite(region string, fleet topology.Topology, linkRate float64) {
	t.site = site{region: region, topology: fleet, regionCount: len(fleet.Regions()), linkRate: linkRate}
}

// linkShare is what divides the link's capacity among the region's gateways: as many as if all
// regions had equally many, and one more where they cannot, so that none uses more than its part.
func (s *site) linkShare(gateways int) place.LinkShare {
	regions := max(s.regionCount, 1)
	return place.LinkShare{Rate: s.linkRate, Gateways: (gateways + regions - 1) / regions}
}

// regionServers is the servers of a pool in one region, ordered by identifier.
type regionServers struct {
	region  string
	servers []*knownServer
}

// insertServer adds a server in the order of identifiers.
func insertServer(servers []*knownServer, k *knownServer) []*knownServer {
	i, _ := slices.BinarySearchFunc(servers, k.ID, compareID)
	return slices.Insert(servers, i, k)
}

func compareID(k *knownServer, id string) int { return strings.Compare(k.ID, id) }

// addToRegion adds a server to the part of its region, where the gateway has a far side.
func (t *table) addToRegion(p *pool, k *knownServer) {
	k.region = t.site.topology.Region(k.Hall)
	if !t.site.hasRemoteRegions() {
		return
	}
	if len(p.parts) == 0 {
		p.parts = []regionServers{{region: t.site.region}}
	}
	i := slices.IndexFunc(p.parts, func(x regionServers) bool { return x.region == k.region })
	if i < 0 {
		i = len(p.parts)
		p.parts = append(p.parts, regionServers{region: k.region})
	}
	p.parts[i].servers = insertServer(p.parts[i].servers, k)
}

// removeFromRegion drops a server from the part of its region.
func (p *pool) removeFromRegion(k *knownServer) {
	for i, x := range p.parts {
		if x.region == k.region {
			p.parts[i].servers = slices.DeleteFunc(x.servers, func(o *knownServer) bool { return o == k })
		}
	}
}

// regionDecision is why a choice leaves the gateway's region, or what kept it there.
type regionDecision struct {
	reason     place.LeaveReason // place.Stay: it does not
	stayReason stayReason
}

// stayReason is what kept a request in its region that had a reason to leave it.
type stayReason string

// What keeps a request in its region.
const (
	stayedForClass stayReason = "class" // beyond its account's share
	stayedForTime  stayReason = "time"  // the way takes longer than its objective leaves
	stayedForLink  stayReason = "link"  // the budget lacks the bytes, or the link looks full
	stayedForRoom  stayReason = "room"  // no other region has room either
)

// choose returns the backend server that suits the request best, as an index of the pool's
// servers. It looks at the gateway's own region first, and at others only with a reason. The
// caller holds mu.
func (t *table) choose(p *pool, now time.Duration, req *requirements) (place.Choice, regionDecision) {
	req.homes = t.homes.forRequest(req)
	if !t.site.hasRemoteRegions() || len(p.parts) == 0 {
		if c, ok := t.chooseSpread(p, now, req); ok {
			return c, regionDecision{}
		}
		return p.placer.Choose(req.placeRequest(), t.candidates(p, p.servers, now, req)), regionDecision{}
	}
	own := p.parts[0].servers
	c, why := p.placer.ChooseInRegion(req.placeRequest(), t.candidates(p, own, now, req))
	c = p.withPoolIndex(c, own)
	if why == place.Stay {
		return c, regionDecision{}
	}
	far, kept := t.chooseRemote(p, now, req, why, c.Index >= 0)
	if kept == "" || c.Index < 0 || (why == place.NoServer && far.Index >= 0 && kept == stayedForRoom) {
		return far, regionDecision{reason: why, stayReason: kept}
	}
	return c, regionDecision{stayReason: kept}
}

// chooseRemote returns the server of the nearest other region that may have the request, or else
// one that it would wait for, and what kept it from going. Ejected ones are looked at unless
// its own region has some. The caller holds mu.
func (t *table) chooseRemote(p *pool, now time.Duration, req *requirements, why place.LeaveReason, ownEjected bool) (place.Choice, stayReason) {
	best, bestWhy, kept := place.Choice{Index: -1}, place.NoServer, stayedForRoom
	must := why == place.NoServer
	passage := place.Transfer{Bytes: float64(req.requestBytes) + p.expectedAnswerBytes(), Class: req.Class, Required: must}
	admitted := t.link.Admits(now, t.site.linkShare(req.gateways), passage)
	switch {
	case !must && !place.MayLeave(req.Class):
		return best, stayedForClass
	case !must && !admitted:
		return best, stayedForLink
	}
	for _, x := range t.remoteRegions(p) {
		if !must && !t.mayCrossNow(p, now, req, why, x.region) {
			kept = stayedForTime
			continue
		}
		c, farWhy := p.placer.ChooseInRegion(req.placeRequest(), t.candidates(p, x.servers, now, req))
		switch c = p.withPoolIndex(c, x.servers); {
		case farWhy == place.Stay && admitted:
			return c, ""
		case !must || c.Index < 0 || (farWhy == place.NoServer && ownEjected):
		case best.Index < 0 || (bestWhy == place.NoServer && farWhy != place.NoServer):
			best, bestWhy = c, farWhy // it is waited for, or is ejected and better than none
		}
	}
	if !admitted && best.Index >= 0 {
		return boundByLink(best), stayedForLink
	}
	return best, kept
}

// boundByLink is a choice that the link keeps from being taken now.
func boundByLink(c place.Choice) place.Choice {
	if c.Index >= 0 && c.Bound == place.Free {
		c.Bound = place.RegionLink
	}
	return c
}

// remoteRegions returns the pool's servers of other regions, the nearest first; those in no known
// region come last.
func (t *table) remoteRegions(p *pool) []regionServers {
	far := slices.Clone(p.parts[1:])
	slices.SortStableFunc(far, func(a, b regionServers) int {
		if (a.region == "") != (b.region == "") {
			return cmp.Compare(b.region, a.region)
		}
		return cmp.Or(cmp.Compare(t.link.RoundTrip(a.region), t.link.RoundTrip(b.region)), cmp.Compare(a.region, b.region))
	})
	return far
}

// mayCrossNow reports whether a request that has servers in its own region may go to another now: it has
// waited as long as its reason asks, and the way and a server that runs nothing else leave it
// within its objective.
func (t *table) mayCrossNow(p *pool, now time.Duration, req *requirements, why place.LeaveReason, region string) bool {
	way := t.link.RoundTrip(region)
	inTime := req.objectiveDeadline == 0 || now+way+p.placer.ExpectedTimeToFirst(req.pool.Engine, req.prompt.Tokens()) <= req.objectiveDeadline
	return inTime && why.Due(now-req.waitingSince, way)
}

// withPoolIndex turns a choice among some of the pool's servers into one among all.
func (p *pool) withPoolIndex(c place.Choice, among []*knownServer) place.Choice {
	if c.Index >= 0 {
		c.Index, _ = slices.BinarySearchFunc(p.servers, among[c.Index].ID, compareID)
	}
	return c
}

// chooseWithRoom is choose among servers that have room. The caller holds mu.
func (t *table) chooseWithRoom(p *pool, now time.Duration, req *requirements) (place.Choice, regionDecision) {
	req.homes = t.homes.forRequest(req)
	if !t.site.hasRemoteRegions() || len(p.parts) == 0 {
		return p.placer.ChooseWithRoom(req.placeRequest(), t.candidates(p, p.servers, now, req)), regionDecision{}
	}
	own := p.parts[0].servers
	near, why := p.placer.ChooseInRegion(req.placeRequest(), t.candidates(p, own, now, req))
	if why == place.NoServer {
		if far := t.chooseRemoteWithRoom(p, now, req, near.Index >= 0); far.Index >= 0 {
			return far, regionDecision{reason: why}
		}
	}
	c := p.placer.ChooseWithRoom(req.placeRequest(), t.candidates(p, own, now, req))
	if c.Index >= 0 || why == place.NoServer {
		return p.withPoolIndex(c, own), regionDecision{}
	}
	far, kept := t.chooseRemote(p, now, req, why, false)
	if kept != "" {
		return place.Choice{Index: -1}, regionDecision{stayReason: kept}
	}
	return far, regionDecision{reason: why}
}

// chooseRemoteWithRoom returns the server with room of the nearest other region, for a request that may be
// served nowhere else. Ejected ones are looked at unless its own region has some. The caller
// holds mu.
func (t *table) chooseRemoteWithRoom(p *pool, now time.Duration, req *requirements, ownEjected bool) place.Choice {
	passage := place.Transfer{Bytes: float64(req.requestBytes) + p.expectedAnswerBytes(), Class: req.Class, Required: true}
	if !t.link.Admits(now, t.site.linkShare(req.gateways), passage) {
		return place.Choice{Index: -1}
	}
	for _, x := range t.remoteRegions(p) {
		_, why := p.placer.ChooseInRegion(req.placeRequest(), t.candidates(p, x.servers, now, req))
		if why == place.NoServer && ownEjected {
			continue
		}
		if c := p.placer.ChooseWithRoom(req.placeRequest(), t.candidates(p, x.servers, now, req)); c.Index >= 0 {
			return p.withPoolIndex(c, x.servers)
		}
	}
	return place.Choice{Index: -1}
}

// Answers from other regions.
const (
	assumedAnswerBytes = 4e3  // bytes that one brings, until some have come
	answerBytesWeight  = 0.05 // of one in the average of the bytes
)

// expectedAnswerBytes returns how many bytes an answer of the pool brings.
func (p *pool) expectedAnswerBytes() float64 {
	if p.answerBytes == 0 {
		return assumedAnswerBytes
	}
	return p.answerBytes
}

// recordDestination notes where an attempt goes, and takes what it needs of the link. The caller holds mu.
func (t *table) recordDestination(a *assignment, now time.Duration, req *requirements, left regionDecision) *assignment {
	a.region, a.leaveReason, a.homes = a.entry.region, left.reason, req.homes
	if left.reason == place.Stay {
		return a
	}
	a.roundTrip = t.link.RoundTrip(a.region)
	a.chargedBytes = float64(req.requestBytes) + t.pool(a.entry.Pool).expectedAnswerBytes()
	t.link.Spend(now, t.site.linkShare(req.gateways), a.chargedBytes)
	return a
}

// settleLink corrects what an attempt has taken of the link by what it has put there, and
// counts it.
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
	t.link.Spend(g.now(), t.site.linkShare(int(g.gatewayCount.Load())), float64(sent+a.receivedBytes)-a.chargedBytes)
	t.mu.Unlock()
	from, to := t.site.region, a.region
	count := func(name, labels string, n int) {
		g.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("badgerspoke_gateway_region_%s_total{%s}", name, labels)).Add(n)
	}
	count("requests", fmt.Sprintf("from=%q,to=%q,why=%q", from, to, a.leaveReason), 1)
	count("bytes", fmt.Sprintf("from=%q,to=%q", from, to), sent)
	count("bytes", fmt.Sprintf("from=%q,to=%q", to, from), a.receivedBytes)
}

// observeRoundTrip learns the round trip to another region of a connection that was opened for an
// attempt there. A gateway that is late itself would take its own lateness for the link's.
func (g *Gateway) observeRoundTrip(a *assignment) {
	if a.leaveReason == place.Stay || a.connOpenedAt <= a.startedAt || g.overload.Load().Late(g.now()) {
		return
	}
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.table.link.ObserveRoundTrip(g.now(), a.region, a.connOpenedAt-a.startedAt)
}

// countingBody counts the bytes of an answer that comes over the link.
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

// regionAttrs are the log's attributes of where a request's last attempt went and why, or what
// kept it from going, and of the homes that bound it.
func (c *call) regionAttrs() []slog.Attr {
	var attrs []slog.Attr
	homes, bound := document.CommonHomes(c.route.Homes, c.account.Homes)
	if a := c.assigned; a != nil {
		if a.region != "" {
			attrs = append(attrs, slog.String("region", a.region))
		}
		if a.leaveReason != place.Stay {
			attrs = append(attrs, slog.String("left_region", a.leaveReason.String()))
		}
		homes, bound = a.homes.regions, a.homes.bound
	}
	if kept := c.shortage.stayReason; kept != "" {
		attrs = append(attrs, slog.String("stayed", string(kept)))
	}
	if bound {
		attrs = append(attrs, slog.Any("homes", homes))
	}
	return attrs
}
