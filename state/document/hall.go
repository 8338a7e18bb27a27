// SPDX-License-Identifier: Apache-2.0

package document

import (
	"maps"
	"slices"
)

// This file defines HallChange and HallState, which record the data halls out of service.
//
// An operator's order to take a hall out of service or to put it back has no number, and
// copies of it may arrive late. A change therefore names the number of changes of its hall
// that were applied before it: of two changes based on the same state, only the first
// takes effect.

// MaxHalls is the largest number of halls whose changes are remembered, above the 30 halls
// of docs/CAPACITY.md. Once it is reached, changes of other halls have no effect.
const MaxHalls = 1024

// HallChange takes a data hall out of service, or puts it back.
type HallChange struct {
	Hall  string `cbor:"1,keyasint"`
	Out   bool   `cbor:"2,keyasint,omitempty"` // out of service from now on, otherwise in service
	After uint64 `cbor:"3,keyasint,omitempty"` // number of changes of the hall before this one
}

// HallState is the state of a data hall that was out of service at least once.
type HallState struct {
	Hall    string `cbor:"1,keyasint"`
	Out     bool   `cbor:"2,keyasint,omitempty"` // out of service
	Changes uint64 `cbor:"3,keyasint"`           // number of changes applied
}

// ChangeHall applies a change and reports whether the hall's state changed. A change that
// does not follow the newest one, or that requests the current state, has no effect.
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

// HallState returns the state of a hall. A hall without changes is in service.
func (s *Store) HallState(hall string) HallState {
	if state, ok := s.halls[hall]; ok {
		return state
	}
	return HallState{Hall: hall}
}

// Halls returns the states of all halls that were out of service at least once, ordered
// by name.
func (s *Store) Halls() []HallState {
	var out []HallState
	for _, hall := range slices.Sorted(maps.Keys(s.halls)) {
		out = append(out, s.halls[hall])
	}
	return out
}

// HallsOut returns the halls that are out of service, ordered by name, and the total number
// of changes of all halls, which orders two such lists by age.
func (s *Store) HallsOut() (out []string, changes uint64) {
	for _, state := range s.Halls() {
		changes += state.Changes
		if state.Out {
			out = append(out, state.Hall)
		}
	}
	return out, changes
}
