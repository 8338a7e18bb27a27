// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

// This file tests open groups, which form around seeds, accept any replica that joins,
// and replace failed replicas with new ones.

const openVoters = 5

// openCluster starts an open group whose first three names are its seeds.
func openCluster(t testingT, seed uint64, names ...string) *cluster {
	c := emptyCluster(t, seed)
	c.voterCount, c.seeds, c.bootstrap = openVoters, names[:3], true
	for _, n := range names {
		c.add(n)
	}
	return c
}

// voters returns the names of the leader's voters.
func (c *cluster) voters() map[string]bool {
	names := map[string]bool{}
	for _, p := range c.members[c.awaitLeader()].r.log.members().Voters {
		names[p.Name] = true
	}
	return names
}

func TestNonSeedsJoinOpenGroup(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 1, "c", "b", "a", "e", "d")
	c.awaitLeader()
	c.run(time.Second)
	is.Equal(len(c.voters()), 5) // replicas that are not seeds have joined
}

func TestOpenGroupLimitsVoters(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 2, "a", "b", "c", "d", "e", "f", "g")
	c.awaitLeader()
	c.run(2 * time.Second)
	is.Equal(len(c.voters()), openVoters)
	m := c.members[c.leader()].r.log.members()
	is.Equal(len(m.Learners), 2)
}

// TestBlankReplicaReplacesStoppedVoter stops one replica permanently and adds a blank one with another
// name. The group must reach its full number of voters again, without the stopped
// replica.
func TestBlankReplicaReplacesStoppedVoter(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 3, "a", "b", "c", "d", "e")
	c.awaitLeader()
	c.run(time.Second)
	stopped := otherNames(c, c.leader())[0]
	c.kill(stopped)
	c.bootstrap = false
	c.add("n")
	c.run(2 * time.Second)
	voters := c.voters()
	is.Equal(len(voters), openVoters)
	is.True(voters["n"])
	is.True(!voters[stopped])
}

// TestSilentVoterIsKeptWithoutReplacement stops two of five replicas for a long time.
// If the group shrank to the other three, two disks would be a quorum.
func TestSilentVoterIsKeptWithoutReplacement(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 4, "a", "b", "c", "d", "e")
	c.awaitLeader()
	c.run(time.Second)
	followers := otherNames(c, c.leader())
	c.kill(followers[0])
	c.kill(followers[1])
	c.run(5 * time.Second)
	is.Equal(len(c.voters()), openVoters)
}

// TestBlankReplicasNeverFoundSecondGroup loses the disks of all seeds after the first start.
// No replica may found a second group.
func TestBlankReplicasNeverFoundSecondGroup(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 5, "a", "b", "c")
	c.awaitLeader()
	c.bootstrap = false
	for _, n := range c.names {
		c.kill(n)
		c.replaceDisk(n)
		c.start(n)
	}
	c.run(5 * time.Second)
	is.Equal(c.leader(), "")
	for _, n := range c.names {
		is.True(c.members[n].r == nil)
	}
}

// TestSingleSeedNeverFoundsSecondGroup is TestBlankReplicasNeverFoundSecondGroup with a single seed,
// which could found a group without a reply from another replica.
func TestSingleSeedNeverFoundsSecondGroup(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 8, "a", "b", "c")
	c.awaitLeader()
	c.bootstrap = false
	c.seeds = []string{"a"}
	for _, n := range c.names {
		c.kill(n)
		c.replaceDisk(n)
	}
	c.start("a")
	c.run(time.Second)
	is.True(c.members["a"].r == nil)
}

// TestBlankReplicaJoinsThroughFollower starts a blank replica whose only seed is a follower. It
// must find the leader through the members that the follower names.
func TestBlankReplicaJoinsThroughFollower(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 6, "a", "b", "c", "d")
	c.awaitLeader()
	c.run(time.Second)
	c.bootstrap = false
	c.seeds = otherNames(c, c.leader())[:1]
	c.add("n")
	c.run(2 * time.Second)
	is.True(c.voters()["n"])
}

// TestTwoLostDisksAreRepaired loses the disks of two of five replicas while a third follower
// is down. Acknowledged commands must be available once the third follower restarts.
func TestTwoLostDisksAreRepaired(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 7, "a", "b", "c", "d", "e")
	c.awaitLeader()
	c.run(time.Second)
	l := c.leader()
	is.True(c.propose(l))
	c.run(200 * time.Millisecond)
	followers := otherNames(c, l)
	c.bootstrap = false
	for _, n := range followers[:2] {
		c.kill(n)
		c.replaceDisk(n)
		c.start(n)
	}
	c.kill(followers[2])
	c.run(time.Second)
	c.start(followers[2])
	c.run(3 * time.Second)
	is.Equal(len(c.voters()), openVoters)
	c.checkConverged()
}

