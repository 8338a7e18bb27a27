// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// recentLoss returns a loss of a key with a number of known failures.
func recentLoss(key byte, known int) TimedLoss {
	return TimedLoss{Loss: Loss{Key: Key{key}, Hint: Hint(key), KnownFailures: known, PoolAnswering: true}}
}

// TestRecentCountsOneMoreThanKnown checks that a loss adds one failure to those known when its run
// began, whatever the order of the losses.
func TestRecentCountsOneMoreThanKnown(t *testing.T) {
	is := is.New(t)
	r := Recent{}.WithLosses(time.Second, []TimedLoss{recentLoss(1, 2), recentLoss(1, 0)})
	r = r.WithLosses(time.Second, []TimedLoss{recentLoss(1, 1)})
	e, found := r.Find(time.Second, Key{1})
	is.True(found)
	is.Equal(e, Entry{Key: Key{1}, Hint: 1, Failures: 3})
	is.True(r.HasHint(1))
	_, found = r.Without([]Key{{1}}).Find(time.Second, Key{1})
	is.True(!found)
}

// TestRecentIgnoresLossesOfSilentPool checks that a loss is no evidence while no server of the pool
// answers.
func TestRecentIgnoresLossesOfSilentPool(t *testing.T) {
	is := is.New(t)
	loss := recentLoss(1, 2)
	loss.PoolAnswering = false
	is.True(Recent{}.WithLosses(time.Second, []TimedLoss{loss}).Empty())
}

// TestRecentExpires checks that entries are found until their time is over and removed afterwards.
func TestRecentExpires(t *testing.T) {
	is := is.New(t)
	r := Recent{}.WithLosses(time.Second, []TimedLoss{recentLoss(1, 0)})
	end := time.Second + recentRetention
	_, found := r.Find(end-1, Key{1})
	is.True(found)
	_, found = r.Find(end, Key{1})
	is.True(!found)
	is.True(!r.At(end - 1).Empty())
	is.True(r.At(end).Empty())
}

// TestRecentKeepsWhatTheNextListLacks checks that suspects of the old list are kept, that a verdict
// of the old list counts as suspicion only, and that entries of the new list are not copied.
func TestRecentKeepsWhatTheNextListLacks(t *testing.T) {
	is := is.New(t)
	old := List{}.WithChanges([]Entry{{Key: Key{1}, Hint: 1, Failures: 2}, {Key: Key{2}, Hint: 2, Failures: 3, Condemned: true}, {Key: Key{3}, Hint: 3, Failures: 1}}, nil)
	current := List{}.WithChanges([]Entry{{Key: Key{3}, Hint: 3, Failures: 1}}, nil)
	r := Recent{}.WithMissing(time.Second, old, current)
	e, _ := r.Find(time.Second, Key{1})
	is.Equal(e.Failures, 2)
	e, _ = r.Find(time.Second, Key{2})
	is.Equal(e, Entry{Key: Key{2}, Hint: 2, Failures: 3})
	_, found := r.Find(time.Second, Key{3})
	is.True(!found)
}

// TestRecentIsBounded checks that entries beyond the bound are not added, and that those that are
// there still change.
func TestRecentIsBounded(t *testing.T) {
	is := is.New(t)
	var losses []TimedLoss
	for i := range 2 * maxSuspects {
		losses = append(losses, TimedLoss{Loss: Loss{Key: Key{byte(i), byte(i >> 8)}, PoolAnswering: true}})
	}
	r := Recent{}.WithLosses(time.Second, losses)
	is.Equal(len(r.expires), maxSuspects)
	for k := range r.expires {
		r = r.WithLosses(time.Second, []TimedLoss{{Loss: Loss{Key: k, KnownFailures: 4, PoolAnswering: true}}})
		e, _ := r.Find(time.Second, k)
		is.Equal(e.Failures, 5)
		break
	}
}
