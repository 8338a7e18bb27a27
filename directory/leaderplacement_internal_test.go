// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests the decision which voter should lead.

// TestBetterLeader covers the choice by the voters' regions and by the speed of their disks.
func TestBetterLeader(t *testing.T) {
	const ms = time.Millisecond
	north := []voter{{"a", "n", true, 5 * ms}, {"b", "n", true, 6 * ms}, {"c", "n", true, 0}, {"d", "s", true, ms}, {"e", "s", true, 9 * ms}}
	spread := []voter{{"a", "n", true, 5 * ms}, {"b", "n", true, 6 * ms}, {"c", "s", true, ms}, {"d", "s", true, ms}, {"e", "t", true, ms}}
	unready := []voter{{"a", "n", false, 5 * ms}, {"b", "n", false, 6 * ms}, {"c", "n", false, ms}, {"d", "s", true, ms}, {"e", "s", true, ms}}
	unknown := []voter{{"a", "", true, 5 * ms}, {"b", "", true, 6 * ms}, {"c", "", true, 30 * ms}}
	for _, c := range []struct {
		scenario string
		self     string
		sync     time.Duration
		voters   []voter
		name     string
		why      string
	}{
		{"in the majority region", "a", 5 * ms, north, "", ""},
		{"outside the majority region", "d", 5 * ms, north, "a", "majority"},
		{"slow disk", "a", 100 * ms, north, "b", "disk"}, // the sync time of c is unknown
		{"slow disk, other sync times unknown", "a", 100 * ms, []voter{north[0], north[2]}, "", ""},
		{"slow disk, all sync times known", "b", 100 * ms, north[:2], "a", "disk"},
		{"slow disk, below the minimum", "b", 20*ms - 1, north[:2], "", ""},
		{"slow disk, below the factor", "c", 40 * ms, []voter{{"b", "n", true, 11 * ms}, {"c", "n", true, 40 * ms}}, "", ""},
		{"no region has a majority", "e", 5 * ms, spread, "", ""},
		{"no region has a majority, and a slow disk", "a", 100 * ms, spread, "b", "disk"},
		{"no candidate is ready", "d", 5 * ms, unready, "", ""},
		{"no regions", "a", 5 * ms, unknown, "", ""},
		{"no regions, and a slow disk", "c", 30 * ms, unknown, "a", "disk"},
		{"alone", "a", 100 * ms, unknown[:1], "", ""},
	} {
		t.Run(c.scenario, func(t *testing.T) {
			is := is.New(t)
			name, why := betterLeader(c.self, c.sync, c.voters)
			is.Equal(name, c.name)
			is.Equal(why, c.why)
		})
	}
}

// TestVoterRegions: regions must be ignored in a fleet with one region, where replicas do not
// report them. Otherwise a leader with a slow disk would find no successor in its own region.
func TestVoterRegions(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		halls    map[string]string
		own, far string
	}{{nil, "", ""}, {map[string]string{"x": "n", "y": "n"}, "", ""}, {map[string]string{"x": "n", "y": "s"}, "n", "s"}} {
		regions, err := topology.New(c.halls)
		is.NoErr(err)
		d := &Directory{cfg: Settings{Identity: link.Identity{Name: "a"}, Region: "n", Topology: regions}}
		d.recordRegion("b", "s")
		is.Equal(d.voterRegion("a"), c.own)
		is.Equal(d.voterRegion("b"), c.far)
		is.Equal(d.voterRegion("c"), "")
	}
}
