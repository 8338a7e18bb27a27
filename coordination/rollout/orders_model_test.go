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

// This file tests what is decided about operators' orders whose copies come late, in a model.

// model is a log, three replicas of which one leads, and an operator. The log is what the
// majority has; a replica applies it later than that, and all of it before it decides.
type model struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	log      []entry
	truth    document.Store // all of the log
	replicas [3]member
	leader   int
	current  int          // number of the order that is given
	begun    map[int]bool // orders that began a rollout
	began    time.Duration
	flying   []flight
	calm     time.Duration // until then the leader stays: it alone remembers an order that began nothing
}

type entry struct {
	change document.RolloutChange
	order  int // that it carries out; 0 if it ends a rollout
}

// member is a replica: its clock began at another time, and what it remembers of orders is
// its own.
type member struct {
	offset  time.Duration
	store   document.Store
	orders  Orders
	applied int
}

// flight is a copy of an order on its way.
type flight struct {
	arrives time.Duration
	number  int
	order   Order
	to      int
}

const (
	modelWindow = 5 * time.Second
	modelTick   = 100 * time.Millisecond
)

// apply lets a replica apply the whole log.
func (m *model) apply(i int) *member {
	r := &m.replicas[i]
	for ; r.applied < len(m.log); r.applied++ {
		if r.store.ChangeRollout(m.log[r.applied].change) {
			newest, _ := r.store.Rollout("p")
			r.orders = r.orders.WithRollout(m.now+r.offset, newest)
		}
	}
	return r
}

// commit puts an entry into the log, and checks that an order that is late begins nothing.
func (m *model) commit(e entry) {
	m.log = append(m.log, e)
	if !m.truth.ChangeRollout(e.change) || e.order == 0 {
		return
	}
	m.began = m.now
	if e.order != m.current || m.begun[e.order] {
		m.t.Errorf("at %v a copy of order %d begins a rollout again, after order %d", m.now, e.order, m.current)
	}
	m.begun[e.order] = true
}

// restart lets a replica forget what it remembers of orders, and read the log or a snapshot.
func (m *model) restart(i int) {
	r := &m.replicas[i]
	*r = member{offset: time.Duration(m.rng.Int64N(int64(time.Hour))) - m.now, orders: Orders{Window: modelWindow}}
	if m.rng.IntN(2) == 0 {
		m.install(i)
	}
	m.apply(i)
}

// install lets a replica that lacks entries take a snapshot in their place. It keeps what it
// remembers of orders.
func (m *model) install(i int) {
	r := &m.replicas[i]
	b, err := m.truth.MarshalBinary()
	is.New(m.t).NoErr(err)
	is.New(m.t).NoErr(r.store.UnmarshalBinary(b))
	r.applied = len(m.log)
	r.orders = r.orders.WithSnapshot(m.now+r.offset, r.store.Rollouts())
}

// disturb changes the leader, restarts a replica, lets one catch up by the log or by a snapshot,
// or ends the rollout.
func (m *model) disturb() {
	switch m.rng.IntN(20) {
	case 0:
		if m.now > m.calm {
			m.leader = m.rng.IntN(3)
		}
	case 1:
		if i := m.rng.IntN(3); i != m.leader || m.now > m.calm {
			m.restart(i)
		}
	case 2, 3:
		m.apply(m.rng.IntN(3))
	case 4, 5, 6:
		newest, _ := m.truth.Rollout("p")
		change, underWay := Abort(newest)
		if !underWay {
			return
		}
		if m.now-m.began > modelWindow && m.rng.IntN(2) == 0 {
			change.State = document.RolloutComplete
		}
		change.Elapsed = time.Duration(m.rng.Int64N(int64(m.now-m.began) + 1)) // a new leader knows too little
		m.commit(entry{change: change})
	case 7:
		if i := m.rng.IntN(3); i != m.leader {
			m.install(i)
		}
	}
}

// send sends a copy of the order to one replica, or to two.
func (m *model) send(number int, o Order, last time.Duration) {
	for range 1 + m.rng.IntN(2) {
		arrives := m.now + time.Duration(m.rng.Int64N(int64(last-m.now)))
		m.flying = append(m.flying, flight{arrives: arrives, number: number, order: o, to: m.rng.IntN(3)})
	}
}

// deliver lets all copies arrive that are due, and reports whether the current order was
// acknowledged to its sender.
func (m *model) deliver() (acknowledged bool) {
	due := func(f flight) bool { return f.arrives <= m.now }
	arrived := slices.DeleteFunc(slices.Clone(m.flying), func(f flight) bool { return !due(f) })
	m.flying = slices.DeleteFunc(m.flying, due)
	var proposed []entry // decided on from one state, as two replicas do that both believe to lead
	for _, f := range arrived {
		r := m.apply(m.leader) // a follower points to it
		newest, _ := r.store.Rollout("p")
		verdict, change := r.orders.Decide(m.now+r.offset, f.order, newest)
		switch verdict {
		case Accept:
			proposed = append(proposed, entry{change: change, order: f.number})
		case AlreadyApplied:
			r.orders = r.orders.WithRepeat(m.now+r.offset, f.order)
			if !m.begun[f.number] {
				m.calm = m.now + modelWindow
			}
			acknowledged = acknowledged || f.number == m.current && m.rng.IntN(3) > 0 // some are lost
		case Conflict:
			if f.number != m.current {
				m.t.Errorf("at %v a copy of order %d is a conflict", m.now, f.number)
			}
		}
	}
	for _, e := range proposed {
		m.commit(e)
	}
	return acknowledged
}

// carryOut gives an order until it is acknowledged or its time for repeating is over.
func (m *model) carryOut(number int) (acknowledged bool) {
	m.current = number
	o := order(fmt.Sprint("v", m.rng.IntN(4)))
	last := m.now + modelWindow
	for next := m.now; m.now < last && !acknowledged; m.now += modelTick {
		if m.now >= next {
			m.send(number, o, last)
			next += time.Second
		}
		m.disturb()
		acknowledged = m.deliver()
	}
	for pause := m.now + time.Duration(m.rng.Int64N(int64(8*time.Second))); m.now < pause; m.now += modelTick {
		m.disturb()
		m.deliver()
	}
	return acknowledged
}

// TestCopiesBeginNothing gives orders whose copies arrive in any order, at any replica, while
// leaders change, replicas restart and rollouts end by themselves: each order begins one
// rollout at most, and none after a later order.
func TestCopiesBeginNothing(t *testing.T) {
	acknowledged, begun := 0, 0
	const seeds, orders = 300, 20
	for seed := range uint64(seeds) {
		m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 3)), begun: map[int]bool{}}
		for i := range m.replicas {
			m.restart(i)
		}
		for number := 1; number <= orders; number++ {
			if m.carryOut(number) {
				acknowledged++
			}
		}
		begun += len(m.begun)
	}
	t.Logf("of %d orders %d were acknowledged, %d began a rollout", seeds*orders, acknowledged, begun)
	is.New(t).True(acknowledged > seeds*orders/2) // the model does what it is for
	is.New(t).True(begun > seeds*orders/4)
}
