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
func (n *Node) ChangeMembership(m protocol.Membership) error {
	if n.role != Leader {
		return NotLeader{Leader: n.leader}
	}
	if !n.transferTo.IsZero() {
		return Handover{To: n.transferTo}
	}
	if n.changePending() || voterDifference(n.log.members(), m) > 1 {
		return ChangePending{Index: n.log.lastChange()}
	}
	n.appendOwn(protocol.EntryMembership, encodeMembership(m))
	return nil
}

// changePending reports whether a change must wait: another one is not
// committed, or this leader has not committed anything in its own term yet.
func (n *Node) changePending() bool {
	return n.log.lastChange() > n.commit || n.commit < n.termStart
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
func (n *Node) tickJoin() {
	m := n.log.members()
	if contains(m.Voters, n.cfg.Self) || contains(m.Learners, n.cfg.Self) || n.now < n.nextJoin {
		return
	}
	n.nextJoin = n.now + n.cfg.Election
	for _, p := range append(slices.Clone(m.Voters), m.Learners...) {
		n.sendJoin(p)
	}
}

// repairElections is how many election timeouts a blank replica waits for the
// next word of a leader that began to repair it.
const repairElections = 5

// RepairStopped reports whether a replica without a log has lost the leader
// that began to repair it. It knows no member that it could ask, and the next
// leader may not know of it, so it must look for its group anew, as after a
// restart. It was never a voter, so it has promised nothing to anybody.
func (n *Node) RepairStopped() bool {
	blank := n.log.snapshot.Group == 0 && n.log.last() == 0 && len(n.log.members().Voters) == 0
	return blank && n.now-n.leaderSeen > repairElections*n.cfg.Election
}

func (n *Node) sendJoin(to protocol.Peer) {
	n.send(protocol.Consensus{Kind: protocol.MsgJoin, To: to})
}

// stepJoin is the leader's answer to a replica that is no voter: the next
// step of its repair. Messages that prove a replica of an unknown incarnation
// to be alive (a request for a vote) come here too.
func (n *Node) stepJoin(m protocol.Consensus) {
	if n.role != Leader || n.changePending() || !n.transferTo.IsZero() {
		return
	}
	members := n.log.members()
	if contains(members.Voters, m.From) || contains(members.Learners, m.From) || !n.admits(m.From.Name) {
		return
	}
	if voters, removed := without(members.Voters, m.From.Name); removed {
		if len(voters) > 0 {
			_ = n.ChangeMembership(protocol.Membership{Voters: voters, Learners: members.Learners})
		}
		return
	}
	learners, _ := without(members.Learners, m.From.Name)
	_ = n.ChangeMembership(protocol.Membership{Voters: members.Voters, Learners: append(learners, m.From)})
}

// admits reports whether a replica of that name may take part.
func (n *Node) admits(name string) bool {
	if n.cfg.Admit != nil {
		return n.cfg.Admit(name)
	}
	m := n.log.members()
	for _, p := range append(slices.Clone(m.Voters), m.Learners...) {
		if p.Name == name {
			return true
		}
	}
	return false
}

// promoteLearner makes a voter of a learner that holds everything committed
// and answered recently.
func (n *Node) promoteLearner() {
	if n.changePending() || !n.transferTo.IsZero() {
		return
	}
	m := n.log.members()
	if n.cfg.Voters > 0 && n.dropSilentVoter(m) {
		return
	}
	if n.cfg.Voters > 0 && len(m.Voters) >= n.cfg.Voters && n.silentVoter(m).IsZero() {
		return
	}
	for _, p := range m.Learners {
		pr := n.peers[p]
		if pr == nil || pr.outgoing != nil || pr.match < n.commit || n.now-pr.acked > n.cfg.Election {
			continue
		}
		learners, _ := without(m.Learners, p.Name)
		voters := append(slices.Clone(m.Voters), p)
		_ = n.ChangeMembership(protocol.Membership{Voters: voters, Learners: learners})
		return
	}
}

// silentVoter returns a voter that has not answered for Config.Silence, or
// nobody.
func (n *Node) silentVoter(m protocol.Membership) protocol.Peer {
	for _, p := range m.Voters {
		pr := n.peers[p]
		if p != n.cfg.Self && pr != nil && n.now-pr.acked > n.cfg.Silence {
			return p
		}
	}
	return protocol.Peer{}
}

// dropSilentVoter removes a voter that a replacement has made superfluous,
// and reports whether it did. The replacement is promoted first and the
// silent voter removed after, so the group never gets smaller: two quorums of
// a smaller group could be two disks.
func (n *Node) dropSilentVoter(m protocol.Membership) bool {
	silent := n.silentVoter(m)
	if len(m.Voters) <= n.cfg.Voters || silent.IsZero() {
		return false
	}
	voters, _ := without(m.Voters, silent.Name)
	return n.ChangeMembership(protocol.Membership{Voters: voters, Learners: m.Learners}) == nil
}

// dropSilentLearner removes a learner that has not answered for many times
// Config.Silence: in an open group nobody else would.
func (n *Node) dropSilentLearner() {
	if n.cfg.Voters == 0 || n.changePending() || !n.transferTo.IsZero() {
		return
	}
	m := n.log.members()
	for _, p := range m.Learners {
		if pr := n.peers[p]; pr != nil && n.now-pr.acked > learnerSilences*n.cfg.Silence {
			learners, _ := without(m.Learners, p.Name)
			_ = n.ChangeMembership(protocol.Membership{Voters: m.Voters, Learners: learners})
			return
		}
	}
}

// learnerSilences is how many times Config.Silence a learner may be silent.
const learnerSilences = 5

// stepDownIfRemoved ends the leadership of a replica that is no voter once
// the change is committed.
func (n *Node) stepDownIfRemoved() {
	if !n.isVoter(n.cfg.Self) && n.commit >= n.log.lastChange() {
		n.becomeFollower(n.hard.Term, protocol.Peer{})
	}
}

// without returns the peers that do not have that name, and whether any had.
func without(peers []protocol.Peer, name string) ([]protocol.Peer, bool) {
	rest := slices.DeleteFunc(slices.Clone(peers), func(p protocol.Peer) bool { return p.Name == name })
	return rest, len(rest) != len(peers)
}
