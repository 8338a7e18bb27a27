// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
	"github.com/badgerspoke/badgerspoke/protocol"
)

func TestGroupFormsAndCommits(t *testing.T) {
	is := is.New(t)
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		c := newCluster(t, 1, names...)
		l := c.awaitLeader()
		is.True(c.propose(l))
		c.run(100 * time.Millisecond)
		is.Equal(c.acked, []string{"0"})
		c.checkConverged()
	}
}

// TestGroupFormsAfterLostFoundationMessages loses the messages with which the founder announces
// the group. The other replicas must join when they next query the founder.
func TestGroupFormsAfterLostFoundationMessages(t *testing.T) {
	c := newCluster(t, 2, "a", "b", "c")
	for c.members["a"].r == nil { // a founds the group
		c.tick(5 * time.Millisecond)
		for len(c.inFlight) > 0 && c.members["a"].r == nil {
			c.deliver(0)
		}
	}
	c.inFlight = nil // no other replica receives the foundation
	c.awaitLeader()
	c.run(200 * time.Millisecond)
	c.checkConverged()
	for _, n := range c.names {
		if c.members[n].r == nil {
			t.Fatalf("%s did not join", n)
		}
	}
}

// TestReturningLeaderDoesNotDeposeSuccessor partitions the leader for many election timeouts.
// Another replica must be elected, and the old leader must follow it when the partition ends
// instead of raising the term.
func TestReturningLeaderDoesNotDeposeSuccessor(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, "a", "b", "c")
	old := c.awaitLeader()
	c.propose(old)
	c.run(50 * time.Millisecond)
	c.isolated[old] = true
	c.propose(old) // cannot be committed
	c.run(time.Second)
	is.True(!c.members[old].r.Leads(c.now)) // its lease expired
	next := c.awaitLeader()
	is.True(next != old)
	c.propose(next)
	c.run(50 * time.Millisecond)
	is.Equal(c.acked, []string{"0", "2"})
	term := c.members[next].r.hard.Term
	c.run(3 * time.Second) // many election timeouts
	delete(c.isolated, old)
	c.run(time.Second)
	is.Equal(c.leader(), next) // the returned replica did not depose the leader
	is.Equal(c.members[next].r.hard.Term, term)
	c.checkConverged()
}

// TestLostDiskIsRepaired loses the disk of one replica and, right after its repair, that of another.
func TestLostDiskIsRepaired(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, "a", "b", "c")
	l := c.awaitLeader()
	for range 5 {
		c.propose(l)
	}
	c.run(100 * time.Millisecond)
	lost := otherNames(c, l)[0]
	c.kill(lost)
	c.replaceDisk(lost)
	c.start(lost)
	c.run(time.Second)
	members := c.members[c.leader()].r.log.members()
	is.Equal(len(members.Voters), 3)
	is.True(slices.Contains(members.Voters, c.members[lost].self()))
	// Losing a second disk right after the repair loses no acknowledged command.
	second := otherNames(c, lost)[0]
	c.kill(second)
	c.replaceDisk(second)
	c.start(second)
	c.run(2 * time.Second)
	is.Equal(len(c.acked), 5)
	c.checkConverged()
	is.Equal(len(c.members[c.leader()].r.log.members().Voters), 3)
}

func TestBlankReplicaNeverVotes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, "a", "b", "c")
	l := c.awaitLeader()
	c.propose(l)
	c.run(50 * time.Millisecond)
	// Both followers lose their disks and the leader stops. No running replica
	// holds the acknowledged command, so none may lead.
	for _, n := range c.names {
		if n != l {
			c.kill(n)
			c.replaceDisk(n)
			c.start(n)
		}
	}
	c.kill(l)
	c.run(3 * time.Second)
	is.Equal(c.leader(), "")
	c.start(l)
	c.run(2 * time.Second)
	is.Equal(c.leader(), "") // one of three voters is not a majority
}

// TestLaggingReplicaReceivesSnapshot stops a replica until the leader has compacted the entries
// that it lacks.
func TestLaggingReplicaReceivesSnapshot(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, "a", "b", "c")
	l := c.awaitLeader()
	stopped := otherNames(c, l)[0]
	c.kill(stopped)
	for range 200 {
		c.propose(l)
		c.drain()
	}
	c.run(100 * time.Millisecond)
	c.compact(l)
	c.start(stopped)
	c.run(time.Second)
	is.Equal(len(c.members[stopped].applied), 200)
	is.True(c.members[stopped].r.log.snapshot.Index > 200) // received as a snapshot
	c.checkConverged()
}

