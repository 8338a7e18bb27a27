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
		l := c.mustLead()
		is.True(c.propose(l))
		c.settle(100 * time.Millisecond)
		is.Equal(c.acked, []string{"0"})
		c.checkSame()
	}
}

func TestFoundationLostOnItsWay(t *testing.T) {
	c := newCluster(t, 2, "a", "b", "c")
	for c.members["a"].r == nil { // a founds the group
		c.tick(5 * time.Millisecond)
		for len(c.net) > 0 && c.members["a"].r == nil {
			c.deliver(0)
		}
	}
	c.net = nil // and no other replica gets it
	c.mustLead()
	c.settle(200 * time.Millisecond)
	c.checkSame()
	for _, n := range c.names {
		if c.members[n].r == nil {
			t.Fatalf("%s never joined", n)
		}
	}
}

func TestLeaderCutOffInSilence(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, "a", "b", "c")
	old := c.mustLead()
	c.propose(old)
	c.settle(50 * time.Millisecond)
	c.cut[old] = true
	c.propose(old) // can never be committed
	c.settle(time.Second)
	is.True(!c.members[old].r.Leads(c.now)) // its lease ran out
	next := c.mustLead()
	is.True(next != old)
	c.propose(next)
	c.settle(50 * time.Millisecond)
	is.Equal(c.acked, []string{"0", "2"})
	term := c.members[next].r.hard.Term
	c.settle(3 * time.Second) // a long silence
	delete(c.cut, old)
	c.settle(time.Second)
	is.Equal(c.leader(), next) // the returned one did not disturb
	is.Equal(c.members[next].r.hard.Term, term)
	c.checkSame()
}

func TestLostDiskIsRepaired(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, "a", "b", "c")
	l := c.mustLead()
	for range 5 {
		c.propose(l)
	}
	c.settle(100 * time.Millisecond)
	lost := others(c, l)[0]
	c.kill(lost)
	c.blank(lost)
	c.start(lost)
	c.settle(time.Second)
	members := c.members[c.leader()].r.log.members()
	is.Equal(len(members.Voters), 3)
	is.True(slices.Contains(members.Voters, c.members[lost].self()))
	// A second node, lost right after the repair, loses nothing accepted.
	second := others(c, lost)[0]
	c.kill(second)
	c.blank(second)
	c.start(second)
	c.settle(2 * time.Second)
	is.Equal(len(c.acked), 5)
	c.checkSame()
	is.Equal(len(c.members[c.leader()].r.log.members().Voters), 3)
}

func TestBlankReplicaNeverVotes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, "a", "b", "c")
	l := c.mustLead()
	c.propose(l)
	c.settle(50 * time.Millisecond)
	// The leader and a follower vanish; the third loses its disk. No replica
	// that is left holds what was accepted, so none may lead.
	for _, n := range c.names {
		if n != l {
			c.kill(n)
			c.blank(n)
			c.start(n)
		}
	}
	c.kill(l)
	c.settle(3 * time.Second)
	is.Equal(c.leader(), "")
	c.start(l)
	c.settle(2 * time.Second)
	is.Equal(c.leader(), "") // one of three is no majority, and nothing is guessed
}

func TestMissedHundredsOfChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, "a", "b", "c")
	l := c.mustLead()
	away := others(c, l)[0]
	c.kill(away)
	for range 200 {
		c.propose(l)
		c.drain()
	}
	c.settle(100 * time.Millisecond)
	c.compact(l)
	c.start(away)
	c.settle(time.Second)
	is.Equal(len(c.members[away].applied), 200)
	is.True(c.members[away].r.log.snapshot.Index > 200) // it came by snapshot
	c.checkSame()
}

func TestLeadershipIsHandedOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7, "a", "b", "c")
	l := c.mustLead()
	target := others(c, l)[1]
	c.step(l, func(m *member) { is.True(m.r.Transfer(target)) })
	c.drain()
	is.True(!c.members[l].r.Leads(c.now)) // its lease is void at once
	c.settle(30 * time.Millisecond)       // far less than an election timeout
	is.Equal(c.leader(), target)
}

func TestRestartedReplicaKeepsItsPromise(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8, "a", "b", "c")
	l := c.mustLead()
	lonely, forgetful := others(c, l)[0], others(c, l)[1]
	c.cut[lonely] = true
	c.settle(400 * time.Millisecond) // lonely campaigns by now
	c.kill(forgetful)
	c.start(forgetful)
	lease := c.members[l].r.leaseEnd()
	c.cut[l] = true
	delete(c.cut, lonely)
	for c.now < lease {
		is.Equal(c.leader(), "") // l is cut off, and nobody else may lead yet
		c.tick(time.Millisecond)
		c.drain()
	}
	next := c.mustLead() // afterwards somebody must
	is.True(next != l)
}

