// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"iter"
	"slices"
	"strings"
	"time"
)

// This file defines when a part of prompts is condemned.

const (
	// burstWindow is the shortest window of the crash rate. It shows servers that crash together, such as
	// those of a rack.
	burstWindow = time.Second
	// judgedFor is how long after a report a part is judged. Without another crash the evidence does not get
	// stronger.
	judgedFor = 5 * time.Second
	// companionFraction is the smallest fraction of a part's crashes at which its companion is beside it.
	companionFraction = 0.75
)

// PartVerdict is the condemnation of a set of parts.
type PartVerdict struct {
	PartSet
	Crashes     []CrashID // that it explains
	Probability float64   // that an innocent part has such a record
}

// CrashID identifies a crash of a server.
type CrashID struct {
	Server string
	At     time.Duration
}

// Evaluate condemns the sets of parts for which there is enough evidence now. servers returns the number of
// servers in a pool.
func (v *PartEvidence) Evaluate(now time.Duration, servers func(pool string) int) (all []PartVerdict) {
	v.expire(now)
	candidates := v.candidates(now)
	if len(candidates) == 0 {
		return nil
	}
	history := newCrashHistory(now, v.allCrashes)
	for _, k := range candidates {
		if verdict, condemned := v.evaluatePart(now, k, history, servers); condemned {
			v.condemn(&verdict, k)
			all = append(all, verdict)
			history = newCrashHistory(now, v.allCrashes)
		}
	}
	return all
}

// candidates returns the parts with enough crashes to be condemned, those with the most first. A part that
// is at a crash explains it, so the parts with fewer crashes may not be needed to explain any.
func (v *PartEvidence) candidates(now time.Duration) (keys []Key) {
	counts := map[Key]int{}
	for k, s := range v.suspects {
		if now-s.lastReported > judgedFor || len(s.crashes) < minFailures {
			continue
		}
		if n := len(s.unexplained()); n >= minFailures {
			keys = append(keys, k)
			counts[k] = n
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return compareKeys(a, b)
	})
	return keys
}

// evaluatePart returns the verdict on a part and its companions, and whether they are condemned.
func (v *PartEvidence) evaluatePart(now time.Duration, k Key, history crashHistory, servers func(pool string) int) (PartVerdict, bool) {
	s := v.suspects[k]
	var settled []*crash
	for _, c := range s.unexplained() {
		if c.parts[k].reported <= now-v.settle {
			settled = append(settled, c)
		}
	}
	if countRequests(settled, k) < minRequests {
		return PartVerdict{}, false
	}
	for _, record := range [][]*crash{sequence(settled, k), separate(settled)} {
		companions := v.companions(k, record)
		enough := len(record) >= decisiveCrashes || len(record) >= minFailures && isSequence(record, k) && !v.isShared(k, companions, record)
		p := v.recordProbability(now, k, record, history, servers)
		if !enough || p > maxProbability {
			continue
		}
		set := PartSet{Pool: s.part.Pool, Model: s.part.Model, Names: []string{s.part.Name}}
		for _, other := range companions {
			set.Names = append(set.Names, v.suspects[other].part.Name)
		}
		slices.SortFunc(set.Names, strings.Compare)
		for _, c := range record {
			set.Servers = append(set.Servers, c.server)
		}
		return PartVerdict{PartSet: set, Probability: p}, true
	}
	return PartVerdict{}, false
}

// condemn adds a verdict on a part and its companions. All crashes at which the part was are explained.
func (v *PartEvidence) condemn(verdict *PartVerdict, k Key) {
	for _, c := range v.suspects[k].unexplained() {
		c.explained = true
		verdict.Crashes = append(verdict.Crashes, CrashID{Server: c.server, At: c.at})
	}
	v.AddCondemned(verdict.PartSet)
	v.changed = true
}

// countRequests returns the number of different requests with a part at crashes.
func countRequests(crashes []*crash, k Key) int {
	requests := map[Key]bool{}
	for _, c := range crashes {
		for _, r := range c.parts[k].requests {
			requests[r] = true
		}
	}
	return len(requests)
}

// sequence returns those of the crashes of a part at which a run was lost of which more than half was after
// the crash before.
func sequence(crashes []*crash, k Key) (record []*crash) {
	for _, c := range crashes {
		if len(record) == 0 || c.follows(record[len(record)-1], k) {
			record = append(record, c)
		}
	}
	return record
}

