// SPDX-License-Identifier: Apache-2.0

package document

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Store, the state machine of documents, backend servers, halls, rollouts,
// condemned requests and the spread of sessions.

// MaxDepartures is the largest number of departed backend servers that are remembered. A late
// announcement of a server whose departure was dropped adds the server again.
const MaxDepartures = 8192

// StoredDocument is a document together with the bytes that its author sent.
type StoredDocument struct {
	Document Document `cbor:"1,keyasint"`
	Source   []byte   `cbor:"2,keyasint"`
}

// MaxServers is the largest number of registrations that are remembered, above the 10,000
// backend servers of docs/CAPACITY.md. A new leader has no record of further servers
// until they announce themselves.
const MaxServers = 16384

// Store holds the document in force, the newest departures, the registrations of
// backend servers that have not departed, the data halls out of service, the pools'
// rollouts, the condemned requests, whether gateways' sessions are spread, and the
// versions that servers had. It is not safe for concurrent use. The zero value is empty.
type Store struct {
	current        *StoredDocument
	joined         map[string]protocol.Registration // by identifier, at most one per address
	idByAddress    map[string]string                // key of joined by address
	idByName       map[string]string                // key of joined by server name
	departureOrder []string                         // identifiers of departed backend servers, oldest first
	departureCount uint64                           // number of departures, including dropped ones
	departed       map[string]bool
	halls          map[string]HallState // halls that were out of service at least once, by name
	// rollouts holds the newest rollout of each pool that has one, by pool.
	rollouts  map[string]Rollout
	condemned []Condemned // oldest first
	spread    bool
	versions  map[string][]string // of the servers that were ever registered, by pool, oldest first
}

// Current returns the document in force, or false before the first one.
func (s *Store) Current() (StoredDocument, bool) {
	if s.current == nil {
		return StoredDocument{}, false
	}
	return *s.current, true
}

// Put offers a document and reports whether it is in force now. A document whose
// number is not above the current one has no effect.
func (s *Store) Put(h StoredDocument) bool {
	if s.current != nil && h.Document.Number <= s.current.Document.Number {
		return false
	}
	s.current = &h
	return true
}

// Depart records that a backend server is leaving or gone, and reports whether this is
// new. The departure is final: a backend server that restarts has a new identifier.
func (s *Store) Depart(id string) bool {
	if s.departed[id] {
		return false
	}
	if s.departed == nil {
		s.departed = map[string]bool{}
	}
	if len(s.departureOrder) >= MaxDepartures {
		delete(s.departed, s.departureOrder[0])
		s.departureOrder = s.departureOrder[1:]
	}
	s.removeRegistration(id)
	s.departed[id] = true
	s.departureOrder = append(s.departureOrder, id)
	s.departureCount++
	return true
}

// Join records an announced backend server and replaces an earlier instance of it and any
// server at the same address. It ignores a departed server, and a new one beyond MaxServers.
func (s *Store) Join(r protocol.Registration) {
	if s.departed[r.ID] {
		return
	}
	name, _ := protocol.SplitLife(r.ID)
	s.removeRegistration(s.idByName[name]) // an earlier instance of the same server
	s.removeRegistration(s.idByAddress[r.Address])
	if len(s.joined) >= MaxServers {
		return
	}
	if s.joined == nil {
		s.joined, s.idByAddress, s.idByName = map[string]protocol.Registration{}, map[string]string{}, map[string]string{}
	}
	s.joined[r.ID] = r
	s.recordVersion(r.Pool, r.Version)
	s.idByAddress[r.Address], s.idByName[name] = r.ID, r.ID
}

// MaxVersionPools is the largest number of pools whose versions are remembered.
const MaxVersionPools = 1024

// recordVersion remembers a version of a pool's servers. The newest MaxVersions of each pool are kept.
func (s *Store) recordVersion(pool, version string) {
	known := s.versions[pool]
	if known == nil && len(s.versions) >= MaxVersionPools || slices.Contains(known, version) || len(version) > MaxVersionName {
		return
	}
	if s.versions == nil {
		s.versions = map[string][]string{}
	}
	s.versions[pool] = append(known[max(0, len(known)+1-MaxVersions):len(known):len(known)], version)
}

// Versions returns the versions of the servers that were ever registered, by pool, oldest first.
func (s *Store) Versions() map[string][]string { return maps.Clone(s.versions) }

