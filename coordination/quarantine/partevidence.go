// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"
)

// This file defines PartEvidence, which records the prompt parts of requests that were waiting for their
// answers at servers when those crashed.

const (
	// minRequests is the number of different requests from which a part may be condemned. Fewer of them are
	// condemned by themselves.
	minRequests = 3
	// decisiveCrashes is the number of crashes from which a part may be condemned even if another one was
	// at all of them, or its runs overlapped.
	decisiveCrashes = 5
	// maxPartSuspects bounds the suspected parts.
	maxPartSuspects = 1024
	// maxPartSets bounds the condemned sets of parts.
	maxPartSets = 128
	// MaxPartsPerRequest bounds the parts of one request that are considered, the last ones: parts at the
	// front are shared by the most requests.
	MaxPartsPerRequest = 16
	// maxPartRequests bounds the requests that are kept for a part at one crash.
	maxPartRequests = 8
)

// PartEvidence holds crashes of servers and the parts that were there. Only requests whose answers had not
// begun count, and an answer that begins clears all of its parts: a part that crashes servers does so
// before the first byte. Use [NewPartEvidence] to create one.
type PartEvidence struct {
	settle   time.Duration
	crashes  map[string][]*crash // by server, oldest first
	suspects map[Key]*partSuspect
	sets     []PartSet // condemned, oldest first
	changed  bool

	listed        map[Key]bool // suspects in the last List
	listingBudget float64      // suspects that may be listed now
	listingAt     time.Duration
}

// crash is one crash of a server.
type crash struct {
	server, pool, address string
	at                    time.Duration
	parts                 map[Key]*presence
	explained             bool // a request with a condemned set was running there
}

// presence is the presence of a part at a crash.
type presence struct {
	requests         []Key // distinct, at most maxPartRequests
	beside           []Key // other parts that all of them have
	shortest, length time.Duration
	reported         time.Duration
}

// partSuspect is a part that no answer has cleared since its first crash.
type partSuspect struct {
	part         Part
	crashes      []*crash // oldest first
	served       bool     // an answer had begun before a crash
	lastReported time.Duration
}

// NewPartEvidence returns empty evidence. A part is not condemned for a crash until settle has passed since
// its report.
func NewPartEvidence(settle time.Duration) *PartEvidence {
	return &PartEvidence{settle: settle, crashes: map[string][]*crash{}, suspects: map[Key]*partSuspect{}, listed: map[Key]bool{}}
}

// PartsOf returns the parts of a lost request that count.
func PartsOf(loss Loss) (parts []Part) {
	for _, name := range loss.Parts[max(len(loss.Parts)-MaxPartsPerRequest, 0):] {
		parts = append(parts, Part{Pool: loss.Pool, Model: loss.Model, Name: name})
	}
	return parts
}

// PartKeysOf returns the keys of the parts of a lost request that count.
func PartKeysOf(loss Loss) (keys []Key) {
	for _, p := range PartsOf(loss) {
		keys = append(keys, p.Key())
	}
	return keys
}

// Add records a loss, whose time must not be after now, and reports whether a condemned set explains the
// crash. A loss that is already recorded changes nothing.
func (v *PartEvidence) Add(now time.Duration, loss TimedLoss) (explained bool) {
	if now-loss.At > retention || (len(v.crashes) >= maxServers && v.crashes[loss.Server] == nil) {
		return false
	}
	c := v.crashOf(loss)
	parts, keys := PartsOf(loss.Loss), PartKeysOf(loss.Loss)
	if _, condemned := v.Condemned(keys); condemned {
		c.explained, v.changed = true, true
		return true
	}
	if !loss.PoolAnswering {
		return false
	}
	for i, k := range keys {
		if !c.add(now, loss, k, keys) {
			continue
		}
		s := v.suspectFor(k, parts[i])
		s.add(now, c)
		s.served = s.served || slices.Contains(loss.ServedParts, parts[i].Name)
		v.changed = true
	}
	return c.explained
}

// crashOf returns the crash to which a loss belongs, and adds it if it is new.
func (v *PartEvidence) crashOf(loss TimedLoss) *crash {
	for _, c := range v.crashes[loss.Server] {
		if (c.at - loss.At).Abs() <= sameFailure {
			return c
		}
	}
	c := &crash{server: loss.Server, pool: loss.Pool, address: loss.Address, at: loss.At, parts: map[Key]*presence{}}
	crashes := append(v.crashes[loss.Server], c)
	v.crashes[loss.Server] = crashes[max(len(crashes)-maxFailuresPerServer, 0):]
	return c
}

// add records that a lost request had a part, and reports whether that was not known.
func (c *crash) add(now time.Duration, loss TimedLoss, k Key, parts []Key) bool {
	others := slices.DeleteFunc(slices.Clone(parts), func(o Key) bool { return o == k })
	p := c.parts[k]
	if p == nil {
		c.parts[k] = &presence{requests: []Key{loss.Key}, beside: others, shortest: loss.RunTime, length: loss.RunTime, reported: now}
		return true
	}
	if len(p.requests) >= maxPartRequests || slices.Contains(p.requests, loss.Key) {
		return false
	}
	p.requests = append(p.requests, loss.Key)
	p.beside = slices.DeleteFunc(p.beside, func(o Key) bool { return !slices.Contains(others, o) })
	p.shortest, p.length = min(p.shortest, loss.RunTime), max(p.length, loss.RunTime)
	return true
}

