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

// This file tests when a request may leave its region, and where it goes.

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

// fill leaves a server without room.
func fill(s *Server) { s.Own.Tokens = 30_000 }

// TestWhenARequestMayLeave: not while an engine of the region has room, also where the one that
// suits it best has none.
func TestWhenARequestMayLeave(t *testing.T) {
	p, r := &RoomPlacer{}, engineRequest(promptOf("a"))
	first, _ := p.ChooseNear(r, engines("n", 4))
	for _, tt := range []struct {
		name   string
		change func(i int, s *Server)
		want   Leave
	}{
		{"idle", func(int, *Server) {}, Stay},
		{"the best is full", func(i int, s *Server) {
			if i == first.Index {
				fill(s)
			}
		}, Stay},
		{"all are full", func(_ int, s *Server) { fill(s) }, NoRoom},
		{"all but one are closed, and that one is full", func(i int, s *Server) { fill(s); s.Closed = i != 2 }, NoRoom},
		{"all are closed", func(_ int, s *Server) { s.Closed = true }, NoServer},
		{"all are ejected", func(_ int, s *Server) { s.Health = outlier.Ejected }, NoServer},
		{"all had it", func(_ int, s *Server) { s.Avoid = true }, NoServer},
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
				_, why := p.ChooseNear(r, servers)
				is.Equal(why, tt.want)
			})
		}
	}
	is := is.New(t)
	_, why := p.ChooseNear(r, nil)
	is.Equal(why, NoServer)
	is.True(!MayLeave(entitlement.Beyond))
	is.True(MayLeave(entitlement.Extra))
}

// TestOrderIsOneInEachRegion: the first engine of a prompt is the region's own, whatever engines
// there are elsewhere, and a far one is not looked at for a rank.
func TestOrderIsOneInEachRegion(t *testing.T) {
	is := is.New(t)
	p := &RoomPlacer{}
	for i := range 50 {
		r := engineRequest(promptOf(fmt.Sprint(i)))
		near, _ := p.ChooseNear(r, engines("n", 6))
		alone := p.Choose(r, engines("n", 6))
		is.Equal(near, alone)
		is.Equal(near.Read, r.Prompt.Own)
	}
}

// TestFarServerHasRoom: what leaves for want of room goes to the far region's first engine of
// its order, and to another one where that has no room; it waits for none.
func TestFarServerHasRoom(t *testing.T) {
	is := is.New(t)
	p, r := &RoomPlacer{}, engineRequest(promptOf("a"))
	far := engines("s", 4)
	first := p.ChooseFar(r, far)
	is.Equal(first, p.Choose(r, engines("s", 4)))
	fill(&far[first.Index])
	second := p.ChooseFar(r, far)
	is.True(second.Index >= 0 && second.Index != first.Index)
	is.Equal(second.Bound, Free)
	is.Equal(second.Read, r.Prompt.Tokens())
	for i := range far {
		fill(&far[i])
	}
	is.Equal(p.ChooseFar(r, far).Index, -1)
	ejected := engines("s", 4)
	for i := range ejected {
		ejected[i].Health = outlier.Ejected
	}
	is.Equal(p.ChooseFar(r, ejected).Index, -1)
}
