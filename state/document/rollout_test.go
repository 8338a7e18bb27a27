// SPDX-License-Identifier: Apache-2.0

package document

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests rollouts in the store.

// beginChange returns a change that begins a rollout.
func beginChange(target string, after uint64) RolloutChange {
	return RolloutChange{Pool: "p", Target: target, Duration: time.Minute, State: RolloutUnderWay, After: after}
}

// progressChange returns a change of the rollout under way.
func progressChange(target string, state RolloutState, after uint64, elapsed time.Duration) RolloutChange {
	return RolloutChange{Pool: "p", Target: target, State: state, After: after, Elapsed: elapsed}
}

func TestChangeRolloutIgnoresStaleAndInvalidChanges(t *testing.T) {
	is := is.New(t)
	var s Store
	_, known := s.Rollout("p")
	is.True(!known)
	is.True(!s.ChangeRollout(progressChange("v2", RolloutComplete, 0, 0))) // no rollout is under way
	is.True(s.ChangeRollout(beginChange("v2", 0)))
	is.True(!s.ChangeRollout(beginChange("v2", 0))) // a copy
	is.True(!s.ChangeRollout(beginChange("v3", 0))) // based on an older state
	is.True(!s.ChangeRollout(beginChange("v3", 1))) // another rollout is under way
	is.True(s.ChangeRollout(progressChange("v2", RolloutUnderWay, 1, 9*time.Second)))
	is.True(!s.ChangeRollout(progressChange("v2", RolloutUnderWay, 2, 9*time.Second)))
	is.True(!s.ChangeRollout(progressChange("v2", RolloutUnderWay, 2, 8*time.Second))) // Elapsed must not decrease
	is.True(!s.ChangeRollout(progressChange("v2", RolloutComplete, 2, 8*time.Second)))
	is.True(!s.ChangeRollout(progressChange("v3", RolloutComplete, 2, 10*time.Second))) // not the target
	is.True(!s.ChangeRollout(progressChange("v2", 4, 2, 10*time.Second)))               // not a valid state
	is.True(!s.ChangeRollout(progressChange("v2", 0, 2, 10*time.Second)))
	r, _ := s.Rollout("p")
	is.Equal(r, Rollout{Pool: "p", Target: "v2", Duration: time.Minute, State: RolloutUnderWay, Attempt: 1, Changes: 2, Elapsed: 9 * time.Second})

	complete := progressChange("v2", RolloutComplete, 2, 50*time.Second)
	complete.Replaced = []string{"v1", "v2", "v0", "v1"}
	is.True(s.ChangeRollout(complete))
	is.True(!s.ChangeRollout(progressChange("v2", RolloutRolledBack, 3, 51*time.Second))) // the rollout has ended
	r, _ = s.Rollout("p")
	is.Equal(r.Replaced, []string{"v0", "v1"}) // without the target
	is.Equal(r.State, RolloutComplete)
	is.True(!s.ChangeRollout(beginChange("v2", 0))) // a late copy
	is.True(!s.ChangeRollout(beginChange("v3", 2))) // based on a state before the end

	is.True(s.ChangeRollout(beginChange("v3", 3)))
	is.True(s.ChangeRollout(progressChange("v3", RolloutRolledBack, 4, time.Second)))
	r, _ = s.Rollout("p")
	is.Equal(r.Barred, []string{"v3"})
	is.Equal(r.Replaced, []string{"v0", "v1"}) // unchanged
	is.Equal([]uint64{r.Attempt, r.Changes}, []uint64{2, 5})

	is.True(s.ChangeRollout(beginChange("v3", 5))) // a new attempt
	r, _ = s.Rollout("p")
	is.Equal(r.Barred, nil)
	is.Equal([]uint64{r.Attempt, r.Changes}, []uint64{3, 6})
	is.Equal(r.Elapsed, time.Duration(0))
	is.True(s.ChangeRollout(progressChange("v3", RolloutRolledBack, 6, time.Second)))
	is.True(s.ChangeRollout(beginChange("v1", 7))) // back to a replaced version
	r, _ = s.Rollout("p")
	is.Equal(r.Barred, []string{"v3"})
	is.Equal(r.Replaced, []string{"v0"})
}

