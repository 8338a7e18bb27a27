// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests regions and homes during a rollout, while servers move to another hall, and when
// attempts fail.

// announceVersion adds servers of pool "plain" with a version in the given halls. They answer with
// the name of their version.
func (x *fixture) announceVersion(version string, each int, halls ...string) {
	x.announce("plain", each, answers(200, version, time.Millisecond), halls...)
	m := protocol.Servers{Term: 1}
	for _, hall := range halls {
		for i := range each {
			s := x.g.table.servers[listedServer("plain", hall, i).ID].Server
			s.Version = version
			m.Set = append(m.Set, s)
		}
	}
	x.g.table.update(m)
}

// TestEachRegionHasTrialServers checks that each region has its own trial servers, so that no
// request crosses regions for a trial.
func TestEachRegionHasTrialServers(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announceVersion("old", 4, "n1", "s1", "nowhere")
		x.announceVersion("new", 4, "n2", "s2")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "new", Share: 0.1})
		trials := map[string]int{}
		for _, k := range x.g.table.servers {
			if k.versionSet&trialVersion != 0 {
				trials[k.region]++
			}
		}
		is.Equal(trials, map[string]int{"north": 1, "south": 1})
		x.renewShares()
		x.g.cfg.Random = func() uint64 { return 1 } // draws are always within the share
		is.Equal(x.countAnswers("/once/x", 20), map[string]int{"new": 20})
		is.Equal(x.arrivalsIn("n2"), 20)
	})
}

// TestTargetServesHomeWithoutOldVersion checks that servers of the target serve a request whose
// homes have no others.
func TestTargetServesHomeWithoutOldVersion(t *testing.T) {
	for _, home := range []string{"north", "south"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.joinNorthRegion()
			x.g.apply(homesDocument(4, nil, []string{home}))
			x.announceVersion("old", 2, map[string]string{"north": "s1", "south": "n1"}[home], "nowhere")
			x.announceVersion("new", 2, home[:1]+"2")
			x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "new", Share: 0.1})
			for _, sharesInForce := range []bool{false, true} {
				if sharesInForce {
					x.renewShares()
				}
				is.Equal(x.countAnswers("/once/x", 10), map[string]int{"new": 10})
			}
		})
	}
}

// TestOldVersionServesIfLinkBudgetExcludesTarget checks that after the switch, requests that the
// link budget does not admit go to the old version in the own region instead of being refused.
func TestOldVersionServesIfLinkBudgetExcludesTarget(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announceVersion("old", 2, "n1")
		x.announceVersion("new", 2, "s1")
		x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "new", Share: 1})
		x.renewShares()
		is.Equal(x.countAnswers("/once/x", 10), map[string]int{"new": 10})
		x.g.table.mu.Lock()
		x.g.table.linkBudget.Spend(x.g.now(), place.LinkShare{}, 1e9)
		x.g.table.mu.Unlock()
		x.renewShares()
		is.Equal(x.countAnswers("/once/x", 10), map[string]int{"old": 10})
	})
}

// TestCoveredRequestTakesAnyEngineOfItsHome checks that a request within its account's share takes
// any engine of its home, in the own region or another, rather than being refused.
func TestCoveredRequestTakesAnyEngineOfItsHome(t *testing.T) {
	for _, home := range []string{"north", "south"} {
		withGateway(t, func(x *fixture) {
			x.joinNorthRegion()
			x.g.apply(homesDocument(4, nil, []string{home}))
			x.g.accounts.update([]protocol.Entitlement{{Account: "u", Part: 0.9, Extra: 0.9}}, nil, false) // all other accounts are covered
			x.announce("engines", 4, streams(piece{text: event(1)}), "n1", "s1")
			x.requestWithBestFull(home[:1])
		})
	}
}

// TestAttemptCountsForServersRegionAtStart checks that an attempt is counted for the region in
// which its server was when the attempt started.
func TestAttemptCountsForServersRegionAtStart(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announce("plain", 1, answers(200, "ok", 50*time.Millisecond), "s1")
		done := make(chan reply)
		go func() { done <- x.request("/again/x") }()
		time.Sleep(10 * time.Millisecond)
		for i := range 200 { // also while the answer is being counted and logged
			s := listedServer("plain", "s1", 0)
			s.Hall = []string{"w1", "n1"}[i%2]
			x.g.table.update(protocol.Servers{Term: 1, Set: []protocol.Server{s}})
			time.Sleep(time.Millisecond)
		}
		is.Equal((<-done).status, 200)
		is.True(strings.Contains(x.metricsText(), `badgerspoke_gateway_region_requests_total{from="north",to="south",why="no-server"} 1`))
	})
}

