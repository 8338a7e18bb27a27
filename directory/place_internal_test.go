// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/topology"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests where the leader should stand, as a decision on what it knows of the voters.

// TestBetterLeader: who should lead, by where the voters stand and how fast their disks are.
func TestBetterLeader(t *testing.T) {
	const ms = time.Millisecond
	north := []voter{{"a", "n", true, 5 * ms}, {"b", "n", true, 6 * ms}, {"c", "n", true, 0}, {"d", "s", true, ms}, {"e", "s", true, 9 * ms}}
	spread := []voter{{"a", "n", true, 5 * ms}, {"b", "n", true, 6 * ms}, {"c", "s", true, ms}, {"d", "s", true, ms}, {"e", "t", true, ms}}
	unready := []voter{{"a", "n", false, 5 * ms}, {"b", "n", false, 6 * ms}, {"c", "n", false, ms}, {"d", "s", true, ms}, {"e", "s", true, ms}}
	unknown := []voter{{"a", "", true, 5 * ms}, {"b", "", true, 6 * ms}, {"c", "", true, 30 * ms}}
	for _, c := range []struct {
		what   string
		self   string
		sync   time.Duration
		voters []voter
		name   string
		why    string
	}{
		{"stands with the majority", "a", 5 * ms, north, "", ""},
		{"stands elsewhere", "d", 5 * ms, north, "a", "majority"},
		{"slow disk", "a", 100 * ms, north, "b", "disk"}, // c has not said how fast its disk is
		{"slow disk, and no other is known", "a", 100 * ms, []voter{north[0], north[2]}, "", ""},
		{"slow disk, all known", "b", 100 * ms, north[:2], "a", "disk"},
		{"slow disk, not by enough", "b", 20*ms - 1, north[:2], "", ""},
		{"slow disk, not in proportion", "c", 40 * ms, []voter{{"b", "n", true, 11 * ms}, {"c", "n", true, 40 * ms}}, "", ""},
		{"no region has a majority", "e", 5 * ms, spread, "", ""},
		{"no region has a majority, and a slow disk", "a", 100 * ms, spread, "b", "disk"},
		{"nobody there is ready", "d", 5 * ms, unready, "", ""},
		{"no regions", "a", 5 * ms, unknown, "", ""},
		{"no regions, and a slow disk", "c", 30 * ms, unknown, "a", "disk"},
		{"alone", "a", 100 * ms, unknown[:1], "", ""},
	} {
		t.Run(c.what, func(t *testing.T) {
			is := is.New(t)
			name, why := betterLeader(c.self, c.sync, c.voters)
			is.Equal(name, c.name)
			is.Equal(why, c.why)
		})
	}
}

// TestVoterRegions: where replicas stand counts only where there are several regions, since
// replicas name theirs only there; else a leader with a slow disk would find nobody in its own.
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