// TestRandomOpenSchedules is TestRandomSchedules for an open group, where replicas are
// also replaced permanently.
func TestRandomOpenSchedules(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		randomOpenSchedule(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(200, 1200).Draw(t, "steps"))
	})
}

// TestOpenSchedulesThatFailedBefore replays schedules that failed in the past.
func TestOpenSchedulesThatFailedBefore(t *testing.T) {
	for _, tt := range []struct {
		seed  uint64
		steps int
	}{
		{0x6d3a7f0c34, 200}, // a blank replica never joined after the loss of the leader that repaired it
	} {
		randomOpenSchedule(t, tt.seed, tt.steps)
	}
}

func randomOpenSchedule(t testingT, seed uint64, steps int) {
	c := openCluster(t, seed, "a", "b", "c", "d", "e")
	c.awaitLeader()
	c.run(time.Second)
	c.bootstrap = false
	replaced := 0
	for range steps {
		c.randomStep()
		c.leader()
		if c.rng.IntN(400) == 0 && replaced < 3 && c.replaceFollower() {
			replaced++
		}
	}
	c.isolated = map[string]bool{}
	for _, n := range c.names {
		if m := c.members[n]; !m.running && !m.removed {
			c.start(n)
		}
	}
	l := c.awaitLeader()
	c.propose(l)
	c.run(4 * time.Second)
	c.awaitLeader()
	c.checkConverged()
}

// TestRepairSurvivesLossOfLeader stops the leader right after it has begun to repair a replica that
// lost its disk. The next leader has no record of that replica, so the replica must
// find the group again by itself.
func TestRepairSurvivesLossOfLeader(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 11, "a", "b", "c", "d", "e")
	old := c.awaitLeader()
	c.run(time.Second)
	c.bootstrap = false
	c.propose(old)
	c.run(100 * time.Millisecond)
	lost := otherNames(c, old)[0]
	c.kill(lost)
	c.replaceDisk(lost)
	c.start(lost)
	leader := c.members[old].r
	for len(leader.log.members().Voters) == 5 || leader.changePending() {
		c.tick(5 * time.Millisecond)
		c.drain()
	}
	for _, n := range c.names { // no other replica receives the membership change
		c.isolated[n] = n != old && n != lost
	}
	for c.members[lost].r == nil {
		c.tick(5 * time.Millisecond)
		for len(c.inFlight) > 0 && c.members[lost].r == nil {
			c.deliver(0)
		}
	}
	c.inFlight = nil // the replica has received a single message
	c.kill(old)
	c.isolated = map[string]bool{}
	c.awaitLeader()
	c.run(3 * time.Second)
	is.Equal(c.members[lost].applied, []string{"0"})
	c.checkConverged()
}

// replaceFollower permanently stops a follower and adds a blank replica, if the group is
// healthy.
func (c *cluster) replaceFollower() bool {
	l := c.leader()
	if l == "" || !c.isHealthy(l) {
		return false
	}
	stopped := otherNames(c, l)[c.rng.IntN(len(c.names)-1)]
	if c.members[stopped].removed {
		return false
	}
	c.kill(stopped)
	c.members[stopped].removed = true
	c.add(stopped + "'")
	return true
}

// TestLearnerOfLostChangeJoinsAgain loses the leader that made a replica a learner, and with it the change, which only
// the learner has received. The learner takes itself for a member, but the next leader sends nothing to it.
func TestLearnerOfLostChangeJoinsAgain(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 13, "a", "b", "c")
	old := c.awaitLeader()
	c.run(time.Second)
	c.bootstrap = false
	others := otherNames(c, old)
	c.add("d")
	isLearner := func(name string) bool {
		m := c.members[name]
		return m.r != nil && slices.Contains(m.r.log.members().Learners, c.members["d"].self())
	}
	for !isLearner("d") {
		c.tick(5 * time.Millisecond)
		for len(c.inFlight) > 0 && !isLearner("d") {
			for _, n := range others {
				c.isolated[n] = isLearner(old)
			}
			c.deliver(0)
		}
	}
	c.inFlight = nil
	c.kill(old)
	c.isolated = map[string]bool{}
	c.awaitLeader()
	c.run(3 * time.Second)
	is.True(c.voters()["d"])
}
