// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests rollouts together with homes, where only one region has servers of the target
// version.

// setUpNorthRollout sets up a pool with both versions in the north and only the old one in the
// south, which is the home of route "again".
func (x *fixture) setUpNorthRollout() {
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

// requestConcurrently sends a number of concurrent requests and returns how many were served.
func (x *fixture) requestConcurrently(path string, times int) (served int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for range times {
		group.Go(func() {
			r := x.request(path, "Patience", "2000")
			mu.Lock()
			defer mu.Unlock()
			if r.status == 200 {
				served++
			}
		})
	}
	group.Wait()
	return served
}

// TestOldVersionServesHomeWithoutTarget checks that requests of a route whose home has no server of
// the target stay in that home. The old version serves them there, after a wait if necessary:
// during the trial, after the switch, and after the old version was replaced, for as long as its
// servers exist.
func TestOldVersionServesHomeWithoutTarget(t *testing.T) {
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
				x.setUpNorthRollout()
				x.sendRollout(1, 1, tt.list)
				x.renewShares()
				is.Equal(x.requestConcurrently("/again/x", 40), 40) // more than the home has room for
				is.Equal(x.arrivalsIn("s1"), 40)
				is.Equal(x.requestConcurrently("/once/x", 10), 10)
				is.Equal(x.arrivalsIn("s"), 40)
				is.True(tt.name == "trial" || x.arrivalsIn("n2") == 10)
				x.withdraw("plain", 2, "s1")
				is.Equal(x.request("/again/x", "Patience", "2000").body, "{\"error\":\"homes-without-server\"}\n")
				is.Equal(x.arrivalsIn("n"), 10)
			})
		})
	}
}
