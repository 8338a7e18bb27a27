// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

// This file tests the foundation of open groups while their seeds are killed. A seed that restarts has no bootstrap
// flag in its settings any more, and keeps it on its disk only if it had written there.

// restart kills a replica and starts it again without the flag, with its disk or, if it was killed before it could
// write, with a blank one.
func (c *cluster) restart(name string, hadWritten bool, pause time.Duration) {
	c.bootstrap = false
	c.kill(name)
	if !hadWritten {
		c.replaceDisk(name)
	}
	c.run(pause)
	c.start(name)
}

// TestGroupFormsAfterSeedIsKilled guards against a system that never starts because one seed was killed before the
// group was founded.
func TestGroupFormsAfterSeedIsKilled(t *testing.T) {
	for _, victim := range []string{"a", "b", "c"} {
		for _, hadWritten := range []bool{true, false} {
			for messages := range 40 { // delivered before the kill
				t.Run(fmt.Sprintf("%s, disk written %t, after %d messages", victim, hadWritten, messages), func(t *testing.T) {
					is := is.New(t)
					c := openCluster(t, uint64(messages), "a", "b", "c", "d", "e")
					c.tick(5 * time.Millisecond)
					for range messages {
						if len(c.inFlight) == 0 {
							c.tick(5 * time.Millisecond)
						}
						if len(c.inFlight) > 0 {
							c.deliver(0)
						}
					}
					c.restart(victim, hadWritten, 500*time.Millisecond)
					c.awaitLeader()
					c.run(time.Second)
					is.Equal(len(c.voters()), openVoters)
					is.True(c.propose(c.awaitLeader()))
					c.run(200 * time.Millisecond)
					c.checkConverged()
				})
			}
		}
	}
}

// TestGroupFormsAfterAllReplicasAreKilled checks that the flag on the disks is enough.
func TestGroupFormsAfterAllReplicasAreKilled(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 1, "a", "b", "c", "d", "e")
	c.bootstrap = false
	for _, n := range c.names {
		c.kill(n)
	}
	c.run(500 * time.Millisecond)
	for _, n := range c.names {
		c.start(n)
	}
	c.awaitLeader()
	c.run(time.Second)
	is.Equal(len(c.voters()), openVoters)
}

// TestMinorityWithFlagFoundsNothing guards against a second group: if two of three seeds have no flag, they may have
// lost the disks of a group.
func TestMinorityWithFlagFoundsNothing(t *testing.T) {
	for _, kept := range []string{"a", "b", "c"} {
		is := is.New(t)
		c := openCluster(t, 2, "a", "b", "c", "d", "e")
		for _, n := range []string{"a", "b", "c"} {
			if n != kept {
				c.restart(n, false, 0)
			}
		}
		c.run(5 * time.Second)
		is.Equal(c.leader(), "")
	}
}

// TestRandomFoundings starts an open group, kills and restarts its replicas at random while messages are delivered out
// of order or lost, and checks that one group forms. At most one seed is killed before it could write.
func TestRandomFoundings(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		checkFounding(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 300).Draw(t, "steps"))
	})
}

// TestFoundingsThatFailedBefore replays schedules of TestRandomFoundings that failed in the past.
func TestFoundingsThatFailedBefore(t *testing.T) {
	for _, tt := range []struct {
		name  string
		seed  uint64
		steps int
	}{
		{"a voter that does not know yet that it is one grants no vote", 0x6b8a, 119},
		{"a learner whose change was lost does not know the leader, which joined later", 0xc6ae7acf6, 228},
		{"no leader", 0x6f70783deb64d12c, 294},
		{"no leader", 0xc1d069728b38b4cf, 283},
		{"no leader", 0xe58feec6636ee9a9, 188},
		{"no leader", 0x15c656f41fc58b0b, 254},
		{"four voters", 0xdefa63228b0d3bfb, 257},
		{"four voters", 0xde4eb5084b07e9eb, 250},
	} {
		t.Run(tt.name, func(t *testing.T) { checkFounding(t, tt.seed, tt.steps) })
	}
}

