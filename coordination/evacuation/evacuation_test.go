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
	is.Equal(orders.Decide(0, hall, false, false), AlreadyApplied) // already in service
	is.Equal(orders.Decide(0, hall, true, false), Accept)
	orders = orders.WithAccepted(0, hall, true)
	is.Equal(orders.Decide(time.Second, hall, true, true), AlreadyApplied) // repeated
	is.Equal(orders.Decide(time.Second, hall, false, true), Accept)
	orders = orders.WithAccepted(time.Second, hall, false)
	is.Equal(orders.Decide(4*time.Second, hall, true, false), Ambiguous) // a copy of the first order, or a new one
	is.Equal(orders.Decide(4*time.Second, "hall-b", true, false), Accept)
	is.Equal(orders.Decide(5*time.Second+1, hall, true, false), Accept)
	is.Equal(orders.PutBackWithin(3*time.Second, 2*time.Second), []string{hall})
	is.Equal(len(orders.PutBackWithin(4*time.Second, 2*time.Second)), 0)
}

// orderCopy is a copy of an order in transit to a replica.
type orderCopy struct {
	sent, arrives time.Duration
	order         int
	out           bool
}

// operator models a sender, which sends an order to one replica after the other, a second apart,
// until one acknowledges it, and gives the next order some time later. Each copy takes up to
// maxDelay to arrive, so copies may arrive out of order.
type operator struct {
	rng      *rand.Rand
	maxDelay time.Duration
	orders   Orders
	out      bool
	pending  []orderCopy
	now      time.Duration
}

// deliver processes the next copy, and reports whether it was acknowledged.
func (o *operator) deliver(t *testing.T, currentOrder int, settled bool) (c orderCopy, acknowledged bool) {
	slices.SortStableFunc(o.pending, func(a, b orderCopy) int { return int(a.arrives - b.arrives) })
	c, o.pending = o.pending[0], o.pending[1:]
	o.now = max(o.now, c.arrives)
	switch o.orders.Decide(o.now, "hall", c.out, o.out) {
	case Ambiguous:
		return c, false
	case Accept:
		if c.order < currentOrder || settled {
			t.Errorf("at %v a copy of order %d takes effect after order %d", o.now, c.order, currentOrder)
		}
		o.out = c.out
		o.orders = o.orders.WithAccepted(o.now, "hall", c.out)
	}
	return c, true
}

// giveOrder repeats an order until it is acknowledged, and returns how long that took.
func (o *operator) giveOrder(t *testing.T, order int, out bool) time.Duration {
	began := o.now
	for send := began; ; send += time.Second {
		o.pending = append(o.pending, orderCopy{sent: send, arrives: send + time.Duration(o.rng.Int64N(int64(o.maxDelay))), order: order, out: out})
		for len(o.pending) > 0 && slices.ContainsFunc(o.pending, func(c orderCopy) bool { return c.arrives <= send+time.Second }) {
			if c, ok := o.deliver(t, order, false); ok && c.order == order {
				return o.now - began
			}
		}
		o.now = max(o.now, send+time.Second)
	}
}

// run gives twenty orders, each the opposite of the one before, and delivers all copies in the end.
// It returns the longest time to an acknowledgement.
func (o *operator) run(t *testing.T) (longest time.Duration) {
	for order := range 20 {
		out := order%2 == 0
		longest = max(longest, o.giveOrder(t, order, out))
		until := o.now + time.Duration(o.rng.Int64N(int64(8*time.Second)))
		for len(o.pending) > 0 && slices.ContainsFunc(o.pending, func(c orderCopy) bool { return c.arrives <= until }) {
			o.deliver(t, order, true)
		}
		if o.out != out {
			t.Fatalf("order %d was acknowledged and is not in force", order)
		}
		o.now = until
	}
	for len(o.pending) > 0 {
		o.deliver(t, 19, true)
	}
	return longest
}

// TestLateCopiesChangeNothing: copies arrive in any order, up to 4.9 s late. An acknowledged order
// stays in force until the next one, and no order waits for longer than the window and a few
// repetitions. The test fails with a window of 1 ns, where orders are applied as they arrive.
func TestLateCopiesChangeNothing(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(300) {
		o := &operator{rng: rand.New(rand.NewPCG(seed, 1)), maxDelay: 4900 * time.Millisecond, orders: Orders{Window: 5 * time.Second}}
		longest = max(longest, o.run(t))
	}
	if longest > 12*time.Second {
		t.Errorf("an order took %v", longest)
	}
}
