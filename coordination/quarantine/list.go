// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"maps"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines List, what a gateway holds of condemned requests and suspects.

// Entry is one request of a [List].
type Entry struct {
	Key       Key
	Hint      Hint
	Ends      int // at which it was in a row
	Condemned bool
}

// List is the condemned requests and the suspects. It is immutable. The zero value is empty.
type List struct {
	entries map[Key]Entry
	hints   map[Hint]int // entries that have it
}

// WithChanges returns the list with some entries added or changed, and others gone.
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
	e, known := l.entries[k]
	if !known {
		return
	}
	delete(l.entries, k)
	if l.hints[e.Hint]--; l.hints[e.Hint] == 0 {
		delete(l.hints, e.Hint)
	}
}

// Apply returns the list after a message of the leader. Entries without a key are passed over.
func (l List) Apply(m protocol.Quarantine) List {
	if m.Whole {
		l = List{}
	}
	var set []Entry
	var gone []Key
	for _, q := range m.Set {
		if k, ok := KeyFrom(q.Key); ok {
			set = append(set, Entry{Key: k, Hint: Hint(q.Hint), Ends: int(q.Ends), Condemned: q.Condemned})
		}
	}
	for _, b := range m.Gone {
		if k, ok := KeyFrom(b); ok {
			gone = append(gone, k)
		}
	}
	return l.WithChanges(set, gone)
}

// Empty reports whether nothing is listed.
func (l List) Empty() bool { return len(l.entries) == 0 }

// HasHint reports whether an entry has a hint: if not, a request's key need not be made.
func (l List) HasHint(h Hint) bool { return l.hints[h] > 0 }

// Find returns a key's entry, or false if it is not listed.
func (l List) Find(k Key) (Entry, bool) {
	e, known := l.entries[k]
	return e, known
}

// Entries returns all entries; the map is not to be changed.
func (l List) Entries() map[Key]Entry { return l.entries }

// Undecided reports whether a request was at so many ends that it is about to be condemned, or
// shares them with another one.
func (e Entry) Undecided() bool { return !e.Condemned && e.Ends >= fewestEnds }

// DecisionWait is how long a request that is undecided waits for what becomes of it. Settle, and the
// messages before and after it.
const DecisionWait = SettleTime + 100*time.Millisecond

// MayRetry reports whether a request whose attempt has just been lost may be tried once more:
// not after three ends in a row, those that the list knows and the losses of this arrival.
func (e Entry) MayRetry(losses int) bool { return e.Ends+losses < fewestEnds }