// TestFoundingsWithOneLostDiskThatStillFail replays schedules that fail. In them one replica loses its disk at any time,
// also when it is a member.
func TestFoundingsWithOneLostDiskThatStillFail(t *testing.T) {
	for _, tt := range []struct {
		name  string
		seed  uint64
		steps int
	}{
		{"the founder loses its disk, and a seed refuses the foundation that another seed passes on", 0xd4b4180dfa40f022, 63},
		{"a leader is lost that repaired a seed which the foundation had not reached", 0x9b71b69caf12ad0b, 276},
	} {
		t.Run(tt.name, func(t *testing.T) {
			checkGroupOfAll(randomFounding(t, tt.seed, tt.steps, func(_ *member, lost int) bool { return lost == 0 }))
		})
	}
}

// checkFounding plays a schedule and checks that a group of all replicas forms.
func checkFounding(t testingT, seed uint64, steps int) {
	checkGroupOfAll(randomFounding(t, seed, steps, func(m *member, lost int) bool { return m.formation != nil && lost == 0 }))
}

// checkGroupOfAll checks, once all replicas run, that they form a group which has everything that was acknowledged.
func checkGroupOfAll(c *cluster) {
	c.awaitLeader()
	c.run(2 * time.Second)
	l := c.awaitLeader()
	if n := len(c.voters()); n != openVoters {
		c.t.Fatalf("%d voters, want %d", n, openVoters)
	}
	c.propose(l)
	c.run(time.Second)
	c.awaitLeader()
	c.checkConverged()
}

// TestRandomFoundingsWithLostDisks is TestRandomFoundings with disks lost at any time and in any number. There may be
// no group in the end, but never two.
func TestRandomFoundingsWithLostDisks(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := randomFounding(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 300).Draw(t, "steps"), func(*member, int) bool { return true })
		for range 50 {
			c.run(20 * time.Millisecond)
			c.checkOneGroup()
		}
	})
}

// checkOneGroup checks that only one group has elected a leader.
func (c *cluster) checkOneGroup() {
	for _, n := range c.names {
		m := c.members[n]
		if m.r == nil || m.r.role != Leader {
			continue
		}
		if group := m.r.log.snapshot.Group; c.group != 0 && group != c.group {
			c.t.Fatalf("%s leads a second group", n)
		} else {
			c.group = group
		}
	}
}

// randomFounding plays the steps of a schedule. mayLose says whether a replica that is killed may lose its disk, given
// how many have.
func randomFounding(t testingT, seed uint64, steps int, mayLose func(m *member, lost int) bool) *cluster {
	c := openCluster(t, seed, "a", "b", "c", "d", "e")
	lost := 0
	for _, n := range c.names { // replicas start at different times
		if c.rng.IntN(2) == 0 {
			c.kill(n)
		}
	}
	c.bootstrap = false
	for range steps {
		c.tick(time.Duration(c.rng.Int64N(int64(10 * time.Millisecond))))
		for range c.rng.IntN(8) {
			if n := len(c.inFlight); n > 0 && c.rng.IntN(10) > 0 {
				c.deliver(c.rng.IntN(n))
			} else if n > 0 {
				i := c.rng.IntN(n)
				c.inFlight = slices.Delete(c.inFlight, i, i+1)
			}
		}
		name := c.names[c.rng.IntN(len(c.names))]
		switch m := c.members[name]; {
		case c.rng.IntN(20) > 0:
		case !m.running:
			c.start(name)
		case mayLose(m, lost) && c.rng.IntN(3) == 0:
			lost++
			c.kill(name)
			c.replaceDisk(name)
		default:
			c.kill(name)
		}
		c.checkOneGroup()
		if l := c.leader(); l != "" && c.rng.IntN(10) == 0 {
			c.propose(l)
		}
	}
	for _, n := range c.names {
		if !c.members[n].running {
			c.start(n)
		}
	}
	return c
}

// TestGroupGrowsBeforeItIsComplete checks how long the leader of a group that was just founded expects further voters.
func TestGroupGrowsBeforeItIsComplete(t *testing.T) {
	for _, names := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d"}, {"a", "b", "c", "d", "e"}} {
		is := is.New(t)
		c := openCluster(t, 3, names...)
		began := c.now
		for c.leader() == "" {
			c.tick(time.Millisecond)
			c.drain()
		}
		is.True(c.members[c.leader()].r.Status().Growing)
		for c.members[c.leader()].r.Status().Growing {
			c.run(time.Millisecond)
		}
		is.Equal(len(c.voters()), len(names))
		is.True(c.now-began < 8*testElection) // with a replica that never joins
	}
}

