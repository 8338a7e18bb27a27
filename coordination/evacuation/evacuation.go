// SPDX-License-Identifier: Apache-2.0

// Package evacuation decides about operators' orders that take a data hall out of service
// or put it back.
//
// The model: an order has no number. Its sender repeats it, at any replica, until one
// acknowledges it, and for a limited time only (Orders.Window); copies of it may be on
// their way when it is acknowledged. An order that asks for what is, is acknowledged again.
// One that asks for the opposite is a new order, or a late copy of the one before last:
// nothing in it tells which. It is certainly new once the window has passed since an equal
// order was taken. Until then it is refused as unclear, which changes nothing: the sender
// of a new order repeats it for longer than that, and nobody waits for the answer to a copy.
//
// Ways weighed, by what a copy does that arrives after the opposite order was acknowledged:
//   - the order of arrival at the log: the copy takes a hall out that its operator has put
//     back, for good, and a third of the fleet with it;
//   - acknowledged without an effect for the window: harmless for copies, but a new order
//     is acknowledged as well and not in force, which no operator can see;
//   - refused as unclear for the window (kept): a new order that follows two others within
//     the window is taken up to the window later.
//
// A copy that is delayed by more than the window is not recognized here. Its sender has
// closed the connection by then, and the caller of this package drops what comes from one.
//
// Orders is immutable; it reads no clock. now is any one monotonic clock.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Verdict is what is to be done about an order.
type Verdict uint8

// The verdicts.
const (
	Accept         Verdict = iota // it changes the hall's state
	AlreadyApplied                // the hall is as it asks
	Ambiguous                     // it may be a late copy, and changes nothing
)

// DefaultWindow is for deployments that state none.
const DefaultWindow = 5 * time.Second

// Orders is when the last order of each kind was taken, by hall. The zero value has taken
// none, and its window is DefaultWindow.
type Orders struct {
	Window time.Duration // for which senders repeat an order; 0 is DefaultWindow

	taken map[order]time.Duration
}

// order is one kind of order for one hall.
type order struct {
	hall string
	out  bool // to take it out of service
}

// WithTaken returns the orders with one that has been taken now.
func (o Orders) WithTaken(now time.Duration, hall string, out bool) Orders {
	taken := maps.Clone(o.taken)
	if taken == nil {
		taken = map[order]time.Duration{}
	}
	taken[order{hall, out}] = now
	return Orders{Window: o.Window, taken: taken}
}

// PutBackWithin returns the halls whose order to be put back was taken no longer than d ago,
// ordered by name.
func (o Orders) PutBackWithin(now, d time.Duration) []string {
	var halls []string
	for ord, at := range o.taken {
		if !ord.out && now-at <= d {
			halls = append(halls, ord.hall)
		}
	}
	slices.Sort(halls)
	return halls
}

// Decide returns what is to be done about an order that arrives now; isOut is the hall's
// state.
func (o Orders) Decide(now time.Duration, hall string, out, isOut bool) Verdict {
	if out == isOut {
		return AlreadyApplied
	}
	window := o.Window
	if window <= 0 {
		window = DefaultWindow
	}
	if at, before := o.taken[order{hall, out}]; before && now-at <= window {
		return Ambiguous
	}
	return Accept
}
