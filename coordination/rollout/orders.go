// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"fmt"
	"maps"
	"time"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines Orders, which decides what an operator's order does.
//
// An order has no number. Its sender repeats it, at any replica, for a limited time (Orders.Window)
// or until one acknowledges it. Copies may still be in transit then. Since a rollout ends by
// itself, a copy may also arrive after the end.
//
// A copy that arrives after its rollout was rolled back could be handled in these ways:
//   - Begin a new attempt: a bad version gets requests again although nobody ordered it.
//   - Refuse it as ambiguous within the window, as for orders about halls: a sender that lost the
//     acknowledgement repeats the order until the window has passed and begins a new attempt.
//   - Acknowledge it without an effect within the window (used here): a new order for a version
//     that was rolled back changes nothing within the window of the last acknowledged order.
//     Operators can read in the rollout's state that the version was rolled back.
//
// Only the leader that acknowledges an order without an effect remembers it. If another leader
// follows within the window, a copy of such an order may begin a rollout there. The same applies to
// a copy of an order whose rollout completed and was followed by another one within the window, at
// a replica that learned of it from a snapshot only.
//
// An order for the version that is under way is acknowledged whatever its duration, and the first
// order's deadline stays. A sender that repeats an order with the remaining time means the same
// deadline, and a late copy must not move it.
//
// Orders is immutable and reads no clock. now is the time of any monotonic clock.

// Order requests that a pool's requests move to a version of its backend servers.
type Order struct {
	Pool     string
	Target   string        // version
	Duration time.Duration // from the order to the deadline
}

// maxDuration bounds Order.Duration. A longer one is most likely an error in the unit.
const maxDuration = 30 * 24 * time.Hour

// InvalidOrder is the error for an order that fails [Order.Check].
type InvalidOrder struct{ Reason string }

// Error returns the reason.
func (e InvalidOrder) Error() string { return "invalid rollout order: " + e.Reason }

// Check returns an [InvalidOrder] error if a field is missing or out of range.
func (o Order) Check() error {
	switch {
	case o.Pool == "" || len(o.Pool) > document.MaxVersionName:
		return InvalidOrder{Reason: fmt.Sprintf("the pool name has %d bytes, not 1 to %d", len(o.Pool), document.MaxVersionName)}
	case o.Target == "" || len(o.Target) > document.MaxVersionName:
		return InvalidOrder{Reason: fmt.Sprintf("the version name has %d bytes, not 1 to %d", len(o.Target), document.MaxVersionName)}
	case o.Duration <= 0 || o.Duration > maxDuration:
		return InvalidOrder{Reason: fmt.Sprintf("the duration is %v, not above 0 and at most %v", o.Duration, maxDuration)}
	}
	return nil
}

// Verdict is the result of an order.
type Verdict uint8

// The verdicts.
const (
	Accept         Verdict = iota // the order begins a rollout
	AlreadyApplied                // a copy, or the version already has the requests: nothing changes
	Conflict                      // a rollout of another version is under way
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Accept:
		return "take"
	case AlreadyApplied:
		return "done"
	case Conflict:
		return "conflict"
	}
	return "unknown"
}

// Windows in which senders repeat an order.
const (
	// DefaultWindow applies if a deployment configures none.
	DefaultWindow = 5 * time.Second
	// MinWindow is the shortest window, whatever a deployment configures: the command line repeats
	// an order for this time.
	MinWindow = 4 * time.Second
)

// Orders holds the times of the last accepted and acknowledged orders by pool and version. The zero
// value is empty, with a window of DefaultWindow.
type Orders struct {
	Window time.Duration // for which senders repeat an order, at least MinWindow; 0 means DefaultWindow

	accepted     map[version]orderTime // by version: orders that began a rollout
	acknowledged map[version]orderTime // by version: last acknowledged orders that began none
}

// version identifies a version of a pool's backend servers.
type version struct{ pool, name string }

// orderTime is when an order arrived. attempt is set if it began a rollout: it is the number of the
// pool's attempt that it began, or of a later one.
type orderTime struct {
	at      time.Duration
	attempt uint64
}

