// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Formation, which forms a group from replicas with blank disks.
//
// A blank disk is either new or a replacement for a lost one, and the replica cannot
// distinguish the two. A closed group therefore forms only when every replica named
// in the settings reports a blank disk. A replica with data proves that the group
// exists, and its leader then repairs the blank replica. The replica whose name sorts
// first founds the group. A replica accepts a foundation only from the incarnation to
// which it last replied, so that a founder that loses its disk during the foundation
// does not leave two groups.
//
// A closed group does not use a "first start" flag: an operator would leave the flag in
// the settings, and the first replica to lose its disk would then found a second group.
//
// The settings of an open group do not name the members, only the present or past
// addresses of some of them (seeds). The seeds found the group at its first start, and
// only if the operator sets the bootstrap flag. Any other blank replica queries the
// seeds, and the members that they name, until the leader adds it. The flag is needed
// because a blank replica whose seeds are all unreachable or new cannot find out
// whether a group exists.
//
// A seed that restarts during the first start may have lost the flag, with or without
// its disk. It takes part like the others if a majority of the seeds still has the flag
// and all of them are blank: a group that had committed anything would have data at one
// of that majority, since all seeds are voters of the foundation.

// Formation is the state of a replica that has no log yet. It is not safe for
// concurrent use.
type Formation struct {
	name            string
	self            protocol.Peer
	names           []string // all replicas named in the settings, sorted
	groupID         uint64   // identifier of the group if this replica founds it
	queryInterval   time.Duration
	nextQuery       time.Duration
	answers         map[string]blankAnswer
	promisedFounder protocol.Peer // founder whose query received the last reply
	joinOnly        bool          // never founds a group and never reports a blank disk
	start           protocol.GroupStart
	hints           []string // names of members of an existing group, learned from its replicas
	outbox          []protocol.Consensus
}

// blankAnswer is a replica's reply to a query.
type blankAnswer struct {
	peer  protocol.Peer
	blank bool
	start protocol.GroupStart
}

// NewFormation returns the state of a blank replica. groupID is a random number that
// identifies the group if this replica founds it.
func NewFormation(
	name string, self protocol.Peer, names []string, groupID uint64, queryInterval time.Duration,
) *Formation {
	return &Formation{
		name: name, self: self, names: slices.Sorted(slices.Values(names)),
		groupID: groupID, queryInterval: queryInterval, answers: map[string]blankAnswer{},
	}
}

// WithStart states what a seed of an open group knows of the group's start. It returns f.
func (f *Formation) WithStart(s protocol.GroupStart) *Formation {
	f.start = s
	return f
}

// JoinOnly makes the replica join an existing group and never found one, because it
// is not one of the seeds or because a leader has contacted it. It returns f.
func (f *Formation) JoinOnly() *Formation {
	f.joinOnly = true
	return f
}

// Tick sends the queries that are due and returns the first snapshot once this
// replica may found the group.
func (f *Formation) Tick(now time.Duration) (protocol.Snapshot, bool) {
	if now >= f.nextQuery {
		f.nextQuery = now + f.queryInterval
		f.query()
	}
	if f.joinOnly || f.names[0] != f.self.Name {
		return protocol.Snapshot{}, false
	}
	voters, later := []protocol.Peer{f.self}, 0 // later counts the seeds without the bootstrap flag
	if f.start == protocol.LaterStart {
		later++
	}
	for _, name := range f.names[1:] {
		a, ok := f.answers[name]
		if !ok || !a.blank {
			return protocol.Snapshot{}, false
		}
		if a.start == protocol.LaterStart {
			later++
		}
		voters = append(voters, a.peer)
	}
	if 2*later >= len(voters) {
		return protocol.Snapshot{}, false
	}
	s := protocol.Snapshot{
		Group: f.groupID, Index: 1, Term: 1, Members: protocol.Membership{Voters: voters},
	}
	for _, p := range voters[1:] {
		f.send(protocol.Consensus{Kind: protocol.MsgFound, To: p, Snapshot: &s})
	}
	return s, true
}

