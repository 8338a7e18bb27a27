// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the reason that a replica reports for the end of its leadership.

// LeadershipEnd describes the end of a replica's last leadership. It is zero if the replica never led.
type LeadershipEnd struct {
	Cause string // one of the EndedBy constants
	// SinceQuorum is the time between the last confirmation by a majority and the end.
	SinceQuorum time.Duration
	// RoundTrip is the largest round-trip time that the last replies of a majority all reached.
	// It is long when messages queue behind other traffic on a link.
	RoundTrip time.Duration
}

// Causes of the end of a leadership.
const (
	EndedByLease       = "lease over"  // the lease expired; EndedWithoutQuorum follows unless a majority replies
	EndedWithoutQuorum = "no quorum"   // no majority replied within an election timeout
	EndedByTerm        = "higher term" // another replica began an election
	EndedByRemoval     = "removed"     // the leader is no longer a voter
	EndedByHandover    = "handed over" // the leader offered leadership to another replica
)

// newLeadershipEnd describes a leadership that ends now.
func (r *Replica) newLeadershipEnd(cause string) LeadershipEnd {
	roundTrip := func(p protocol.Peer) time.Duration { return r.peers[p].roundTrip }
	return LeadershipEnd{Cause: cause, SinceQuorum: r.now - r.lastQuorumContact(), RoundTrip: quorumValue(r, roundTrip)}
}

// leadershipEnd describes why this replica no longer acts as the leader. A replica that still has
// the role of leader does not act as one without a lease.
func (r *Replica) leadershipEnd() LeadershipEnd {
	if r.role == Leader {
		return r.newLeadershipEnd(EndedByLease)
	}
	return r.lastEnd
}

// recordEnd records why this replica steps down, if it leads.
func (r *Replica) recordEnd(cause string) {
	if r.role == Leader {
		r.lastEnd = r.newLeadershipEnd(cause)
	}
}
