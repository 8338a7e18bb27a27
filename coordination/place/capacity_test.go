// SPDX-License-Identifier: Apache-2.0

package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
)

// TestCapacityLimits covers the limits that keep one server from accepting a request, with an objective
// of 400 ms. Without estimates an engine is assumed to read 100 tokens a millisecond.
func TestCapacityLimits(t *testing.T) {
	engine := func(c entitlement.Class) Request {
		return Request{Class: c, Objective: 400 * time.Millisecond, Engine: true}
	}
	long := engine(entitlement.Extra)
	long.Prompt.Own = 3000
	plain := Request{Class: entitlement.Entitled}
	shared := Request{Class: entitlement.Entitled, Connections: 100, Gateways: 45} // two for each gateway
	for _, tt := range []struct {
		name string
		r    Request
		s    Server
		free bool
	}{
		{"covered", engine(entitlement.Covered), Server{Own: Work{Tokens: 18_000}}, true},
		{"covered, too late", engine(entitlement.Covered), Server{Own: Work{Tokens: 18_001}}, false},
		{"entitled", engine(entitlement.Entitled), Server{Own: Work{Tokens: 10_000}}, true},
		{"entitled, too late", engine(entitlement.Entitled), Server{Own: Work{Tokens: 10_001}}, false},
		{"extra", engine(entitlement.Extra), Server{Own: Work{Tokens: 4800}}, true},
		{"extra, too late", engine(entitlement.Extra), Server{Own: Work{Tokens: 4801}}, false},
		{"extra, its own counts", long, Server{Own: Work{Tokens: 1800}}, true},
		{"extra, too long itself", long, Server{Own: Work{Tokens: 1801}}, false},
		{"extra, three quarters of the slots", engine(entitlement.Extra), Server{Slots: 4, Own: Work{Requests: 3}}, false},
		{"beyond", engine(entitlement.Beyond), Server{Slots: 4, Own: Work{Requests: 2}}, true},
		{"beyond, three quarters of the slots", engine(entitlement.Beyond), Server{Slots: 4, Own: Work{Requests: 3}}, false},
		{"beyond, something to read", engine(entitlement.Beyond), Server{Own: Work{Tokens: 1}}, false},
		{"engine, a quarter beyond its slots", engine(entitlement.Covered), Server{Slots: 4, Own: Work{Requests: 5}}, false},
		{"others' work", engine(entitlement.Beyond), Server{Others: Work{Tokens: 1}}, false},
		{"others' work, too old", engine(entitlement.Beyond), Server{Others: Work{Tokens: 1}, OthersAge: MaxOthersAge}, true},
		{"plain service", plain, Server{Slots: 4, Own: Work{Requests: 7, Tokens: 50_000}}, true},
		{"plain service, twice its slots", plain, Server{Slots: 4, Own: Work{Requests: 8}}, false},
		{"plain service, slots unknown", plain, Server{Own: Work{Requests: 500}}, true},
		{"connections", shared, Server{Own: Work{Requests: 1}}, true},
		{"connections used", shared, Server{Own: Work{Requests: 2}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := new(CapacityPlacer).Choose(tt.r, []Server{tt.s})
			is.Equal(got.Index, 0)
			is.Equal(got.Bound == Free, tt.free)
			is.Equal(got.Before, tt.s.totalWork())
		})
	}
}

