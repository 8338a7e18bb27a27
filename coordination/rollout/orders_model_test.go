// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests Orders in a model where copies of orders arrive late.

// orderModel is a log, three replicas, one of which leads, and an operator. A replica may lag
// behind the log, but applies all of it before it decides.
type orderModel struct {
	t                *testing.T
	rng              *rand.Rand
	now              time.Duration
	log              []logEntry
	committed        document.Store // state after the whole log
	replicas         [3]replicaState
	leader           int
	currentOrder     int          // number of the order being given
	begun            map[int]bool // numbers of the orders that began a rollout
	lastBegan        time.Duration
	inTransit        []orderCopy
	leaderFixedUntil time.Duration // the leader stays until then: it alone remembers an order that began nothing
}

type logEntry struct {
	change document.RolloutChange
	order  int // number of the order; 0 for an entry that ends a rollout
}

// replicaState is a replica with a clock of its own and its own record of orders.
type replicaState struct {
	offset  time.Duration
	store   document.Store
	orders  Orders
	applied int
}

// orderCopy is a copy of an order in transit to a replica.
type orderCopy struct {
	arrives time.Duration
	number  int
	order   Order
	to      int
}

const (
	modelWindow = 5 * time.Second
	modelTick   = 100 * time.Millisecond
)

// applyLog applies the rest of the log at replica i.
func (m *orderModel) applyLog(i int) *replicaState {
	r := &m.replicas[i]
	for ; r.applied < len(m.log); r.applied++ {
		if r.store.ChangeRollout(m.log[r.applied].change) {
			newest, _ := r.store.Rollout("p")
			r.orders = r.orders.WithRollout(m.now+r.offset, newest)
		}
	}
	return r
}

// commit appends an entry to the log and checks that no late copy begins a rollout.
func (m *orderModel) commit(e logEntry) {
	m.log = append(m.log, e)
	if !m.committed.ChangeRollout(e.change) || e.order == 0 {
		return
	}
	m.lastBegan = m.now
	if e.order != m.currentOrder || m.begun[e.order] {
		m.t.Errorf("at %v a copy of order %d begins a rollout again, after order %d", m.now, e.order, m.currentOrder)
	}
	m.begun[e.order] = true
}

// restart clears a replica's record of orders and restores it from the log, or from a snapshot and
// the log.
func (m *orderModel) restart(i int) {
	r := &m.replicas[i]
	*r = replicaState{offset: time.Duration(m.rng.Int64N(int64(time.Hour))) - m.now, orders: Orders{Window: modelWindow}}
	if m.rng.IntN(2) == 0 {
		m.install(i)
	}
	m.applyLog(i)
}

// install replaces missing entries at a replica by a snapshot. The replica's record of orders
// stays.
func (m *orderModel) install(i int) {
	r := &m.replicas[i]
	b, err := m.committed.MarshalBinary()
	is.New(m.t).NoErr(err)
	is.New(m.t).NoErr(r.store.UnmarshalBinary(b))
	r.applied = len(m.log)
	r.orders = r.orders.WithSnapshot(m.now+r.offset, r.store.Rollouts())
}

// injectFault changes the leader, restarts a replica, lets one catch up by log or snapshot, ends
// the rollout, or does nothing.
func (m *orderModel) injectFault() {
	switch m.rng.IntN(20) {
	case 0:
		if m.now > m.leaderFixedUntil {
			m.leader = m.rng.IntN(3)
		}
	case 1:
		if i := m.rng.IntN(3); i != m.leader || m.now > m.leaderFixedUntil {
			m.restart(i)
		}
	case 2, 3:
		m.applyLog(m.rng.IntN(3))
	case 4, 5, 6:
		newest, _ := m.committed.Rollout("p")
		change, underWay := Abort(newest)
		if !underWay {
			return
		}
		if m.now-m.lastBegan > modelWindow && m.rng.IntN(2) == 0 {
			change.State = document.RolloutComplete
		}
		change.Elapsed = time.Duration(m.rng.Int64N(int64(m.now-m.lastBegan) + 1)) // a new leader may record too short a time
		m.commit(logEntry{change: change})
	case 7:
		if i := m.rng.IntN(3); i != m.leader {
			m.install(i)
		}
	}
}

