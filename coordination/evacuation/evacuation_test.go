// SPDX-License-Identifier: Apache-2.0

package evacuation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDecide(t *testing.T) {
	is := is.New(t)
	const hall = "hall-a"
	orders := Orders{Window: 5 * time.Second}
	is.Equal(orders.Decide(0, hall, false, false), AlreadyApplied) // is in service
	is.Equal(orders.Decide(0, hall, true, false), Accept)
	orders = orders.WithTaken(0, hall, true)
	is.Equal(orders.Decide(time.Second, hall, true, true), AlreadyApplied) // again
	is.Equal(orders.Decide(time.Second, hall, false, true), Accept)
	orders = orders.WithTaken(time.Second, hall, false)
	is.Equal(orders.Decide(4*time.Second, hall, true, false), Ambiguous) // a copy of the first, or a new one
	is.Equal(orders.Decide(4*time.Second, "hall-b", true, false), Accept)
	is.Equal(orders.Decide(5*time.Second+1, hall, true, false), Accept)
	is.Equal(orders.PutBackWithin(3*time.Second, 2*time.Second), []string{hall})
	is.Equal(len(orders.PutBackWithin(4*time.Second, 2*time.Second)), 0)
}

// copyOf is one copy of an order on its way to a replica.
type copyOf struct {
	sent, arrives time.Duration
	order         int
	out           bool
}

// operator is the model of a sender: it sends an order to one replica after the other, a
// second apart, until one acknowledges it, and takes the next order a while later. Each
// copy takes up to mostDelay to arrive, whatever was sent after it.
type operator struct {
	rng       *rand.Rand
	mostDelay time.Duration
	orders    Orders
	out       bool
	pending   []copyOf
	now       time.Duration
}

// deliver lets the next copy arrive and reports whether it was acknowledged.
func (o *operator) deliver(t *testing.T, current int, settled bool) (c copyOf, acknowledged bool) {
	slices.SortStableFunc(o.pending, func(a, b copyOf) int { return int(a.arrives - b.arrives) })
	c, o.pending = o.pending[0], o.pending[1:]
	o.now = max(o.now, c.arrives)
	switch o.orders.Decide(o.now, "hall", c.out, o.out) {
	case Ambiguous:
		return c, false
	case Accept:
		if c.order < current || settled {
			t.Errorf("at %v a copy of order %d takes effect after order %d", o.now, c.order, current)
		}
		o.out = c.out
		o.orders = o.orders.WithTaken(o.now, "hall", c.out)
	}
	return c, true
}

// carryOut gives an order until it is acknowledged, and returns how long that took.
func (o *operator) carryOut(t *testing.T, order int, out bool) time.Duration {
	began := o.now
	for send := began; ; send += time.Second {
		o.pending = append(o.pending, copyOf{sent: send, arrives: send + time.Duration(o.rng.Int64N(int64(o.mostDelay))), order: order, out: out})
		for len(o.pending) > 0 && slices.ContainsFunc(o.pending, func(c copyOf) bool { return c.arrives <= send+time.Second }) {
			if c, ok := o.deliver(t, order, false); ok && c.order == order {
				return o.now - began
			}
		}
		o.now = max(o.now, send+time.Second)
	}
}

// run gives twenty orders, each the opposite of the one before, and lets every copy arrive
// in the end. It returns the longest time to an acknowledgement.
func (o *operator) run(t *testing.T) (longest time.Duration) {
	for order := range 20 {
		out := order%2 == 0
		longest = max(longest, o.carryOut(t, order, out))
		pause := o.now + time.Duration(o.rng.Int64N(int64(8*time.Second)))
		for len(o.pending) > 0 && slices.ContainsFunc(o.pending, func(c copyOf) bool { return c.arrives <= pause }) {
			o.deliver(t, order, true)
		}
		if o.out != out {
			t.Fatalf("order %d was acknowledged and is not in force", order)
		}
		o.now = pause
	}
	for len(o.pending) > 0 {
		o.deliver(t, 19, true)
	}
	return longest
}

// TestLateCopiesChangeNothing gives orders whose copies arrive in any order, up to 4.9 s
// late: what was acknowledged stays in force until the next order, and no order waits for
// longer than the window and a few sendings. With a window of 1 ns, the order of arrival,
// it fails.
func TestLateCopiesChangeNothing(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(300) {
		o := &operator{rng: rand.New(rand.NewPCG(seed, 1)), mostDelay: 4900 * time.Millisecond, orders: Orders{Window: 5 * time.Second}}
		longest = max(longest, o.run(t))
	}
	if longest > 12*time.Second {
		t.Errorf("an order took %v", longest)
	}
}
