// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests how the capacity of backend servers is divided, and which requests wait or are
// refused.

// TestRequestWaitsForCapacity occupies every slot. One more request waits for its part of the
// objective and is refused; a later one that finds capacity in time is served.
func TestRequestWaitsForCapacity(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var group sync.WaitGroup
		for range 8 { // two requests on each of 4 slots
			group.Go(func() { x.request("/once/x") })
		}
		time.Sleep(10 * time.Millisecond)
		refused := x.request("/once/x")
		is.Equal(refused.status, 503)
		is.Equal(refused.took, 230*time.Millisecond) // when an answer in time became impossible
		is.True(refused.header.Get("Retry-After") != "")
		time.Sleep(200 * time.Millisecond) // the eight requests end at 500 ms
		served := x.request("/once/x")
		is.Equal(served.status, 200)
		group.Wait()
	}, answers(200, "fine", 500*time.Millisecond))
}

// TestLoadFromOtherGatewaysReducesCapacity checks that load from other gateways reduces the capacity
// that a server has left.
func TestLoadFromOtherGatewaysReducesCapacity(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.table.updateLoads(x.g.now(), 0, []protocol.ServerLoad{{Handle: 50, Requests: 8}})
		is.Equal(x.request("/once/x").status, 503)
		time.Sleep(place.MaxOthersAge) // the load totals expire
		is.Equal(x.request("/once/x").status, 200)
	}, answers(200, "fine", 0))
}

// TestLateRetriesAreServedLast checks how requests are treated whose callers have less time left
// than any first attempt on their route, which shows that they are retries. Those of an account
// beyond its share get only the capacity that others leave. Those of an account within its share
// are served normally and show how long callers wait. Both are reported as late.
func TestLateRetriesAreServedLast(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		beyond := []protocol.Entitlement{{Account: "t", Part: 0.5, Extra: 0.5}}
		x.g.accounts.update(beyond, nil, true)
		request := func(patience, key string) reply {
			return x.request("/engine/x", "Tokens", "100", "Patience", patience, "Key", key)
		}
		for wait := 2600; wait <= 3000; wait += 20 {
			is.Equal(request(strconv.Itoa(wait), "other").status, 200)
		}
		x.g.accounts.takeReport()
		is.Equal(request("3000", "key").status, 200)
		is.Equal(request("2600", "key").status, 429) // half of the requests in time are served; this one is in time
		refused := request("1800", "key")
		is.Equal(refused.status, 429)
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0.4 && after < 0.6) // of 1.8 s
		is.Equal(request("1800", "other").status, 200)
		u := x.g.accounts.takeReport()
		is.Equal(u.Demands, []protocol.Demand{{Account: "t", Tokens: 300}, {Account: "u", Tokens: 100}})
		is.Equal(u.Late, []protocol.Demand{{Account: "t", Tokens: 100}, {Account: "u", Tokens: 100}})

		x.g.accounts.update(beyond, []protocol.Entitlement{{Account: "t", Part: 1, Extra: 1}}, true)
		is.Equal(request("1800", "key").status, 200)
		is.Equal(x.g.accounts.takeReport().Late, []protocol.Demand{{Account: "t", Tokens: 100}})
	})
}

// TestOthersLoadIsTotalMinusOwnReport checks that the load of other gateways is the total minus
// this gateway's own report. Totals may include an older report than the last one, and only changed
// totals are sent.
func TestOthersLoadIsTotalMinusOwnReport(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", hangs, hangs)
		table := x.g.table
		one, two := table.servers["e0"], table.servers["e1"]
		others := func(counted uint64, loads ...protocol.ServerLoad) [2]place.Work {
			table.updateLoads(x.g.now(), counted, loads)
			return [2]place.Work{one.othersLoad, two.othersLoad}
		}
		table.update(protocol.Servers{Term: 1, Whole: true, Set: []protocol.Server{one.Server, two.Server}})
		table.pool("engines").markBusy(one)
		one.ownLoad = place.Work{Requests: 2, Tokens: 300}
		table.takeReport(1)
		one.ownLoad = place.Work{Requests: 3, Tokens: 500}
		table.takeReport(2)
		sum := protocol.ServerLoad{Handle: one.Handle, Requests: 10, Tokens: 4000}
		is.Equal(others(1, sum), [2]place.Work{{Requests: 8, Tokens: 3700}, {}})
		is.Equal(others(2), [2]place.Work{{Requests: 7, Tokens: 3500}, {}}) // the total has not changed
		is.Equal(others(2, protocol.ServerLoad{Handle: two.Handle, Requests: 1, Tokens: 9}),
			[2]place.Work{{Requests: 7, Tokens: 3500}, {Requests: 1, Tokens: 9}})
		is.Equal(others(2, protocol.ServerLoad{Handle: one.Handle})[0], place.Work{}) // never negative
		is.Equal(others(77, sum)[0], place.Work{Requests: 10, Tokens: 4000})          // the report is unknown
		table.update(protocol.Servers{Term: 1, Whole: true, Set: []protocol.Server{one.Server, two.Server}})
		is.Equal(others(0)[0], place.Work{}) // a new session begins without totals
		for n := range uint64(2 * maxReports) {
			table.takeReport(n)
		}
		is.Equal(len(table.reports), maxReports)
	})
}

