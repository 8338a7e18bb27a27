// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests the side effects of attempts in another region and of attempts that stay in their
// own.

// TestLinkBudgetIsChargedForBytesSent checks that an attempt that reaches no server returns its
// whole charge to the link budget, and that a large answer is charged in full. A full bucket holds
// 32 KB.
func TestLinkBudgetIsChargedForBytesSent(t *testing.T) {
	for _, tt := range []struct {
		behave        behaviour
		left, notLeft float64
	}{
		{fails(forward.NotRun{Err: io.EOF}), 32e3, 0},
		{answers(200, strings.Repeat("x", 10_000), time.Millisecond), 21e3, 22.1e3},
	} {
		withGateway(t, func(x *fixture) {
			is := is.New(x.t)
			x.joinNorthRegion()
			x.g.table.mu.Lock()
			x.g.table.site.linkRate = 1 // the bucket does not refill
			x.g.table.mu.Unlock()
			x.announce("plain", 1, tt.behave, "s1")
			x.request("/once/x", "Patience", "1000")
			is.True(x.arrivalsIn("s1") > 0)
			admits := func(bytes float64) bool {
				share := x.g.table.site.linkShare(1)
				return x.g.table.linkBudget.Admits(x.g.now(), share, place.Transfer{Bytes: bytes, Required: true})
			}
			is.True(admits(tt.left))
			is.True(tt.notLeft == 0 || !admits(tt.notLeft))
		})
	}
}

// TestOnlyServerOfRegionIsNotRetried checks that the only server of a region does not get a
// request again while its pool has servers in other regions, even if the link budget admits no
// crossing.
func TestOnlyServerOfRegionIsNotRetried(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.announce("plain", 1, fails(forward.NotRun{Err: io.EOF}), "n1")
		x.announce("plain", 1, answers(200, "ok", time.Millisecond), "s1")
		x.g.table.mu.Lock()
		x.g.table.linkBudget.Spend(x.g.now(), place.LinkShare{}, 1e9)
		x.g.table.mu.Unlock()
		is.Equal(x.request("/again/x", "Patience", "1000").status, 503)
		is.Equal(x.servers.count(), 1)
	})
}

// TestUnusableRoundTripSamplesAreIgnored checks that the round trip is not learned from a
// connection that was already open, nor while the gateway is delayed.
func TestUnusableRoundTripSamplesAreIgnored(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		ago, late := time.Minute, time.Duration(0)
		x.announce("plain", 1, func(ctx context.Context, call forward.Call) (*forward.Response, error) {
			time.Sleep(10 * time.Millisecond)
			a, err := answers(200, "ok", time.Millisecond)(ctx, call)
			a.ConnOpenedAt = time.Now().Add(-ago)
			x.setOverload(func(d *overload.Detector) { d.Delay = late })
			return a, err
		}, "s1")
		time.Sleep(2 * time.Minute)
		is.Equal(x.request("/again/x").status, 200)
		is.Equal(x.g.table.linkBudget.RoundTrip("south"), place.AssumedRoundTrip)
		ago, late = time.Millisecond, time.Second
		is.Equal(x.request("/again/x").status, 200)
		is.Equal(x.g.table.linkBudget.RoundTrip("south"), place.AssumedRoundTrip)
	})
}

// TestHomesOfRemovedRouteOrAccount checks that the homes from a request's admission apply if its
// route or account is no longer in the document. If it still is, its current homes apply, even if
// there are none.
func TestHomesOfRemovedRouteOrAccount(t *testing.T) {
	south := []string{"south"}
	for _, tt := range []struct {
		name     string
		document document.Document
		want     bool // the request may be served in the north
	}{
		{"route and account removed", document.Document{}, false},
		{"route and account without homes", document.Document{Routes: []document.Route{{Name: "r"}}, Accounts: []document.Account{{Name: "a"}}}, true},
		{"route removed", document.Document{Accounts: []document.Account{{Name: "a"}}}, false},
		{"account removed", document.Document{Routes: []document.Route{{Name: "r"}}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			x := newHomesIndex(tt.document)
			req := requirements{route: document.Route{Name: "r", Homes: south}, accountHomes: south}
			req.Account = "a"
			is.Equal(x.forRequest(&req).allows("north"), tt.want)
			is.True(tt.want || x.forRequest(&req).allows("south"))
		})
	}
}

// TestRefusalsForHomesAreNotMissed checks that requests that no server can serve because of their
// homes do not count as missed, since they show no lack of engines.
func TestRefusalsForHomesAreNotMissed(t *testing.T) {
	withGateway(t, func(x *fixture) {
		is := is.New(x.t)
		x.joinNorthRegion()
		x.g.accounts.update([]protocol.Entitlement{{Account: "u", Part: 0.9, Extra: 0.9}}, nil, false)
		x.announce("engines", 1, streams(piece{text: event(1)}), "n1")
		x.setFull(true, "n1")
		is.Equal(x.request("/engine/x", "Tokens", "500", "Patience", "1000").status, 503)
		is.True(x.g.accounts.takeReport().Missed > 0)
		x.g.apply(homesDocument(4, nil, []string{"west"}))
		is.Equal(x.request("/engine/x", "Tokens", "500").body, "{\"error\":\"homes-without-server\"}\n")
		is.Equal(x.g.accounts.takeReport().Missed, uint64(0))
	})
}
