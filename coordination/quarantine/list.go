// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"maps"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines List, the condemned requests and suspects that a gateway holds.

// Entry is one request of a [List].
type Entry struct {
	Key       Key
	Hint      Hint
	Failures  int // consecutive server failures at which it was running
	Condemned bool
}

// List holds the condemned requests and the suspects. It is immutable. The zero value is empty.
type List struct {
	entries map[Key]Entry
	hints   map[Hint]int // number of entries by hint
}

// WithChanges returns the list with the entries of set added or replaced, and those of gone
// removed.
func (l List) WithChanges(set []Entry, gone []Key) List {
	next := List{entries: maps.Clone(l.entries), hints: maps.Clone(l.hints)}
	if next.entries == nil {
		next = List{entries: map[Key]Entry{}, hints: map[Hint]int{}}
	}
	for _, k := range gone {
		next.remove(k)
	}
	for _, e := range set {
		next.remove(e.Key)
		next.entries[e.Key] = e
		next.hints[e.Hint]++
	}
	return next
}

func (l List) remove(k Key) {
	e, listed := l.entries[k]
	if !listed {
		return
	}
	delete(l.entries, k)
	if l.hints[e.Hint]--; l.hints[e.Hint] == 0 {
		delete(l.hints, e.Hint)
	}
}

// Apply returns the list after a message of the leader. Entries with a malformed key are ignored.
func (l List) Apply(m protocol.Quarantine) List {
	if m.Whole {
		l = List{}
	}
	var set []Entry
	var gone []Key
	for _, q := range m.Set {
		if k, ok := KeyFrom(q.Key); ok {
			set = append(set, Entry{Key: k, Hint: Hint(q.Hint), Failures: int(q.Ends), Condemned: q.Condemned})
		}
	}
	for _, b := range m.Removed {
		if k, ok := KeyFrom(b); ok {
			gone = append(gone, k)
		}
	}
	return l.WithChanges(set, gone)
}

// Empty reports whether the list has no entries.
func (l List) Empty() bool { return len(l.entries) == 0 }

// HasHint reports whether any entry has the hint. If not, the request's key need not be computed.
func (l List) HasHint(h Hint) bool { return l.hints[h] > 0 }

// Find returns a key's entry, or false if it is not listed.
func (l List) Find(k Key) (Entry, bool) {
	e, listed := l.entries[k]
	return e, listed
}

// Entries returns all entries. The map must not be modified.
func (l List) Entries() map[Key]Entry { return l.entries }

// UndecidedFailures is the number of failures from which a request is undecided.
const UndecidedFailures = minFailures

// Undecided reports whether a request was running at so many failures that it is either about to be
// condemned, or shares them with another request.
func (e Entry) Undecided() bool { return !e.Condemned && e.Failures >= minFailures }

// DecisionWait is how long an undecided request waits for the decision. It covers SettleTime and
// the messages before and after it.
const DecisionWait = SettleTime + 100*time.Millisecond

// MayRetry reports whether a request may be retried after an attempt was lost. losses is the number
// of attempts lost since it arrived. Together with the failures in the list they must be fewer than
// three.
func (e Entry) MayRetry(losses int) bool { return e.Failures+losses < minFailures }