// TestRequestsBeyondShareAreRefusedByBusyEngine gives an account a tenth of its demand. While the
// engine has a backlog, nine in ten of its requests are refused with 429, and the other account's
// requests are served.
func TestRequestsBeyondShareAreRefusedByBusyEngine(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.1, Extra: 0.1}}, nil, false)
		x.g.table.updateLoads(x.g.now(), 0, []protocol.ServerLoad{{Handle: 70, Requests: 1, Tokens: 500}})
		served, refused := 0, 0
		for range 50 {
			switch x.request("/engine/x", "Tokens", "1000").status {
			case 200:
				served++
			case 429:
				refused++
			}
		}
		is.True(served >= 4 && served <= 6)
		is.Equal(served+refused, 50)
		is.Equal(x.request("/engine/x", "Tokens", "1000", "Key", "other").status, 200)
	})
}

// TestRequestsBeyondShareAreServedByIdleEngine checks that requests beyond a share are served at
// once if engines are idle.
func TestRequestsBeyondShareAreServedByIdleEngine(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.1, Extra: 0.1}}, nil, false)
		for range 20 {
			got := x.request("/engine/x", "Tokens", "1000")
			is.Equal(got.status, 200)
			is.Equal(got.took, time.Duration(0))
		}
	})
}

// TestStartIsCountedOnce checks that another attempt after an unreachable server does not count as
// another start.
func TestStartIsCountedOnce(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		unreachable := fails(forward.NotRun{Err: errReset})
		x.announceServers("engines", unreachable, unreachable, streams(piece{text: event(1)}))
		is.Equal(x.request("/engine/x", "Tokens", "700", "Shared", sharedPartRankedLastBy(x, 2)).status, 200)
		is.Equal(x.servers.count(), 3)
		is.Equal(x.g.accounts.takeReport().Started, uint64(700+sharedTokens))
	})
}

// sharedPartRankedLastBy returns the name of a shared part for which the engine with number last
// ranks last, so that a request with this part goes to the other two engines first.
func sharedPartRankedLastBy(x *fixture, last int) string {
	var servers []place.Server
	for i := range 3 {
		servers = append(servers, place.Server{ID: fmt.Sprintf("e%d", i), Slots: 4, SameHall: true})
	}
	for n := 0; ; n++ {
		name := fmt.Sprint("part", n)
		prompt := place.Prompt{Shared: []place.Part{{Name: name, Tokens: sharedTokens}}, Own: 700}
		r := place.Request{Prompt: prompt, Objective: 400 * time.Millisecond, Engine: true, Gateways: 1}
		left := slices.Clone(servers)
		for range 2 {
			choice := (&place.CapacityPlacer{}).Choose(r, left)
			left[choice.Index].Avoid = true
		}
		if !left[last].Avoid {
			return name
		}
	}
}

// TestRequestWithoutAnswerIsNotCountedAsStarted checks that requests are deducted from the started
// ones if no engine was reachable or the caller left before the answer.
func TestRequestWithoutAnswerIsNotCountedAsStarted(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", fails(forward.NotRun{Err: errReset}))
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 503)
		x.announceServers("engines", hangs)
		ctx, leave := context.WithTimeout(x.t.Context(), 100*time.Millisecond)
		defer leave()
		is.True(x.requestWith(ctx, http.MethodPost, "/engine/x", "a body", "Tokens", "900").cut)
		u := x.g.accounts.takeReport()
		is.Equal(u.Started, uint64(0))
		is.Equal(len(u.Served), 0)
	})
}

// TestNoAttemptForCallerThatHasLeft checks that no attempt is made for a caller that closed its
// connection before its request was read. net/http may notice that later.
func TestNoAttemptForCallerThatHasLeft(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		ctx := WithCallerLeft(x.t.Context(), func() bool { return true })
		is.True(x.requestWith(ctx, http.MethodPost, "/engine/x", "a body", "Tokens", "700").cut)
		is.Equal(x.servers.count(), 0)
		is.Equal(x.g.accounts.takeReport().Started, uint64(0))
		is.Equal(len(x.g.table.ownLoads()), 0) // and it takes no capacity
		ctx = WithCallerLeft(x.t.Context(), func() bool { return false })
		is.Equal(x.requestWith(ctx, http.MethodPost, "/engine/x", "a body", "Tokens", "700").status, 200)
	})
}

// TestReportNamesServedAccounts checks that a report with started tokens names their accounts, even
// after deductions. The leader would take a report that doesn't for one of an older gateway.
func TestReportNamesServedAccounts(t *testing.T) {
	is := is.New(t)
	a := newAccounts(func() time.Duration { return time.Second })
	a.countStarted("a", 100)
	a.countNotServed("b", 40) // started in an earlier report
	u := a.takeReport()
	is.Equal(u.Started, uint64(100))
	is.Equal(u.Served, []protocol.Demand{{Account: "a", Tokens: 100}})
	a.countStarted("b", 30)
	u = a.takeReport()
	is.Equal(u.Started, uint64(0))
	is.Equal(len(u.Served), 0)
	a.countStarted("b", 30)
	u = a.takeReport()
	is.Equal(u.Started, uint64(20))
	is.Equal(u.Served, []protocol.Demand{{Account: "b", Tokens: 20}})
}

