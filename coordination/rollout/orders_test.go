// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests what is decided about operators' orders.

func order(target string) Order { return Order{Pool: "p", Target: target, Duration: time.Minute} }

func TestOrderCheck(t *testing.T) {
	long := strings.Repeat("v", document.MaxVersionName+1)
	for _, tt := range []struct {
		order Order
		fits  bool
	}{
		{order("v2"), true},
		{Order{Pool: "p", Target: long[1:], Duration: 1}, true},
		{Order{Pool: "p", Target: "v2", Duration: longestRollout}, true},
		{Order{Pool: "p", Target: "v2", Duration: longestRollout + 1}, false},
		{Order{Pool: "p", Target: "v2"}, false},
		{Order{Pool: "p", Target: "v2", Duration: -1}, false},
		{Order{Pool: "p", Target: "", Duration: 1}, false},
		{Order{Pool: "p", Target: long, Duration: 1}, false},
		{Order{Pool: "", Target: "v2", Duration: 1}, false},
		{Order{Pool: long, Target: "v2", Duration: 1}, false},
	} {
		err := tt.order.Check()
		is.New(t).Equal(err == nil, tt.fits)
		is.New(t).True(err == nil || errors.As(err, new(InvalidOrder)))
	}
}

func TestDecideOrder(t *testing.T) {
	const window = 5 * time.Second
	underWay, complete, back := document.RolloutUnderWay, document.RolloutComplete, document.RolloutRolledBack
	for _, tt := range []struct {
		name   string
		newest document.RolloutState // of v2, ordered at 0
		target string
		after  time.Duration // since the order
		want   Verdict
	}{
		{"a copy of what is under way", underWay, "v2", time.Second, Done},
		{"one long after", underWay, "v2", time.Hour, Done},
		{"another version", underWay, "v3", time.Second, Conflict},
		{"another version long after", underWay, "v3", time.Hour, Conflict},
		{"a copy after the end", complete, "v2", time.Second, Done},
		{"what has the requests", complete, "v2", time.Hour, Done},
		{"the next version", complete, "v3", time.Second, Take},
		{"a copy of what was rolled back", back, "v2", window, Done},
		{"a new attempt", back, "v2", window + 1, Take},
		{"another version than what was rolled back", back, "v3", time.Second, Take},
		{"the first of a pool", 0, "v2", 0, Take},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			orders := Orders{Window: window}
			var newest document.Rollout
			if tt.newest != 0 {
				newest = document.Rollout{Pool: "p", Target: "v2", State: underWay, Attempt: 4, Changes: 9}
				orders = orders.WithRollout(0, newest)
				newest.State, newest.Changes = tt.newest, 10
			}
			verdict, change := orders.Decide(tt.after, order(tt.target), newest)
			is.Equal(verdict, tt.want)
			if verdict == Take {
				is.Equal(change, document.RolloutChange{Pool: "p", Target: tt.target, Duration: time.Minute, State: underWay, After: newest.Changes})
			}
		})
	}
}

// TestCopyWhileAnotherIsUnderWay: a copy is acknowledged, as its order was, and moves nothing.
func TestCopyWhileAnotherIsUnderWay(t *testing.T) {
	is := is.New(t)
	orders := Orders{}.WithRollout(0, document.Rollout{Pool: "p", Target: "v2", State: document.RolloutUnderWay})
	next := document.Rollout{Pool: "p", Target: "v3", State: document.RolloutUnderWay, Changes: 3}
	orders = orders.WithRollout(2*time.Second, next)
	verdict, _ := orders.Decide(3*time.Second, order("v2"), next)
	is.Equal(verdict, Done)
	verdict, _ = orders.Decide(DefaultWindow+1, order("v2"), next)
	is.Equal(verdict, Conflict) // it is an order of its own
	other := Order{Pool: "q", Target: "v2", Duration: time.Minute}
	verdict, _ = orders.Decide(3*time.Second, other, document.Rollout{})
	is.Equal(verdict, Take) // of another pool
}

// TestOrdersKnowTheAgeOfARollout: a replica that reads the log or a snapshot takes no order
// for younger than the log says, nor for older.
func TestOrdersKnowTheAgeOfARollout(t *testing.T) {
	is := is.New(t)
	back := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutRolledBack, Attempt: 1, Elapsed: 3 * time.Second}
	verdict, _ := Orders{}.WithRollout(0, back).Decide(2*time.Second, order("v2"), back)
	is.Equal(verdict, Done)
	verdict, _ = Orders{}.WithRollout(0, back).Decide(2*time.Second+1, order("v2"), back)
	is.Equal(verdict, Take)
	began := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutUnderWay, Attempt: 1}
	orders := Orders{}.WithRollout(0, began).WithRollout(time.Second, document.Rollout{
		Pool: "p", Target: "v2", State: document.RolloutRolledBack, Attempt: 1, Elapsed: 1, // too little
	})
	verdict, _ = orders.Decide(DefaultWindow+1, order("v2"), back)
	is.Equal(verdict, Take)
	ended := began
	ended.State = document.RolloutRolledBack // before any time was noted
	verdict, _ = Orders{}.WithRollout(0, began).WithRollout(time.Minute, ended).Decide(time.Minute, order("v2"), ended)
	is.Equal(verdict, Take)
	began.Attempt = 2
	orders = orders.WithRollout(4*time.Second, began)
	verdict, _ = orders.Decide(4*time.Second+DefaultWindow, order("v2"), back)
	is.Equal(verdict, Done)
}