// TestFirstCommandSurvivesTwoLostDisks loses the disks of any two replicas right after the first command that is
// proposed once the group does not grow any more.
func TestFirstCommandSurvivesTwoLostDisks(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for i := range names {
		for j := range i {
			is := is.New(t)
			c := openCluster(t, 4, names...)
			for c.leader() == "" || c.members[c.leader()].r.Status().Growing {
				c.run(time.Millisecond)
			}
			c.bootstrap = false
			is.True(c.propose(c.leader()))
			for len(c.acked) == 0 {
				c.run(time.Millisecond)
			}
			for _, n := range []string{names[i], names[j]} {
				c.kill(n)
				c.replaceDisk(n)
				c.start(n)
			}
			c.run(3 * time.Second)
			c.awaitLeader()
			c.checkConverged()
			is.Equal(len(c.voters()), openVoters)
		}
	}
}

// growToFour starts an open group of three seeds and lets a fourth replica join. It returns the leader, the two other
// seeds and the fourth replica, once a change has made that one a voter at the leader alone, or at the replicas that
// the given function leaves connected to it.
func growToFour(t testingT, connected func(c *cluster, leader string) []string) (c *cluster, leader string, followers []string) {
	c = openCluster(t, 21, "a", "b", "c")
	leader = c.awaitLeader()
	c.run(time.Second)
	followers = otherNames(c, leader)
	c.bootstrap = false
	c.add("d")
	isVoter := func() bool { return c.members[leader].r.isVoter(c.members["d"].self()) }
	for !isVoter() {
		c.tick(5 * time.Millisecond)
		for len(c.inFlight) > 0 && !isVoter() {
			c.deliver(0)
		}
	}
	for _, n := range c.names {
		c.isolated[n] = n != leader && !slices.Contains(connected(c, leader), n)
	}
	c.run(testElection / 2)
	return c, leader, followers
}

// TestNewVoterVotesBeforeItsLogMakesItOne guards against a group without a leader. The change that makes the fourth
// replica a voter reaches one of the three others and not the fourth one, and then the leader restarts and a seed
// loses its disk. The quorum of three needs the vote of the fourth replica, whose log has it as a learner.
func TestNewVoterVotesBeforeItsLogMakesItOne(t *testing.T) {
	is := is.New(t)
	c, leader, followers := growToFour(t, func(c *cluster, leader string) []string { return otherNames(c, leader)[:1] })
	is.True(c.members[followers[0]].r.isVoter(c.members["d"].self()))
	is.True(!c.members["d"].r.isVoter(c.members["d"].self()))
	lost := followers[1]
	c.kill(lost)
	c.replaceDisk(lost)
	c.kill(leader)
	c.isolated = map[string]bool{}
	c.start(lost)
	c.start(leader)
	c.awaitLeader()
	c.run(time.Second)
	is.Equal(len(c.voters()), 4)
	c.checkConverged()
}

// TestVoterVotesForCandidateThatItDoesNotKnow guards against a group without a leader. The change that makes the fourth
// replica a voter does not reach one seed, the next entry reaches the fourth replica alone, and then the leader loses its
// disk. Only the fourth replica has the newest log, and it needs the vote of the seed that does not know it.
func TestVoterVotesForCandidateThatItDoesNotKnow(t *testing.T) {
	is := is.New(t)
	c, leader, followers := growToFour(t, func(c *cluster, leader string) []string { return append(otherNames(c, leader)[:1], "d") })
	knows, knowsNot := followers[0], followers[1]
	is.True(c.members[knows].r.isVoter(c.members["d"].self()))
	is.True(!c.members[knowsNot].r.isVoter(c.members["d"].self()))
	c.isolated[knows] = true
	is.True(c.propose(leader))
	c.run(testElection / 4)
	is.True(c.members["d"].r.log.lastIndex() > c.members[knows].r.log.lastIndex())
	c.kill(leader)
	c.replaceDisk(leader)
	c.isolated = map[string]bool{}
	c.start(leader)
	c.awaitLeader()
	c.run(time.Second)
	is.Equal(len(c.voters()), 4)
	c.checkConverged()
}
