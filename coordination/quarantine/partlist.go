// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines PartList, the condemned sets of parts and the suspected parts that a gateway holds.

const (
	// minListedCrashes is the number of crashes from which a part is listed. Most parts are at one crash, and
	// their next answer clears them.
	minListedCrashes = 2
	// maxListedParts bounds the listed suspects, at 24 bytes each.
	maxListedParts = 64
	// maxListingRate bounds the suspects that are newly listed in a second. In a series of crashes many parts
	// come and go, at about 65 bytes for each gateway.
	maxListingRate = 100
)

// SuspectPart is a suspected part of a [PartList].
type SuspectPart struct {
	Crashes int           // at most minFailures: more make no difference
	Since   time.Duration // time of the first crash, on the holder's clock
}

// PartList holds condemned sets and suspects. It is immutable. The zero value is empty.
type PartList struct {
	suspects map[Key]SuspectPart
	sets     map[Key][]Key // keys of the parts by key of the set
	members  map[Key][]Key // keys of the sets by key of a part
	// provisional holds the keys of the sets that no probe has confirmed, see [Probes].
	provisional map[Key]bool
}

// List returns the suspects and the condemned sets as they are sent to gateways. A suspect remains listed
// until it is cleared; those with the most crashes are listed first.
func (v *PartEvidence) List(now time.Duration) PartList {
	v.updateListed(now)
	l := PartList{suspects: map[Key]SuspectPart{}}
	for k := range v.listed {
		crashes := v.suspects[k].unexplained()
		l.suspects[k] = SuspectPart{Crashes: min(len(crashes), minFailures), Since: crashes[0].at}
	}
	for _, s := range v.sets {
		l = l.withSet(s.Key(), s.Keys())
	}
	return l
}

// updateListed removes the listed parts that are no longer suspected, and lists others within the bounds.
func (v *PartEvidence) updateListed(now time.Duration) {
	v.listingBudget = min(v.listingBudget+(now-v.listingAt).Seconds()*maxListingRate, maxListedParts)
	v.listingAt = now
	counts := map[Key]int{}
	var waiting []Key
	for k := range v.suspects {
		counts[k] = v.Crashes(k)
		switch {
		case counts[k] < minListedCrashes:
			delete(v.listed, k)
		case !v.listed[k]:
			waiting = append(waiting, k)
		}
	}
	maps.DeleteFunc(v.listed, func(k Key, _ bool) bool { return v.suspects[k] == nil })
	slices.SortFunc(waiting, func(a, b Key) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return compareKeys(a, b)
	})
	for _, k := range waiting {
		if len(v.listed) >= maxListedParts || v.listingBudget < 1 {
			return
		}
		v.listed[k] = true
		v.listingBudget--
	}
}

// withSet returns the list with a condemned set.
func (l PartList) withSet(set Key, parts []Key) PartList {
	l.sets, l.members = cloneOrNew(l.sets), cloneOrNew(l.members)
	l.sets[set] = parts
	for _, k := range parts {
		l.members[k] = append(slices.Clone(l.members[k]), set)
	}
	return l
}

// WithProvisional returns the list with those sets marked as provisional that isProvisional reports.
func (l PartList) WithProvisional(isProvisional func(set Key) bool) PartList {
	l.provisional = map[Key]bool{}
	for set := range l.sets {
		if isProvisional(set) {
			l.provisional[set] = true
		}
	}
	return l
}

// IsProvisional reports whether no probe has confirmed a condemned set yet.
func (l PartList) IsProvisional(set Key) bool { return l.provisional[set] }

// withoutSet returns the list without a condemned set.
func (l PartList) withoutSet(set Key) PartList {
	parts := l.sets[set]
	l.sets, l.members, l.provisional = cloneOrNew(l.sets), cloneOrNew(l.members), cloneOrNew(l.provisional)
	delete(l.sets, set)
	delete(l.provisional, set)
	for _, k := range parts {
		rest := slices.DeleteFunc(slices.Clone(l.members[k]), func(o Key) bool { return o == set })
		if l.members[k] = rest; len(rest) == 0 {
			delete(l.members, k)
		}
	}
	return l
}

func cloneOrNew[V any](m map[Key]V) map[Key]V {
	if m == nil {
		return map[Key]V{}
	}
	return maps.Clone(m)
}

