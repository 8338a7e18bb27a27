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

// This file defines the two state machines that the logs drive.

// command is one command of the configuration group. One field is set.
type command struct {
	Change *config.Change `cbor:"1,keyasint,omitempty"`
	Open   *claim.Holder  `cbor:"2,keyasint,omitempty"` // a router may hold slots from now on
	End    *claim.Holder  `cbor:"3,keyasint,omitempty"` // it holds none any more
	Advert *advert        `cbor:"4,keyasint,omitempty"`
}

// advert is where operators reach a replica. A leader tells it to the log, so
// that the others can send operators there.
type advert struct {
	Replica string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// changed is what the proposer of a change gets.
type changed struct {
	revision uint64
	err      error
}

// Replicated is the applied state of the configuration group. It is safe for
// concurrent use.
type Replicated struct {
	mu      sync.Mutex
	store   config.Store
	routers map[claim.Holder]bool
	adverts map[string]string // operators' address by replica
	notify  func()
}

var _ replica.Machine = (*Replicated)(nil)

func newReplicated(notify func()) *Replicated {
	return &Replicated{routers: map[claim.Holder]bool{}, adverts: map[string]string{}, notify: notify}
}

// Config returns the configuration applied here.
func (m *Replicated) Config() config.Config {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.Current()
}

// Routers returns the processes that may hold slots, in a fixed order.
func (m *Replicated) Routers() []claim.Holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedRouters()
}

func (m *Replicated) sortedRouters() []claim.Holder {
	return slices.SortedFunc(maps.Keys(m.routers), func(a, b claim.Holder) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Boot, b.Boot))
	})
}

// Find returns an accepted change by its identifier.
func (m *Replicated) Find(id string) (config.Change, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.Find(id)
}

// DeltaFrom returns what leads from a revision to the current one, if the
// past is still remembered.
func (m *Replicated) DeltaFrom(revision uint64) (config.Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.DeltaFrom(revision)
}

// Apply implements [replica.Machine].
func (m *Replicated) Apply(data []byte) any {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return changed{err: protocol.Malformed{Err: err}}
	}
	m.mu.Lock()
	result := m.apply(c)
	m.mu.Unlock()
	if c.Change != nil && result.err == nil {
		m.notify()
	}
	return result
}

func (m *Replicated) apply(c command) changed {
	switch {
	case c.Change != nil:
		revision, err := m.store.Apply(*c.Change)
		return changed{revision: revision, err: err}
	case c.Open != nil:
		m.routers[*c.Open] = true
	case c.End != nil:
		delete(m.routers, *c.End)
	case c.Advert != nil:
		m.adverts[c.Advert.Replica] = c.Advert.Address
	}
	return changed{}
}

// replicatedImage is the serialized form.
type replicatedImage struct {
	Store   []byte         `cbor:"1,keyasint"`
	Routers []claim.Holder `cbor:"2,keyasint"`
	Adverts []advert       `cbor:"3,keyasint,omitempty"`
}

// Snapshot implements [replica.Machine].
func (m *Replicated) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	store, err := m.store.MarshalBinary()
	if err != nil {
		return nil, err
	}
	im := replicatedImage{Store: store, Routers: m.sortedRouters()}
	for _, name := range slices.Sorted(maps.Keys(m.adverts)) {
		im.Adverts = append(im.Adverts, advert{Replica: name, Address: m.adverts[name]})
	}
	return cbor.Marshal(im)
}

// Restore implements [replica.Machine].
func (m *Replicated) Restore(image []byte) error {
	if len(image) == 0 {
		return nil
	}
	var im replicatedImage
	if err := cbor.Unmarshal(image, &im); err != nil {
		return protocol.Malformed{Err: err}
	}
	m.mu.Lock()
	err := m.store.UnmarshalBinary(im.Store)
	m.routers = map[claim.Holder]bool{}
	for _, h := range im.Routers {
		m.routers[h] = true
	}
	m.adverts = map[string]string{}
	for _, a := range im.Adverts {
		m.adverts[a.Replica] = a.Address
	}
	m.mu.Unlock()
	m.notify()
	return err
}

// OperatorsAt returns where operators reach a replica that has led.
func (m *Replicated) OperatorsAt(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.adverts[name]
}

// claims drives the claim register.
type claims struct{ register *claim.Register }

var _ replica.Machine = claims{}

// Apply implements [replica.Machine].
func (c claims) Apply(data []byte) any {
	var cmd claim.Command
	if err := cbor.Unmarshal(data, &cmd); err != nil {
		return protocol.Claimed{State: protocol.ClaimRetry}
	}
	return c.register.Apply(cmd)
}

// Snapshot implements [replica.Machine].
func (c claims) Snapshot() ([]byte, error) { return c.register.MarshalBinary() }

// Restore implements [replica.Machine].
func (c claims) Restore(image []byte) error {
	if len(image) == 0 {
		return nil
	}
	return c.register.UnmarshalBinary(image)
}
