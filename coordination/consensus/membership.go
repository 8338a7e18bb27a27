// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines changes of membership, one at a time, and the repair of a
// replica that lost its disk.
//
// The repair is three changes: remove the lost incarnation from the voters,
// add the new one as a learner, promote it once it holds everything that was
// committed. Swapping the two in one change was rejected: a majority before
// the swap could contain the lost disk's forgotten vote, and need not overlap
// with a majority after it. Removing first costs no availability, because the
// lost incarnation could not have answered anyway.

// Limits of silence.
const (
	// voterSilences is how many election timeouts a voter of an open group may
	// leave unanswered before a learner takes its place.
	voterSilences = 4
	// learnerSilences is how many times as long as a voter a learner of an open
	// group may be silent before it is removed.
	learnerSilences = 5
	// repairElections is how many election timeouts a blank replica waits for the
	// next message of a leader that began to repair it.
	repairElections = 5
)

// ChangeMembership appends a new membership. The error is [NotLeader],
// [Handover] or [ChangePending]; a change that differs by more than one voter
// is refused by [ChangePending] too, as two changes at once.
func (r *Replica) ChangeMembership(m protocol.Membership) error {
	if r.role != Leader {
		return NotLeader{Leader: r.leader}
	}
	if !r.transferTo.IsZero() {
		return Handover{To: r.transferTo}
	}
	if r.changePending() || voterDifference(r.log.members(), m) > 1 {
		return ChangePending{Index: r.log.lastChange()}
	}
	r.appendOwn(protocol.EntryMembership, encodeMembership(m))
	return nil
}

// changePending reports whether a change must wait: another one is not
// committed, or this leader has not committed anything in its own term yet.
func (r *Replica) changePending() bool {
	return r.log.lastChange() > r.commit || r.commit < r.termStart
}

// voterDifference counts the voters that only one of two memberships has.
func voterDifference(a, b protocol.Membership) int {
	d := 0
	for _, p := range slices.Concat(a.Voters, b.Voters) {
		if slices.Contains(a.Voters, p) != slices.Contains(b.Voters, p) {
			d++
		}
	}
	return d
}

// tickJoin requests membership for a replica that is none, once in an election
// timeout.
func (r *Replica) tickJoin() {
	m := r.log.members()
	all := slices.Concat(m.Voters, m.Learners)
	if slices.Contains(all, r.cfg.Self) || r.now < r.nextJoin {
		return
	}
	r.nextJoin = r.now + r.cfg.Election
	for _, p := range all {
		r.send(protocol.Consensus{Kind: protocol.MsgJoin, To: p})
	}
}

// RepairStopped reports whether a replica without a log has lost the leader
// that began to repair it. It has no address of another member, and the next
// leader may have no trace of it, so it must look for its group again, as after
// a restart. It was never a voter, so no vote of it can be forgotten.
func (r *Replica) RepairStopped() bool {
	return r.log.snapshot.Group == 0 && r.now-r.leaderContact > repairElections*r.cfg.Election
}

// stepJoin makes the next step of the repair of a replica that is no voter, at
// the leader. Messages that prove a replica of an unknown incarnation to be
// alive (a request for a vote) come here too.
func (r *Replica) stepJoin(m protocol.Consensus) {
	members := r.log.members()
	if slices.Contains(slices.Concat(members.Voters, members.Learners), m.From) || !r.cfg.Admit(m.From.Name) {
		return
	}
	next := protocol.Membership{Voters: without(members.Voters, m.From.Name), Learners: members.Learners}
	if len(next.Voters) == 0 {
		return // the lost voter was the only one: no quorum is left to commit the change
	}
	if len(next.Voters) == len(members.Voters) {
		next.Learners = append(without(members.Learners, m.From.Name), m.From)
	}
	// Refused at a follower and while another change or a handover is under way;
	// the replica repeats its request.
	_ = r.ChangeMembership(next)
}

// tickMembership makes the change of membership that is due, if there is one.
func (r *Replica) tickMembership() {
	if next, due := r.dueChange(r.log.members()); due {
		// Refused while another change or a handover is under way; then the next
		// tick tries again.
		_ = r.ChangeMembership(next)
	}
}

// dueChange returns the membership that follows m and whether it differs. In
// this order: an open group removes a silent voter that has been replaced; a
// learner that holds everything becomes a voter if one is missing or silent; an
// open group removes a silent learner.
//
// The replacement is promoted first and the silent voter removed after, so the
// group never gets smaller: two quorums of a smaller group could be two disks.
func (r *Replica) dueChange(m protocol.Membership) (protocol.Membership, bool) {
	open := r.cfg.Voters > 0
	silence := voterSilences * r.cfg.Election
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
	if p := r.firstSilent(m.Learners, learnerSilences*silence); open && !p.IsZero() {
		return protocol.Membership{Voters: m.Voters, Learners: without(m.Learners, p.Name)}, true
	}
	return m, false
}

// promotable reports whether a learner holds everything committed and answered
// recently.
func (r *Replica) promotable(p protocol.Peer) bool {
	pr := r.peers[p]
	return pr.outgoing == nil && pr.match >= r.commit && r.now-pr.acked <= r.cfg.Election
}

// firstSilent returns the first of the peers that has not answered for longer
// than limit, or the zero peer.
func (r *Replica) firstSilent(peers []protocol.Peer, limit time.Duration) protocol.Peer {
	for _, p := range peers {
		if p != r.cfg.Self && r.now-r.peers[p].acked > limit {
			return p
		}
	}
	return protocol.Peer{}
}

// stepDownIfRemoved ends the leadership of a replica that is no voter once
// the change is committed.
func (r *Replica) stepDownIfRemoved() {
	if !r.isVoter(r.cfg.Self) && r.commit >= r.log.lastChange() {
		r.noteEnding(EndedByRemoval)
		r.becomeFollower(r.hard.Term, protocol.Peer{})
	}
}

// without returns the peers that do not have that name.
func without(peers []protocol.Peer, name string) []protocol.Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p protocol.Peer) bool { return p.Name == name })
}