func (c *crash) follows(before *crash, k Key) bool {
	return c.at-before.at >= max(c.parts[k].shortest/2, minGap)
}

func isSequence(crashes []*crash, k Key) bool { return len(sequence(crashes, k)) == len(crashes) }

// separate returns the crashes without those that happened together with the one before.
func separate(crashes []*crash) (record []*crash) {
	for _, c := range crashes {
		if len(record) == 0 || c.at-record[len(record)-1].at >= minGap {
			record = append(record, c)
		}
	}
	return record
}

// companions returns the suspects that were beside a part, in each of its requests, at nearly all crashes of
// a record.
func (v *PartEvidence) companions(k Key, record []*crash) (keys []Key) {
	counts := map[Key]int{}
	for _, c := range record {
		for _, other := range c.parts[k].beside {
			counts[other]++
		}
	}
	for other, n := range counts {
		if v.suspects[other] != nil && float64(n) >= companionFraction*float64(len(record)) {
			keys = append(keys, other)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// isShared reports whether a suspect that is no companion was at all crashes of a record.
func (v *PartEvidence) isShared(k Key, companions []Key, record []*crash) bool {
	for other := range record[0].parts {
		atAll := !slices.ContainsFunc(record, func(c *crash) bool { return c.parts[other] == nil })
		if other != k && atAll && !slices.Contains(companions, other) {
			return true
		}
	}
	return false
}

// recordProbability returns the probability that all runs of a record are lost to crashes with another
// cause. The rate of those is estimated from the crashes at which the part was not, or from all if it has been
// served before: a part of most prompts is at each crash of a series.
func (v *PartEvidence) recordProbability(now time.Duration, k Key, record []*crash, history crashHistory, servers func(pool string) int) float64 {
	if !v.suspects[k].served {
		history = history.without(newCrashHistory(now, slices.Values(v.suspects[k].crashes)))
	}
	product := 1.0
	for _, c := range record {
		rate := history.rate(now, c, servers)
		product *= min(rate*max(c.parts[k].length, minRunTime).Seconds(), 1)
	}
	return product
}

// crashHistory holds the times of unexplained crashes within longWindow.
type crashHistory struct {
	byPool    map[string][]time.Duration // sorted
	byAddress map[string]int
	except    *crashHistory // crashes that do not count, or nil
}

func newCrashHistory(now time.Duration, crashes iter.Seq[*crash]) crashHistory {
	h := crashHistory{byPool: map[string][]time.Duration{}, byAddress: map[string]int{}}
	for c := range crashes {
		if !c.explained && now-c.at <= longWindow {
			h.byPool[c.pool] = append(h.byPool[c.pool], c.at)
			h.byAddress[c.address]++
		}
	}
	for _, times := range h.byPool {
		slices.Sort(times)
	}
	return h
}

func (h crashHistory) without(o crashHistory) crashHistory {
	h.except = &o
	return h
}

// between returns the number of crashes in a pool from one time to another, both included.
func (h crashHistory) between(pool string, from, to time.Duration) int {
	first, _ := slices.BinarySearch(h.byPool[pool], from)
	end, _ := slices.BinarySearch(h.byPool[pool], to+1)
	n := end - first
	if h.except != nil {
		n -= h.except.between(pool, from, to)
	}
	return n
}

// rate returns the estimated crashes per second of the server of a crash.
func (h crashHistory) rate(now time.Duration, c *crash, servers func(pool string) int) float64 {
	long := 1 + h.between(c.pool, now-longWindow, now) // one more than observed, so that the rate is never 0
	short := h.between(c.pool, now-shortWindow, now)
	burst := h.between(c.pool, c.at-burstWindow/2, c.at+burstWindow/2)
	rate := max(float64(long)/longWindow.Seconds(), float64(short)/shortWindow.Seconds(), float64(burst)/burstWindow.Seconds())
	sameAddress := h.byAddress[c.address]
	if h.except != nil {
		sameAddress -= h.except.byAddress[c.address]
	}
	return rate/float64(max(servers(c.pool), 1)) + float64(sameAddress)/longWindow.Seconds()
}

// allCrashes yields all recorded crashes.
func (v *PartEvidence) allCrashes(yield func(*crash) bool) {
	for _, crashes := range v.crashes {
		for _, c := range crashes {
			if !yield(c) {
				return
			}
		}
	}
}
