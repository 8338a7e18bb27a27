// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests elections between replicas in different regions.

// One-way latencies between replicas. They have the same ratio to testElection as 30 ms between
// regions and 2 ms within a region have to an election timeout of 400 ms.
const (
	interRegionLatency = 7500 * time.Microsecond
	intraRegionLatency = 500 * time.Microsecond
)

// delayedMessage is a message with its time of arrival.
type delayedMessage struct {
	m  protocol.Consensus
	at time.Duration
}

// runWithLatency runs the cluster for d with network latency: replicas whose names begin with the
// same letter are in the same region. It takes and returns the messages in flight.
func (c *cluster) runWithLatency(inTransit []delayedMessage, d time.Duration) []delayedMessage {
	for end := c.now + d; c.now < end; {
		c.tick(500 * time.Microsecond)
		var later []delayedMessage
		for _, u := range inTransit {
			if u.at > c.now {
				later = append(later, u)
				continue
			}
			c.inFlight = append([]protocol.Consensus{u.m}, c.inFlight...)
			c.deliver(0)
		}
		inTransit = later
		for _, m := range c.inFlight {
			latency := interRegionLatency
			if m.From.Name[0] == m.To.Name[0] {
				latency = intraRegionLatency
			}
			inTransit = append(inTransit, delayedMessage{m: m, at: c.now + latency})
		}
		c.inFlight = nil
	}
	return inTransit
}

// TestElectionsWithHighLatency checks that nearly every election after the loss of a leader succeeds in
// its first term, also when the latency is a considerable part of the interval between attempts.
// Concurrent pre-candidates would otherwise split the votes.
func TestElectionsWithHighLatency(t *testing.T) {
	is := is.New(t)
	const rounds = 300
	retried, longest, sum := 0, time.Duration(0), time.Duration(0)
	c := newCluster(t, 5, "a1", "a2", "a3", "b1", "b2")
	c.awaitLeader()
	var inTransit []delayedMessage
	for range rounds {
		inTransit = c.runWithLatency(inTransit, 5*testElection)
		old := c.leader()
		is.True(old != "")
		term := c.members[old].r.hard.Term
		c.kill(old)
		killed := c.now
		for c.leader() == "" {
			inTransit = c.runWithLatency(inTransit, time.Millisecond)
		}
		next := c.members[c.leader()].r.hard.Term
		if next != term+1 {
			retried++
		}
		sum += c.now - killed
		longest = max(longest, c.now-killed)
		c.start(old)
	}
	t.Logf("%d of %d elections needed more than one term; time to a leader: average %v, maximum %v", retried, rounds, sum/rounds, longest)
	is.True(retried <= rounds*3/100)
}
