// SPDX-License-Identifier: Apache-2.0

package document

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Store, the state machine of documents, departures, joins, halls,
// rollouts, condemned requests and the spread of sessions.

// MaxDepartures is the number of departed backend servers that are remembered. A late announcement of
// one that departed before them adds it again.
const MaxDepartures = 8192

// Held is a document with the bytes that its author sent.
type Held struct {
	Document Document `cbor:"1,keyasint"`
	Source   []byte   `cbor:"2,keyasint"`
}

// MaxServers is the number of registrations that are remembered, above the 10,000
// backend servers of docs/CAPACITY.md. Those beyond it are unknown to a new leader
// until they announce themselves.
const MaxServers = 16384

// Store holds the highest document, the newest departures, the registrations of
// backend servers that have not departed, the data halls out of service, the pools'
// rollouts, the condemned requests, and whether gateways' sessions are spread. It is not safe for concurrent use. The zero value is empty.
type Store struct {
	held    *Held
	joined  map[string]protocol.Registration // by identifier, one an address
	at      map[string]string                // identifier in joined by address
	lives   map[string]string                // the same by the server's name
	order   []string                         // departed backend servers, oldest first
	total   uint64                           // departures ever
	departs map[string]bool
	halls   map[string]HallState // those that were taken out of service once
	// rollouts is the newest rollout of each pool that had one, by pool.
	rollouts  map[string]Rollout
	condemned []Condemned // oldest first
	spread    bool
}

// Held returns the document in force, or false before the first one.
func (s *Store) Held() (Held, bool) {
	if s.held == nil {
		return Held{}, false
	}
	return *s.held, true
}

// Put takes a document and reports whether it is in force now. One whose
// number is not above the held one changes nothing.
func (s *Store) Put(h Held) bool {
	if s.held != nil && h.Document.Number <= s.held.Document.Number {
		return false
	}
	s.held = &h
	return true
}

// Depart records that a backend server is leaving or gone, and reports whether that
// is new. It never comes back: a backend server that starts again is another one.
func (s *Store) Depart(id string) bool {
	if s.departs[id] {
		return false
	}
	if s.departs == nil {
		s.departs = map[string]bool{}
	}
	if len(s.order) >= MaxDepartures {
		delete(s.departs, s.order[0])
		s.order = s.order[1:]
	}
	s.leave(id)
	s.departs[id] = true
	s.order = append(s.order, id)
	s.total++
	return true
}

// Join records an announced backend server, in place of any at the same address. One
// that has departed is passed over, and so is a new one beyond MaxServers.
func (s *Store) Join(r protocol.Registration) {
	if s.departs[r.ID] {
		return
	}
	name, _ := protocol.SplitLife(r.ID)
	s.leave(s.lives[name]) // an earlier life
	s.leave(s.at[r.Address])
	if len(s.joined) >= MaxServers {
		return
	}
	if s.joined == nil {
		s.joined, s.at, s.lives = map[string]protocol.Registration{}, map[string]string{}, map[string]string{}
	}
	s.joined[r.ID] = r
	s.at[r.Address], s.lives[name] = r.ID, r.ID
}

// leave removes a registration, if there is one.
func (s *Store) leave(id string) {
	if r, ok := s.joined[id]; ok {
		delete(s.joined, id)
		delete(s.at, r.Address)
		name, _ := protocol.SplitLife(id)
		delete(s.lives, name)
	}
}

// Joined returns the remembered backend servers, ordered by identifier.
func (s *Store) Joined() []protocol.Registration {
	out := make([]protocol.Registration, 0, len(s.joined))
	for _, id := range slices.Sorted(maps.Keys(s.joined)) {
		out = append(out, s.joined[id])
	}
	return out
}

// Departed reports whether a backend server is leaving or gone.
func (s *Store) Departed(id string) bool { return s.departs[id] }

// DeparturesSince returns the departures after the first n, as far as they are
// remembered, and how many there were in all.
func (s *Store) DeparturesSince(n uint64) (ids []string, total uint64) {
	fresh := min(s.total-min(n, s.total), uint64(len(s.order)))
	return slices.Clone(s.order[uint64(len(s.order))-fresh:]), s.total
}

// Spread reports whether the gateways' sessions are spread over the replicas.
func (s *Store) Spread() bool { return s.spread }

// ChangeSpread records whether they are, and reports whether that is new.
func (s *Store) ChangeSpread(spread bool) bool {
	changed := s.spread != spread
	s.spread = spread
	return changed
}

// image is the serialized form.
type image struct {
	Held    *Held                   `cbor:"1,keyasint,omitempty"`
	Departs []string                `cbor:"2,keyasint,omitempty"`
	Total   uint64                  `cbor:"3,keyasint,omitempty"`
	Joined  []protocol.Registration `cbor:"4,keyasint,omitempty"`
	Halls   []HallState             `cbor:"5,keyasint,omitempty"`
	// Rollouts are ordered by pool.
	Rollouts []Rollout `cbor:"6,keyasint,omitempty"`
	// Condemned are ordered by age, oldest first.
	Condemned []Condemned `cbor:"7,keyasint,omitempty"`
	// Spread is whether gateways' sessions are spread over the replicas.
	Spread bool `cbor:"8,keyasint,omitempty"`
}

// MarshalBinary implements [encoding.BinaryMarshaler].
func (s *Store) MarshalBinary() ([]byte, error) {
	return cbor.Marshal(image{
		Held: s.held, Departs: s.order, Total: s.total, Joined: sent(s.Joined()), Halls: s.Halls(), Rollouts: s.Rollouts(),
		Condemned: s.condemned, Spread: s.spread,
	})
}

// sent returns registrations as the log has them.
func sent(all []protocol.Registration) []protocol.Registration {
	out := make([]protocol.Registration, 0, len(all))
	for _, r := range all {
		out = append(out, r.Sent())
	}
	return out
}

// UnmarshalBinary implements [encoding.BinaryUnmarshaler].
func (s *Store) UnmarshalBinary(b []byte) error {
	var im image
	if err := cbor.Unmarshal(b, &im); err != nil {
		return err
	}
	*s = Store{held: im.Held, condemned: im.Condemned, spread: im.Spread}
	for _, id := range im.Departs {
		s.Depart(id)
	}
	s.total = max(s.total, im.Total)
	for _, r := range im.Joined {
		s.Join(r.Received())
	}
	for _, h := range im.Halls {
		if s.halls == nil {
			s.halls = map[string]HallState{}
		}
		s.halls[h.Hall] = h
	}
	for _, r := range im.Rollouts {
		if s.rollouts == nil {
			s.rollouts = map[string]Rollout{}
		}
		s.rollouts[r.Pool] = r
	}
	return nil
}
