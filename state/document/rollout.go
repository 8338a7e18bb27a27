// SPDX-License-Identifier: Apache-2.0

package document

import (
	"maps"
	"slices"
	"time"
)

// This file defines Rollout, the move of a pool's requests to one version of its backend
// servers, and RolloutChange, which a store applies to it.
//
// An operator's order has no number, and copies of it may arrive late. A change therefore
// names the number of changes of its pool's rollouts that were applied before it: of two
// changes based on the same state, only the first takes effect.

// Limits that keep the store from growing without bound with new names.
const (
	// MaxRollouts is the largest number of pools whose rollouts are remembered. Once it is
	// reached, changes of other pools have no effect.
	MaxRollouts = 1024
	// MaxVersions is the largest number of versions of a pool that are remembered as barred, and
	// likewise as replaced. The version that was barred first is dropped first.
	MaxVersions = 64
	// MaxVersionName is the longest name of a pool or version in a rollout, in bytes.
	MaxVersionName = 255
)

// RolloutState is the progress of a rollout. Its numbers are stored.
type RolloutState uint8

// The states of a rollout. Zero is not a state.
const (
	// RolloutUnderWay means that requests are moving to the target.
	RolloutUnderWay RolloutState = iota + 1
	// RolloutComplete means that all requests have moved: the servers of other versions may stop
	// at once.
	RolloutComplete
	// RolloutRolledBack means that the requests have moved back: the target's servers may stop.
	RolloutRolledBack
)

// Rollout is the newest rollout of a pool. It and its lists are immutable.
type Rollout struct {
	Pool     string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`           // version that receives the requests
	Duration time.Duration `cbor:"3,keyasint"`           // time from the order to the deadline
	State    RolloutState  `cbor:"4,keyasint"`           // state at the last change
	Attempt  uint64        `cbor:"5,keyasint"`           // sequence number of the pool's rollouts, from 1
	Changes  uint64        `cbor:"6,keyasint"`           // number of changes applied to the pool's rollouts
	Elapsed  time.Duration `cbor:"7,keyasint,omitempty"` // time from the order to the last change
	// Barred are the versions that were rolled back, oldest first. Their servers receive no
	// requests.
	Barred []string `cbor:"8,keyasint,omitempty"`
	// Replaced are the versions that the newest complete rollout replaced, sorted. The empty
	// string stands for servers that report no version.
	Replaced []string `cbor:"9,keyasint,omitempty"`
	// Completed is the target of the newest complete rollout, which serves the pool's requests
	// while no later rollout is under way.
	Completed string `cbor:"10,keyasint,omitempty"`
	// Switched is the time from the order until the target received all requests; zero means
	// that it has not.
	Switched time.Duration `cbor:"11,keyasint,omitempty"`
}

// RolloutChange begins a rollout, records its progress, or ends it.
type RolloutChange struct {
	Pool     string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint,omitempty"` // duration of a new rollout, positive
	State    RolloutState  `cbor:"4,keyasint"`           // state after the change
	After    uint64        `cbor:"5,keyasint,omitempty"` // number of changes of the pool's rollouts before this one
	Elapsed  time.Duration `cbor:"6,keyasint,omitempty"` // time since the order
	// Replaced are the versions that a complete rollout replaces.
	Replaced []string `cbor:"7,keyasint,omitempty"`
	// Switched is the time from the order until the target received all requests; zero means
	// that it has not.
	Switched time.Duration `cbor:"8,keyasint,omitempty"`
}

// ChangeRollout applies a change and reports whether the pool's rollout changed. A change has no
// effect if it does not follow the newest change or does not fit the state: a rollout can begin only
// while none is under way; progress and end must name the target of the rollout under way; Elapsed
// must not decrease.
func (s *Store) ChangeRollout(c RolloutChange) bool {
	previous := s.rollouts[c.Pool]
	if c.After != previous.Changes || (previous.Changes == 0 && len(s.rollouts) >= MaxRollouts) {
		return false
	}
	next, fits := previous.afterChange(c)
	if !fits {
		return false
	}
	next.Changes = previous.Changes + 1
	if s.rollouts == nil {
		s.rollouts = map[string]Rollout{}
	}
	s.rollouts[c.Pool] = next
	return true
}

// Rollouts returns the newest rollout of each pool that has one, ordered by pool.
func (s *Store) Rollouts() []Rollout {
	var out []Rollout
	for _, pool := range slices.Sorted(maps.Keys(s.rollouts)) {
		out = append(out, s.rollouts[pool])
	}
	return out
}

// Rollout returns the newest rollout of a pool, or false if there is none.
func (s *Store) Rollout(pool string) (Rollout, bool) {
	r, ok := s.rollouts[pool]
	return r, ok
}

// afterChange returns the rollout after a change, or false if the change does not fit its state.
func (r Rollout) afterChange(c RolloutChange) (next Rollout, fits bool) {
	if r.State != RolloutUnderWay {
		return r.beginNext(c)
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
		r.Replaced, r.Completed = replacedVersions(c.Replaced, c.Target), c.Target
	case RolloutRolledBack:
		r.Barred = append(withoutVersion(r.Barred, c.Target), c.Target)
		r.Barred = r.Barred[max(0, len(r.Barred)-MaxVersions):]
	default:
		return r, false
	}
	r.State, r.Elapsed = c.State, c.Elapsed
	return r, true
}

// beginNext returns the pool's next rollout. Its target may receive requests, even if it was barred or
// replaced in r.
func (r Rollout) beginNext(c RolloutChange) (next Rollout, fits bool) {
	if c.State != RolloutUnderWay || c.Duration <= 0 || !isValidRolloutName(c.Pool) || !isValidRolloutName(c.Target) {
		return r, false
	}
	return Rollout{
		Pool: c.Pool, Target: c.Target, Duration: c.Duration, State: RolloutUnderWay, Attempt: r.Attempt + 1,
		Barred: withoutVersion(r.Barred, c.Target), Replaced: withoutVersion(r.Replaced, c.Target), Completed: r.Completed,
	}, true
}

// replacedVersions returns the versions except one, sorted, without names that are too long and without
// those beyond MaxVersions.
func replacedVersions(versions []string, excluded string) []string {
	out := slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == excluded || len(v) > MaxVersionName })
	slices.Sort(out)
	out = slices.Compact(out)
	return nilIfEmpty(out[:min(len(out), MaxVersions)])
}

// withoutVersion returns the versions except one, in their order.
func withoutVersion(versions []string, excluded string) []string {
	return nilIfEmpty(slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == excluded }))
}

// nilIfEmpty returns nil for an empty list, which is how an empty list is decoded.
func nilIfEmpty(versions []string) []string {
	if len(versions) == 0 {
		return nil
	}
	return versions
}

func isValidRolloutName(name string) bool { return name != "" && len(name) <= MaxVersionName }
