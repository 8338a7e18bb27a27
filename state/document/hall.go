// SPDX-License-Identifier: Apache-2.0

package document

import (
	"maps"
	"slices"
)

// This file defines HallChange and HallState: which data halls are taken out of service.
//
// An operator's order to take a hall out or to put it back has no number, and copies of it
// may come late. So a change names how many changes of its hall were applied before it: of
// two changes that were decided on from one state, the log applies one.

// MaxHalls is the number of halls whose changes are remembered, above the 30 halls of
// docs/CAPACITY.md. A change of a new hall beyond it does nothing.
const MaxHalls = 1024

// HallChange takes a data hall out of service, or puts it back.
type HallChange struct {
	Hall  string `cbor:"1,keyasint"`
	Out   bool   `cbor:"2,keyasint,omitempty"` // out of service from now on; else in service
	After uint64 `cbor:"3,keyasint,omitempty"` // changes of the hall that this one follows
}

// HallState is the state of one data hall that was taken out of service once.
type HallState struct {
	Hall    string `cbor:"1,keyasint"`
	Out     bool   `cbor:"2,keyasint,omitempty"` // out of service
	Changes uint64 `cbor:"3,keyasint"`           // ever applied
}

// ChangeHall applies a change and reports whether the hall's state is another one now. One
// that does not follow the newest change, or asks for what is, does nothing.
func (s *Store) ChangeHall(c HallChange) bool {
	state := s.HallState(c.Hall)
	if c.After != state.Changes || c.Out == state.Out || (state.Changes == 0 && len(s.halls) >= MaxHalls) {
		return false
	}
	if s.halls == nil {
		s.halls = map[string]HallState{}
	}
	s.halls[c.Hall] = HallState{Hall: c.Hall, Out: c.Out, Changes: c.After + 1}
	return true
}

// HallState returns the state of a hall; one that no change named is in service.
func (s *Store) HallState(hall string) HallState {
	if state, known := s.halls[hall]; known {
		return state
	}
	return HallState{Hall: hall}
}

// Halls returns the states of all halls that were taken out of service once, ordered by
// name.
func (s *Store) Halls() []HallState {
	var out []HallState
	for _, hall := range slices.Sorted(maps.Keys(s.halls)) {
		out = append(out, s.halls[hall])
	}
	return out
}

// HallsOut returns the halls that are out of service, ordered by name, and the number of
// changes of all halls, by which a newer list is told from an older one.
func (s *Store) HallsOut() (out []string, changes uint64) {
	for _, state := range s.Halls() {
		changes += state.Changes
		if state.Out {
			out = append(out, state.Hall)
		}
	}
	return out, changes
}
