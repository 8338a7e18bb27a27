// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests rollouts together with homes: servers of the target stand in one region only.

// rollsInTheNorth is a pool with both versions in the north and the old one alone in the south,
// which is the home of route "again".
func (x *fixture) rollsInTheNorth() {
	x.joinNorthRegion()
	x.g.apply(homesDocument(4, []string{"south"}, nil))
	x.announce("plain", 2, answers(200, "ok", 50*time.Millisecond), "n1", "s1")
	x.announce("plain", 2, answers(200, "ok", 50*time.Millisecond), "n2")
	m := protocol.Servers{Term: 1}
	for _, k := range x.g.table.servers {
		s := k.Server
		s.Version = "v1"
		if s.Hall == "n2" {
			s.Version = "v2"
		}
		m.Set = append(m.Set, s)
	}
	x.g.table.update(m)
}

// askAtOnce asks a route some times at once and returns how many were served.
func (x *fixture) askAtOnce(path string, times int) (served int) {
	var mu sync.Mutex
	var asking sync.WaitGroup
	for range times {
		asking.Go(func() {
			r := x.request(path, "Patience", "2000")
			mu.Lock()
			defer mu.Unlock()
			if r.status == 200 {
				served++
			}
		})
	}
	asking.Wait()
	return served
}

// TestHomeWithoutTheTarget: a route whose home has no server of the target never leaves its home,
// and is served there by the old version, also where it has to wait: in the trial, after the
// switch, and when the old version is replaced, for as long as it is there.
func TestHomeWithoutTheTarget(t *testing.T) {
	for _, tt := range []struct {
		name string
		list protocol.Rollout
	}{
		{"trial", protocol.Rollout{Attempt: 1, Target: "v2", Share: 0.5}},
		{"switched", protocol.Rollout{Attempt: 1, Target: "v2", Share: 1}},
		{"complete", protocol.Rollout{Attempt: 1, Replaced: []string{"v1"}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.rollsInTheNorth()
				x.sendRollout(1, 1, tt.list)
				x.renewShares()
				is.Equal(x.askAtOnce("/again/x", 40), 40) // more than the home has room for at once
				is.Equal(x.arrivalsIn("s1"), 40)
				is.Equal(x.askAtOnce("/once/x", 10), 10)
				is.Equal(x.arrivalsIn("s"), 40)
				is.True(tt.name == "trial" || x.arrivalsIn("n2") == 10)
				x.withdraw("plain", 2, "s1")
				is.Equal(x.request("/again/x", "Patience", "2000").body, "{\"error\":\"homes-without-server\"}\n")
				is.Equal(x.arrivalsIn("n"), 10)
			})
		})
	}
}