// TestLeadershipTransfer checks that a transfer ends the old lease at once and elects the target
// without waiting for an election timeout.
func TestLeadershipTransfer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7, "a", "b", "c")
	l := c.awaitLeader()
	target := otherNames(c, l)[1]
	c.step(l, func(m *member) { is.True(m.r.Transfer(target)) })
	c.drain()
	is.True(!c.members[l].r.Leads(c.now)) // its lease is void at once
	c.run(30 * time.Millisecond)          // far less than an election timeout
	is.Equal(c.leader(), target)
}

// TestRestartedReplicaRespectsLease restarts a follower while another one requests votes. The
// restarted replica may have received a message from the leader before, so it must not vote before
// the leader's lease has expired.
func TestRestartedReplicaRespectsLease(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8, "a", "b", "c")
	l := c.awaitLeader()
	partitioned, restarted := otherNames(c, l)[0], otherNames(c, l)[1]
	c.isolated[partitioned] = true
	c.run(400 * time.Millisecond) // partitioned campaigns by then
	c.kill(restarted)
	c.start(restarted)
	lease := c.members[l].r.leaseEnd()
	c.isolated[l] = true
	delete(c.isolated, partitioned)
	for c.now < lease {
		is.Equal(c.leader(), "") // l is partitioned, and no other replica may lead during its lease
		c.tick(time.Millisecond)
		c.drain()
	}
	next := c.awaitLeader() // the lease has expired
	is.True(next != l)
}

// TestEntryOfOldTermIsNotCommittedByCount covers figure 8 of the Raft paper: an entry of an
// earlier term may still be overwritten although a majority holds it, until a majority
// also holds an entry of the leader's own term.
func TestEntryOfOldTermIsNotCommittedByCount(t *testing.T) {
	is := is.New(t)
	a, b, x := protocol.Peer{Name: "a", Incarnation: 1}, protocol.Peer{Name: "b", Incarnation: 2}, protocol.Peer{Name: "x", Incarnation: 3}
	r := New(Config{
		Name: "g", Self: a, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, Rand: func(int64) int64 { return 0 },
	}, 0, DurableState{
		Hard:     protocol.HardState{Term: 3},
		Snapshot: protocol.Snapshot{Group: 7, Index: 1, Term: 1, Members: protocol.Membership{Voters: []protocol.Peer{a, b, x}}},
		Entries:  []protocol.Entry{{Term: 2, Index: 2, Data: []byte("old")}},
	})
	now := 2 * testElection
	r.Tick(now)
	reply := func(m protocol.Consensus) {
		m.Name, m.Group, m.From, m.To = "g", 7, b, a
		r.Step(now, m)
		r.Ready()
		r.Advance()
	}
	reply(protocol.Consensus{Kind: protocol.MsgPreVoteReply, Term: 4})
	reply(protocol.Consensus{Kind: protocol.MsgVoteReply, Term: 4})
	is.Equal(r.Status().Role, Leader)
	reply(protocol.Consensus{Kind: protocol.MsgAppendReply, Term: 4, Index: 2})
	is.Equal(r.Status().Commit, uint64(1)) // on a majority but not committed
	reply(protocol.Consensus{Kind: protocol.MsgAppendReply, Term: 4, Index: 3})
	is.Equal(r.Status().Commit, uint64(3))
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 9, "a", "b", "c")
	l := c.awaitLeader()
	m := c.members[l].r
	withoutTwo := protocol.Membership{Voters: m.log.members().Voters[:1]}
	err := m.ChangeMembership(withoutTwo) // removes two voters at once
	is.Equal(err, ChangePending{Index: m.log.lastChangeIndex()})
	withoutOne := protocol.Membership{Voters: m.log.members().Voters[:2]}
	is.NoErr(m.ChangeMembership(withoutOne))
	err = m.ChangeMembership(withoutOne) // the first change is not committed yet
	is.Equal(err, ChangePending{Index: m.log.lastChangeIndex()})
}

