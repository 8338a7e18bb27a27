// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests elections between replicas that are far from each other.

// Times of the tests, in proportion to a process's election timeout of 400 ms: 30 ms between
// regions and 2 ms within one.
const (
	farWay  = 7500 * time.Microsecond
	nearWay = 500 * time.Microsecond
)

// underway is a message that arrives at a time.
type underway struct {
	m  protocol.Consensus
	at time.Duration
}

// travel runs the cluster for a while with times between its replicas: those whose names
// begin alike are near.
func (c *cluster) travel(way []underway, d time.Duration) []underway {
	for end := c.now + d; c.now < end; {
		c.tick(500 * time.Microsecond)
		var later []underway
		for _, u := range way {
			if u.at > c.now {
				later = append(later, u)
				continue
			}
			c.net = append([]protocol.Consensus{u.m}, c.net...)
			c.deliver(0)
		}
		way = later
		for _, m := range c.net {
			takes := farWay
			if m.From.Name[0] == m.To.Name[0] {
				takes = nearWay
			}
			way = append(way, underway{m: m, at: c.now + takes})
		}
		c.net = nil
	}
	return way
}

// TestElectionsOverAFarLink: after the loss of a leader nearly every election has a winner at
// the first try, also where a message takes a fair part of the time between two tries.
func TestElectionsOverAFarLink(t *testing.T) {
	is := is.New(t)
	const rounds = 300
	again, longest, sum := 0, time.Duration(0), time.Duration(0)
	c := newCluster(t, 5, "a1", "a2", "a3", "b1", "b2")
	c.mustLead()
	var way []underway
	for range rounds {
		way = c.travel(way, 5*testElection)
		old := c.leader()
		is.True(old != "")
		term := c.members[old].r.hard.Term
		c.kill(old)
		killed := c.now
		for c.leader() == "" {
			way = c.travel(way, time.Millisecond)
		}
		next := c.members[c.leader()].r.hard.Term
		if next != term+1 {
			again++
		}
		sum += c.now - killed
		longest = max(longest, c.now-killed)
		c.start(old)
	}
	t.Logf("%d of %d elections had a second try; a leader after %v, %v at worst", again, rounds, sum/rounds, longest)
	is.True(again <= rounds*3/100)
}
