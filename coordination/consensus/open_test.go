// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

// This file tests open groups: found through seeds, grown by every replica that joins,
// repaired by a new one.

const openVoters = 5

// openCluster starts an open group whose first three names are its seeds.
func openCluster(t failer, seed uint64, names ...string) *cluster {
	c := emptyCluster(t, seed)
	c.open, c.seeds, c.first = openVoters, names[:3], true
	for _, n := range names {
		c.add(n)
	}
	return c
}

// voters returns the names of the leader's voters.
func (c *cluster) voters() map[string]bool {
	names := map[string]bool{}
	for _, p := range c.members[c.mustLead()].r.log.members().Voters {
		names[p.Name] = true
	}
	return names
}

func TestOpenGroupFormsAroundItsSeeds(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 1, "c", "b", "a", "e", "d")
	c.mustLead()
	c.settle(time.Second)
	is.Equal(len(c.voters()), 5) // those that are no seeds have joined
}

func TestOpenGroupKeepsToItsNumberOfVoters(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 2, "a", "b", "c", "d", "e", "f", "g")
	c.mustLead()
	c.settle(2 * time.Second)
	is.Equal(len(c.voters()), openVoters)
	m := c.members[c.leader()].r.log.members()
	is.Equal(len(m.Learners), 2)
}

// TestReplacedReplica takes one machine away for good and brings an empty one
// under another name: the group must have its full number of voters again,
// without the one that is gone.
func TestReplacedReplica(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 3, "a", "b", "c", "d", "e")
	c.mustLead()
	c.settle(time.Second)
	gone := others(c, c.leader())[0]
	c.kill(gone)
	c.first = false
	c.add("n")
	c.settle(2 * time.Second)
	voters := c.voters()
	is.Equal(len(voters), openVoters)
	is.True(voters["n"])
	is.True(!voters[gone])
}

// TestSilentVoterIsKeptWithoutReplacement kills two of five for long. A group
// that shrank to the other three would have quorums of two disks.
func TestSilentVoterIsKeptWithoutReplacement(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 4, "a", "b", "c", "d", "e")
	c.mustLead()
	c.settle(time.Second)
	rest := others(c, c.leader())
	c.kill(rest[0])
	c.kill(rest[1])
	c.settle(5 * time.Second)
	is.Equal(len(c.voters()), openVoters)
}

// TestBlankReplicasNeverFoundTwice loses every disk of the seeds after the
// first start: nobody may found a second group.
func TestBlankReplicasNeverFoundTwice(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 5, "a", "b", "c")
	c.mustLead()
	c.first = false
	for _, n := range c.names {
		c.kill(n)
		c.blank(n)
		c.start(n)
	}
	c.settle(5 * time.Second)
	is.Equal(c.leader(), "")
	for _, n := range c.names {
		is.True(c.members[n].r == nil)
	}
}

// TestLoneSeedNeverFoundsTwice is the same with a single seed, which needs
// nobody's answer.
func TestLoneSeedNeverFoundsTwice(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 8, "a", "b", "c")
	c.mustLead()
	c.first = false
	c.seeds = []string{"a"}
	for _, n := range c.names {
		c.kill(n)
		c.blank(n)
	}
	c.start("a")
	c.settle(time.Second)
	is.True(c.members["a"].r == nil)
}

// TestJoinsThroughAnyMember starts a blank replica whose only seed is a
// follower: it must find the leader through the members that it is sent.
func TestJoinsThroughAnyMember(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 6, "a", "b", "c", "d")
	c.mustLead()
	c.settle(time.Second)
	c.first = false
	c.seeds = others(c, c.leader())[:1]
	c.add("n")
	c.settle(2 * time.Second)
	is.True(c.voters()["n"])
}

// TestTwoDisksLostAtOnce loses two of five disks while the third follower has
// lost power; what was acknowledged must come back with the third.
func TestTwoDisksLostAtOnce(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 7, "a", "b", "c", "d", "e")
	c.mustLead()
	c.settle(time.Second)
	l := c.leader()
	is.True(c.propose(l))
	c.settle(200 * time.Millisecond)
	rest := others(c, l)
	c.first = false
	for _, n := range rest[:2] {
		c.kill(n)
		c.blank(n)
		c.start(n)
	}
	c.kill(rest[2])
	c.settle(time.Second)
	c.start(rest[2])
	c.settle(3 * time.Second)
	is.Equal(len(c.voters()), openVoters)
	c.checkSame()
}

// TestRandomOpenSchedules is TestRandomSchedules for an open group, with
// machines that are replaced for good as well.
func TestRandomOpenSchedules(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		randomOpenSchedule(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(200, 1200).Draw(t, "steps"))
	})
}

// TestKeptOpenSchedules plays schedules that failed once.
func TestKeptOpenSchedules(t *testing.T) {
	for _, tt := range []struct {
		seed  uint64
		steps int
	}{
		{0x6d3a7f0c34, 200}, // a blank replica whose repairer was lost stayed outside
	} {
		randomOpenSchedule(t, tt.seed, tt.steps)
	}
}

func randomOpenSchedule(t failer, seed uint64, steps int) {
	c := openCluster(t, seed, "a", "b", "c", "d", "e")
	c.mustLead()
	c.settle(time.Second)
	c.first = false
	replaced := 0
	for range steps {
		c.randomStep()
		c.leader()
		if c.rng.IntN(400) == 0 && replaced < 3 && c.replaceOne() {
			replaced++
		}
	}
	c.cut = map[string]bool{}
	for _, n := range c.names {
		if m := c.members[n]; !m.running && !m.gone {
			c.start(n)
		}
	}
	l := c.mustLead()
	c.propose(l)
	c.settle(4 * time.Second)
	c.mustLead()
	c.checkSame()
}

// TestRepairerIsLost loses the leader right after it has begun to repair a
// replica without a disk: the next one has no trace of that replica, which
// must find the group again by itself.
func TestRepairerIsLost(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 11, "a", "b", "c", "d", "e")
	old := c.mustLead()
	c.settle(time.Second)
	c.first = false
	c.propose(old)
	c.settle(100 * time.Millisecond)
	lost := others(c, old)[0]
	c.kill(lost)
	c.blank(lost)
	c.start(lost)
	leader := c.members[old].r
	for len(leader.log.members().Voters) == 5 || leader.changePending() {
		c.tick(5 * time.Millisecond)
		c.drain()
	}
	for _, n := range c.names { // no other replica gets that it is taken in
		c.cut[n] = n != old && n != lost
	}
	for c.members[lost].r == nil {
		c.tick(5 * time.Millisecond)
		for len(c.net) > 0 && c.members[lost].r == nil {
			c.deliver(0)
		}
	}
	c.net = nil // it has received one message and no more
	c.kill(old)
	c.cut = map[string]bool{}
	c.mustLead()
	c.settle(3 * time.Second)
	is.Equal(c.members[lost].applied, []string{"0"})
	c.checkSame()
}

// replaceOne takes a follower away for good and brings an empty replica, if
// the group is whole.
func (c *cluster) replaceOne() bool {
	l := c.leader()
	if l == "" || !c.whole(l) {
		return false
	}
	gone := others(c, l)[c.rng.IntN(len(c.names)-1)]
	if c.members[gone].gone {
		return false
	}
	c.kill(gone)
	c.members[gone].gone = true
	c.add(gone + "'")
	return true
}
