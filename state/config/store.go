// SPDX-License-Identifier: Apache-2.0

package config

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// This file defines Store, the state machine that a replicated log drives. It holds the
// current configuration, and enough history to recognize resends and to build deltas.

// HistoryLength is the number of past changes that are remembered. At 28,000 changes per day
// (docs/CAPACITY.md) it covers resends and missed deltas for more than three hours.
const HistoryLength = 4096

// MaxChangeID is the longest change identifier, in bytes.
const MaxChangeID = 128

// Change is a list of operations that an operator proposes.
type Change struct {
	ID   string `cbor:"1,keyasint"` // unique identifier, assigned by the author
	Base uint64 `cbor:"2,keyasint"` // revision that the change builds on
	Ops  []Op   `cbor:"3,keyasint"`
	// RequestDigest is a digest of the author's request, set if Ops was derived from it
	// (with a random key, or by changing a field of the current value). A resend may
	// derive different operations from the same request.
	RequestDigest uint64 `cbor:"4,keyasint,omitempty"`
}

// digest identifies the content of the change without its identifier.
func (c Change) digest() uint64 {
	if c.RequestDigest != 0 {
		return c.RequestDigest
	}
	b, err := cbor.Marshal(c.Ops)
	if err != nil {
		return 0 // cannot happen: operations that were decoded can be encoded
	}
	return xxh3.Hash(b)
}

// check returns [Invalid] for mistakes that do not depend on the configuration.
func (c Change) check() error {
	if c.ID == "" || len(c.ID) > MaxChangeID {
		return Invalid{Mistakes: []Mistake{{Subject: "change", Field: "id", Reason: "must be 1 to 128 bytes"}}}
	}
	return nil
}

// Delta holds the changes from one revision to a later one.
type Delta struct {
	From  uint64 `cbor:"1,keyasint"`
	Steps [][]Op `cbor:"2,keyasint"` // operations, one list per revision
}

// To returns the revision after the delta.
func (d Delta) To() uint64 { return d.From + uint64(len(d.Steps)) }

// ApplyDelta returns c after d. A delta that was applied already has no effect. A delta
// that starts after c is rejected with [DeltaGap]. The revision therefore never decreases and
// no change is skipped.
func (c Config) ApplyDelta(d Delta) (Config, error) {
	if d.From > c.revision {
		return c, DeltaGap{Current: c.revision, From: d.From}
	}
	skip := c.revision - d.From
	if skip >= uint64(len(d.Steps)) {
		return c, nil
	}
	next := c
	for _, ops := range d.Steps[skip:] {
		var found mistakes
		// Changes in a delta have passed the checks across objects, which are the
		// most expensive part and are not repeated.
		if next, found = next.applyOps(ops); len(found) > 0 {
			return c, Invalid{Mistakes: found}
		}
	}
	return next, nil
}

// Store is the state machine. It is not safe for concurrent use: a replica drives it
// from one goroutine. The zero value is an empty configuration.
type Store struct {
	current Config
	history []Change // history[i] produced revision current-len+1+i
	byID    map[string]uint64
}

// Current returns the configuration in force.
func (s *Store) Current() Config { return s.current }

// Apply applies a change and returns the revision that it produced. A resend returns
// the revision that the first one produced. The error is [Invalid], [Conflict] or
// [ReusedID].
func (s *Store) Apply(ch Change) (uint64, error) {
	if err := ch.check(); err != nil {
		return 0, err
	}
	if rev, ok := s.byID[ch.ID]; ok {
		if first, ok := s.changeAt(rev); ok && first.digest() == ch.digest() {
			return rev, nil
		}
		return 0, ReusedID{ID: ch.ID}
	}
	if ch.Base != s.current.revision {
		return s.resolveStaleBase(ch)
	}
	next, err := s.current.Apply(ch.Ops)
	if err != nil {
		return 0, err
	}
	s.current = next
	s.recordChange(ch)
	return next.revision, nil
}

// resolveStaleBase distinguishes a resend (same base, same content) from a conflict.
func (s *Store) resolveStaleBase(ch Change) (uint64, error) {
	e := Conflict{Base: ch.Base, Current: s.current.revision}
	winner, ok := s.changeAt(ch.Base + 1)
	if !ok {
		return 0, e
	}
	if winner.digest() == ch.digest() {
		return ch.Base + 1, nil
	}
	e.Winner = &winner
	return 0, e
}

// changeAt returns the change that produced revision rev, if it is remembered.
func (s *Store) changeAt(rev uint64) (Change, bool) {
	first := s.current.revision - uint64(len(s.history)) + 1
	if rev < first || rev > s.current.revision {
		return Change{}, false
	}
	return s.history[rev-first], true
}

func (s *Store) recordChange(ch Change) {
	if s.byID == nil {
		s.byID = map[string]uint64{}
	}
	s.history = append(s.history, ch)
	s.byID[ch.ID] = s.current.revision
	if len(s.history) <= HistoryLength {
		return
	}
	delete(s.byID, s.history[0].ID)
	s.history = s.history[1:]
}

// Find returns the change with the given identifier and the revision that it produced.
func (s *Store) Find(id string) (Change, uint64, bool) {
	rev, ok := s.byID[id]
	if !ok {
		return Change{}, 0, false
	}
	ch, ok := s.changeAt(rev)
	return ch, rev, ok
}

// DeltaFrom returns the delta from revision rev to the current one. It returns false if
// the history no longer reaches back to rev, so that a snapshot is required.
func (s *Store) DeltaFrom(rev uint64) (Delta, bool) {
	d := Delta{From: rev}
	if rev > s.current.revision {
		return d, false
	}
	for r := rev + 1; r <= s.current.revision; r++ {
		ch, ok := s.changeAt(r)
		if !ok {
			return d, false
		}
		d.Steps = append(d.Steps, ch.Ops)
	}
	return d, true
}

// storeImage is the serialized form of a Store.
type storeImage struct {
	Config  Snapshot `cbor:"1,keyasint"`
	History []Change `cbor:"2,keyasint"`
}

// MarshalBinary encodes the store for a log snapshot.
func (s *Store) MarshalBinary() ([]byte, error) {
	return cbor.Marshal(storeImage{Config: s.current.Snapshot(), History: s.history})
}

// UnmarshalBinary replaces the store with the decoded one.
func (s *Store) UnmarshalBinary(b []byte) error {
	var im storeImage
	if err := cbor.Unmarshal(b, &im); err != nil {
		return err
	}
	s.current = FromSnapshot(im.Config)
	s.history = im.History
	s.byID = make(map[string]uint64, len(im.History))
	first := s.current.revision - uint64(len(s.history)) + 1
	for i, ch := range s.history {
		s.byID[ch.ID] = first + uint64(i)
	}
	return nil
}