// send sends copies of the order to one replica or to two.
func (m *orderModel) send(number int, o Order, last time.Duration) {
	for range 1 + m.rng.IntN(2) {
		arrives := m.now + time.Duration(m.rng.Int64N(int64(last-m.now)))
		m.inTransit = append(m.inTransit, orderCopy{arrives: arrives, number: number, order: o, to: m.rng.IntN(3)})
	}
}

// deliver processes all copies that are due, and reports whether the sender received an
// acknowledgement of the current order.
func (m *orderModel) deliver() (acknowledged bool) {
	due := func(c orderCopy) bool { return c.arrives <= m.now }
	arrived := slices.DeleteFunc(slices.Clone(m.inTransit), func(c orderCopy) bool { return !due(c) })
	m.inTransit = slices.DeleteFunc(m.inTransit, due)
	var proposed []logEntry // all decided on the same state, as by two replicas that both believe to lead
	for _, c := range arrived {
		r := m.applyLog(m.leader) // a follower redirects to the leader
		newest, _ := r.store.Rollout("p")
		verdict, change := r.orders.Decide(m.now+r.offset, c.order, newest)
		switch verdict {
		case Accept:
			proposed = append(proposed, logEntry{change: change, order: c.number})
		case AlreadyApplied:
			r.orders = r.orders.WithAcknowledged(m.now+r.offset, c.order)
			if !m.begun[c.number] {
				m.leaderFixedUntil = m.now + modelWindow
			}
			acknowledged = acknowledged || c.number == m.currentOrder && m.rng.IntN(3) > 0 // some acknowledgements are lost
		case Conflict:
			if c.number != m.currentOrder {
				m.t.Errorf("at %v a copy of order %d is a conflict", m.now, c.number)
			}
		}
	}
	for _, e := range proposed {
		m.commit(e)
	}
	return acknowledged
}

// giveOrder repeats an order until it is acknowledged or the window ends, then waits for a random
// time.
func (m *orderModel) giveOrder(number int) (acknowledged bool) {
	m.currentOrder = number
	o := order(fmt.Sprint("v", m.rng.IntN(4)))
	last := m.now + modelWindow
	for next := m.now; m.now < last && !acknowledged; m.now += modelTick {
		if m.now >= next {
			m.send(number, o, last)
			next += time.Second
		}
		m.injectFault()
		acknowledged = m.deliver()
	}
	for until := m.now + time.Duration(m.rng.Int64N(int64(8*time.Second))); m.now < until; m.now += modelTick {
		m.injectFault()
		m.deliver()
	}
	return acknowledged
}

// TestLateCopiesBeginNoRollout: an order begins at most one rollout, and none after a later order.
// Copies arrive in any order at any replica while leaders change, replicas restart and rollouts
// end.
func TestLateCopiesBeginNoRollout(t *testing.T) {
	acknowledged, begun := 0, 0
	const seeds, orders = 300, 20
	for seed := range uint64(seeds) {
		m := &orderModel{t: t, rng: rand.New(rand.NewPCG(seed, 3)), begun: map[int]bool{}}
		for i := range m.replicas {
			m.restart(i)
		}
		for number := 1; number <= orders; number++ {
			if m.giveOrder(number) {
				acknowledged++
			}
		}
		begun += len(m.begun)
	}
	t.Logf("of %d orders %d were acknowledged, %d began a rollout", seeds*orders, acknowledged, begun)
	is.New(t).True(acknowledged > seeds*orders/2) // the model exercises both outcomes
	is.New(t).True(begun > seeds*orders/4)
}