// TestOldTermIsNotCommittedByCount is the case of figure 8 of the Raft paper:
// an entry of an earlier term on a majority may still be overwritten, until an
// entry of the leader's own term is on a majority too.
func TestOldTermIsNotCommittedByCount(t *testing.T) {
	is := is.New(t)
	a, b, x := protocol.Peer{Name: "a", Incarnation: 1}, protocol.Peer{Name: "b", Incarnation: 2}, protocol.Peer{Name: "x", Incarnation: 3}
	r := New(Config{
		Name: "g", Self: a, Election: testElection, Heartbeat: testHeartbeat, Rand: func(int64) int64 { return 0 },
	}, 0, Durable{
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
	is.Equal(r.Status().Commit, uint64(1)) // on a majority, and not committed
	reply(protocol.Consensus{Kind: protocol.MsgAppendReply, Term: 4, Index: 3})
	is.Equal(r.Status().Commit, uint64(3))
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 9, "a", "b", "c")
	l := c.mustLead()
	m := c.members[l].r
	two := protocol.Membership{Voters: m.log.members().Voters[:1]}
	err := m.ChangeMembership(two) // drops two voters at once
	is.Equal(err, ChangePending{Index: m.log.lastChange()})
	one := protocol.Membership{Voters: m.log.members().Voters[:2]}
	is.NoErr(m.ChangeMembership(one))
	err = m.ChangeMembership(one) // the first is not committed yet
	is.Equal(err, ChangePending{Index: m.log.lastChange()})
}

// TestRandomSchedules lets everything go wrong in every order: messages lost,
// late, twice and out of order, replicas killed, restarted, cut off, one disk
// at a time lost, logs compacted, leadership handed over. The cluster checks
// one leader a term, one leaseholder at a time and equal histories at every
// step; at the end, without faults, it must make progress and hold everything
// that was ever acknowledged.
func TestRandomSchedules(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five") {
			names = append(names, "d", "e")
		}
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), names...)
		c.mustLead()
		steps := rapid.IntRange(200, 1500).Draw(t, "steps")
		for range steps {
			c.randomStep()
			c.leader() // fails when two have a lease
		}
		c.cut = map[string]bool{}
		for _, n := range names {
			if !c.members[n].running {
				c.start(n)
			}
		}
		l := c.mustLead()
		c.propose(l)
		c.settle(3 * time.Second)
		c.mustLead()
		c.checkSame()
	})
}

func (c *cluster) randomStep() {
	name := c.names[c.rng.IntN(len(c.names))]
	switch p := c.rng.IntN(1000); {
	case p < 450 && len(c.net) > 0:
		c.deliver(0)
	case p < 550 && len(c.net) > 0:
		c.deliver(c.rng.IntN(len(c.net))) // out of order
	case p < 580 && len(c.net) > 0:
		c.net = append(c.net, c.net[c.rng.IntN(len(c.net))]) // twice
	case p < 620 && len(c.net) > 0:
		c.net = c.net[1:] // lost
	case p < 850:
		c.tick(time.Duration(c.rng.IntN(20)) * time.Millisecond)
	case p < 920:
		c.propose(name)
	case p < 940:
		c.cut[name] = !c.cut[name]
	case p < 955:
		c.kill(name)
	case p < 985:
		if m := c.members[name]; !m.running && !m.gone {
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

// loseDisk empties one disk, if every other replica runs and the group is
// whole: with more disks lost than a minority, no algorithm keeps a promise.
func (c *cluster) loseDisk(name string) {
	l := c.leader()
	if l == "" || l == name || c.members[name].gone || !c.whole(l) {
		return
	}
	c.kill(name)
	c.blank(name)
	c.start(name)
}

// whole reports whether every replica that is not gone for good runs and
// votes, by the leader l.
func (c *cluster) whole(l string) bool {
	voters, present := c.members[l].r.log.members().Voters, 0
	for _, n := range c.names {
		m := c.members[n]
		if m.gone {
			continue
		}
		present++
		if !m.running || c.cut[n] || !slices.Contains(voters, m.self()) {
			return false
		}
	}
	return len(voters) == present && !c.members[l].r.changePending()
}

func others(c *cluster, name string) []string {
	var out []string
	for _, n := range c.names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// TestRestartInTurnElectsSoon restarts a whole group one after the other. Those
// that are back first campaign too early for the others, which may have followed
// a leader before; they repeat it soon instead of waiting for an
// election timeout more.
func TestRestartInTurnElectsSoon(t *testing.T) {
	is := is.New(t)
	const groups = 200
	names := []string{"a", "b", "c", "d", "e"}
	pauses := []time.Duration{0, 0, testElection * 9 / 10} // before each of a majority
	var total, longest time.Duration
	for seed := range uint64(groups) {
		c := newCluster(t, seed, names...)
		c.mustLead()
		c.settle(50 * time.Millisecond)
		for _, n := range names {
			c.kill(n)
		}
		var majority time.Duration
		for i, n := range names[:3] {
			c.settle(pauses[i])
			c.start(n)
			majority = c.now
		}
		for c.leader() == "" {
			c.settle(5 * time.Millisecond)
		}
		total += c.now - majority
		longest = max(longest, c.now-majority)
		c.checkSame()
	}
	t.Logf("a leader %v after a majority is back on average, %v at the longest", total/groups, longest)
	is.True(total/groups < testElection*13/10)
}
