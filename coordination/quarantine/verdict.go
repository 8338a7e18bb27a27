// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"math"
	"slices"
	"time"
)

// This file defines when a request is condemned.

const (
	// chanceAllowed is the chance with which a request that ends nothing may have a record for
	// which it is condemned, where servers end independently of each other. Of 600,000 requests in
	// five pools whose servers ended by themselves, each up to every 10 s, none was condemned
	// (TestChanceOfInnocents); with 1e-6 for the product of the chances alone one was.
	chanceAllowed = 1e-6
	// shortestRun is the least time that a run counts as. Servers do not end at a rate that is known
	// for shorter times.
	shortestRun = 100 * time.Millisecond
	// longRate is the time over which the rate is taken at which servers end by themselves now and
	// then.
	longRate = time.Minute
	// shortRate is the time over which a series of them shows that has just begun.
	shortRate = 10 * time.Second
)

// Evaluate condemns the requests that the evidence is now enough for, and returns them ordered by
// key. servers is how many servers a pool has.
func (v *Evidence) Evaluate(now time.Duration, servers func(pool string) int) (all []Verdict) {
	v.expire(now)
	for k, s := range v.suspects {
		if verdict, condemned := v.judge(now, k, s, servers); condemned {
			all = append(all, verdict)
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return slices.Compare(a.Key[:], b.Key[:]) })
	for _, verdict := range all {
		v.condemn(verdict)
	}
	return all
}

// condemn explains all ends at which a condemned request was.
func (v *Evidence) condemn(verdict Verdict) {
	v.suspects[verdict.Key].verdict = &verdict
	v.changed = true
	for _, of := range v.ends {
		for _, e := range of {
			e.explained = e.explained || e.keys[verdict.Key]
		}
	}
}

// judge returns the verdict on one suspect, if it is condemned.
func (v *Evidence) judge(now time.Duration, k Key, s *suspect, servers func(pool string) int) (Verdict, bool) {
	record := s.settled(now - v.settle)
	if s.verdict != nil || len(record) < fewestEnds {
		return Verdict{}, false
	}
	verdict := Verdict{Key: k, Hint: s.hint, Account: s.account, Pool: record[0].Pool}
	var chances []float64
	for _, h := range record {
		verdict.Servers = append(verdict.Servers, h.Server)
		chances = append(chances, v.chance(now, k, h, servers))
	}
	verdict.Probability = combined(chances)
	alone := len(record) >= mostEnds || !v.shared(k, record)
	return verdict, alone && verdict.Probability <= chanceAllowed
}

// combined returns the chance that the product of as many chances is as small by itself (R. A.
// Fisher's method): a product of several is small more often than each of them.
func combined(chances []float64) float64 {
	product := 1.0
	for _, c := range chances {
		product *= c
	}
	if product == 0 {
		return 0
	}
	term, sum := 1.0, 0.0
	for i := range chances {
		sum += term
		term *= -math.Log(product) / float64(i+1)
	}
	return min(product*sum, 1)
}

// settled returns the losses that came until a time and that nothing else explains.
func (s *suspect) settled(until time.Duration) (record []keptLoss) {
	for _, h := range s.losses {
		if h.came <= until && !h.end.explained {
			record = append(record, h)
		}
	}
	return record
}

// shared reports whether another suspect was at all ends of a suspect's record.
func (v *Evidence) shared(k Key, record []keptLoss) bool {
	for other := range record[0].end.keys {
		atAll := !slices.ContainsFunc(record, func(h keptLoss) bool { return !h.end.keys[other] })
		if other != k && atAll && v.suspects[other].verdict == nil {
			return true
		}
	}
	return false
}

// chance returns the chance that a server that does not end for the request's sake ends within
// its run, by the ends at which it was not.
func (v *Evidence) chance(now time.Duration, k Key, h keptLoss, servers func(pool string) int) float64 {
	long, short, here := 1, 0, 0 // one end more than was seen: none seen is not none
	for _, of := range v.ends {
		for _, e := range of {
			age := now - e.at
			if e.pool != h.Pool || e.explained || e.keys[k] || age > longRate {
				continue
			}
			long++
			if age <= shortRate {
				short++
			}
			if e.address == h.Address {
				here++
			}
		}
	}
	of := float64(max(servers(h.Pool), 1))
	rate := max(float64(long)/longRate.Seconds(), float64(short)/shortRate.Seconds())/of + float64(here)/longRate.Seconds()
	return min(rate*max(h.RunTime, shortestRun).Seconds(), 1)
}