func TestCandidates(t *testing.T) {
	inUse, ejected, trial, overdue := Server{}, Server{Health: outlier.Ejected}, Server{Health: outlier.Trial}, Server{Health: outlier.OverdueTrial}
	avoided := Server{Avoid: true}
	for _, tt := range []struct {
		name       string
		repeatable bool
		servers    []Server
		want       []int
	}{
		{"in use", false, []Server{inUse, ejected, avoided, trial}, []int{0}},
		{"a trial, for a repeatable request", true, []Server{inUse, ejected, avoided, trial}, []int{0, 3}},
		{"an overdue trial, for any request", false, []Server{inUse, ejected, overdue, trial}, []int{0, 2}},
		{"ejected ones if no others are left", false, []Server{ejected, avoided, trial}, []int{0, 2}},
		{"none if the request failed on all", true, []Server{avoided, avoided}, nil},
		{"the only server, although the request failed there", true, []Server{avoided}, []int{0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []int
			found, _ := candidates(Request{Repeatable: tt.repeatable}, tt.servers)
			for _, c := range found {
				got = append(got, c.index)
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}

// TestRequestWaitsForFullServer checks that a request is not moved to a server with capacity unless it would
// be refused otherwise, and that this server then reads the whole prompt.
func TestRequestWaitsForFullServer(t *testing.T) {
	is := is.New(t)
	var p CapacityPlacer
	r := Request{Prompt: promptOf("a"), Class: entitlement.Covered, Objective: 400 * time.Millisecond, Engine: true}
	servers := []Server{{ID: "e0"}, {ID: "e1"}}
	first := p.Choose(r, servers)
	is.Equal(first.Bound, Free)
	is.Equal(first.Read, 1000)
	servers[first.Index].Own.Tokens = 20_000
	is.Equal(p.Choose(r, servers), Choice{Index: first.Index, Bound: Reading, Read: 1000, Before: Work{Tokens: 20_000}, Slowness: 1})
	is.Equal(p.ChooseWithCapacity(r, servers), Choice{Index: 1 - first.Index, Read: 6500, Slowness: 1})
	servers[1-first.Index].Own.Tokens = 20_000
	is.Equal(p.ChooseWithCapacity(r, servers).Index, -1)
}

func TestOwnConnections(t *testing.T) {
	for _, tt := range []struct{ accepts, gateways, slots, own int }{
		{300, 7, 0, 38}, {300, 1, 0, 270}, {100, 59, 0, 2}, {100, 0, 0, 90},
		{300, 59, 48, 4},                          // connections are as scarce as slots
		{1900, 985, 16, 16}, {1900, 1970, 16, 16}, // connections are ample: the part does not shrink with the fleet
	} {
		is.New(t).Equal(ownConnections(tt.accepts, tt.gateways, tt.slots), tt.own)
	}
}

func TestEstimatesFollowObservations(t *testing.T) {
	is := is.New(t)
	var p CapacityPlacer
	for range 500 {
		p.ObserveAnswer(true)
		p.ObserveTimeToFirst(true, 50_000, 125*time.Millisecond) // 500 tokens a millisecond
	}
	is.True(p.requestsPerSlot() < minEnginePerSlot+0.01)
	is.True(p.readRate() > 490 && p.readRate() < 501)
	learned := p.readRate()
	p.ObserveTimeToFirst(true, minRateSample-1, time.Hour)                     // too short for a sample
	p.ObserveTimeToFirst(true, minRateSample, engineOverhead*time.Millisecond) // no time is left for reading
	is.Equal(p.readRate(), learned)
	for range 5000 {
		p.ObserveAnswer(false)
	}
	is.True(p.requestsPerSlot() > enginePerSlot-0.01)
}

func TestSlowness(t *testing.T) {
	is := is.New(t)
	servers := make([]Server, 3)
	for i, ratio := range []float64{1, 1.5, 100} {
		for range minLatencySamples {
			is.Equal(typicalLatencyRatio(servers[i:i+1]), 0.0) // a single server is not compared
			servers[i].LatencyRatio.Observe(ratio)
		}
	}
	typical := typicalLatencyRatio(servers)
	is.Equal(typical, 1.5)
	is.Equal(servers[1].LatencyRatio.slowness(1), 1.0) // the difference is too small
	is.Equal(servers[2].LatencyRatio.slowness(typical), float64(maxSlowness))
	is.Equal(LatencyRatio{}.slowness(typical), 1.0)

	// A slow engine takes as many times longer to read.
	r := Request{Class: entitlement.Covered, Objective: 400 * time.Millisecond, Engine: true}
	for i := range servers {
		servers[i].Own.Tokens = 2000
	}
	found, _ := candidates(r, servers)
	for _, c := range found {
		is.Equal(new(CapacityPlacer).bound(r, c) == Free, c.index != 2)
	}
}
