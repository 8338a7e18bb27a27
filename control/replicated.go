// SPDX-License-Identifier: Apache-2.0

package control

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines ReplicatedState, the state machine of the configuration group. The state
// machine of the claims group is in claims.go.

// command is a command of the configuration group. Exactly one field is set.
type command struct {
	Change *config.Change     `cbor:"1,keyasint,omitempty"`
	Open   *claim.Holder      `cbor:"2,keyasint,omitempty"` // adds a router process that may hold slots
	End    *claim.Holder      `cbor:"3,keyasint,omitempty"` // removes a router process that holds no slots
	Advert *advertisedAddress `cbor:"4,keyasint,omitempty"`
}

// advertisedAddress is the address at which operators reach a replica. A leader appends its own to
// the log, so that the other replicas can direct operators to it.
type advertisedAddress struct {
	Replica string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// changeResult is the result of applying a command, returned to its proposer.
type changeResult struct {
	revision uint64
	err      error
}

// ReplicatedState is the applied state of the configuration group. It is safe for
// concurrent use.
type ReplicatedState struct {
	mu         sync.Mutex // leaf lock; guards store, routers and advertised
	store      config.Store
	routers    map[claim.Holder]bool
	advertised map[string]string // operators' addresses by replica
	onApplied  func()            // must not block
}

var _ replica.StateMachine = (*ReplicatedState)(nil)

func newReplicatedState(onApplied func()) *ReplicatedState {
	return &ReplicatedState{routers: map[claim.Holder]bool{}, advertised: map[string]string{}, onApplied: onApplied}
}

// Config returns the configuration that is applied on this replica.
func (r *ReplicatedState) Config() config.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Current()
}

// Routers returns the router processes that may hold slots, sorted by name and boot number.
func (r *ReplicatedState) Routers() []claim.Holder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sortedRouters()
}

func (r *ReplicatedState) sortedRouters() []claim.Holder {
	return slices.SortedFunc(maps.Keys(r.routers), func(a, b claim.Holder) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Boot, b.Boot))
	})
}

// FindChange returns an accepted change and its revision by the change's identifier.
func (r *ReplicatedState) FindChange(id string) (config.Change, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Find(id)
}

// DeltaFrom returns the delta from a revision to the current one, if the changes
// in between are still stored.
func (r *ReplicatedState) DeltaFrom(revision uint64) (config.Delta, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.DeltaFrom(revision)
}

// Apply implements [replica.StateMachine].
func (r *ReplicatedState) Apply(data []byte) any {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return changeResult{err: protocol.Malformed{Err: err}}
	}
	r.mu.Lock()
	result := r.apply(c)
	r.mu.Unlock()
	if c.Change != nil && result.err == nil {
		r.onApplied()
	}
	return result
}

func (r *ReplicatedState) apply(c command) changeResult {
	switch {
	case c.Change != nil:
		revision, err := r.store.Apply(*c.Change)
		return changeResult{revision: revision, err: err}
	case c.Open != nil:
		r.routers[*c.Open] = true
	case c.End != nil:
		delete(r.routers, *c.End)
	case c.Advert != nil:
		r.advertised[c.Advert.Replica] = c.Advert.Address
	}
	return changeResult{}
}

// stateImage is the serialized form of a ReplicatedState, stored in snapshots.
type stateImage struct {
	Store   []byte              `cbor:"1,keyasint"`
	Routers []claim.Holder      `cbor:"2,keyasint"`
	Adverts []advertisedAddress `cbor:"3,keyasint,omitempty"`
}

// Snapshot implements [replica.StateMachine].
func (r *ReplicatedState) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	store, err := r.store.MarshalBinary()
	if err != nil {
		return nil, err
	}
	im := stateImage{Store: store, Routers: r.sortedRouters()}
	for _, name := range slices.Sorted(maps.Keys(r.advertised)) {
		im.Adverts = append(im.Adverts, advertisedAddress{Replica: name, Address: r.advertised[name]})
	}
	return cbor.Marshal(im)
}

// Restore implements [replica.StateMachine].
func (r *ReplicatedState) Restore(image []byte) error {
	var im stateImage
	if err := cbor.Unmarshal(image, &im); err != nil {
		return protocol.Malformed{Err: err}
	}
	r.mu.Lock()
	err := r.store.UnmarshalBinary(im.Store)
	r.routers = map[claim.Holder]bool{}
	for _, h := range im.Routers {
		r.routers[h] = true
	}
	r.advertised = map[string]string{}
	for _, a := range im.Adverts {
		r.advertised[a.Replica] = a.Address
	}
	r.mu.Unlock()
	r.onApplied()
	return err
}

// OperatorsAddress returns the address at which operators reach a replica, or "" for a replica
// that has not led yet.
func (r *ReplicatedState) OperatorsAddress(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advertised[name]
}