// TestRandomSchedules injects faults in random order: lost, delayed, duplicated and
// reordered messages, killed, restarted and partitioned replicas, loss of one disk at
// a time, log compaction and leadership transfers. Every step checks for one leader
// per term, one lease holder at a time and equal histories. At the end, without
// faults, the cluster must make progress and hold every acknowledged command.
func TestRandomSchedules(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five") {
			names = append(names, "d", "e")
		}
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), names...)
		c.awaitLeader()
		steps := rapid.IntRange(200, 1500).Draw(t, "steps")
		for range steps {
			c.randomStep()
			c.leader() // fails if two replicas hold a lease
		}
		c.isolated = map[string]bool{}
		for _, n := range names {
			if !c.members[n].running {
				c.start(n)
			}
		}
		l := c.awaitLeader()
		c.propose(l)
		c.run(3 * time.Second)
		c.awaitLeader()
		c.checkConverged()
	})
}

func (c *cluster) randomStep() {
	name := c.names[c.rng.IntN(len(c.names))]
	switch p := c.rng.IntN(1000); {
	case p < 450 && len(c.inFlight) > 0:
		c.deliver(0)
	case p < 550 && len(c.inFlight) > 0:
		c.deliver(c.rng.IntN(len(c.inFlight))) // out of order
	case p < 580 && len(c.inFlight) > 0:
		c.inFlight = append(c.inFlight, c.inFlight[c.rng.IntN(len(c.inFlight))]) // duplicated
	case p < 620 && len(c.inFlight) > 0:
		c.inFlight = c.inFlight[1:] // lost
	case p < 850:
		c.tick(time.Duration(c.rng.IntN(20)) * time.Millisecond)
	case p < 920:
		c.propose(name)
	case p < 940:
		c.isolated[name] = !c.isolated[name]
	case p < 955:
		c.kill(name)
	case p < 985:
		if m := c.members[name]; !m.running && !m.removed {
			c.start(name)
		}
	case p < 992:
		c.compact(name)
	case p < 996:
		c.step(name, func(m *member) {
			if m.r != nil {
				m.r.Transfer("")
			}
		})
	default:
		c.loseDisk(name)
	}
}

// loseDisk empties one disk if the group is healthy. The guarantees hold only while
// at most a minority of the disks is lost.
func (c *cluster) loseDisk(name string) {
	l := c.leader()
	if l == "" || l == name || c.members[name].removed || !c.isHealthy(l) {
		return
	}
	c.kill(name)
	c.replaceDisk(name)
	c.start(name)
}

// isHealthy reports whether every replica that was not removed is running, connected and
// a voter according to the leader l, and no membership change is pending.
func (c *cluster) isHealthy(l string) bool {
	voters, present := c.members[l].r.log.members().Voters, 0
	for _, n := range c.names {
		m := c.members[n]
		if m.removed {
			continue
		}
		present++
		if !m.running || c.isolated[n] || !slices.Contains(voters, m.self()) {
			return false
		}
	}
	return len(voters) == present && !c.members[l].r.changePending()
}

func otherNames(c *cluster, name string) []string {
	var out []string
	for _, n := range c.names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// TestStaggeredRestartElectsLeaderSoon stops a group and restarts a majority of its replicas one after the other.
// Replicas that have just started ignore vote requests for an election timeout, so the first
// requests of the earlier replicas are ignored. They must repeat them soon instead of waiting
// for another election timeout.
func TestStaggeredRestartElectsLeaderSoon(t *testing.T) {
	is := is.New(t)
	const groups = 200
	names := []string{"a", "b", "c", "d", "e"}
	pauses := []time.Duration{0, 0, testElection * 9 / 10} // before the start of each of the first three replicas
	var total, longest time.Duration
	for seed := range uint64(groups) {
		c := newCluster(t, seed, names...)
		c.awaitLeader()
		c.run(50 * time.Millisecond)
		for _, n := range names {
			c.kill(n)
		}
		var majority time.Duration
		for i, n := range names[:3] {
			c.run(pauses[i])
			c.start(n)
			majority = c.now
		}
		for c.leader() == "" {
			c.run(5 * time.Millisecond)
		}
		total += c.now - majority
		longest = max(longest, c.now-majority)
		c.checkConverged()
	}
	t.Logf("time from a majority to a leader: average %v, maximum %v", total/groups, longest)
	is.True(total/groups < testElection*13/10)
}
