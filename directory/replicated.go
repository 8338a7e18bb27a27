// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines Replicated, the state machine that the log drives.

// command is one command of the log. One field is set.
type command struct {
	Put    *document.Held `cbor:"1,keyasint,omitempty"`
	Depart string         `cbor:"2,keyasint,omitempty"`
	// Join is backend servers that announced themselves. Nobody waits for it: it only
	// spares a new leader the time until all have announced themselves again.
	Join []protocol.Registration `cbor:"3,keyasint,omitempty"`
}

// Replicated is the applied state. It is safe for concurrent use.
type Replicated struct {
	mu     sync.Mutex
	store  document.Store
	notify func() // must not block
}

var _ replica.Machine = (*Replicated)(nil)

// Held returns the document applied here.
func (r *Replicated) Held() (document.Held, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Held()
}

// Departed reports whether a backend server is leaving or gone.
func (r *Replicated) Departed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Departed(id)
}

// DeparturesSince returns the departures after the first n, and how many there
// were in all.
func (r *Replicated) DeparturesSince(n uint64) (ids []string, total uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.DeparturesSince(n)
}

// Joined returns the backend servers that were announced and have not departed.
func (r *Replicated) Joined() []protocol.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Joined()
}

// Apply implements [replica.Machine].
func (r *Replicated) Apply(data []byte) any {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.notify()
	defer r.mu.Unlock()
	switch {
	case c.Put != nil:
		return r.store.Put(*c.Put)
	case c.Depart != "":
		return r.store.Depart(c.Depart)
	}
	for _, s := range c.Join {
		r.store.Join(s)
	}
	return false
}

// Snapshot implements [replica.Machine].
func (r *Replicated) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.MarshalBinary()
}

// Restore implements [replica.Machine].
func (r *Replicated) Restore(image []byte) error {
	r.mu.Lock()
	err := r.store.UnmarshalBinary(image)
	r.mu.Unlock()
	r.notify()
	return err
}