// Apply returns the list after a message that arrives at the given time. Malformed keys are ignored.
func (l PartList) Apply(now time.Duration, m protocol.Quarantine) PartList {
	if m.Whole {
		l = PartList{}
	}
	l.suspects = cloneOrNew(l.suspects)
	for _, b := range m.RemovedParts {
		if k, ok := KeyFrom(b); ok {
			delete(l.suspects, k)
			l = l.withoutSet(k)
		}
	}
	for _, s := range m.SuspectParts {
		if k, ok := KeyFrom(s.Key); ok {
			l.suspects[k] = SuspectPart{Crashes: int(s.Crashes), Since: now - time.Duration(s.AgeMillis)*time.Millisecond}
		}
	}
	for _, s := range m.CondemnedParts {
		var parts []Key
		for _, b := range s.Parts {
			if k, ok := KeyFrom(b); ok {
				parts = append(parts, k)
			}
		}
		if len(parts) > 0 && len(parts) == len(s.Parts) {
			set := keyOfSet(parts)
			l = l.withoutSet(set).withSet(set, parts)
			if containsKey(m.Provisional, set) {
				l.provisional[set] = true
			}
		}
	}
	return l
}

// AppendTo adds the whole list to a message that is sent at the given time.
func (l PartList) AppendTo(now time.Duration, m *protocol.Quarantine) {
	PartList{}.appendChanges(now, l, m)
}

// AppendChanges adds to a message what turns l into next, and reports whether that is anything.
func (l PartList) AppendChanges(now time.Duration, next PartList, m *protocol.Quarantine) bool {
	before := len(m.SuspectParts) + len(m.CondemnedParts) + len(m.RemovedParts)
	l.appendChanges(now, next, m)
	return len(m.SuspectParts)+len(m.CondemnedParts)+len(m.RemovedParts) > before
}

func (l PartList) appendChanges(now time.Duration, next PartList, m *protocol.Quarantine) {
	for _, k := range sortedKeys(l.suspects) {
		if _, remains := next.suspects[k]; !remains && next.sets[k] == nil {
			m.RemovedParts = append(m.RemovedParts, k[:])
		}
	}
	for _, set := range sortedKeys(l.sets) {
		if next.sets[set] == nil {
			m.RemovedParts = append(m.RemovedParts, set[:])
		}
	}
	for _, k := range sortedKeys(next.suspects) {
		s := next.suspects[k]
		if previous, listed := l.suspects[k]; !listed || previous.Crashes != s.Crashes || l.sets[k] != nil && next.sets[k] == nil {
			m.SuspectParts = append(m.SuspectParts, protocol.SuspectPart{Key: k[:], Crashes: uint8(s.Crashes), AgeMillis: uint32((now - s.Since).Milliseconds())})
		}
	}
	for _, set := range sortedKeys(next.sets) {
		if l.sets[set] != nil && l.provisional[set] == next.provisional[set] {
			continue
		}
		if next.provisional[set] {
			m.Provisional = append(m.Provisional, set[:])
		}
		var parts [][]byte
		for _, k := range next.sets[set] {
			parts = append(parts, k[:])
		}
		m.CondemnedParts = append(m.CondemnedParts, protocol.CondemnedParts{Parts: parts})
	}
}

// containsKey reports whether encoded keys contain a key.
func containsKey(encoded [][]byte, k Key) bool {
	return slices.ContainsFunc(encoded, func(b []byte) bool { return bytes.Equal(b, k[:]) })
}

func sortedKeys[V any](m map[Key]V) []Key { return slices.SortedFunc(maps.Keys(m), compareKeys) }

// Empty reports whether the list has no entries.
func (l PartList) Empty() bool { return len(l.suspects)+len(l.sets) == 0 }

// Condemned reports whether a request with the given parts is condemned, and the key of the set.
func (l PartList) Condemned(parts []Key) (set Key, condemned bool) {
	for _, k := range parts {
		for _, set := range l.members[k] {
			if hasAll(parts, l.sets[set]) {
				return set, true
			}
		}
	}
	return Key{}, false
}

// Suspect returns the entry of a part, and false if it is not suspected.
func (l PartList) Suspect(k Key) (SuspectPart, bool) {
	s, listed := l.suspects[k]
	return s, listed
}

// CondemnedParts returns the parts of condemned sets.
func (l PartList) CondemnedParts() []Key { return sortedKeys(l.members) }

// Holds reports whether a part is suspected or belongs to a condemned set.
func (l PartList) Holds(k Key) bool {
	_, suspected := l.suspects[k]
	return suspected || len(l.members[k]) > 0
}

// Suspects returns all suspects. The map must not be modified.
func (l PartList) Suspects() map[Key]SuspectPart { return l.suspects }
