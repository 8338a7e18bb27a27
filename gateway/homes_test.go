// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests that a request is served only in its home regions.

// TestHomesLimitServingRegions checks which region serves a request for combinations of route and
// account homes.
func TestHomesLimitServingRegions(t *testing.T) {
	for _, tt := range []struct {
		name           string
		route, account []string
		served         string // prefix of the halls that serve; empty if the request is refused
		error          string
	}{
		{"no homes", nil, nil, "n", ""},
		{"route, own region", []string{"north"}, nil, "n", ""},
		{"route, other region", []string{"south"}, nil, "s", ""},
		{"account, other region", nil, []string{"south"}, "s", ""},
		{"route and account", []string{"north", "south"}, []string{"south", "west"}, "s", ""},
		{"no common region", []string{"north"}, []string{"south"}, "", "no-common-home"},
		{"region without servers", []string{"west"}, nil, "", "homes-without-server"},
		{"unknown region", nil, []string{"moon"}, "", "homes-without-server"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.joinNorthRegion()
				x.g.apply(homesDocument(4, tt.route, tt.account))
				x.announce("plain", 2, answers(200, "ok", time.Millisecond), "n1", "s1", "nowhere")
				for range 10 {
					r := x.request("/again/x", "Patience", "1000")
					if tt.served != "" {
						is.Equal(r.status, 200)
						continue
					}
					is.Equal(r.status, 503)
					is.Equal(r.body, "{\"error\":\""+tt.error+"\"}\n")
					is.Equal(r.took, time.Duration(0))
					is.Equal(r.header.Get("Retry-After"), "1.000")
				}
				if tt.served == "" {
					is.Equal(x.servers.count(), 0)
					is.True(strings.Contains(x.metricsText(), `badgerspoke_gateway_refused_total{cause="`+tt.error+`"} 10`))
					return
				}
				is.Equal(x.arrivalsIn(tt.served+"1"), 10)
			})
		})
	}
}

// TestRequestStaysInFullOrEmptyHome checks that a request with a home waits for its home and is
// refused there even if servers elsewhere are idle, and that it is refused at once if its homes
// have no listed server.
func TestRequestStaysInFullOrEmptyHome(t *testing.T) {
	for _, home := range []string{"north", "south"} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.joinNorthRegion()
			x.g.apply(homesDocument(4, []string{home}, nil))
			x.announce("plain", 2, answers(200, "ok", time.Millisecond), "n1", "s1", "nowhere")
			hall := home[:1] + "1"
			x.setFull(true, hall)
			r := x.request("/again/x", "Patience", "1000")
			is.Equal(r.status, 503)
			is.Equal(r.body, "{\"error\":\"overloaded\"}\n")
			is.True(r.took > 0)
			x.g.table.update(protocol.Servers{Term: 1, HallsOut: []string{hall}, HallChanges: 1})
			is.Equal(x.request("/again/x", "Patience", "1000").body, "{\"error\":\"halls-out\"}\n")
			x.g.table.update(protocol.Servers{Term: 1, HallChanges: 2})
			x.withdraw("plain", 2, hall)
			r = x.request("/again/x", "Patience", "1000")
			is.Equal(r.body, "{\"error\":\"homes-without-server\"}\n")
			is.Equal(r.took, time.Duration(0))
			is.Equal(x.servers.count(), 0)
			x.announce("plain", 2, answers(200, "ok", time.Millisecond), hall)
			is.Equal(x.request("/again/x").status, 200)
			is.Equal(x.arrivalsIn(hall), 1)
		})
	}
}

// TestRetriesStayInHomes checks that second attempts and resumed streams stay in the request's
// homes.
func TestRetriesStayInHomes(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.g.apply(homesDocument(4, []string{"south"}, nil))
		x.announce("plain", 2, fails(forward.NotRun{Err: io.EOF}), "s1")
		x.announce("plain", 2, answers(200, "ok", time.Millisecond), "n1", "nowhere")
		is.Equal(x.request("/again/x", "Patience", "1000").status, 503)
		is.Equal(x.arrivalsIn("n")+x.arrivalsIn("nowhere"), 0)
		x.announce("plain", 2, streams(piece{text: event(1)}, piece{err: io.ErrUnexpectedEOF}), "s1")
		before := x.servers.count()
		x.request("/resume/x", "Patience", "1000")
		is.Equal(x.arrivalsIn("n")+x.arrivalsIn("nowhere"), 0)
		is.Equal(x.arrivalsIn("s1"), before+2)
		is.Equal(x.servers.arrivals[before+1].Header.Get("After"), "1") // the stream was resumed
	})
}

