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

// begin is a change that begins a rollout.
func begin(target string, after uint64) RolloutChange {
	return RolloutChange{Pool: "p", Target: target, Duration: time.Minute, State: RolloutUnderWay, After: after}
}

// then is a change of the one under way.
func then(target string, state RolloutState, after uint64, elapsed time.Duration) RolloutChange {
	return RolloutChange{Pool: "p", Target: target, State: state, After: after, Elapsed: elapsed}
}

func TestChangeRollout(t *testing.T) {
	is := is.New(t)
	var s Store
	_, known := s.Rollout("p")
	is.True(!known)
	is.True(!s.ChangeRollout(then("v2", RolloutComplete, 0, 0))) // none is under way
	is.True(s.ChangeRollout(begin("v2", 0)))
	is.True(!s.ChangeRollout(begin("v2", 0))) // a copy
	is.True(!s.ChangeRollout(begin("v3", 0))) // decided on from an older state
	is.True(!s.ChangeRollout(begin("v3", 1))) // another is under way
	is.True(s.ChangeRollout(then("v2", RolloutUnderWay, 1, 9*time.Second)))
	is.True(!s.ChangeRollout(then("v2", RolloutUnderWay, 2, 9*time.Second)))
	is.True(!s.ChangeRollout(then("v2", RolloutUnderWay, 2, 8*time.Second))) // time does not fall
	is.True(!s.ChangeRollout(then("v2", RolloutComplete, 2, 8*time.Second)))
	is.True(!s.ChangeRollout(then("v3", RolloutComplete, 2, 10*time.Second))) // is not the target
	is.True(!s.ChangeRollout(then("v2", 4, 2, 10*time.Second)))               // no state
	is.True(!s.ChangeRollout(then("v2", 0, 2, 10*time.Second)))
	r, _ := s.Rollout("p")
	is.Equal(r, Rollout{Pool: "p", Target: "v2", Duration: time.Minute, State: RolloutUnderWay, Attempt: 1, Changes: 2, Elapsed: 9 * time.Second})

	complete := then("v2", RolloutComplete, 2, 50*time.Second)
	complete.Replaced = []string{"v1", "v2", "v0", "v1"}
	is.True(s.ChangeRollout(complete))
	is.True(!s.ChangeRollout(then("v2", RolloutRolledBack, 3, 51*time.Second))) // has ended
	r, _ = s.Rollout("p")
	is.Equal(r.Replaced, []string{"v0", "v1"}) // the target is not in it
	is.Equal(r.State, RolloutComplete)
	is.True(!s.ChangeRollout(begin("v2", 0))) // a late copy
	is.True(!s.ChangeRollout(begin("v3", 2))) // decided on before the end

	is.True(s.ChangeRollout(begin("v3", 3)))
	is.True(s.ChangeRollout(then("v3", RolloutRolledBack, 4, time.Second)))
	r, _ = s.Rollout("p")
	is.Equal(r.Barred, []string{"v3"})
	is.Equal(r.Replaced, []string{"v0", "v1"}) // as before
	is.Equal([]uint64{r.Attempt, r.Changes}, []uint64{2, 5})

	is.True(s.ChangeRollout(begin("v3", 5))) // a new attempt
	r, _ = s.Rollout("p")
	is.Equal(r.Barred, nil)
	is.Equal([]uint64{r.Attempt, r.Changes}, []uint64{3, 6})
	is.Equal(r.Elapsed, time.Duration(0))
	is.True(s.ChangeRollout(then("v3", RolloutRolledBack, 6, time.Second)))
	is.True(s.ChangeRollout(begin("v1", 7))) // back to one that was replaced
	r, _ = s.Rollout("p")
	is.Equal(r.Barred, []string{"v3"})
	is.Equal(r.Replaced, []string{"v0"})
}

// TestRolloutsAreBounded: the store does not grow with the names that are sent to it.
func TestRolloutsAreBounded(t *testing.T) {
	is := is.New(t)
	var s Store
	for i := range MaxRollouts {
		c := begin("v2", 0)
		c.Pool = fmt.Sprint(i)
		is.True(s.ChangeRollout(c))
	}
	is.True(!s.ChangeRollout(begin("v2", 0)))
	is.Equal(len(s.Rollouts()), MaxRollouts)
	again := RolloutChange{Pool: "0", Target: "v2", State: RolloutRolledBack, After: 1}
	is.True(s.ChangeRollout(again)) // those that are known still change

	long := strings.Repeat("v", MaxVersionName+1)
	s = Store{}
	is.True(!s.ChangeRollout(begin(long, 0)))
	is.True(!s.ChangeRollout(begin("", 0)))
	is.True(!s.ChangeRollout(RolloutChange{Pool: long, Target: "v", Duration: 1, State: RolloutUnderWay}))
	is.True(!s.ChangeRollout(RolloutChange{Target: "v", Duration: 1, State: RolloutUnderWay}))
	is.True(!s.ChangeRollout(RolloutChange{Pool: "p", Target: "v", State: RolloutUnderWay})) // without a time
	for i := range MaxVersions + 2 {
		after := uint64(2 * i)
		is.True(s.ChangeRollout(begin(fmt.Sprint("v", i), after)))
		is.True(s.ChangeRollout(then(fmt.Sprint("v", i), RolloutRolledBack, after+1, 0)))
	}
	r, _ := s.Rollout("p")
	is.Equal(len(r.Barred), MaxVersions)
	is.Equal(r.Barred[0], "v2") // those of longest ago are forgotten
	is.True(s.ChangeRollout(begin("v2", r.Changes)))
	complete := then("v2", RolloutComplete, r.Changes+1, 0)
	complete.Replaced = []string{long, ""}
	for i := range 2 * MaxVersions {
		complete.Replaced = append(complete.Replaced, fmt.Sprintf("w%03d", i))
	}
	is.True(s.ChangeRollout(complete))
	r, _ = s.Rollout("p")
	is.Equal(len(r.Replaced), MaxVersions)
	is.Equal(r.Replaced[:2], []string{"", "w000"})
}

// TestUnnamedVersionIsReplaced: the servers of a pool's first rollout may name no version.
func TestUnnamedVersionIsReplaced(t *testing.T) {
	is := is.New(t)
	var s Store
	is.True(s.ChangeRollout(begin("v2", 0)))
	complete := then("v2", RolloutComplete, 1, time.Second)
	complete.Replaced = []string{""}
	is.True(s.ChangeRollout(complete))
	r, _ := s.Rollout("p")
	is.Equal(r.Replaced, []string{""})
	b, err := s.MarshalBinary()
	is.NoErr(err)
	var again Store
	is.NoErr(again.UnmarshalBinary(b))
	is.Equal(again.Rollouts(), s.Rollouts())
}

// TestAnyChangesKeepRolloutsTrue applies changes of any kind in any order, among them copies,
// as the log of leaders that come and go may hold them: numbers only rise, a target that may
// have requests is neither barred nor replaced, and a snapshot gives the same rollouts.
func TestAnyChangesKeepRolloutsTrue(t *testing.T) {
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

// checkRollout checks the rollout of pool p against the one before a change.
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
	var again Store
	is.NoErr(again.UnmarshalBinary(b))
	is.Equal(again.Rollouts(), s.Rollouts())
}
