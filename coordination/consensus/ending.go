// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what a leader says of why it leads no more.

// LeadershipEnd is how a replica's last lead ended. The zero value is of one that never led.
type LeadershipEnd struct {
	Cause string // one of the causes below
	// SinceQuorum is how long before the end a majority had last confirmed the leader.
	SinceQuorum time.Duration
	// RoundTrip is what the last answers of a majority took, each at least: what waits behind
	// other bytes on a link has a long one.
	RoundTrip time.Duration
}

// Causes of the end of a lead.
const (
	EndedByLease       = "lease over"  // the same, a little earlier: it does not act as leader any more
	EndedWithoutQuorum = "no quorum"   // no majority answered within an election timeout
	EndedByTerm        = "higher term" // another replica had begun an election
	EndedByRemoval     = "removed"     // it votes no more
	EndedByHandover    = "handed over" // it had offered the lead to another
)

// ended returns the end of this replica's lead now, for a cause.
func (r *Replica) ended(why string) LeadershipEnd {
	took := func(p protocol.Peer) time.Duration { return r.peers[p].took }
	return LeadershipEnd{Cause: why, SinceQuorum: r.now - r.lastQuorumContact(), RoundTrip: reachedByQuorum(r, took)}
}

// endingNow returns why this replica does not act as leader now.
func (r *Replica) endingNow() LeadershipEnd {
	if r.role == Leader {
		return r.ended(EndedByLease)
	}
	return r.ending
}

// noteEnding notes why this leader steps down.
func (r *Replica) noteEnding(why string) {
	if r.role == Leader {
		r.ending = r.ended(why)
	}
}
