// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines memLog, the log as a replica holds it in memory: one
// snapshot and the entries behind it, with the membership at every index.

type memLog struct {
	snapshot protocol.Snapshot
	entries  []protocol.Entry // entries[i].Index == snapshot.Index+1+i
	// changes are the membership entries that the log still holds, oldest
	// first. The last one, or the snapshot's, is in force (on appending, not
	// on commitment, as Raft requires).
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

func (l *memLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 { t, _ := l.term(l.last()); return t }

// term returns the term of the entry at index, or false when the log does not
// hold it.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// append adds one entry at its index, dropping everything from there on.
func (l *memLog) append(e protocol.Entry) {
	l.truncate(e.Index)
	l.entries = append(l.entries, e)
	if e.Kind == protocol.EntryMembership {
		l.changes = append(l.changes, membershipAt{index: e.Index, members: decodeMembership(e.Data)})
	}
}

// truncate drops the entries from index on.
func (l *memLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	keep := index - l.snapshot.Index - 1
	l.entries = l.entries[:keep:keep]
	for len(l.changes) > 0 && l.changes[len(l.changes)-1].index >= index {
		l.changes = l.changes[:len(l.changes)-1]
	}
}

// from returns the entries from index on, up to maxBytes of data but at least
// one; 0 means all.
func (l *memLog) from(index uint64, maxBytes int) []protocol.Entry {
	if index <= l.snapshot.Index || index > l.last() {
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

// between returns the entries from lo to hi, both included.
func (l *memLog) between(lo, hi uint64) []protocol.Entry {
	if lo > hi || lo <= l.snapshot.Index {
		return nil
	}
	return l.entries[lo-l.snapshot.Index-1 : hi-l.snapshot.Index]
}

// members returns the membership in force.
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

// lastChange returns the index of the membership entry in force.
func (l *memLog) lastChange() uint64 {
	if n := len(l.changes); n > 0 {
		return l.changes[n-1].index
	}
	return l.snapshot.Index
}

// compact makes the snapshot cover everything up to index.
func (l *memLog) compact(index uint64, data []byte) {
	term, _ := l.term(index)
	next := protocol.Snapshot{
		Group: l.snapshot.Group, Index: index, Term: term, Members: l.membersAt(index), Data: data,
	}
	*l = newMemLog(next, l.from(index+1, 0))
}

func encodeMembership(m protocol.Membership) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic("consensus: membership does not encode: " + err.Error()) // cannot happen: plain fields
	}
	return b
}

// decodeMembership returns the zero membership for nonsense, which makes
// every quorum impossible rather than guessed.
func decodeMembership(b []byte) protocol.Membership {
	var m protocol.Membership
	if err := cbor.Unmarshal(b, &m); err != nil {
		return protocol.Membership{}
	}
	return m
}
