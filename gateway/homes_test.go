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

// This file tests that a request is served in its homes alone.

func TestHomes(t *testing.T) {
	for _, tt := range []struct {
		name           string
		route, account []string
		served         string // the region's halls; empty is refused
		error          string
	}{
		{"none", nil, nil, "n", ""},
		{"the route's, here", []string{"north"}, nil, "n", ""},
		{"the route's, elsewhere", []string{"south"}, nil, "s", ""},
		{"the account's, elsewhere", nil, []string{"south"}, "s", ""},
		{"both", []string{"north", "south"}, []string{"south", "west"}, "s", ""},
		{"none in common", []string{"north"}, []string{"south"}, "", "no-common-home"},
		{"no server there", []string{"west"}, nil, "", "homes-without-server"},
		{"a region that nobody knows", nil, []string{"moon"}, "", "homes-without-server"},
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

// TestHomeIsFullOrGone: a request waits for its home and is refused there, while servers
// elsewhere are idle; without a listed server in its homes it is refused at once.
func TestHomeIsFullOrGone(t *testing.T) {
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

// TestRepeatsKeepToTheHomes: a second attempt, and a stream that is taken up.
func TestRepeatsKeepToTheHomes(t *testing.T) {
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
		is.Equal(x.servers.arrivals[before+1].Header.Get("After"), "1") // it was taken up
	})
}

// TestHomesGivenLater: what runs ends where it is; what waits, and each further attempt, obeys
// the newer document, also where it takes homes away.
func TestHomesGivenLater(t *testing.T) {
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
		x.setFull(false, "n1") // idle, and no home any more
		time.Sleep(100 * time.Millisecond)
		is.Equal(x.servers.count(), 1)
		x.setFull(false, "s1")
		group.Wait()
		is.Equal([]int{running.status, waiting.status}, []int{200, 200})
		is.Equal(x.arrivalsIn("s1"), 1)

		x.announce("plain", 1, func(_ context.Context, call forward.Call) (*forward.Answer, error) {
			x.g.apply(homesDocument(x.g.DocumentNumber()+1, []string{"north"}, nil))
			return nil, forward.NotRun{Err: io.EOF}
		}, "s1")
		is.Equal(x.request("/again/x").status, 200) // the first attempt in the south, the second by the newer document
		is.Equal(x.arrivalsIn("s1"), 2)
		is.Equal(x.arrivalsIn("n1"), 2)
		x.g.apply(homesDocument(20, nil, nil))
		x.withdraw("plain", 1, "n1")
		is.Equal(x.request("/again/x").status, 503) // the south fails still, but may be asked
		is.Equal(x.arrivalsIn("s1"), 3)
	})
}

// TestHomesWithoutRegions: without settings of regions nothing is known to be in a home; with one
// region its halls are, and a hall that is not named is not.
func TestHomesWithoutRegions(t *testing.T) {
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

// TestHomeBeyondTheLink: what may be served in another region alone goes over when nothing goes
// by choice any more, and waits, or is refused as not run, when the link's part is used up.
func TestHomeBeyondTheLink(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.g.apply(homesDocument(4, []string{"south"}, nil))
		x.announce("plain", 1, answers(200, "ok", time.Millisecond), "n1", "s1")
		t := x.g.table
		spend := func(seconds float64) { // of the budget's rate
			t.mu.Lock()
			defer t.mu.Unlock()
			t.link = place.LinkBudget{}
			t.link.Spend(x.g.now(), t.site.linkShare(1), seconds*place.DefaultLinkRate*0.35)
		}
		spend(0.9) // nothing is left for requests that need not leave
		is.True(!t.link.Admits(x.g.now(), t.site.linkShare(1), place.Transfer{Bytes: 1000}))
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

// homesDocument is the test document with homes of its routes "again" and "resume" and of its
// account "t", under a number.
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
