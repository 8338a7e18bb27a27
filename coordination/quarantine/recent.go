// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"maps"
	"time"
)

// This file defines Recent, the suspects that one gateway knows of although its leader's list may
// lack them.

// recentRetention is how long Recent keeps an entry. It covers the time until a gateway notices that
// its leader is gone, the election of the next one, and SettleTime.
const recentRetention = 5 * time.Second

// Recent holds suspects with the consecutive failures that one gateway has learned of. The leader's
// list lacks such failures while the gateway's reports do not reach the leader, and after a change
// of the leader until all gateways have reported their losses again. It is immutable. The zero
// value is empty.
type Recent struct {
	list    List
	expires map[Key]time.Duration
}

// WithLosses returns r with losses at this gateway. The run of a loss began after the failures
// that were known then, so its own failure is one more.
func (r Recent) WithLosses(now time.Duration, losses []TimedLoss) Recent {
	found := map[Key]Entry{}
	for _, loss := range losses {
		if !loss.PoolAnswering {
			continue
		}
		e := Entry{Key: loss.Key, Hint: loss.Hint, Failures: loss.KnownFailures + 1}
		found[e.Key] = found[e.Key].OrStronger(e)
	}
	return r.withEntries(now, found)
}

// WithMissing returns r with the suspects of a list that the list of the next leader lacks. A
// condemned request counts as a suspect, since the next leader may not know of the verdict.
func (r Recent) WithMissing(now time.Duration, old, current List) Recent {
	missing := map[Key]Entry{}
	for k, e := range old.Entries() {
		if _, listed := current.Find(k); !listed {
			e.Condemned = false
			missing[k] = e
		}
	}
	return r.withEntries(now, missing)
}

// withEntries returns r with entries that are not weaker than its own, and without expired ones.
func (r Recent) withEntries(now time.Duration, entries map[Key]Entry) Recent {
	if len(entries) == 0 {
		return r
	}
	r = r.At(now)
	expires := maps.Clone(r.expires)
	if expires == nil {
		expires = map[Key]time.Duration{}
	}
	var set []Entry
	for k, e := range entries {
		if len(expires) >= maxSuspects && expires[k] == 0 {
			continue
		}
		own, _ := r.list.Find(k)
		set = append(set, own.OrStronger(e))
		expires[k] = now + recentRetention
	}
	return Recent{list: r.list.WithChanges(set, nil), expires: expires}
}

// Without returns r without the entries of requests that were answered or released.
func (r Recent) Without(keys []Key) Recent {
	var own []Key
	for _, k := range keys {
		if _, listed := r.list.Find(k); listed {
			own = append(own, k)
		}
	}
	if len(own) == 0 {
		return r
	}
	expires := maps.Clone(r.expires)
	for _, k := range own {
		delete(expires, k)
	}
	return Recent{list: r.list.WithChanges(nil, own), expires: expires}
}

// At returns r without the entries that have expired.
func (r Recent) At(now time.Duration) Recent {
	var expired []Key
	for k, end := range r.expires {
		if end <= now {
			expired = append(expired, k)
		}
	}
	return r.Without(expired)
}

// Empty reports whether r has no entries.
func (r Recent) Empty() bool { return r.list.Empty() }

// HasHint reports whether any entry has the hint.
func (r Recent) HasHint(h Hint) bool { return r.list.HasHint(h) }

// Find returns a key's entry, or false if there is none that has not expired.
func (r Recent) Find(now time.Duration, k Key) (Entry, bool) {
	e, listed := r.list.Find(k)
	return e, listed && now < r.expires[k]
}

// OrStronger returns the entry with the stronger evidence: a verdict, or else more failures.
func (e Entry) OrStronger(o Entry) Entry {
	if o.Condemned || (!e.Condemned && o.Failures > e.Failures) {
		return o
	}
	return e
}
