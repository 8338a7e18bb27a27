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
// An order has no number. Its sender repeats it, at any replica, until one acknowledges it,
// and for a limited time only (Orders.Window); copies of it may be on their way when it is
// acknowledged. A rollout ends by itself, so a copy may also come after the end.
//
// Ways weighed, by what a copy does that arrives after its rollout was rolled back:
//   - a new attempt: a bad version gets requests again, for an order that nobody gave;
//   - refused as unclear for the window, as orders about halls are: a sender whose
//     acknowledgement was lost repeats it until the window has passed, and begins a new attempt;
//   - acknowledged without an effect for the window (kept): a new order for a version that
//     was rolled back, given within the window of the last that was acknowledged, changes
//     nothing. The state that operators read says that the version was rolled back.
//
// What was acknowledged without an effect, only the leader that did it remembers. If another
// one follows within the window, a copy of such an order may begin a rollout there. So may one
// of an order whose rollout was complete and followed by another within the window, at a
// replica that knows of it by a snapshot only.
//
// An order for the version that is under way is acknowledged whatever its time is, and the
// time of the first stays: one who repeats an order with the time that is left means the same
// deadline, and by its order of arrival a late copy would move it.
//
// Orders is immutable; it reads no clock. now is any one monotonic clock.

// Order asks that a pool's requests move to a version of its backend servers.
type Order struct {
	Pool     string
	Target   string        // version
	Duration time.Duration // from the order to the deadline
}

// longestRollout bounds the time of an order. What is to take longer is a mistake of the unit.
const longestRollout = 30 * 24 * time.Hour

// InvalidOrder refuses an order. Nothing was changed.
type InvalidOrder struct{ What string }

// Error names what is wrong.
func (e InvalidOrder) Error() string { return "invalid rollout order: " + e.What }

// Check returns [InvalidOrder], or nil.
func (o Order) Check() error {
	switch {
	case o.Pool == "" || len(o.Pool) > document.MaxVersionName:
		return InvalidOrder{What: fmt.Sprintf("the pool's name has %d bytes", len(o.Pool))}
	case o.Target == "" || len(o.Target) > document.MaxVersionName:
		return InvalidOrder{What: fmt.Sprintf("the version's name has %d bytes", len(o.Target))}
	case o.Duration <= 0 || o.Duration > longestRollout:
		return InvalidOrder{What: fmt.Sprintf("the time is %v", o.Duration)}
	}
	return nil
}

// Verdict is what is to be done about an order.
type Verdict uint8

// The verdicts.
const (
	Accept         Verdict = iota // it begins a rollout
	AlreadyApplied                // it is a copy, or the version has the requests: nothing changes
	Conflict                      // another version is under way
)

// String names the verdict, for logs.
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

// Windows.
const (
	// DefaultWindow is for deployments that state none.
	DefaultWindow = 5 * time.Second
	// MinWindow is the shortest, whatever a deployment states: the command line repeats an
	// order for as long.
	MinWindow = 4 * time.Second
)

// Orders is when the last orders for each version of a pool were taken and acknowledged. The zero
// value has taken none, and its window is DefaultWindow.
type Orders struct {
	Window time.Duration // for which senders repeat an order, LeastWindow at least; 0 is DefaultWindow

	taken map[version]ordered // when an order began a rollout
	again map[version]ordered // when one was last acknowledged that began none
}

// version is one version of one pool's backend servers.
type version struct{ pool, name string }

// ordered is when an order came, and of one that began a rollout the pool's attempt that it
// began, or one after it.
type ordered struct {
	at      time.Duration
	attempt uint64
}

// WithRollout returns the orders after a change that made a pool's newest rollout what it is.
func (o Orders) WithRollout(now time.Duration, newest document.Rollout) Orders {
	taken := o.withinWindow(now, o.taken)
	taken[version{newest.Pool, newest.Target}] = o.begun(now, newest)
	return Orders{Window: o.Window, taken: taken, again: o.again}
}

// WithSnapshot returns the orders after a snapshot was read, which holds the newest rollout of
// each pool, in place of changes that did not come. When a version that was rolled back before
// that was ordered, it does not say: perhaps a moment ago, unless no attempt between the one that
// is known here and the newest could be of that version.
func (o Orders) WithSnapshot(now time.Duration, newest []document.Rollout) Orders {
	taken := o.withinWindow(now, o.taken)
	for _, r := range newest {
		for _, barred := range r.Barred {
			key := version{r.Pool, barred}
			if earlier, known := o.taken[key]; !known || r.Attempt > earlier.attempt+1 {
				taken[key] = ordered{at: now, attempt: max(r.Attempt, 1) - 1}
			}
		}
		taken[version{r.Pool, r.Target}] = o.begun(now, r)
	}
	return Orders{Window: o.Window, taken: taken, again: o.again}
}

// begun returns when a pool's newest rollout was ordered: no later than its elapsed time says,
// which may be too little, nor than this attempt is known here.
func (o Orders) begun(now time.Duration, newest document.Rollout) ordered {
	at := now - newest.Elapsed
	if earlier, known := o.taken[version{newest.Pool, newest.Target}]; known && earlier.attempt == newest.Attempt {
		at = min(at, earlier.at)
	}
	return ordered{at: at, attempt: newest.Attempt}
}

// WithRepeat returns the orders after one that was acknowledged and began nothing.
func (o Orders) WithRepeat(now time.Duration, order Order) Orders {
	again := o.withinWindow(now, o.again)
	again[version{order.Pool, order.Target}] = ordered{at: now}
	return Orders{Window: o.Window, taken: o.taken, again: again}
}

// withinWindow returns a copy of what is remembered, without what is older than the window.
func (o Orders) withinWindow(now time.Duration, of map[version]ordered) map[version]ordered {
	out := map[version]ordered{}
	maps.Copy(out, of)
	maps.DeleteFunc(out, func(_ version, order ordered) bool { return now-order.at > o.window() })
	return out
}

// Decide returns what is to be done about an order that arrives now, and the change that does
// it. newest is the pool's newest rollout, or zero.
func (o Orders) Decide(now time.Duration, order Order, newest document.Rollout) (Verdict, document.RolloutChange) {
	same := order.Target == newest.Target
	isCopy := o.takenLately(now, order)
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

// takenLately reports whether an equal order was taken or acknowledged within the window.
func (o Orders) takenLately(now time.Duration, order Order) bool {
	key := version{order.Pool, order.Target}
	first, taken := o.taken[key]
	last, repeated := o.again[key]
	return taken && now-first.at <= o.window() || repeated && now-last.at <= o.window()
}

func (o Orders) window() time.Duration {
	if o.Window <= 0 {
		return DefaultWindow
	}
	return max(o.Window, MinWindow)
}

// Abort returns the change that ends a rollout under way as rolled back, or false if it is not
// under way.
func Abort(newest document.Rollout) (document.RolloutChange, bool) {
	return document.RolloutChange{
		Pool: newest.Pool, Target: newest.Target, State: document.RolloutRolledBack, After: newest.Changes, Elapsed: newest.Elapsed,
	}, newest.State == document.RolloutUnderWay
}
