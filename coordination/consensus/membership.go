// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines membership changes, which happen one at a time, and the repair
// of a replica that lost its disk.
//
// A repair consists of three changes: remove the lost incarnation from the voters,
// add the new one as a learner, and promote it once it holds all committed entries.
// A single change that replaces one with the other would be unsafe: a majority before
// the change could include the vote that the lost disk recorded, and need not overlap
// with a majority after it. Removing the lost incarnation first does not reduce
// availability, because it could not reply anyway.

// Limits on the time without a message from a replica or a leader.
const (
	// voterSilenceTimeouts is the number of election timeouts that a voter of an open
	// group may be silent before a learner replaces it.
	voterSilenceTimeouts = 4
	// learnerSilenceFactor is the silence after which an open group removes a learner,
	// as a multiple of a voter's limit.
	learnerSilenceFactor = 5
	// repairTimeouts is the number of election timeouts that a blank replica, or a learner,
	// waits for the next message from a leader.
	repairTimeouts = 5
	// growthTimeouts is the number of election timeouts for which a group that has too few
	// voters waits for the next replica to join. Replicas that start together join within one.
	growthTimeouts = 3
)

// ChangeMembership appends a new membership. The error is [NotLeader], [TransferPending]
// or [ChangePending]. A membership that differs by more than one voter counts as
// several changes and is also rejected with [ChangePending].
func (r *Replica) ChangeMembership(m protocol.Membership) error {
	if r.role != Leader {
		return NotLeader{Leader: r.leader}
	}
	if !r.transferTo.IsZero() {
		return TransferPending{To: r.transferTo}
	}
	if r.changePending() || voterDifference(r.log.members(), m) > 1 {
		return ChangePending{Index: r.log.lastChangeIndex()}
	}
	r.appendOwn(protocol.EntryMembership, encodeMembership(m))
	r.grewAt = r.now
	return nil
}

// growing reports whether this leader of an open group with too few voters expects further ones: the last change of
// its members, or its election, is not long ago. A group that was just founded has the seeds as its voters, a quorum of
// which may be two disks.
func (r *Replica) growing() bool {
	return r.role == Leader && len(r.log.members().Voters) < r.cfg.Voters && r.now-r.grewAt <= growthTimeouts*r.cfg.ElectionTimeout
}

// changePending reports whether a membership change must wait, because another one
// is uncommitted or this leader has not committed an entry of its own term yet.
func (r *Replica) changePending() bool {
	return r.log.lastChangeIndex() > r.commit || r.commit < r.noopIndex
}

// voterDifference counts the voters that are in exactly one of two memberships.
func voterDifference(a, b protocol.Membership) int {
	d := 0
	for _, p := range slices.Concat(a.Voters, b.Voters) {
		if slices.Contains(a.Voters, p) != slices.Contains(b.Voters, p) {
			d++
		}
	}
	return d
}

// tickJoin requests membership once per election timeout, if this replica is outside the
// group: by its own log, or because it has no leader and is a learner, or no member by the
// log of another replica. The change that made it a member may have been lost with its
// leader, or a later one may have removed it, and then no other leader sends to it.
func (r *Replica) tickJoin() {
	outside := !r.isMember(r.cfg.Self)
	if !r.isVoter(r.cfg.Self) || len(r.contacts) > 0 {
		outside = outside || r.now-r.lastLeaderContact > repairTimeouts*r.cfg.ElectionTimeout
	}
	if !outside || r.now < r.nextJoin {
		return
	}
	r.nextJoin = r.now + r.cfg.ElectionTimeout
	m := r.log.members()
	for _, p := range slices.Concat(m.Voters, m.Learners, r.contacts) {
		if p != r.cfg.Self {
			r.send(protocol.Consensus{Kind: protocol.MsgJoin, To: p})
		}
	}
}

// stepMembers stores the members that another replica names in reply to a request to join.
// The leader may be one that this replica's log does not contain.
func (r *Replica) stepMembers(m protocol.Consensus) {
	if r.role == Leader || m.Snapshot == nil {
		return
	}
	named := slices.Concat(m.Snapshot.Members.Voters, m.Snapshot.Members.Learners)
	if slices.Contains(named, r.cfg.Self) {
		return // the sender's log contains this replica again
	}
	for _, p := range append(named, m.From) {
		if !r.isMember(p) && !slices.Contains(r.contacts, p) {
			r.contacts = append(r.contacts, p)
		}
	}
}

