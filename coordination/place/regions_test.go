// SPDX-License-Identifier: Apache-2.0

package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/outlier"
)

// This file tests when a request may leave its region, and which engine it uses.

// engines returns idle engines of one region.
func engines(region string, n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprint(region, i), Slots: 16}
	}
	return servers
}

func engineRequest(p Prompt) Request {
	return Request{Prompt: p, Engine: true, Class: entitlement.Covered, Objective: 400 * time.Millisecond}
}

// fill uses up the capacity of a server.
func fill(s *Server) { s.Own.Tokens = 30_000 }

// TestReasonsForLeavingRegion checks the reasons for leaving a region. While another engine of the region
// has capacity, a request does not leave at once even if its best engine is full.
func TestReasonsForLeavingRegion(t *testing.T) {
	p, r := &CapacityPlacer{}, engineRequest(promptOf("a"))
	first, _ := p.ChooseInRegion(r, engines("n", 4))
	for _, tt := range []struct {
		name   string
		change func(i int, s *Server)
		want   LeaveReason
	}{
		{"idle", func(int, *Server) {}, Stay},
		{"the best is full", func(i int, s *Server) {
			if i == first.Index {
				fill(s)
			}
		}, BestFull},
		{"all are full", func(_ int, s *Server) { fill(s) }, NoCapacity},
		{"all but one are closed, and that one is full", func(i int, s *Server) { fill(s); s.Closed = i != 2 }, NoCapacity},
		{"all are closed", func(_ int, s *Server) { s.Closed = true }, NoServer},
		{"all are ejected", func(_ int, s *Server) { s.Health = outlier.Ejected }, NoServer},
		{"all have failed it", func(_ int, s *Server) { s.Avoid = true }, NoServer},
	} {
		for _, engine := range []bool{true, false} {
			t.Run(fmt.Sprint(tt.name, " engine ", engine), func(t *testing.T) {
				is := is.New(t)
				servers := engines("n", 4)
				for i := range servers {
					tt.change(i, &servers[i])
					if !engine && servers[i].Own.Tokens > 0 {
						servers[i].Own.Requests = 100
					}
				}
				r := r
				r.Engine = engine
				_, why := p.ChooseInRegion(r, servers)
				if !engine && tt.want == BestFull {
					tt.want = Stay // a plain request may use any other server
				}
				is.Equal(why, tt.want)
			})
		}
	}
	is := is.New(t)
	_, why := p.ChooseInRegion(r, nil)
	is.Equal(why, NoServer)
	is.True(!BestFull.Due(59*time.Millisecond, 60*time.Millisecond))
	is.True(BestFull.Due(60*time.Millisecond, 60*time.Millisecond))
	is.True(NoCapacity.Due(0, 60*time.Millisecond))
	is.True(NoServer.Due(0, 60*time.Millisecond))
	is.True(!Stay.Due(time.Second, 60*time.Millisecond))
	is.True(!MayLeave(entitlement.Beyond))
	is.True(MayLeave(entitlement.Extra))
}

// TestFirstEngineDependsOnRegionAlone checks that the first engine of a prompt is determined by the
// engines of its own region alone.
func TestFirstEngineDependsOnRegionAlone(t *testing.T) {
	is := is.New(t)
	p := &CapacityPlacer{}
	for i := range 50 {
		r := engineRequest(promptOf(fmt.Sprint(i)))
		near, _ := p.ChooseInRegion(r, engines("n", 6))
		alone := p.Choose(r, engines("n", 6))
		is.Equal(near, alone)
		is.Equal(near.Read, r.Prompt.Own)
	}
}