// TestHomesChangedByNewDocument checks a change of homes by a new document: running attempts end
// where they are, while queued requests and later attempts obey the new document, also if it
// removes homes.
func TestHomesChangedByNewDocument(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announce("plain", 1, answers(200, "ok", 200*time.Millisecond), "n1")
		x.announce("plain", 1, answers(200, "ok", time.Millisecond), "s1")
		var group sync.WaitGroup
		var running, waiting reply
		group.Go(func() { running = x.request("/again/x") })
		time.Sleep(10 * time.Millisecond)
		is.Equal(x.arrivalsIn("n1"), 1)
		x.setFull(true, "n1", "s1")
		group.Go(func() { waiting = x.request("/again/x", "Patience", "1000") })
		time.Sleep(10 * time.Millisecond)
		x.g.apply(homesDocument(4, []string{"south"}, nil))
		x.setFull(false, "n1") // idle, but no longer a home
		time.Sleep(100 * time.Millisecond)
		is.Equal(x.servers.count(), 1)
		x.setFull(false, "s1")
		group.Wait()
		is.Equal([]int{running.status, waiting.status}, []int{200, 200})
		is.Equal(x.arrivalsIn("s1"), 1)

		x.announce("plain", 1, func(_ context.Context, call forward.Call) (*forward.Response, error) {
			x.g.apply(homesDocument(x.g.DocumentNumber()+1, []string{"north"}, nil))
			return nil, forward.NotRun{Err: io.EOF}
		}, "s1")
		is.Equal(x.request("/again/x").status, 200) // first attempt in the south, second one by the new document
		is.Equal(x.arrivalsIn("s1"), 2)
		is.Equal(x.arrivalsIn("n1"), 2)
		x.g.apply(homesDocument(20, nil, nil))
		x.withdraw("plain", 1, "n1")
		is.Equal(x.request("/again/x").status, 503) // the south still fails, but is allowed again
		is.Equal(x.arrivalsIn("s1"), 3)
	})
}

// TestHomesWithoutTopology checks that without a configured topology no hall is in any home, and
// that with one configured region only its halls are.
func TestHomesWithoutTopology(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		ok := answers(200, "ok", time.Millisecond)
		x.announce("plain", 1, ok, "n1")
		x.g.apply(homesDocument(4, []string{"north"}, nil))
		is.Equal(x.request("/again/x").body, "{\"error\":\"homes-without-server\"}\n")
		fleet, err := topology.New(map[string]string{"n1": "north"})
		is.NoErr(err)
		x.g.table.mu.Lock()
		x.g.table.setSite("north", fleet, 0)
		x.g.table.mu.Unlock()
		x.withdraw("plain", 1, "n1")
		x.announce("plain", 1, ok, "nowhere")
		is.Equal(x.request("/again/x").body, "{\"error\":\"homes-without-server\"}\n")
		x.announce("plain", 1, ok, "n1")
		is.Equal(x.request("/again/x").status, 200)
		is.Equal(x.arrivalsIn("n1"), 1)
	})
}

// TestRequiredCrossingUsesWholeLinkBudget checks that a request that only another region may serve
// crosses when the link budget admits no optional crossings, and that it waits or is refused as not
// run when the whole budget is used up.
func TestRequiredCrossingUsesWholeLinkBudget(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.g.apply(homesDocument(4, []string{"south"}, nil))
		x.announce("plain", 1, answers(200, "ok", time.Millisecond), "n1", "s1")
		t := x.g.table
		spend := func(seconds float64) { // in seconds of the budget's rate
			t.mu.Lock()
			defer t.mu.Unlock()
			t.linkBudget = place.LinkBudget{}
			t.linkBudget.Spend(x.g.now(), t.site.linkShare(1), seconds*place.DefaultLinkRate*0.35)
		}
		spend(0.9) // nothing is left for optional crossings
		is.True(!t.linkBudget.Admits(x.g.now(), t.site.linkShare(1), place.Transfer{Bytes: 1000}))
		is.Equal(x.request("/again/x").status, 200)
		spend(10)
		r := x.request("/again/x", "Patience", "1000")
		is.Equal(r.body, "{\"error\":\"overloaded\"}\n")
		is.True(strings.Contains(x.metricsText(), `badgerspoke_gateway_region_stayed_total{why="link"} 1`))
		spend(1.2)
		r = x.request("/again/x", "Patience", "1000")
		is.Equal(r.status, 200)
		is.True(r.took > 200*time.Millisecond)
		is.Equal(x.arrivalsIn("s1"), 2)
	})
}

// homesDocument returns the test document with the given number, homes of its routes "again" and
// "resume", and homes of its account "t".
func homesDocument(number uint64, route, account []string) document.Document {
	d := testDocument()
	d.Number = number
	for i, r := range d.Routes {
		if r.Name == "again" || r.Name == "resume" {
			d.Routes[i].Homes = route
		}
	}
	d.Accounts[0].Homes = account
	return d
}
