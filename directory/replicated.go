// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/coordination/evacuation"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines Replicated, the state machine that the log drives.

// command is one command of the log. Exactly one field is set.
type command struct {
	Put    *document.StoredDocument `cbor:"1,keyasint,omitempty"`
	Depart string                   `cbor:"2,keyasint,omitempty"`
	// Join holds backend servers that announced themselves. No caller waits for it: it only lets a
	// new leader list the servers before they have announced themselves again.
	Join []protocol.Registration `cbor:"3,keyasint,omitempty"`
	// Hall takes a data hall out of service or puts it back.
	Hall *document.HallChange `cbor:"4,keyasint,omitempty"`
	// Rollout starts a rollout, records its progress, or ends it.
	Rollout *document.RolloutChange `cbor:"5,keyasint,omitempty"`
	// Condemned condemns a request that crashes servers, or releases it.
	Condemned *document.CondemnedChange `cbor:"6,keyasint,omitempty"`
	// Spread sets whether gateways' sessions are spread over the replicas.
	Spread *bool `cbor:"7,keyasint,omitempty"`
}

// Replicated is the applied state. It is safe for concurrent use.
type Replicated struct {
	mu         sync.Mutex
	store      document.Store
	hallOrders evacuation.Orders
	// rolloutOrders records the operators' rollout orders that this replica has applied.
	rolloutOrders rollout.Orders
	// condemnedChanges counts changes of the condemned requests since this replica started.
	condemnedChanges uint64
	notify           func()               // must not block
	now              func() time.Duration // monotonic
}

// newReplicated returns an empty state. hallWindow and rolloutWindow are how long operators repeat
// orders. notify is called after each change and must not block.
func newReplicated(hallWindow, rolloutWindow time.Duration, notify func()) *Replicated {
	began := time.Now()
	return &Replicated{
		hallOrders: evacuation.Orders{Window: hallWindow}, rolloutOrders: rollout.Orders{Window: rolloutWindow}, notify: notify,
		now: func() time.Duration { return time.Since(began) },
	}
}

var _ replica.StateMachine = (*Replicated)(nil)

// CurrentDocument returns the document applied at this replica.
func (r *Replicated) CurrentDocument() (document.StoredDocument, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Current()
}

// Departed reports whether a backend server is leaving or has left.
func (r *Replicated) Departed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Departed(id)
}

// DeparturesSince returns the departures after the first n, and their total number.
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

// Versions returns the versions of the servers that were ever registered, by pool.
func (r *Replicated) Versions() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Versions()
}

// HallsOut returns the data halls that are out of service, and the number of hall changes so far.
func (r *Replicated) HallsOut() (out []string, changes uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.HallsOut()
}

// Spread reports whether the gateways' sessions are spread over the replicas.
func (r *Replicated) Spread() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.SpreadsSessions()
}

// Rollouts returns the newest rollout of each pool, ordered by pool. Pools without one are omitted.
func (r *Replicated) Rollouts() []document.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Rollouts()
}

// Rollout returns the newest rollout of a pool, or false if there was none.
func (r *Replicated) Rollout(pool string) (document.Rollout, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Rollout(pool)
}

// Condemned returns the requests that may not be sent to any server, oldest first.
func (r *Replicated) Condemned() []document.Condemned {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Condemned()
}

// condemnedRevision returns a number that increases whenever the condemned requests change.
func (r *Replicated) condemnedRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.condemnedChanges
}

// decideRolloutOrder returns the verdict on an operator's order, the change that carries it out,
// and the pool's newest rollout. An order that is already applied is recorded as a repeat.
func (r *Replicated) decideRolloutOrder(o rollout.Order) (rollout.Verdict, document.RolloutChange, document.Rollout) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest, _ := r.store.Rollout(o.Pool)
	verdict, change := r.rolloutOrders.Decide(r.now(), o, newest)
	if verdict == rollout.AlreadyApplied {
		r.rolloutOrders = r.rolloutOrders.WithAcknowledged(r.now(), o)
	}
	return verdict, change, newest
}

// hallsReturnedWithin returns the data halls that were put back into service within the last d.
func (r *Replicated) hallsReturnedWithin(d time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hallOrders.PutBackWithin(r.now(), d)
}

// coldRates returns the rate limit of a cold backend server by pool, in requests per second, from
// the document in force. Pools without a limit are omitted.
func (r *Replicated) coldRates() map[string]float64 {
	held, _ := r.CurrentDocument()
	rates := map[string]float64{}
	for _, p := range held.Document.Pools {
		if p.ColdRate > 0 {
			rates[p.Name] = p.ColdRate
		}
	}
	return rates
}

// decideHallOrder returns the verdict on an operator's order for a data hall, and the change that
// carries it out.
func (r *Replicated) decideHallOrder(hall string, out bool) (evacuation.Verdict, document.HallChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.store.HallState(hall)
	return r.hallOrders.Decide(r.now(), hall, out, state.Out), document.HallChange{Hall: hall, Out: out, After: state.Changes}
}

// Apply implements [replica.StateMachine].
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
	case c.Hall != nil:
		applied := r.store.ChangeHall(*c.Hall)
		if applied {
			r.hallOrders = r.hallOrders.WithAccepted(r.now(), c.Hall.Hall, c.Hall.Out)
		}
		return applied
	case c.Rollout != nil:
		return r.changeRollout(*c.Rollout)
	case c.Condemned != nil:
		r.condemnedChanges++
		return r.store.ChangeCondemned(*c.Condemned)
	case c.Spread != nil:
		return r.store.ChangeSpread(*c.Spread)
	}
	for _, s := range c.Join {
		r.store.Join(s.FromWire())
	}
	return false
}

// changeRollout applies a change of a rollout. The caller holds mu.
func (r *Replicated) changeRollout(c document.RolloutChange) bool {
	applied := r.store.ChangeRollout(c)
	if newest, known := r.store.Rollout(c.Pool); applied && known {
		r.rolloutOrders = r.rolloutOrders.WithRollout(r.now(), newest)
	}
	return applied
}

// Snapshot implements [replica.StateMachine].
func (r *Replicated) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.MarshalBinary()
}

// Restore implements [replica.StateMachine].
func (r *Replicated) Restore(image []byte) error {
	r.mu.Lock()
	err := r.store.UnmarshalBinary(image)
	r.rolloutOrders = r.rolloutOrders.WithSnapshot(r.now(), r.store.Rollouts())
	r.condemnedChanges++
	r.mu.Unlock()
	r.notify()
	return err
}
