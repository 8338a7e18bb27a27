// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines memLog, the in-memory log of a replica.

// memLog holds a snapshot, the entries after it, and the membership at every index.
type memLog struct {
	snapshot protocol.Snapshot
	entries  []protocol.Entry // entries[i].Index == snapshot.Index+1+i
	// changes are the membership entries that the log still holds, oldest first.
	// The last one, or the snapshot's membership, is in effect. A change takes
	// effect when it is appended, not when it is committed, as Raft requires.
	changes []membershipAt
}

type membershipAt struct {
	index   uint64
	members protocol.Membership
}

func newMemLog(s protocol.Snapshot, entries []protocol.Entry) memLog {
	l := memLog{snapshot: s}
	for _, e := range entries {
		if e.Index > s.Index {
			l.append(e)
		}
	}
	return l
}

func (l *memLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 { t, _ := l.term(l.lastIndex()); return t }

// term returns the term of the entry at index, or false when the log does not
// hold it.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// append adds an entry at its index, after removing all entries from that index on.
func (l *memLog) append(e protocol.Entry) {
	l.truncate(e.Index)
	l.entries = append(l.entries, e)
	if e.Kind == protocol.EntryMembership {
		l.changes = append(l.changes, membershipAt{index: e.Index, members: decodeMembership(e.Data)})
	}
}

// truncate removes the entries from index on.
func (l *memLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	keep := index - l.snapshot.Index - 1
	l.entries = l.entries[:keep:keep]
	for len(l.changes) > 0 && l.changes[len(l.changes)-1].index >= index {
		l.changes = l.changes[:len(l.changes)-1]
	}
}

// entriesFrom returns the entries from index on: at least one, and up to maxBytes of
// data. Zero means no limit.
func (l *memLog) entriesFrom(index uint64, maxBytes int) []protocol.Entry {
	if index <= l.snapshot.Index || index > l.lastIndex() {
		return nil
	}
	all := l.entries[index-l.snapshot.Index-1:]
	if maxBytes == 0 {
		return all
	}
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return all[:i]
		}
	}
	return all
}

// entriesBetween returns the entries from lo to hi, inclusive.
func (l *memLog) entriesBetween(lo, hi uint64) []protocol.Entry {
	if lo > hi || lo <= l.snapshot.Index {
		return nil
	}
	return l.entries[lo-l.snapshot.Index-1 : hi-l.snapshot.Index]
}

// members returns the membership in effect.
func (l *memLog) members() protocol.Membership {
	if n := len(l.changes); n > 0 {
		return l.changes[n-1].members
	}
	return l.snapshot.Members
}

// membersAt returns the membership as of index.
func (l *memLog) membersAt(index uint64) protocol.Membership {
	m := l.snapshot.Members
	for _, c := range l.changes {
		if c.index <= index {
			m = c.members
		}
	}
	return m
}

// lastChangeIndex returns the index of the membership in effect.
func (l *memLog) lastChangeIndex() uint64 {
	if n := len(l.changes); n > 0 {
		return l.changes[n-1].index
	}
	return l.snapshot.Index
}

// compact replaces the entries up to index with a snapshot.
func (l *memLog) compact(index uint64, data []byte) {
	term, _ := l.term(index)
	next := protocol.Snapshot{
		Group: l.snapshot.Group, Index: index, Term: term, Members: l.membersAt(index), Data: data,
	}
	*l = newMemLog(next, l.entriesFrom(index+1, 0))
}

func encodeMembership(m protocol.Membership) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic("consensus: encode membership: " + err.Error()) // cannot happen: all fields are encodable
	}
	return b
}

// decodeMembership returns the zero membership for malformed data. It has no voters,
// so no replica can be elected or commit entries on its basis.
func decodeMembership(b []byte) protocol.Membership {
	var m protocol.Membership
	if err := cbor.Unmarshal(b, &m); err != nil {
		return protocol.Membership{}
	}
	return m
}