// removeRegistration removes a registration, if there is one.
func (s *Store) removeRegistration(id string) {
	if r, ok := s.joined[id]; ok {
		delete(s.joined, id)
		delete(s.idByAddress, r.Address)
		name, _ := protocol.SplitLife(id)
		delete(s.idByName, name)
	}
}

// Joined returns the registered backend servers, ordered by identifier.
func (s *Store) Joined() []protocol.Registration {
	out := make([]protocol.Registration, 0, len(s.joined))
	for _, id := range slices.Sorted(maps.Keys(s.joined)) {
		out = append(out, s.joined[id])
	}
	return out
}

// Departed reports whether a backend server is leaving or gone.
func (s *Store) Departed(id string) bool { return s.departed[id] }

// DeparturesSince returns the departures after the first n, as far as they are
// remembered, and the total number of departures.
func (s *Store) DeparturesSince(n uint64) (ids []string, total uint64) {
	fresh := min(s.departureCount-min(n, s.departureCount), uint64(len(s.departureOrder)))
	return slices.Clone(s.departureOrder[uint64(len(s.departureOrder))-fresh:]), s.departureCount
}

// SpreadsSessions reports whether the gateways' sessions are spread over the replicas.
func (s *Store) SpreadsSessions() bool { return s.spread }

// ChangeSpread sets whether the gateways' sessions are spread, and reports whether this
// is a change.
func (s *Store) ChangeSpread(spread bool) bool {
	changed := s.spread != spread
	s.spread = spread
	return changed
}

// image is the serialized form of a Store.
type image struct {
	Document       *StoredDocument         `cbor:"1,keyasint,omitempty"`
	Departures     []string                `cbor:"2,keyasint,omitempty"`
	DepartureCount uint64                  `cbor:"3,keyasint,omitempty"`
	Joined         []protocol.Registration `cbor:"4,keyasint,omitempty"`
	Halls          []HallState             `cbor:"5,keyasint,omitempty"`
	// Rollouts is ordered by pool.
	Rollouts []Rollout `cbor:"6,keyasint,omitempty"`
	// Condemned is ordered by age, oldest first.
	Condemned []Condemned `cbor:"7,keyasint,omitempty"`
	// Spread reports whether the gateways' sessions are spread over the replicas.
	Spread bool `cbor:"8,keyasint,omitempty"`
	// Versions is ordered by pool.
	Versions []poolVersions `cbor:"9,keyasint,omitempty"`
}

// poolVersions are the versions of a pool's servers, oldest first.
type poolVersions struct {
	Pool     string   `cbor:"1,keyasint"`
	Versions []string `cbor:"2,keyasint"`
}

// versionLists returns the versions by pool, for those pools whose servers had several.
func (s *Store) versionLists() (all []poolVersions) {
	for _, pool := range slices.Sorted(maps.Keys(s.versions)) {
		if len(s.versions[pool]) > 1 {
			all = append(all, poolVersions{Pool: pool, Versions: s.versions[pool]})
		}
	}
	return all
}

// MarshalBinary implements [encoding.BinaryMarshaler].
func (s *Store) MarshalBinary() ([]byte, error) {
	return cbor.Marshal(image{
		Document: s.current, Departures: s.departureOrder, DepartureCount: s.departureCount, Joined: sentForms(s.Joined()), Halls: s.Halls(), Rollouts: s.Rollouts(),
		Condemned: s.condemned, Spread: s.spread, Versions: s.versionLists(),
	})
}

// sentForms returns the registrations in the form that the log holds.
func sentForms(all []protocol.Registration) []protocol.Registration {
	out := make([]protocol.Registration, 0, len(all))
	for _, r := range all {
		out = append(out, r.ToWire())
	}
	return out
}

// UnmarshalBinary implements [encoding.BinaryUnmarshaler].
func (s *Store) UnmarshalBinary(b []byte) error {
	var im image
	if err := cbor.Unmarshal(b, &im); err != nil {
		return err
	}
	*s = Store{current: im.Document, condemned: im.Condemned, spread: im.Spread}
	for _, id := range im.Departures {
		s.Depart(id)
	}
	s.departureCount = max(s.departureCount, im.DepartureCount)
	for _, p := range im.Versions {
		for _, version := range p.Versions {
			s.recordVersion(p.Pool, version)
		}
	}
	for _, r := range im.Joined {
		s.Join(r.FromWire())
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
