// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"

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

func voterDifference(a, b protocol.Membership) int {
	d := 0
	for _, p := range a.Voters {
		if !contains(b.Voters, p) {
			d++
		}
	}
	for _, p := range b.Voters {
		if !contains(a.Voters, p) {
			d++
		}
	}
	return d
}

// tickJoin makes a replica that is no member ask to become one.
func (r *Replica) tickJoin() {
	m := r.log.members()
	if contains(m.Voters, r.cfg.Self) || contains(m.Learners, r.cfg.Self) || r.now < r.nextJoin {
		return
	}
	r.nextJoin = r.now + r.cfg.Election
	for _, p := range append(slices.Clone(m.Voters), m.Learners...) {
		r.sendJoin(p)
	}
}

// repairElections is how many election timeouts a blank replica waits for the
// next word of a leader that began to repair it.
const repairElections = 5

// RepairStopped reports whether a replica without a log has lost the leader
// that began to repair it. It knows no member that it could ask, and the next
// leader may not know of it, so it must look for its group anew, as after a
// restart. It was never a voter, so it has promised nothing to anybody.
func (r *Replica) RepairStopped() bool {
	blank := r.log.snapshot.Group == 0 && r.log.last() == 0 && len(r.log.members().Voters) == 0
	return blank && r.now-r.leaderSeen > repairElections*r.cfg.Election
}

func (r *Replica) sendJoin(to protocol.Peer) {
	r.send(protocol.Consensus{Kind: protocol.MsgJoin, To: to})
}

// stepJoin is the leader's answer to a replica that is no voter: the next
// step of its repair. Messages that prove a replica of an unknown incarnation
// to be alive (a request for a vote) come here too.
func (r *Replica) stepJoin(m protocol.Consensus) {
	if r.role != Leader || r.changePending() || !r.transferTo.IsZero() {
		return
	}
	members := r.log.members()
	if contains(members.Voters, m.From) || contains(members.Learners, m.From) || !r.admits(m.From.Name) {
		return
	}
	if voters, removed := without(members.Voters, m.From.Name); removed {
		if len(voters) > 0 {
			_ = r.ChangeMembership(protocol.Membership{Voters: voters, Learners: members.Learners})
		}
		return
	}
	learners, _ := without(members.Learners, m.From.Name)
	_ = r.ChangeMembership(protocol.Membership{Voters: members.Voters, Learners: append(learners, m.From)})
}

// admits reports whether a replica of that name may take part.
func (r *Replica) admits(name string) bool {
	if r.cfg.Admit != nil {
		return r.cfg.Admit(name)
	}
	m := r.log.members()
	for _, p := range append(slices.Clone(m.Voters), m.Learners...) {
		if p.Name == name {
			return true
		}
	}
	return false
}

// promoteLearner makes a voter of a learner that holds everything committed
// and answered recently.
func (r *Replica) promoteLearner() {
	if r.changePending() || !r.transferTo.IsZero() {
		return
	}
	m := r.log.members()
	if r.cfg.Voters > 0 && r.dropSilentVoter(m) {
		return
	}
	if r.cfg.Voters > 0 && len(m.Voters) >= r.cfg.Voters && r.silentVoter(m).IsZero() {
		return
	}
	for _, p := range m.Learners {
		pr := r.peers[p]
		if pr == nil || pr.outgoing != nil || pr.match < r.commit || r.now-pr.acked > r.cfg.Election {
			continue
		}
		learners, _ := without(m.Learners, p.Name)
		voters := append(slices.Clone(m.Voters), p)
		_ = r.ChangeMembership(protocol.Membership{Voters: voters, Learners: learners})
		return
	}
}

// silentVoter returns a voter that has not answered for Config.Silence, or
// nobody.
func (r *Replica) silentVoter(m protocol.Membership) protocol.Peer {
	for _, p := range m.Voters {
		pr := r.peers[p]
		if p != r.cfg.Self && pr != nil && r.now-pr.acked > r.cfg.Silence {
			return p
		}
	}
	return protocol.Peer{}
}

// dropSilentVoter removes a voter that a replacement has made superfluous,
// and reports whether it did. The replacement is promoted first and the
// silent voter removed after, so the group never gets smaller: two quorums of
// a smaller group could be two disks.
func (r *Replica) dropSilentVoter(m protocol.Membership) bool {
	silent := r.silentVoter(m)
	if len(m.Voters) <= r.cfg.Voters || silent.IsZero() {
		return false
	}
	voters, _ := without(m.Voters, silent.Name)
	return r.ChangeMembership(protocol.Membership{Voters: voters, Learners: m.Learners}) == nil
}

// dropSilentLearner removes a learner that has not answered for many times
// Config.Silence: in an open group nobody else would.
func (r *Replica) dropSilentLearner() {
	if r.cfg.Voters == 0 || r.changePending() || !r.transferTo.IsZero() {
		return
	}
	m := r.log.members()
	for _, p := range m.Learners {
		if pr := r.peers[p]; pr != nil && r.now-pr.acked > learnerSilences*r.cfg.Silence {
			learners, _ := without(m.Learners, p.Name)
			_ = r.ChangeMembership(protocol.Membership{Voters: m.Voters, Learners: learners})
			return
		}
	}
}

// learnerSilences is how many times Config.Silence a learner may be silent.
const learnerSilences = 5

// stepDownIfRemoved ends the leadership of a replica that is no voter once
// the change is committed.
func (r *Replica) stepDownIfRemoved() {
	if !r.isVoter(r.cfg.Self) && r.commit >= r.log.lastChange() {
		r.becomeFollower(r.hard.Term, protocol.Peer{})
	}
}

// without returns the peers that do not have that name, and whether any had.
func without(peers []protocol.Peer, name string) ([]protocol.Peer, bool) {
	rest := slices.DeleteFunc(slices.Clone(peers), func(p protocol.Peer) bool { return p.Name == name })
	return rest, len(rest) != len(peers)
}