// TestRolloutsAreBounded checks that the store does not grow without bound with new names of pools
// and versions.
func TestRolloutsAreBounded(t *testing.T) {
	is := is.New(t)
	var s Store
	for i := range MaxRollouts {
		c := beginChange("v2", 0)
		c.Pool = fmt.Sprint(i)
		is.True(s.ChangeRollout(c))
	}
	is.True(!s.ChangeRollout(beginChange("v2", 0)))
	is.Equal(len(s.Rollouts()), MaxRollouts)
	rollback := RolloutChange{Pool: "0", Target: "v2", State: RolloutRolledBack, After: 1}
	is.True(s.ChangeRollout(rollback)) // known pools still change

	long := strings.Repeat("v", MaxVersionName+1)
	s = Store{}
	is.True(!s.ChangeRollout(beginChange(long, 0)))
	is.True(!s.ChangeRollout(beginChange("", 0)))
	is.True(!s.ChangeRollout(RolloutChange{Pool: long, Target: "v", Duration: 1, State: RolloutUnderWay}))
	is.True(!s.ChangeRollout(RolloutChange{Target: "v", Duration: 1, State: RolloutUnderWay}))
	is.True(!s.ChangeRollout(RolloutChange{Pool: "p", Target: "v", State: RolloutUnderWay})) // without a duration
	for i := range MaxVersions + 2 {
		after := uint64(2 * i)
		is.True(s.ChangeRollout(beginChange(fmt.Sprint("v", i), after)))
		is.True(s.ChangeRollout(progressChange(fmt.Sprint("v", i), RolloutRolledBack, after+1, 0)))
	}
	r, _ := s.Rollout("p")
	is.Equal(len(r.Barred), MaxVersions)
	is.Equal(r.Barred[0], "v2") // the oldest were dropped
	is.True(s.ChangeRollout(beginChange("v2", r.Changes)))
	complete := progressChange("v2", RolloutComplete, r.Changes+1, 0)
	complete.Replaced = []string{long, ""}
	for i := range 2 * MaxVersions {
		complete.Replaced = append(complete.Replaced, fmt.Sprintf("w%03d", i))
	}
	is.True(s.ChangeRollout(complete))
	r, _ = s.Rollout("p")
	is.Equal(len(r.Replaced), MaxVersions)
	is.Equal(r.Replaced[:2], []string{"", "w000"})
}

// TestEmptyVersionIsReplaced checks that a rollout can replace the empty version: the servers
// before a pool's first rollout may report none.
func TestEmptyVersionIsReplaced(t *testing.T) {
	is := is.New(t)
	var s Store
	is.True(s.ChangeRollout(beginChange("v2", 0)))
	complete := progressChange("v2", RolloutComplete, 1, time.Second)
	complete.Replaced = []string{""}
	is.True(s.ChangeRollout(complete))
	r, _ := s.Rollout("p")
	is.Equal(r.Replaced, []string{""})
	b, err := s.MarshalBinary()
	is.NoErr(err)
	var restored Store
	is.NoErr(restored.UnmarshalBinary(b))
	is.Equal(restored.Rollouts(), s.Rollouts())
}

// TestRandomRolloutChangesKeepInvariants applies random changes, including duplicates, as a log may hold them
// after several changes of leader. Counters only increase, a target that may receive requests is
// neither barred nor replaced, and a snapshot restores the same rollouts.
func TestRandomRolloutChangesKeepInvariants(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var s Store
		var old []RolloutChange
		for range 60 {
			was, _ := s.Rollout("p")
			c := RolloutChange{
				Pool: "p", Target: fmt.Sprint("v", rng.IntN(4)), State: RolloutState(rng.IntN(5)), Duration: time.Duration(rng.IntN(3)),
				After: was.Changes - min(was.Changes, uint64(rng.IntN(2))), Elapsed: time.Duration(rng.IntN(20)),
				Replaced: []string{fmt.Sprint("v", rng.IntN(4)), fmt.Sprint("v", rng.IntN(4))},
			}
			if len(old) > 0 && rng.IntN(3) == 0 {
				c = old[rng.IntN(len(old))]
			}
			old = append(old, c)
			changed := s.ChangeRollout(c)
			checkRollout(t, s, c, was, changed)
		}
	}
}

// checkRollout compares the rollout of pool p with the one before a change.
func checkRollout(t *testing.T, s Store, c RolloutChange, was Rollout, changed bool) {
	t.Helper()
	is := is.New(t)
	now, _ := s.Rollout("p")
	if !changed {
		is.Equal(now, was)
		return
	}
	is.Equal(c.After, was.Changes)
	is.Equal(now.Changes, was.Changes+1)
	began := was.State != RolloutUnderWay
	if began {
		is.Equal(now.Attempt, was.Attempt+1)
	} else {
		is.Equal(now.Attempt, was.Attempt)
		is.Equal(now.Target, was.Target)
		is.Equal(now.Duration, was.Duration)
		is.True(now.Elapsed >= was.Elapsed)
	}
	is.Equal(slices.Contains(now.Barred, now.Target), now.State == RolloutRolledBack)
	is.True(!slices.Contains(now.Replaced, now.Target))
	b, err := s.MarshalBinary()
	is.NoErr(err)
	var restored Store
	is.NoErr(restored.UnmarshalBinary(b))
	is.Equal(restored.Rollouts(), s.Rollouts())
}
