// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests that replicas outside the group find a leader that joined after them.

// transferTo hands the leadership to the named replica.
func (c *cluster) transferTo(name string) {
	for range 10 {
		l := c.awaitLeader()
		if l == name {
			return
		}
		c.step(l, func(m *member) { m.r.Transfer(name) })
		c.run(2 * testElection)
	}
	c.t.Fatalf("%s does not lead", name)
}

// isMember reports whether the leader counts the replica among the voters or learners.
func (c *cluster) isMember(name string) bool {
	return c.members[c.awaitLeader()].r.isMember(c.members[name].self())
}

// TestLearnerOfLostChangeFindsLeaderThatJoinedLater guards against a group that keeps a voter fewer for good. The change
// that made d a learner is lost with its leader, and the next leader but one, e, joined later: d does not know it.
func TestLearnerOfLostChangeFindsLeaderThatJoinedLater(t *testing.T) {
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
	c.isolated = map[string]bool{"d": true}
	c.awaitLeader()
	c.add("e")
	c.run(time.Second)
	c.transferTo("e")
	c.isolated = map[string]bool{}
	c.run(3 * time.Second)
	is.True(c.voters()["d"])
}

// TestRemovedVoterFindsLeaderThatJoinedLater guards against a replica that stays outside its group for good. It is
// replaced while it is down and is a voter by its own log; the replica that replaced it leads when it returns.
func TestRemovedVoterFindsLeaderThatJoinedLater(t *testing.T) {
	is := is.New(t)
	c := openCluster(t, 3, "a", "b", "c", "d", "e")
	c.awaitLeader()
	c.run(time.Second)
	c.bootstrap = false
	removed := otherNames(c, c.leader())[0]
	c.kill(removed)
	c.add("n")
	c.run(2 * time.Second)
	c.transferTo("n")
	is.True(!c.isMember(removed))
	c.start(removed)
	c.run(3 * time.Second)
	is.Equal(c.leader(), "n")
	is.True(c.isMember(removed))
	is.Equal(len(c.voters()), openVoters)
}
