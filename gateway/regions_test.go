// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests where a gateway in region "north" sends requests while there are servers in
// "south" and in halls of no known region.

// joinNorthRegion puts the gateway in a hall of "north" and seeds its random numbers.
func (x *fixture) joinNorthRegion() {
	fleet, err := topology.New(map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west"})
	is.New(x.t).NoErr(err)
	x.g.table.mu.Lock()
	defer x.g.table.mu.Unlock()
	x.g.table.hall = "n1"
	x.g.table.setSite("north", fleet, 0)
	x.drawAtRandom()
}

// listedServer returns a server as listed by the directory.
func listedServer(pool, hall string, i int) protocol.Server {
	id := fmt.Sprintf("%s-%s-%02d", hall, pool, i)
	return protocol.Server{Registration: protocol.Registration{ID: id, Pool: pool, Address: id, Hall: hall, Slots: 4}}
}

// announce adds servers of a pool in the given halls, all with the same behaviour.
func (x *fixture) announce(pool string, each int, behave behaviour, halls ...string) {
	m := protocol.Servers{Term: 1}
	x.servers.mu.Lock()
	for _, hall := range halls {
		for i := range each {
			s := listedServer(pool, hall, i)
			s.Handle = uint32(1000*len(x.servers.behaviours) + 1)
			x.servers.behaviours[s.Address] = behave
			m.Set = append(m.Set, s)
		}
	}
	x.servers.mu.Unlock()
	x.g.table.update(m)
}

// withdraw removes servers of a pool from the given halls.
func (x *fixture) withdraw(pool string, each int, halls ...string) {
	m := protocol.Servers{Term: 1}
	for _, hall := range halls {
		for i := range each {
			m.Removed = append(m.Removed, listedServer(pool, hall, i).ID)
		}
	}
	x.g.table.update(m)
}

// setFull makes all servers of the given halls full with other gateways' load, or idle again.
func (x *fixture) setFull(full bool, halls ...string) {
	t := x.g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.servers {
		if slices.Contains(halls, k.Hall) {
			k.othersLoad, t.othersUpdatedAt = place.Work{}, t.now()
			if full {
				k.othersLoad = place.Work{Requests: 100, Tokens: 100_000}
			}
		}
	}
}

// arrivalsIn counts the requests that arrived at servers whose identifiers have a prefix. The
// identifiers begin with the hall's name.
func (x *fixture) arrivalsIn(prefix string) (n int) {
	x.servers.mu.Lock()
	defer x.servers.mu.Unlock()
	for _, call := range x.servers.arrivals {
		if strings.HasPrefix(call.Header.Get("Backend"), prefix) {
			n++
		}
	}
	return n
}

// TestRequestsStayInIdleRegion checks that requests to engines and to plain services stay in the
// own region while it is idle, even if a pool has only one server per hall.
func TestRequestsStayInIdleRegion(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announce("engines", 6, streams(piece{text: event(1)}), "n1", "n2", "s1", "s2", "nowhere")
		x.announce("plain", 1, answers(200, "ok", time.Millisecond), "n1", "n2", "s1", "s2", "nowhere")
		for i := range 200 {
			is.Equal(x.request("/engine/x", "Shared", fmt.Sprint(i), "Tokens", "500").status, 200)
			is.Equal(x.request("/again/x").status, 200)
		}
		is.Equal(x.arrivalsIn("n1")+x.arrivalsIn("n2"), 400)
		is.True(x.arrivalsIn("n2-plain") > 60) // spread over both halls
		x.withdraw("engines", 6, "s1", "s2", "nowhere")
		for i := range 200 { // a prompt's engine must not depend on the servers elsewhere
			before := x.servers.arrivals[2*i].Header.Get("Backend")
			is.Equal(x.request("/engine/x", "Shared", fmt.Sprint(i), "Tokens", "500").status, 200)
			is.Equal(x.servers.arrivals[400+i].Header.Get("Backend"), before)
		}
	})
}

// TestNearestRegionServesForRegionWithoutServers checks that the nearest other region serves if the
// own region has no servers, servers of unknown region only as the last resort, and that the own
// region serves again once it has servers.
func TestNearestRegionServesForRegionWithoutServers(t *testing.T) {
	for _, path := range []string{"/again/x", "/engine/x"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.joinNorthRegion()
			pool := map[string]string{"/again/x": "plain", "/engine/x": "engines"}[path]
			ok := streams(piece{text: event(1)})
			x.announce(pool, 2, ok, "n1", "nowhere", "s1")
			x.withdraw(pool, 2, "n1")
			for range 20 {
				is.Equal(x.request(path, "Shared", "a").status, 200)
			}
			is.Equal(x.arrivalsIn("s1"), 20)
			x.withdraw(pool, 2, "s1")
			is.Equal(x.request(path).status, 200)
			is.Equal(x.arrivalsIn("nowhere"), 1)
			x.announce(pool, 2, ok, "n2", "s1")
			for range 20 {
				is.Equal(x.request(path).status, 200)
			}
			is.Equal(x.arrivalsIn("n2"), 20)
			is.True(strings.Contains(x.metricsText(), `badgerspoke_gateway_region_requests_total{from="north",to="south",why="no-server"} 20`))
			is.True(strings.Contains(x.metricsText(), `badgerspoke_gateway_region_bytes_total{from="south",to="north"} `+fmt.Sprint(20*len(event(1)))))
		})
	}
}

