// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests a rollout whose target has servers in one region only, while the other region is the
// home of a route.

// routeServers records which route's requests reach which server, and how many fail.
type routeServers struct {
	regionView
	failed map[string]int // by route; guarded by mu of versionedServers
}

func (h routeServers) Send(ctx context.Context, at string, call forward.Call) (*forward.Response, error) {
	h.arrivalLog.record(call.Header.Get("Id") + at)
	return h.regionView.Send(ctx, at, call)
}

// sendRequests sends a request on both routes in each period.
func (h routeServers) sendRequests(ctx context.Context, inFlight *sync.WaitGroup, g *gateway.Gateway) {
	for range sleep.Every(ctx, rolloutPeriod) {
		for _, route := range []string{"any", "home"} {
			inFlight.Go(func() {
				r := httptest.NewRequestWithContext(h.x.t.Context(), http.MethodPost, "/"+route, strings.NewReader("a body"))
				r.Host = "h"
				r.Header.Set("Id", route)
				w := httptest.NewRecorder()
				g.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					h.countFailed(route)
				}
			})
		}
	}
}

// countFailed counts requests that fail after the order.
func (h routeServers) countFailed(route string) {
	h.versionedServers.mu.Lock()
	defer h.versionedServers.mu.Unlock()
	if !h.orderedAt.IsZero() {
		h.failed[route]++
	}
}

// homeDocument returns a document with the routes "any" and "home"; the home of the latter is the south.
func homeDocument() document.StoredDocument {
	h := testDocument(1)
	home := h.Document.Routes[0]
	home.Name, home.Prefix, home.Homes = "home", "/home", []string{south}
	h.Document.Routes = append(h.Document.Routes, home)
	return h
}

// TestRolloutWithTargetInOneRegion checks that the requests of a route with the other region as its home
// never leave that region and do not hold up the rollout for other routes. The old servers there serve
// them after the end as well, for as long as they run.
func TestRolloutWithTargetInOneRegion(t *testing.T) {
	for _, test := range versionQualities {
		t.Run(test.name, func(t *testing.T) {
			withTwoRegions(t, 1_000_000, func(x *fleet) {
				is := is.New(x.t)
				v := &versionedServers{fails: test.fails}
				halls := [7]string{1: north, 2: north, 3: south, 4: north, 5: north, 6: north}
				r := &regionalServers{countedServers: newCountedServers(v), x: x, halls: halls}
				h := routeServers{failed: map[string]int{}}
				x.runScenario(v, rolloutScenario{document: homeDocument(), announce: r.announce, load: func(ip string) {
					region := map[string]string{rolloutGatewayIP(0): north, rolloutGatewayIP(1): north, rolloutGatewayIP(2): south}[ip]
					x.place(ip, region)
					h.regionView = regionView{r, region}
					x.startGatewayWithLoad(ip, testHeaders{}, h, h.sendRequests)
				}}, func() {
					state, after := x.awaitRolloutEnd(v)
					end := time.Now()
					x.t.Logf("ended after %v, minimum headroom %.0f", after, minHeadroom(v))
					is.Equal(state, test.state)
					is.True(after <= rolloutTime)
					time.Sleep(3 * time.Second)
					at := func(route, server string, begin time.Time) int {
						n, _ := r.arrivalLog.countSince(route+serverAddress(server), begin)
						return n
					}
					for _, server := range []string{"b1", "b2", "b4", "b5", "b6"} {
						is.Equal(at("home", server, time.Time{}), 0)
					}
					is.True(at("home", "b3", end) > 300)
					v.mu.Lock()
					is.Equal(h.failed["home"], 0)
					v.mu.Unlock()
					if test.fails == nil {
						is.Equal(at("any", "b1", end.Add(propagationTime))+at("any", "b2", end.Add(propagationTime))+at("any", "b3", end.Add(propagationTime)), 0)
					} else {
						is.Equal(at("any", "b4", end.Add(propagationTime))+at("any", "b5", end.Add(propagationTime))+at("any", "b6", end.Add(propagationTime)), 0)
						is.True(minHeadroom(v) >= 0)
					}
				})
			})
		})
	}
}
