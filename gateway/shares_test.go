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

// This file tests who gets room on backend servers, and who waits or is refused.

// TestRoomIsShared holds every slot; one request too many waits for its part
// of the objective and is refused, and one that finds room in time is served.
func TestRoomIsShared(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		var group sync.WaitGroup
		for range 8 { // plainRoom x 4 slots
			group.Go(func() { x.request("/once/x") })
		}
		time.Sleep(10 * time.Millisecond)
		refused := x.request("/once/x")
		is.Equal(refused.status, 503)
		is.Equal(refused.took, 230*time.Millisecond) // until it could not be answered in time any more
		is.True(refused.header.Get("Retry-After") != "")
		time.Sleep(200 * time.Millisecond) // the eight end at 500 ms
		served := x.request("/once/x")
		is.Equal(served.status, 200)
		group.Wait()
	}, answers(200, "fine", 500*time.Millisecond))
}

// TestOthersLoadCounts checks that what runs on other gateways takes room.
func TestOthersLoadCounts(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.table.updateLoads(x.g.now(), 0, []protocol.ServerLoad{{Handle: 50, Requests: 8}})
		is.Equal(x.request("/once/x").status, 503)
		time.Sleep(place.MaxOthersAge) // nobody says so any more
		is.Equal(x.request("/once/x").status, 200)
	}, answers(200, "fine", 0))
}

// TestWhatComesBackLateGoesLast: a caller that has less time left than any that asks first
// on its route asked before. Of an account beyond its share it has what the others leave; of
// one within its share it is served like any, and shows how long callers wait. Both are
// reported.
func TestWhatComesBackLateGoesLast(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		beyond := []protocol.Entitlement{{Account: "t", Part: 0.5, Extra: 0.5}}
		x.g.accounts.update(beyond, nil, true)
		ask := func(patience, key string) reply {
			return x.request("/engine/x", "Tokens", "100", "Patience", patience, "Key", key)
		}
		for wait := 2600; wait <= 3000; wait += 20 {
			is.Equal(ask(strconv.Itoa(wait), "other").status, 200)
		}
		x.g.accounts.takeReport()
		is.Equal(ask("3000", "key").status, 200)
		is.Equal(ask("2600", "key").status, 429) // half of what is in time, and this is in time
		refused := ask("1800", "key")
		is.Equal(refused.status, 429)
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0.4 && after < 0.6) // of 1.8 s
		is.Equal(ask("1800", "other").status, 200)
		u := x.g.accounts.takeReport()
		is.Equal(u.Demands, []protocol.Demand{{Account: "t", Tokens: 300}, {Account: "u", Tokens: 100}})
		is.Equal(u.Late, []protocol.Demand{{Account: "t", Tokens: 100}, {Account: "u", Tokens: 100}})

		x.g.accounts.update(beyond, []protocol.Entitlement{{Account: "t", Part: 1, Extra: 1}}, true)
		is.Equal(ask("1800", "key").status, 200)
		is.Equal(x.g.accounts.takeReport().Late, []protocol.Demand{{Account: "t", Tokens: 100}})
	})
}

// TestOthersAreTheSumLessThisGateway: sums hold a report of this gateway, not always the
// last one, and only those that have changed come.
func TestOthersAreTheSumLessThisGateway(t *testing.T) {
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
		is.Equal(others(2), [2]place.Work{{Requests: 7, Tokens: 3500}, {}}) // the sum is the same
		is.Equal(others(2, protocol.ServerLoad{Handle: two.Handle, Requests: 1, Tokens: 9}),
			[2]place.Work{{Requests: 7, Tokens: 3500}, {Requests: 1, Tokens: 9}})
		is.Equal(others(2, protocol.ServerLoad{Handle: one.Handle})[0], place.Work{}) // never negative
		is.Equal(others(77, sum)[0], place.Work{Requests: 10, Tokens: 4000})          // a report that is not known
		table.update(protocol.Servers{Term: 1, Whole: true, Set: []protocol.Server{one.Server, two.Server}})
		is.Equal(others(0)[0], place.Work{}) // a new session begins without sums
		for n := range uint64(2 * reportsKept) {
			table.takeReport(n)
		}
		is.Equal(len(table.reports), reportsKept)
	})
}

// TestBeyondTheShareWaitsForIdleEngines gives an account a tenth of what it asks:
// while the engine has something to read, nine in ten are refused with 429 and
// the other account's requests are served.
func TestBeyondTheShareWaitsForIdleEngines(t *testing.T) {
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

// TestNobodyWaitsWhileEnginesAreIdle: beyond its share, but nothing else is
// there to do.
func TestNobodyWaitsWhileEnginesAreIdle(t *testing.T) {
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

// TestStartIsCountedOnce: an attempt that reaches nobody does not make the next one
// another start.
func TestStartIsCountedOnce(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		unreachable := fails(forward.NotRun{Err: errReset})
		x.announceServers("engines", unreachable, unreachable, streams(piece{text: event(1)}))
		is.Equal(x.request("/engine/x", "Tokens", "700", "Shared", sharedFor(x, 2)).status, 200)
		is.Equal(x.servers.count(), 3)
		is.Equal(x.g.accounts.takeReport().Started, uint64(700+sharedTokens))
	})
}

// sharedFor names a shared part that the engine of that number keeps last: a request with it
// goes to the others first.
func sharedFor(x *fixture, last int) string {
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
			choice := (&place.RoomPlacer{}).Choose(r, left)
			left[choice.Index].Avoid = true
		}
		if !left[last].Avoid {
			return name
		}
	}
}