func (x *fixture) metricsText() string {
	var b strings.Builder
	x.g.cfg.Metrics.WritePrometheus(&b)
	return b.String()
}

// TestUnusableServersCountAsAbsent checks that servers of the own region that are out of service or
// ejected count as absent.
func TestUnusableServersCountAsAbsent(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		ok := answers(200, "ok", time.Millisecond)
		x.announce("plain", 2, ok, "n1", "s1")
		x.g.table.update(protocol.Servers{Term: 1, HallsOut: []string{"n1"}, HallChanges: 1})
		is.Equal(x.request("/again/x").status, 200)
		is.Equal(x.arrivalsIn("s1"), 1)
		x.g.table.update(protocol.Servers{Term: 1, HallsOut: []string{"n1", "s1"}, HallChanges: 2})
		r := x.request("/again/x")
		is.Equal(r.status, 503)
		is.Equal(r.body, "{\"error\":\"halls-out\"}\n")
		x.g.table.update(protocol.Servers{Term: 1, HallChanges: 3})
		x.announce("plain", 2, fails(forward.NotRun{Err: http.ErrAbortHandler}), "n1")
		for range 40 {
			x.request("/again/x")
		}
		x.servers.mu.Lock()
		x.servers.arrivals = nil
		x.servers.mu.Unlock()
		is.Equal(x.request("/again/x").status, 200)
		is.Equal(x.arrivalsIn("n1"), 0) // both servers are ejected
		x.announce("plain", 2, fails(forward.NotRun{Err: http.ErrAbortHandler}), "s1")
		for range 40 {
			x.request("/again/x")
		}
		x.servers.mu.Lock()
		x.servers.arrivals = nil
		x.servers.mu.Unlock()
		x.request("/once/x") // all servers are ejected: the own region is preferred
		is.True(strings.HasPrefix(x.servers.arrivals[0].Header.Get("Backend"), "n1"))
	})
}

// TestRequestCrossesIfRegionHasNoCapacity checks a request whose own region has no capacity: it
// crosses if another region has capacity, the round trip fits its objective, and it is within its
// account's share. Otherwise it waits, and crosses once there is capacity.
func TestRequestCrossesIfRegionHasNoCapacity(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announce("engines", 2, streams(piece{text: event(1)}), "n1", "s1")
		ask := func(header ...string) reply {
			return x.request("/engine/x", append([]string{"Tokens", "500", "Patience", "1000"}, header...)...)
		}
		is.Equal(ask().status, 200)
		is.Equal(x.arrivalsIn("n1"), 1)
		x.setFull(true, "n1")
		is.Equal(ask().status, 200)
		is.Equal(x.arrivalsIn("s1"), 1)
		is.True(strings.Contains(x.metricsText(), `why="no-room"} 1`))

		x.setFull(true, "n1", "s1")
		var later reply
		var group sync.WaitGroup
		group.Go(func() { later = ask() })
		time.Sleep(50 * time.Millisecond)
		x.setFull(true, "n1")
		x.setFull(false, "s1")
		group.Wait()
		is.Equal(later.status, 200)
		is.Equal(x.arrivalsIn("s1"), 2)

		x.setFull(true, "n1")
		setLink := func(link place.LinkBudget) {
			x.g.table.mu.Lock()
			defer x.g.table.mu.Unlock()
			x.g.table.linkBudget = link
		}
		slow := place.LinkBudget{}
		slow.ObserveRoundTrip(x.g.now(), "south", 390*time.Millisecond) // the objective is 400 ms
		setLink(slow)
		is.Equal(ask().status, 503)
		is.True(strings.Contains(x.metricsText(), `badgerspoke_gateway_region_stayed_total{why="time"} 1`))
		setLink(place.LinkBudget{})
		x.setFull(true, "n1")
		x.g.accounts.update([]protocol.Entitlement{{Account: "t", Part: 0.0001, Extra: 0.0002}}, nil, false)
		ask()
		is.True(strings.Contains(x.metricsText(), `badgerspoke_gateway_region_stayed_total{why="class"} 1`))
		is.Equal(x.arrivalsIn("s1"), 2)
	})
}

