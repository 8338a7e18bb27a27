// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Formation, how replicas with blank disks become a group.
//
// A blank disk is either new or lost, and the replica cannot find out which. So a
// group forms only when every replica named in the settings answers that its
// disk is blank: one that holds something proves that the group exists, and
// its leader repairs the blank one instead. The replica whose name sorts
// first founds the group; a replica accepts a foundation only from the
// incarnation that it last answered, so a founder that lost its disk during
// the foundation does not leave two groups behind.
//
// In a closed group a flag "this is the first start" was rejected: an operator
// leaves it in the settings, and the first lost disk then founds a second
// group.
//
// In an open group the settings do not name the members, only where some of them
// are or were (seeds). The seeds of the first start found it, and only if the
// operator sets the flag for it; any other blank replica sends queries
// to the seeds, and to the members that they name, until the leader takes it in. There the
// flag is needed: a blank replica whose seeds are all cut off or new
// cannot find out whether a group exists.

// Formation is a replica before it has a log. It is not safe for concurrent
// use.
type Formation struct {
	name     string
	self     protocol.Peer
	names    []string // all replicas by the settings, sorted
	groupID  uint64   // identity if this replica founds the group
	interval time.Duration
	next     time.Duration
	answers  map[string]blankAnswer
	promised protocol.Peer // founder whose query was answered last
	joins    bool          // never founds a group, nor answers that it is blank
	hints    []string      // members named by replicas of an existing group
	out      []protocol.Consensus
}

type blankAnswer struct {
	peer  protocol.Peer
	blank bool
}

// NewFormation returns a blank replica. groupID is a random number that names
// the group if this replica founds it.
func NewFormation(
	name string, self protocol.Peer, names []string, groupID uint64, interval time.Duration,
) *Formation {
	return &Formation{
		name: name, self: self, names: slices.Sorted(slices.Values(names)),
		groupID: groupID, interval: interval, answers: map[string]blankAnswer{},
	}
}

// JoinOnly makes the replica join a group that exists and never found one: it
// is not one of the seeds, or it is not the first start. It returns f.
func (f *Formation) JoinOnly() *Formation {
	f.joins = true
	return f
}

// Tick sends the queries that are due and returns the first snapshot once this
// replica may found the group.
func (f *Formation) Tick(now time.Duration) (protocol.Snapshot, bool) {
	if now >= f.next {
		f.next = now + f.interval
		f.query()
	}
	if f.joins || f.names[0] != f.self.Name {
		return protocol.Snapshot{}, false
	}
	voters := []protocol.Peer{f.self}
	for _, name := range f.names[1:] {
		a, ok := f.answers[name]
		if !ok || !a.blank {
			return protocol.Snapshot{}, false
		}
		voters = append(voters, a.peer)
	}
	s := protocol.Snapshot{
		Group: f.groupID, Index: 1, Term: 1, Members: protocol.Membership{Voters: voters},
	}
	for _, p := range voters[1:] {
		f.send(protocol.Consensus{Kind: protocol.MsgFound, To: p, Snapshot: &s})
	}
	return s, true
}

// query requests from every other replica, by name, its incarnation and whether
// its disk is blank.
func (f *Formation) query() {
	for _, name := range slices.Concat(f.names, f.hints) {
		if name != f.self.Name {
			f.send(protocol.Consensus{Kind: protocol.MsgBlankQuery, To: protocol.Peer{Name: name}})
		}
	}
}

// takeHints remembers the members that a replica of an existing group names.
func (f *Formation) takeHints(m protocol.Consensus) {
	if m.Group == 0 || m.Snapshot == nil {
		return
	}
	for _, p := range m.Snapshot.Members.Voters {
		if !slices.Contains(f.names, p.Name) && !slices.Contains(f.hints, p.Name) {
			f.hints = append(f.hints, p.Name)
		}
	}
}

// Step takes a message and returns the first snapshot if the group was
// founded by another replica.
func (f *Formation) Step(m protocol.Consensus) (protocol.Snapshot, bool) {
	if m.Name != f.name || m.To.Name != f.self.Name {
		return protocol.Snapshot{}, false
	}
	switch m.Kind {
	case protocol.MsgBlankQuery:
		if f.joins {
			return protocol.Snapshot{}, false
		}
		if m.From.Name == f.names[0] {
			f.promised = m.From
		}
		f.send(protocol.Consensus{Kind: protocol.MsgBlankReply, To: m.From})
	case protocol.MsgBlankReply:
		f.answers[m.From.Name] = blankAnswer{peer: m.From, blank: m.Group == 0}
		f.takeHints(m)
	case protocol.MsgFound:
		whole := !f.joins && m.Snapshot != nil && m.To == f.self &&
			(f.promised.IsZero() || m.From == f.promised) &&
			slices.Contains(m.Snapshot.Members.Voters, f.self)
		if whole {
			return *m.Snapshot, true
		}
	default:
		f.takeSender(m)
	}
	return protocol.Snapshot{}, false
}

// takeSender remembers a member of an existing group that sends to the incarnation whose
// disk this replica had. The names in the settings may all be of replicas that lost their
// disks together, and then nobody else leads to the group.
func (f *Formation) takeSender(m protocol.Consensus) {
	if m.Group != 0 && m.From.Name != "" && !slices.Contains(f.names, m.From.Name) && !slices.Contains(f.hints, m.From.Name) {
		f.hints = append(f.hints, m.From.Name)
	}
}

// Messages returns and clears what is to be sent.
func (f *Formation) Messages() []protocol.Consensus {
	out := f.out
	f.out = nil
	return out
}

func (f *Formation) send(m protocol.Consensus) {
	m.Name = f.name
	m.From = f.self
	f.out = append(f.out, m)
}

// AnswerBlankQuery answers the query of a blank replica at one that holds a log,
// and returns false for any other message. The leader takes the query as a
// request to join as well.
func (r *Replica) AnswerBlankQuery(now time.Duration, m protocol.Consensus) bool {
	if m.Kind != protocol.MsgBlankQuery || m.Name != r.cfg.Name || m.To.Name != r.cfg.Self.Name {
		return false
	}
	r.now = max(r.now, now)
	members := protocol.Snapshot{Members: r.log.members()}
	r.send(protocol.Consensus{Kind: protocol.MsgBlankReply, To: m.From, Snapshot: &members})
	if s := r.log.snapshot; s.Index == 1 && slices.Contains(s.Members.Voters, m.From) {
		// The foundation was lost on its way. It names this very incarnation,
		// which has answered nothing since, so it may be sent again.
		r.send(protocol.Consensus{Kind: protocol.MsgFound, To: m.From, Snapshot: &s})
	}
	r.stepJoin(m)
	return true
}