// TestRefusalsForLackOfGatewayCapacityAreMissed checks that requests refused for lack of memory for
// bodies, or because the gateway is stopping, count as missed, like requests that find no engine.
func TestRefusalsForLackOfGatewayCapacityAreMissed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.bodies.release(-x.g.cfg.MaxTotalBodyBytes)
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 503)
		is.Equal(x.g.accounts.takeReport().Missed, uint64(700))
		x.g.bodies.release(x.g.bodies.inUse())
		x.g.stopBeganAt.Store(int64(x.g.now()))
		time.Sleep(x.g.cfg.Grace)
		is.Equal(x.request("/engine/x", "Tokens", "900").status, 503)
		is.Equal(x.g.accounts.takeReport().Missed, uint64(900))
	})
}

// TestRequestBeyondShareWithoutCapacityIsNotMissed checks that a request beyond the named shares does
// not count as missed if no engine has capacity, but does if this gateway lacks memory.
func TestRequestBeyondShareWithoutCapacityIsNotMissed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0, Extra: 1}}, nil, true)
		x.g.table.updateLoads(x.g.now(), 0, []protocol.ServerLoad{{Handle: 70, Requests: 1, Tokens: 6000}})
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 429)
		is.Equal(x.g.accounts.takeReport().Missed, uint64(0))
		x.g.bodies.release(-x.g.cfg.MaxTotalBodyBytes)
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 503)
		is.Equal(x.g.accounts.takeReport().Missed, uint64(700))
	})
}

// TestAttemptsAtOnlyServerAreLimited checks that the attempts at a single dead address are limited,
// however long the caller waits.
func TestAttemptsAtOnlyServerAreLimited(t *testing.T) {
	refusing := func(ctx context.Context, call forward.Call) (*forward.Response, error) {
		time.Sleep(time.Millisecond)
		return nil, forward.NotRun{Err: errReset}
	}
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		got := x.request("/again/x")
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(x.servers.count(), retry.MaxBegun)
	}, refusing)
}

// TestCoveredRequestIsServedByAnotherEngine fills the engine that holds a prompt's shared parts.
// Requests of an account beyond its share wait and are refused; those of other accounts go to
// another engine in the end.
func TestCoveredRequestIsServedByAnotherEngine(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		served := streams(piece{text: event(1)})
		x.announceServers("engines", served, served, served)
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.9, Extra: 0.9}}, nil, false)
		before := x.request("/engine/x", "Tokens", "100", "Shared", "a", "Key", "other")
		is.Equal(before.status, 200)
		is.Equal(before.took, time.Duration(0))
		cached := x.g.table.servers[x.servers.arrivals[0].Header.Get("Backend")]
		x.g.table.updateLoads(x.g.now(), 0, []protocol.ServerLoad{{Handle: cached.Handle, Requests: 1, Tokens: 25_000}})

		refused := x.request("/engine/x", "Tokens", "100", "Shared", "a")
		is.Equal(refused.status, 503)
		is.Equal(refused.took, 224*time.Millisecond) // when an answer in time became impossible
		got := x.request("/engine/x", "Tokens", "100", "Shared", "a", "Key", "other")
		is.Equal(got.status, 200)
		is.Equal(got.took, 224*time.Millisecond)
		is.True(x.servers.arrivals[1].Header.Get("Backend") != cached.ID)
	})
}

// TestCoveredRequestHasMoreRoom checks that an engine whose backlog takes a third of the objective
// accepts requests of an account within its share at once, and none of an account beyond it.
func TestCoveredRequestHasMoreRoom(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.9, Extra: 0.9}}, nil, false)
		x.g.table.updateLoads(x.g.now(), 0, []protocol.ServerLoad{{Handle: 70, Requests: 1, Tokens: 14_000}})
		is.Equal(x.request("/engine/x", "Tokens", "100").status, 503)
		got := x.request("/engine/x", "Tokens", "100", "Key", "other")
		is.Equal(got.status, 200)
		is.Equal(got.took, time.Duration(0))
	})
}

// TestShortFleetRefusesRequestsBeyondExtraShare checks that requests beyond the extra share are
// refused although engines are idle here, because requests within a share wait elsewhere in the
// fleet.
func TestShortFleetRefusesRequestsBeyondExtraShare(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.2, Extra: 0.5}}, nil, true)
		served := 0
		for range 40 {
			if x.request("/engine/x", "Tokens", "1000").status == 200 {
				served++
			}
		}
		is.True(served >= 19 && served <= 21) // only the extra share
		u := x.g.accounts.takeReport()
		is.Equal(u.Started, uint64(served*1000))
		is.Equal(u.Served, []protocol.Demand{{Account: "t", Tokens: u.Started}})
		is.Equal(u.Missed, uint64(0)) // requests beyond every share do not count as missed
	})
}