// RepairStopped reports whether a replica without a log has lost the leader that
// began to repair it. The replica has no address of another member, and the next
// leader may have no record of it, so it must search for its group again as after a
// restart. This is safe because the replica was never a voter and has cast no vote.
func (r *Replica) RepairStopped() bool {
	return r.log.snapshot.Group == 0 && r.now-r.lastLeaderContact > repairTimeouts*r.cfg.ElectionTimeout
}

// stepJoin takes, at the leader, the next step in the repair of a replica that is not a
// member, and names the members to it at any other replica. Vote requests come here too,
// as they show that a replica with an unknown incarnation is alive.
func (r *Replica) stepJoin(m protocol.Consensus) {
	if r.isMember(m.From) || !r.cfg.Admit(m.From.Name) {
		return
	}
	if r.role != Leader {
		r.sendMembers(m.From)
		return
	}
	members := r.log.members()
	next := protocol.Membership{Voters: without(members.Voters, m.From.Name), Learners: members.Learners}
	if len(next.Voters) == 0 {
		return // the lost voter was the only one, so no quorum can commit the change
	}
	if len(next.Voters) == len(members.Voters) {
		next.Learners = append(without(members.Learners, m.From.Name), m.From)
	}
	// Rejected during another change or a leadership transfer. The replica repeats its
	// request.
	_ = r.ChangeMembership(next)
}

func (r *Replica) sendMembers(p protocol.Peer) {
	members := protocol.Snapshot{Members: r.log.members()}
	r.send(protocol.Consensus{Kind: protocol.MsgBlankReply, To: p, Snapshot: &members})
}

// tickMembership starts the membership change that is due, if any.
func (r *Replica) tickMembership() {
	if next, due := r.dueChange(r.log.members()); due {
		// Rejected during another change or a leadership transfer; the next tick
		// retries.
		_ = r.ChangeMembership(next)
	}
}

// dueChange returns the membership that should follow m, and whether it differs from
// m. In this order: an open group removes a silent voter that has been replaced; a
// learner that holds all committed entries becomes a voter if one is missing or
// silent; an open group removes a silent learner.
//
// The replacement is promoted before the silent voter is removed, so that the group
// never shrinks: a quorum of a smaller group could be as few as two disks.
func (r *Replica) dueChange(m protocol.Membership) (protocol.Membership, bool) {
	open := r.cfg.Voters > 0
	silence := voterSilenceTimeouts * r.cfg.ElectionTimeout
	silent := r.firstSilent(m.Voters, silence)
	if open && len(m.Voters) > r.cfg.Voters && !silent.IsZero() {
		return protocol.Membership{Voters: without(m.Voters, silent.Name), Learners: m.Learners}, true
	}
	if !open || len(m.Voters) < r.cfg.Voters || !silent.IsZero() {
		if i := slices.IndexFunc(m.Learners, r.promotable); i >= 0 {
			p := m.Learners[i]
			return protocol.Membership{
				Voters: append(slices.Clone(m.Voters), p), Learners: without(m.Learners, p.Name),
			}, true
		}
	}
	if p := r.firstSilent(m.Learners, learnerSilenceFactor*silence); open && !p.IsZero() {
		return protocol.Membership{Voters: m.Voters, Learners: without(m.Learners, p.Name)}, true
	}
	return m, false
}

// promotable reports whether a learner holds all committed entries and replied within
// an election timeout.
func (r *Replica) promotable(p protocol.Peer) bool {
	pr := r.peers[p]
	return pr.outgoing == nil && pr.match >= r.commit && r.now-pr.ackedSendTime <= r.cfg.ElectionTimeout
}

// firstSilent returns the first peer without a reply for longer than limit, or the
// zero peer.
func (r *Replica) firstSilent(peers []protocol.Peer, limit time.Duration) protocol.Peer {
	for _, p := range peers {
		if p != r.cfg.Self && r.now-r.peers[p].ackedSendTime > limit {
			return p
		}
	}
	return protocol.Peer{}
}

// stepDownIfRemoved ends the leadership of a replica that is no longer a voter, once
// the membership change is committed.
func (r *Replica) stepDownIfRemoved() {
	if !r.isVoter(r.cfg.Self) && r.commit >= r.log.lastChangeIndex() {
		r.recordEnd(EndedByRemoval)
		r.becomeFollower(r.hard.Term, protocol.Peer{})
	}
}

// without returns the peers whose name differs from name.
func without(peers []protocol.Peer, name string) []protocol.Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p protocol.Peer) bool { return p.Name == name })
}