// TestRequestWaitsForBestEngine checks a request whose best engine is full: it neither takes
// another engine of its region nor leaves the region before it has waited for the time of a round
// trip. A request with a home keeps waiting in its home.
func TestRequestWaitsForBestEngine(t *testing.T) {
	for _, home := range []string{"", "north", "south"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.joinNorthRegion()
			if home != "" {
				x.g.apply(homesDocument(4, nil, []string{home}))
			}
			x.announce("engines", 4, streams(piece{text: event(1)}), "n1", "s1")
			ask := func() reply { return x.request("/engine/x", "Shared", "a", "Tokens", "500", "Patience", "1000") }
			is.Equal(ask().status, 200)
			best := x.servers.arrivals[0].Header.Get("Backend")
			is.True(home != "south" || strings.HasPrefix(best, "s1"))
			t := x.g.table
			t.mu.Lock()
			t.servers[best].othersLoad, t.othersUpdatedAt = place.Work{Tokens: 30_000}, t.now()
			t.mu.Unlock()
			var r reply
			var group sync.WaitGroup
			group.Go(func() { r = ask() })
			time.Sleep(place.AssumedRoundTrip - time.Millisecond)
			is.Equal(x.servers.count(), 1)
			if home != "" {
				time.Sleep(100 * time.Millisecond)
				is.Equal(x.servers.count(), 1)
				x.setFull(false, "n1", "s1")
			}
			group.Wait()
			is.Equal(r.status, 200)
			if home != "" {
				is.Equal(x.arrivalsIn(best), 2)
				return
			}
			is.Equal(x.arrivalsIn("s1"), 1)
			is.True(r.took < place.AssumedRoundTrip+30*time.Millisecond) // plus the next tick
			is.True(strings.Contains(x.metricsText(), `why="waited"} 1`))
		})
	}
}

// TestCrossingFloodStaysWithinLinkShare offers seven times the load that a region's servers can
// take, with bodies of 10 KB and a narrow link. It checks that crossing requests stay within the
// gateway's share of the link and that the rest is refused as not run.
func TestCrossingFloodStaysWithinLinkShare(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		const rate = 1e6
		x.g.table.mu.Lock()
		x.g.table.site.linkRate = rate
		x.g.table.mu.Unlock()
		x.announce("plain", 1, answers(200, strings.Repeat("x", 10_000), 60*time.Millisecond), "n1", "s1", "s2")
		const span = 5 * time.Second
		var group sync.WaitGroup
		refused := 0
		var mu sync.Mutex
		body := strings.Repeat("y", 10_000)
		for began := time.Now(); time.Since(began) < span; time.Sleep(time.Millisecond) {
			group.Go(func() {
				r := x.requestWith(x.t.Context(), http.MethodPost, "/again/x", body, "Patience", "1000")
				mu.Lock()
				defer mu.Unlock()
				if r.status == http.StatusServiceUnavailable {
					refused++
				}
			})
		}
		group.Wait()
		crossing := 20_000 * (x.arrivalsIn("s1") + x.arrivalsIn("s2"))
		x.t.Logf("%.2f of the link, %d refused", float64(crossing)/span.Seconds()/rate, refused)
		is.True(crossing > 0)
		is.True(float64(crossing) < 0.35*rate*(span.Seconds()+1)) // one region's share plus the initial bucket
		is.True(refused > 1000)
	})
}

// TestRoundTripIsLearnedFromConnections checks that the round trip is learned from new connections
// to another region, and that a connection that takes much longer to open stops optional crossings.
func TestRoundTripIsLearnedFromConnections(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		opening := 40 * time.Millisecond
		x.announce("plain", 1, func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			time.Sleep(opening)
			a, err := answers(200, "ok", time.Millisecond)(ctx, call)
			if a != nil {
				a.ConnOpenedAt = time.Now().Add(-time.Millisecond)
			}
			return a, err
		}, "s1")
		is.Equal(x.request("/again/x").status, 200)
		is.Equal(x.g.table.linkBudget.RoundTrip("south"), opening)
		opening = 300 * time.Millisecond
		is.Equal(x.request("/again/x").status, 200)
		is.Equal(x.g.table.linkBudget.RoundTrip("south"), 40*time.Millisecond)
		is.True(!x.g.table.linkBudget.Admits(x.g.now(), place.LinkShare{}, place.Transfer{Bytes: 1}))
	})
}

// TestServersAreGroupedByRegion checks that each server is in the list of its region after any
// sequence of changes.
func TestServersAreGroupedByRegion(t *testing.T) {
	is := is.New(t)
	table := newTable("g", "n1", monotonic())
	fleet, err := topology.New(map[string]string{"n1": "north", "s1": "south"})
	is.NoErr(err)
	table.setSite("north", fleet, 0)
	rng := rand.New(rand.NewPCG(3, 4))
	halls := []string{"n1", "s1", "nowhere"}
	for range 500 {
		s := listedServer("p", "", rng.IntN(20))
		s.Hall = halls[rng.IntN(3)]
		m := protocol.Servers{Term: 1, Set: []protocol.Server{s}}
		if rng.IntN(3) == 0 {
			m = protocol.Servers{Term: 1, Removed: []string{s.ID}}
		}
		table.update(m)
		p, n := table.pool("p"), 0
		for _, x := range p.regions {
			is.True(slices.IsSortedFunc(x.servers, func(a, b *knownServer) int { return strings.Compare(a.ID, b.ID) }))
			for _, k := range x.servers {
				is.Equal(k.region, x.region)
				is.Equal(k.region, fleet.Region(k.Hall))
			}
			n += len(x.servers)
		}
		is.Equal(n, len(p.servers))
		if n > 0 {
			is.Equal(p.regions[0].region, "north")
		}
	}
}