// suspectFor returns the suspect of a part, and adds it if it is new.
func (v *PartEvidence) suspectFor(k Key, p Part) *partSuspect {
	s := v.suspects[k]
	if s == nil {
		if len(v.suspects) >= maxPartSuspects {
			v.evict()
		}
		s = &partSuspect{part: p}
		v.suspects[k] = s
	}
	return s
}

// evict drops the suspect with the fewest crashes, and among equals the oldest.
func (v *PartEvidence) evict() {
	var target Key
	var worst *partSuspect
	for k, s := range v.suspects {
		if worst == nil || s.evictedBefore(k, worst, target) {
			target, worst = k, s
		}
	}
	v.remove(target)
}

func (s *partSuspect) evictedBefore(k Key, o *partSuspect, other Key) bool {
	switch {
	case len(s.crashes) != len(o.crashes):
		return len(s.crashes) < len(o.crashes)
	case s.lastReported != o.lastReported:
		return s.lastReported < o.lastReported
	}
	return compareKeys(k, other) < 0
}

func (s *partSuspect) add(now time.Duration, c *crash) {
	s.lastReported = now
	if slices.Contains(s.crashes, c) {
		return
	}
	at, _ := slices.BinarySearchFunc(s.crashes, c, func(a, b *crash) int { return int(a.at - b.at) })
	s.crashes = slices.Insert(s.crashes, at, c)
}

// Clear records that an answer to a request with a part has begun. A condemned set is reduced to its other
// parts, or released if it has none.
func (v *PartEvidence) Clear(k Key) {
	v.remove(k)
	v.sets = slices.DeleteFunc(v.sets, func(s PartSet) bool { return slices.Equal(s.Keys(), []Key{k}) })
	for i, s := range v.sets {
		if slices.Contains(s.Keys(), k) {
			v.sets[i], _ = s.Without(k) // it has another part, see above
			v.changed = true
		}
	}
}

// Release removes a condemned set, and the evidence against its parts.
func (v *PartEvidence) Release(set Key) {
	for i, s := range v.sets {
		if s.Key() != set {
			continue
		}
		for _, k := range s.Keys() {
			v.remove(k)
		}
		v.sets, v.changed = slices.Delete(v.sets, i, i+1), true
		return
	}
}

func (v *PartEvidence) remove(k Key) {
	if v.suspects[k] == nil {
		return
	}
	for _, c := range v.suspects[k].crashes {
		delete(c.parts, k)
	}
	delete(v.suspects, k)
	v.changed = true
}

// AddCondemned adds a set that was condemned by other evidence. Beyond maxPartSets the oldest set goes.
func (v *PartEvidence) AddCondemned(s PartSet) {
	v.sets = append(v.sets, s)
	v.sets = v.sets[max(len(v.sets)-maxPartSets, 0):]
}

// Sets returns the condemned sets, oldest first.
func (v *PartEvidence) Sets() []PartSet { return slices.Clone(v.sets) }

// Condemned reports whether a request with the given parts is condemned, and the key of the set.
func (v *PartEvidence) Condemned(parts []Key) (set Key, condemned bool) {
	for _, s := range v.sets {
		if hasAll(parts, s.Keys()) {
			return s.Key(), true
		}
	}
	return Key{}, false
}

// Empty reports whether there are neither suspects nor condemned sets.
func (v *PartEvidence) Empty() bool { return len(v.suspects)+len(v.sets) == 0 }

// TakeChanged reports whether the suspects or the sets have changed since the last call.
func (v *PartEvidence) TakeChanged() bool {
	changed := v.changed
	v.changed = false
	return changed
}

// Crashes returns the number of unexplained crashes of a part, those that overlap included.
func (v *PartEvidence) Crashes(k Key) int {
	s := v.suspects[k]
	if s == nil {
		return 0
	}
	return len(s.unexplained())
}

// unexplained returns the crashes at which no condemned set was running.
func (s *partSuspect) unexplained() (all []*crash) {
	for _, c := range s.crashes {
		if !c.explained {
			all = append(all, c)
		}
	}
	return all
}

// expire removes crashes that are older than the retention.
func (v *PartEvidence) expire(now time.Duration) {
	old := func(c *crash) bool { return now-c.at > retention }
	for server, crashes := range v.crashes {
		if v.crashes[server] = slices.DeleteFunc(crashes, old); len(v.crashes[server]) == 0 {
			delete(v.crashes, server)
		}
	}
	for k, s := range v.suspects {
		if s.crashes = slices.DeleteFunc(s.crashes, old); len(s.crashes) == 0 {
			v.remove(k)
		}
	}
}
