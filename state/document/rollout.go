// SPDX-License-Identifier: Apache-2.0

package document

import (
	"maps"
	"slices"
	"time"
)

// This file defines Rollout, RolloutChange and how a store applies one: which version of its
// backend servers a pool's requests move to.
//
// An operator's order has no number, and copies of it may come late. So a change names how
// many changes of its pool's rollouts were applied before it: of two changes that were
// decided on from one state, the log applies one.

// Bounds of what is remembered, so that no store grows with the names that are sent to it.
const (
	// MaxRollouts is the number of pools whose rollouts are remembered. A change of a new
	// pool beyond it does nothing.
	MaxRollouts = 1024
	// MaxVersions is the number of versions of one pool that are remembered as barred, and as
	// replaced. The version that was barred longest ago is forgotten first.
	MaxVersions = 64
	// MaxVersionName bounds the name of a pool or of a version in a rollout, in bytes.
	MaxVersionName = 255
)

// RolloutState is how far a rollout is. Its numbers are stored.
type RolloutState uint8

// The states of a rollout. 0 is none.
const (
	// RolloutUnderWay moves requests to its target.
	RolloutUnderWay RolloutState = iota + 1
	// RolloutComplete has moved them: the servers of other versions may stop at once.
	RolloutComplete
	// RolloutRolledBack has moved them back: the target's servers may stop.
	RolloutRolledBack
)

// Rollout is the newest rollout of one pool. It is never changed once made, nor are its lists.
type Rollout struct {
	Pool     string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`           // version
	Duration time.Duration `cbor:"3,keyasint"`           // from the order to its deadline
	State    RolloutState  `cbor:"4,keyasint"`           // as of the last change
	Attempt  uint64        `cbor:"5,keyasint"`           // numbers the pool's rollouts from 1
	Changes  uint64        `cbor:"6,keyasint"`           // of the pool's rollouts, ever applied
	Elapsed  time.Duration `cbor:"7,keyasint,omitempty"` // since the order, as of the last change
	// Barred are the versions that were rolled back, the one of longest ago first: their
	// servers get nothing.
	Barred []string `cbor:"8,keyasint,omitempty"`
	// Replaced are the versions that the newest complete rollout has replaced, ordered. "" among
	// them is the version of servers that name none.
	Replaced []string `cbor:"9,keyasint,omitempty"`
	// Completed is the target of the newest complete rollout: the version that has the pool's
	// requests while no later one is under way.
	Completed string `cbor:"10,keyasint,omitempty"`
	// Switched is when the target was given all requests, since the order; 0: it was not.
	Switched time.Duration `cbor:"11,keyasint,omitempty"`
}

// RolloutChange begins a rollout, notes how far it is, or ends it.
type RolloutChange struct {
	Pool     string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint,omitempty"` // of one that begins, above 0
	State    RolloutState  `cbor:"4,keyasint"`           // from now on
	After    uint64        `cbor:"5,keyasint,omitempty"` // changes of the pool's rollouts that this one follows
	Elapsed  time.Duration `cbor:"6,keyasint,omitempty"` // since the order
	// Replaced are the versions that a complete rollout replaces.
	Replaced []string `cbor:"7,keyasint,omitempty"`
	// Switched is set once the target has all requests: when, since the order.
	Switched time.Duration `cbor:"8,keyasint,omitempty"`
}

// ChangeRollout applies a change and reports whether the pool's rollout is another one now. One
// that does not follow the newest change does nothing, nor does one that does not fit the state:
// a rollout begins while none is under way; what is noted and what ends is the one under way,
// with its target; Elapsed grows.
func (s *Store) ChangeRollout(c RolloutChange) bool {
	was := s.rollouts[c.Pool]
	if c.After != was.Changes || (was.Changes == 0 && len(s.rollouts) >= MaxRollouts) {
		return false
	}
	next, fits := was.with(c)
	if !fits {
		return false
	}
	next.Changes = was.Changes + 1
	if s.rollouts == nil {
		s.rollouts = map[string]Rollout{}
	}
	s.rollouts[c.Pool] = next
	return true
}

// Rollouts returns the newest rollout of each pool that had one, ordered by pool.
func (s *Store) Rollouts() []Rollout {
	var out []Rollout
	for _, pool := range slices.Sorted(maps.Keys(s.rollouts)) {
		out = append(out, s.rollouts[pool])
	}
	return out
}

// Rollout returns the newest rollout of a pool, or false if it had none.
func (s *Store) Rollout(pool string) (Rollout, bool) {
	r, known := s.rollouts[pool]
	return r, known
}

// with returns the rollout after a change, or false if the change does not fit its state.
func (r Rollout) with(c RolloutChange) (next Rollout, fits bool) {
	if r.State != RolloutUnderWay {
		return r.begun(c)
	}
	if c.Target != r.Target || c.Elapsed < r.Elapsed {
		return r, false
	}
	switch c.State {
	case RolloutUnderWay:
		if c.Elapsed == r.Elapsed && c.Switched <= r.Switched {
			return r, false
		}
		r.Switched = max(r.Switched, c.Switched)
	case RolloutComplete:
		r.Replaced, r.Completed = replaced(c.Replaced, c.Target), c.Target
	case RolloutRolledBack:
		r.Barred = append(without(r.Barred, c.Target), c.Target)
		r.Barred = r.Barred[max(0, len(r.Barred)-MaxVersions):]
	default:
		return r, false
	}
	r.State, r.Elapsed = c.State, c.Elapsed
	return r, true
}

// begun returns the pool's next rollout. Its target may have requests, also one that is barred or
// replaced in r.
func (r Rollout) begun(c RolloutChange) (next Rollout, fits bool) {
	if c.State != RolloutUnderWay || c.Duration <= 0 || !nameFits(c.Pool) || !nameFits(c.Target) {
		return r, false
	}
	return Rollout{
		Pool: c.Pool, Target: c.Target, Duration: c.Duration, State: RolloutUnderWay, Attempt: r.Attempt + 1,
		Barred: without(r.Barred, c.Target), Replaced: without(r.Replaced, c.Target), Completed: r.Completed,
	}, true
}

// replaced returns the versions but one, ordered, without what is too long for a version and
// what is beyond MaxVersions.
func replaced(versions []string, but string) []string {
	out := slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == but || len(v) > MaxVersionName })
	slices.Sort(out)
	out = slices.Compact(out)
	return listed(out[:min(len(out), MaxVersions)])
}

// without returns the versions but one, in their order.
func without(versions []string, but string) []string {
	return listed(slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == but }))
}

// listed returns nil in place of an empty list, as a decoded one is.
func listed(versions []string) []string {
	if len(versions) == 0 {
		return nil
	}
	return versions
}

func nameFits(name string) bool { return name != "" && len(name) <= MaxVersionName }
