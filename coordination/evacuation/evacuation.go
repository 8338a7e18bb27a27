// SPDX-License-Identifier: Apache-2.0

// Package evacuation decides on operators' orders that take a data hall out of service or put it
// back.
//
// An order has no number. Its sender repeats it, at any replica, for a limited time (Orders.Window)
// or until one acknowledges it. Copies may still be in transit then. An order that matches the
// hall's state is acknowledged again. One for the opposite state is either a new order or a late
// copy of the order before last, which cannot be distinguished. It is certainly new once the window
// has passed since an equal order was accepted. Until then it is refused as ambiguous and changes
// nothing: the sender of a new order repeats it for longer than that, and no one waits for the
// answer to a copy.
//
// A copy that arrives after the opposite order was acknowledged could be handled in these ways:
//   - Apply it in the order of arrival: the copy takes a hall out of service, with a third of the
//     fleet, that its operator has put back.
//   - Acknowledge it without an effect within the window: this is harmless for copies, but a new
//     order is acknowledged without being in force, which no operator can detect.
//   - Refuse it as ambiguous within the window (used here): a new order that follows two others
//     within the window is accepted up to the window later.
//
// A copy that is delayed by more than the window is not recognized here. By then its sender has
// closed the connection, and the caller of this package drops orders from closed connections.
//
// Orders is immutable and reads no clock. now is the time of any monotonic clock.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Verdict is the result of an order.
type Verdict uint8

// The verdicts.
const (
	Accept         Verdict = iota // the order changes the hall's state
	AlreadyApplied                // the hall is in the requested state
	Ambiguous                     // the order may be a late copy; nothing changes
)

// DefaultWindow applies if a deployment configures none.
const DefaultWindow = 5 * time.Second

// Orders holds the times of the last accepted orders by hall and kind. The zero value is empty,
// with a window of DefaultWindow.
type Orders struct {
	Window time.Duration // for which senders repeat an order; 0 means DefaultWindow

	accepted map[orderKey]time.Duration
}

// orderKey identifies a kind of order for a hall.
type orderKey struct {
	hall string
	out  bool // out of service, else back into service
}

// WithAccepted returns the orders after one was accepted now.
func (o Orders) WithAccepted(now time.Duration, hall string, out bool) Orders {
	accepted := maps.Clone(o.accepted)
	if accepted == nil {
		accepted = map[orderKey]time.Duration{}
	}
	accepted[orderKey{hall, out}] = now
	return Orders{Window: o.Window, accepted: accepted}
}

// PutBackWithin returns the halls for which an order to put them back was accepted at most d ago,
// ordered by name.
func (o Orders) PutBackWithin(now, d time.Duration) []string {
	var halls []string
	for key, at := range o.accepted {
		if !key.out && now-at <= d {
			halls = append(halls, key.hall)
		}
	}
	slices.Sort(halls)
	return halls
}

// Decide returns the verdict on an order that arrives now. isOut is the hall's state.
func (o Orders) Decide(now time.Duration, hall string, out, isOut bool) Verdict {
	if out == isOut {
		return AlreadyApplied
	}
	window := o.Window
	if window <= 0 {
		window = DefaultWindow
	}
	if at, found := o.accepted[orderKey{hall, out}]; found && now-at <= window {
		return Ambiguous
	}
	return Accept
}