// TestUnsentAttemptCountsNoLinkBytes checks that an attempt that reaches no server does not count
// as bytes on the link.
func TestUnsentAttemptCountsNoLinkBytes(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announce("plain", 1, fails(forward.NotRun{Err: io.EOF}), "s1")
		is.Equal(x.request("/once/x", "Patience", "1000").status, 503)
		is.True(x.arrivalsIn("s1") > 0)
		is.True(strings.Contains(x.metricsText(), `badgerspoke_gateway_region_bytes_total{from="north",to="south"} 0`))
	})
}

// TestLinkShareOfGateway checks that the gateways of a region together do not use more than the
// region's share, also if the gateways cannot be divided evenly among the regions.
func TestLinkShareOfGateway(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct{ gateways, regions, each int }{
		{1, 2, 1}, {2, 2, 1}, {3, 2, 2}, {44, 2, 22}, {45, 2, 23}, {10, 3, 4}, {5, 0, 5},
	} {
		s := site{regionCount: tt.regions}
		is.Equal(fmt.Sprint(tt.gateways, tt.regions, s.linkShare(tt.gateways).Gateways), fmt.Sprint(tt.gateways, tt.regions, tt.each))
	}
}

// TestCoveredRequestTakesAnyOldEngineAfterSwitch checks that after the switch, all engines of a
// home that only has the old version serve requests within the account's share, also those that are
// not the best choice.
func TestCoveredRequestTakesAnyOldEngineAfterSwitch(t *testing.T) {
	withGateway(t, func(x *fixture) {
		x.joinNorthRegion()
		x.g.apply(homesDocument(4, nil, []string{"north"}))
		x.g.accounts.update([]protocol.Entitlement{{Account: "u", Part: 0.9, Extra: 0.9}}, nil, false) // all other accounts are covered
		x.announce("engines", 4, streams(piece{text: event(1)}), "n1", "s1")
		m := protocol.Servers{Term: 1}
		for i := range 4 {
			s := x.g.table.servers[listedServer("engines", "s1", i).ID].Server
			s.Version = "new"
			m.Set = append(m.Set, s)
		}
		x.g.table.update(m)
		x.g.table.updateRollouts(protocol.Rollouts{Term: 1, Seq: 1, List: []protocol.Rollout{
			{Pool: "engines", Attempt: 1, Target: "new", Share: 1},
		}})
		x.renewShares()
		x.requestWithBestFull("n")
	})
}

// requestWithBestFull sends a prompt, makes the engine that served it full, and sends the prompt
// again: another engine of the region must serve it in the end.
func (x *fixture) requestWithBestFull(region string) {
	is := is.New(x.t)
	ask := func() reply { return x.request("/engine/x", "Shared", "a", "Tokens", "500", "Patience", "1000") }
	is.Equal(ask().status, 200)
	best := x.servers.arrivals[0].Header.Get("Backend")
	t := x.g.table
	t.mu.Lock()
	t.servers[best].othersLoad, t.othersUpdatedAt = place.Work{Tokens: 30_000}, t.now()
	t.mu.Unlock()
	is.Equal(ask().status, 200)
	is.Equal(x.arrivalsIn(best), 1)
	is.Equal(x.arrivalsIn(region), 2)
}

// TestHealthyFullRegionIsPreferredToEjectedOne checks that a request that must leave its region
// waits for a healthy server in a distant region rather than go to an ejected one in a nearer
// region.
func TestHealthyFullRegionIsPreferredToEjectedOne(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announce("plain", 1, answers(200, "ok", time.Millisecond), "s1", "w1")
		t := x.g.table
		t.mu.Lock()
		k := t.servers[listedServer("plain", "s1", 0).ID]
		for range 8 {
			t.pool("plain").failures.Record(t.now(), &k.health, outlier.Lost, false)
		}
		t.mu.Unlock()
		x.setFull(true, "w1")
		is.Equal(x.request("/once/x", "Patience", "300").status, 503)
		is.Equal(x.servers.count(), 0)
		x.setFull(false, "w1")
		is.Equal(x.request("/once/x").status, 200)
		is.Equal(x.arrivalsIn("w1"), 1)
		x.withdraw("plain", 1, "w1")
		is.Equal(x.request("/once/x").status, 200) // an ejected server is better than none
		is.Equal(x.arrivalsIn("s1"), 1)
	})
}