// query requests from every other replica, by name, its incarnation and whether its disk
// is blank.
func (f *Formation) query() {
	for _, name := range slices.Concat(f.names, f.hints) {
		if name != f.self.Name {
			f.send(protocol.Consensus{Kind: protocol.MsgBlankQuery, To: protocol.Peer{Name: name}, Start: f.start})
		}
	}
}

// addHints stores the names of the members that a replica of an existing group reports.
func (f *Formation) addHints(m protocol.Consensus) {
	if m.Group == 0 || m.Snapshot == nil {
		return
	}
	for _, p := range m.Snapshot.Members.Voters {
		if !slices.Contains(f.names, p.Name) && !slices.Contains(f.hints, p.Name) {
			f.hints = append(f.hints, p.Name)
		}
	}
}

// Step handles a message and returns the first snapshot if another replica founded
// the group.
func (f *Formation) Step(m protocol.Consensus) (protocol.Snapshot, bool) {
	if m.Name != f.name || m.To.Name != f.self.Name {
		return protocol.Snapshot{}, false
	}
	switch m.Kind {
	case protocol.MsgBlankQuery:
		// An earlier version of this program takes every reply for that of a seed with the flag.
		if f.joinOnly || f.start == protocol.LaterStart && m.Start == protocol.StartNotStated {
			return protocol.Snapshot{}, false
		}
		if m.From.Name == f.names[0] {
			f.promisedFounder = m.From
		}
		f.send(protocol.Consensus{Kind: protocol.MsgBlankReply, To: m.From, Start: f.start})
	case protocol.MsgBlankReply:
		f.answers[m.From.Name] = blankAnswer{peer: m.From, blank: m.Group == 0, start: m.Start}
		f.addHints(m)
	case protocol.MsgFound:
		valid := !f.joinOnly && m.Snapshot != nil && m.To == f.self &&
			(f.promisedFounder.IsZero() || m.From == f.promisedFounder) &&
			slices.Contains(m.Snapshot.Members.Voters, f.self)
		if valid {
			return *m.Snapshot, true
		}
	default:
		f.addSenderHint(m)
	}
	return protocol.Snapshot{}, false
}

// addSenderHint stores the name of a member of an existing group that sends to an earlier
// incarnation of this replica. All replicas named in the settings may have lost their disks
// together, and then such a message is the only way to find the group.
func (f *Formation) addSenderHint(m protocol.Consensus) {
	if m.Group != 0 && m.From.Name != "" && !slices.Contains(f.names, m.From.Name) && !slices.Contains(f.hints, m.From.Name) {
		f.hints = append(f.hints, m.From.Name)
	}
}

// Messages returns the queued messages and clears the queue.
func (f *Formation) Messages() []protocol.Consensus {
	out := f.outbox
	f.outbox = nil
	return out
}

func (f *Formation) send(m protocol.Consensus) {
	m.Name = f.name
	m.From = f.self
	f.outbox = append(f.outbox, m)
}

// AnswerBlankQuery replies, at a replica with a log, to the query of a blank replica.
// It returns false for any other message. The leader also treats the query as a
// request to join.
func (r *Replica) AnswerBlankQuery(now time.Duration, m protocol.Consensus) bool {
	if m.Kind != protocol.MsgBlankQuery || m.Name != r.cfg.Name || m.To.Name != r.cfg.Self.Name {
		return false
	}
	r.now = max(r.now, now)
	r.sendMembers(m.From)
	if s := r.log.snapshot; s.Index == 1 && slices.Contains(s.Members.Voters, m.From) {
		// This voter is still blank, so the foundation message to it was lost. The
		// message names the voter's current incarnation, so it may be sent again.
		r.send(protocol.Consensus{Kind: protocol.MsgFound, To: m.From, Snapshot: &s})
	}
	if r.role == Leader {
		r.stepJoin(m)
	}
	return true
}