// TestWhatGetsNoAnswerIsNotServed: a request that no engine could be reached for, and
// one whose caller leaves first, are taken back from what was started.
func TestWhatGetsNoAnswerIsNotServed(t *testing.T) {
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

// TestNothingRunsForACallerThatHasLeft: a caller that closed its connection before its request
// was read, which net/http may notice later, costs no attempt.
func TestNothingRunsForACallerThatHasLeft(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		ctx := WithCallerLeft(x.t.Context(), func() bool { return true })
		is.True(x.requestWith(ctx, http.MethodPost, "/engine/x", "a body", "Tokens", "700").cut)
		is.Equal(x.servers.count(), 0)
		is.Equal(x.g.accounts.takeReport().Started, uint64(0))
		is.Equal(len(x.g.table.loads()), 0) // and takes no room
		ctx = WithCallerLeft(x.t.Context(), func() bool { return false })
		is.Equal(x.requestWith(ctx, http.MethodPost, "/engine/x", "a body", "Tokens", "700").status, 200)
	})
}

// TestReportSaysWhoWasServed: whatever is taken back, a report whose requests have started
// says for which accounts; the leader takes one that does not for an older gateway's.
func TestReportSaysWhoWasServed(t *testing.T) {
	is := is.New(t)
	a := newAccounts(func() time.Duration { return time.Second })
	a.countStarted("a", 100)
	a.countNotServed("b", 40) // started with an earlier report
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

// TestRefusalsOfThisGatewayAreMissed: what is refused for the memory of bodies, or because
// the gateway stops, is missed like what finds no engine.
func TestRefusalsOfThisGatewayAreMissed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.g.bodyBytes.Store(x.g.cfg.MaxTotalBodyBytes)
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 503)
		is.Equal(x.g.accounts.takeReport().Missed, uint64(700))
		x.g.bodyBytes.Store(0)
		x.g.stopped.Store(int64(x.g.now()))
		time.Sleep(x.g.cfg.Grace)
		is.Equal(x.request("/engine/x", "Tokens", "900").status, 503)
		is.Equal(x.g.accounts.takeReport().Missed, uint64(900))
	})
}

// TestExtraWithoutRoomIsNotMissed: a request beyond the named shares that no engine has room for says
// nothing of shares; one that this gateway has no memory for does.
func TestExtraWithoutRoomIsNotMissed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.announceServers("engines", streams(piece{text: event(1)}))
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0, Extra: 1}}, nil, true)
		x.g.table.updateLoads(x.g.now(), 0, []protocol.ServerLoad{{Handle: 70, Requests: 1, Tokens: 6000}})
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 429)
		is.Equal(x.g.accounts.takeReport().Missed, uint64(0))
		x.g.bodyBytes.Store(x.g.cfg.MaxTotalBodyBytes)
		is.Equal(x.request("/engine/x", "Tokens", "700").status, 503)
		is.Equal(x.g.accounts.takeReport().Missed, uint64(700))
	})
}

// TestOnlyBackendIsUnreachable: a request does not go to the same dead address
// for as long as its caller waits.
func TestOnlyBackendIsUnreachable(t *testing.T) {
	refusing := func(ctx context.Context, call forward.Call) (*forward.Answer, error) {
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

// TestCoveredTenantIsServedElsewhere: the engine that keeps a prompt's shared
// parts has no room. Who asks for more than a share waits and is refused;
// others go to another engine in the end.
func TestCoveredTenantIsServedElsewhere(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		served := streams(piece{text: event(1)})
		x.announceServers("engines", served, served, served)
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.9, Extra: 0.9}}, nil, false)
		before := x.request("/engine/x", "Tokens", "100", "Shared", "a", "Key", "other")
		is.Equal(before.status, 200)
		is.Equal(before.took, time.Duration(0))
		keeps := x.g.table.servers[x.servers.arrivals[0].Header.Get("Backend")]
		x.g.table.updateLoads(x.g.now(), 0, []protocol.ServerLoad{{Handle: keeps.Handle, Requests: 1, Tokens: 25_000}})

		refused := x.request("/engine/x", "Tokens", "100", "Shared", "a")
		is.Equal(refused.status, 503)
		is.Equal(refused.took, 224*time.Millisecond) // until it could not be answered in time any more
		got := x.request("/engine/x", "Tokens", "100", "Shared", "a", "Key", "other")
		is.Equal(got.status, 200)
		is.Equal(got.took, 224*time.Millisecond)
		is.True(x.servers.arrivals[1].Header.Get("Backend") != keeps.ID)
	})
}

// TestCoveredTenantHasMoreRoom: an engine that begins to read after a third of
// the objective takes a request of an account that its share covers, at once, and
// none of one that asks for more.
func TestCoveredTenantHasMoreRoom(t *testing.T) {
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

// TestShortFleetLetsNobodyBeyond: engines are idle here, but somebody within a
// share waits elsewhere.
func TestShortFleetLetsNobodyBeyond(t *testing.T) {
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
		is.True(served >= 19 && served <= 21) // the extra share, and no more
		u := x.g.accounts.takeReport()
		is.Equal(u.Started, uint64(served*1000))
		is.Equal(u.Served, []protocol.Demand{{Account: "t", Tokens: u.Started}})
		is.Equal(u.Missed, uint64(0)) // what is beyond every share is not missed
	})
}