// WithRollout returns the orders after a change to a pool's newest rollout.
func (o Orders) WithRollout(now time.Duration, newest document.Rollout) Orders {
	accepted := o.withinWindow(now, o.accepted)
	accepted[version{newest.Pool, newest.Target}] = o.orderedAt(now, newest)
	return Orders{Window: o.Window, accepted: accepted, acknowledged: o.acknowledged}
}

// WithSnapshot returns the orders after a snapshot replaced a part of the log. A snapshot holds the
// newest rollout of each pool and the versions that were rolled back, but not when these were
// ordered. They are taken to be ordered now, unless no attempt between the recorded one and the
// newest can have been of that version.
func (o Orders) WithSnapshot(now time.Duration, newest []document.Rollout) Orders {
	accepted := o.withinWindow(now, o.accepted)
	for _, r := range newest {
		for _, barred := range r.Barred {
			key := version{r.Pool, barred}
			if earlier, known := o.accepted[key]; !known || r.Attempt > earlier.attempt+1 {
				accepted[key] = orderTime{at: now, attempt: max(r.Attempt, 1) - 1}
			}
		}
		accepted[version{r.Pool, r.Target}] = o.orderedAt(now, r)
	}
	return Orders{Window: o.Window, accepted: accepted, acknowledged: o.acknowledged}
}

// orderedAt returns when a pool's newest rollout was ordered. It is the earlier of the time that
// follows from the rollout's elapsed time, which may be too short, and the time recorded for this
// attempt.
func (o Orders) orderedAt(now time.Duration, newest document.Rollout) orderTime {
	at := now - newest.Elapsed
	if earlier, known := o.accepted[version{newest.Pool, newest.Target}]; known && earlier.attempt == newest.Attempt {
		at = min(at, earlier.at)
	}
	return orderTime{at: at, attempt: newest.Attempt}
}

// WithAcknowledged returns the orders after one was acknowledged that began nothing.
func (o Orders) WithAcknowledged(now time.Duration, order Order) Orders {
	acknowledged := o.withinWindow(now, o.acknowledged)
	acknowledged[version{order.Pool, order.Target}] = orderTime{at: now}
	return Orders{Window: o.Window, accepted: o.accepted, acknowledged: acknowledged}
}

// withinWindow returns a copy of times without those older than the window.
func (o Orders) withinWindow(now time.Duration, times map[version]orderTime) map[version]orderTime {
	recent := map[version]orderTime{}
	maps.Copy(recent, times)
	maps.DeleteFunc(recent, func(_ version, order orderTime) bool { return now-order.at > o.effectiveWindow() })
	return recent
}

// Decide returns the verdict on an order that arrives now, and the change that carries it out.
// newest is the pool's newest rollout, or the zero value.
func (o Orders) Decide(now time.Duration, order Order, newest document.Rollout) (Verdict, document.RolloutChange) {
	same := order.Target == newest.Target
	isCopy := o.isRecentCopy(now, order)
	switch {
	case same && (newest.State == document.RolloutUnderWay || newest.State == document.RolloutComplete), isCopy:
		return AlreadyApplied, document.RolloutChange{}
	case newest.State == document.RolloutUnderWay:
		return Conflict, document.RolloutChange{}
	}
	return Accept, document.RolloutChange{
		Pool: order.Pool, Target: order.Target, Duration: order.Duration, State: document.RolloutUnderWay, After: newest.Changes,
	}
}

// isRecentCopy reports whether an equal order was accepted or acknowledged within the window.
func (o Orders) isRecentCopy(now time.Duration, order Order) bool {
	key := version{order.Pool, order.Target}
	first, isAccepted := o.accepted[key]
	last, isAcknowledged := o.acknowledged[key]
	return isAccepted && now-first.at <= o.effectiveWindow() || isAcknowledged && now-last.at <= o.effectiveWindow()
}

func (o Orders) effectiveWindow() time.Duration {
	if o.Window <= 0 {
		return DefaultWindow
	}
	return max(o.Window, MinWindow)
}

// Abort returns the change that ends a rollout as rolled back, or false if it is not under way.
func Abort(newest document.Rollout) (document.RolloutChange, bool) {
	return document.RolloutChange{
		Pool: newest.Pool, Target: newest.Target, State: document.RolloutRolledBack, After: newest.Changes, Elapsed: newest.Elapsed,
	}, newest.State == document.RolloutUnderWay
}