// TestRepeatsAreRemembered: an order that was acknowledged and began nothing has copies too.
func TestRepeatsAreRemembered(t *testing.T) {
	is := is.New(t)
	complete := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutComplete, Elapsed: time.Hour}
	orders := Orders{}.WithRollout(0, complete).WithRepeat(time.Minute, order("v2"))
	next := document.Rollout{Pool: "p", Target: "v3", State: document.RolloutRolledBack, Elapsed: time.Second}
	orders = orders.WithRollout(time.Minute+2*time.Second, next)
	verdict, _ := orders.Decide(time.Minute+DefaultWindow, order("v2"), next)
	is.Equal(verdict, Done)
	verdict, _ = orders.Decide(time.Minute+DefaultWindow+1, order("v2"), next)
	is.Equal(verdict, Take)
}

// TestSnapshotsSayLittle: of a version that was rolled back before the newest rollout, a
// snapshot does not say when; a replica that ran meanwhile knows it.
func TestSnapshotsSayLittle(t *testing.T) {
	is := is.New(t)
	newest := []document.Rollout{{Pool: "p", Target: "v3", State: document.RolloutRolledBack, Attempt: 2, Barred: []string{"v2", "v3"}, Elapsed: time.Hour}}
	orders := Orders{}.WithSnapshot(0, newest)
	verdict, _ := orders.Decide(DefaultWindow, order("v2"), newest[0])
	is.Equal(verdict, Done)
	verdict, _ = orders.Decide(DefaultWindow+1, order("v2"), newest[0])
	is.Equal(verdict, Take)
	verdict, _ = orders.Decide(0, order("v3"), newest[0])
	is.Equal(verdict, Take)
	orders = Orders{}.WithRollout(0, document.Rollout{Pool: "p", Target: "v2", Attempt: 1}).WithSnapshot(time.Second, newest)
	verdict, _ = orders.Decide(DefaultWindow+1, order("v2"), newest[0])
	is.Equal(verdict, Take)
}

// TestSnapshotsSkipAttempts: what a replica remembers of earlier attempts says nothing of those
// that it did not see.
func TestSnapshotsSkipAttempts(t *testing.T) {
	is := is.New(t)
	first := Orders{}.WithRollout(0, document.Rollout{Pool: "p", Target: "v2", Attempt: 1})
	again := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutRolledBack, Attempt: 2, Barred: []string{"v2"}, Elapsed: time.Second}
	verdict, _ := first.WithSnapshot(time.Minute, []document.Rollout{again}).Decide(time.Minute+DefaultWindow-time.Second, order("v2"), again)
	is.Equal(verdict, Done)
	next := document.Rollout{Pool: "p", Target: "v3", State: document.RolloutRolledBack, Attempt: 3, Barred: []string{"v2", "v3"}, Elapsed: time.Second}
	orders := first.WithSnapshot(time.Minute, []document.Rollout{next})
	verdict, _ = orders.Decide(time.Minute+DefaultWindow, order("v2"), next)
	is.Equal(verdict, Done)
	same := orders.WithSnapshot(time.Minute+time.Second, []document.Rollout{next}) // that has nothing new
	verdict, _ = same.Decide(time.Minute+DefaultWindow+1, order("v2"), next)
	is.Equal(verdict, Take)
}

// TestLargestSnapshot reads as much as a snapshot may hold; that must not take the square of it.
func TestLargestSnapshot(t *testing.T) {
	var barred []string
	for v := range document.MaxVersions {
		barred = append(barred, fmt.Sprint("v", v))
	}
	var newest []document.Rollout
	for pool := range document.MaxRollouts {
		newest = append(newest, document.Rollout{
			Pool: fmt.Sprint(pool), Target: "t", State: document.RolloutComplete, Attempt: document.MaxVersions + 1, Barred: barred,
		})
	}
	orders := Orders{}.WithSnapshot(0, newest)
	is.New(t).Equal(len(orders.taken), document.MaxRollouts*(document.MaxVersions+1))
}

func TestAbort(t *testing.T) {
	is := is.New(t)
	r := document.Rollout{Pool: "p", Target: "v2", State: document.RolloutUnderWay, Changes: 3, Elapsed: time.Second}
	change, may := Abort(r)
	is.True(may)
	is.Equal(change, document.RolloutChange{Pool: "p", Target: "v2", State: document.RolloutRolledBack, After: 3, Elapsed: time.Second})
	r.State = document.RolloutComplete
	_, may = Abort(r)
	is.True(!may)
}

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
		case Take:
			proposed = append(proposed, entry{change: change, order: f.number})
		case Done:
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
