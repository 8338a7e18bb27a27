// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"math"
	"slices"
	"time"
)

// This file defines when a request is condemned.

const (
	// maxProbability is the largest probability that an innocent request has the record of a
	// condemned one, if servers fail independently of each other. Of 600,000 requests in five pools
	// whose servers failed by themselves, each up to every 10 s, none was condemned
	// (TestInnocentRequestsAreNotCondemned). With 1e-6 for the plain product of the probabilities, one was.
	maxProbability = 1e-6
	// minRunTime is the shortest time that a run counts as. For shorter times the rate of failures
	// cannot be estimated.
	minRunTime = 100 * time.Millisecond
	// longWindow is the window of the failure rate when servers fail by themselves now and then.
	longWindow = time.Minute
	// shortWindow is the window that shows a series of failures that has just begun.
	shortWindow = 10 * time.Second
)

// Evaluate condemns the requests for which there is enough evidence now, and returns them ordered
// by key. servers returns the number of servers in a pool.
func (v *Evidence) Evaluate(now time.Duration, servers func(pool string) int) (all []Verdict) {
	v.expire(now)
	for k, s := range v.suspects {
		if verdict, condemned := v.evaluateSuspect(now, k, s, servers); condemned {
			all = append(all, verdict)
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return slices.Compare(a.Key[:], b.Key[:]) })
	for _, verdict := range all {
		v.condemn(verdict)
	}
	return all
}

// condemn marks all failures at which a condemned request was running as explained.
func (v *Evidence) condemn(verdict Verdict) {
	v.suspects[verdict.Key].verdict = &verdict
	v.changed = true
	for _, failures := range v.failures {
		for _, f := range failures {
			f.explained = f.explained || f.keys[verdict.Key]
		}
	}
}

// evaluateSuspect returns the verdict on a suspect, and whether it is condemned.
func (v *Evidence) evaluateSuspect(now time.Duration, k Key, s *suspect, servers func(pool string) int) (Verdict, bool) {
	record := s.settled(now - v.settle)
	if s.verdict != nil || len(record) < minFailures {
		return Verdict{}, false
	}
	verdict := Verdict{Key: k, Hint: s.hint, Account: s.account, Pool: record[0].Pool}
	var probabilities []float64
	for _, loss := range record {
		verdict.Servers = append(verdict.Servers, loss.Server)
		probabilities = append(probabilities, v.failureProbability(now, k, loss, servers))
	}
	verdict.Probability = combinedProbability(probabilities)
	if s.served {
		verdict.Probability = productOf(probabilities) // the rate in them is that of a series already
	}
	unambiguous := len(record) >= decisiveFailures || !v.isShared(k, record)
	return verdict, unambiguous && verdict.Probability <= maxProbability
}

// combinedProbability returns the probability that the product of as many independent probabilities
// is this small by chance (Fisher's method). A product of several is small more often than each of
// them.
func combinedProbability(probabilities []float64) float64 {
	product := productOf(probabilities)
	if product == 0 {
		return 0
	}
	term, sum := 1.0, 0.0
	for i := range probabilities {
		sum += term
		term *= -math.Log(product) / float64(i+1)
	}
	return min(product*sum, 1)
}

func productOf(probabilities []float64) float64 {
	product := 1.0
	for _, p := range probabilities {
		product *= p
	}
	return product
}

// settled returns the unexplained losses reported by the given time.
func (s *suspect) settled(until time.Duration) (record []recordedLoss) {
	for _, loss := range s.losses {
		if loss.reported <= until && !loss.failure.explained {
			record = append(record, loss)
		}
	}
	return record
}

// isShared reports whether another suspect was running at all failures of a suspect's record.
func (v *Evidence) isShared(k Key, record []recordedLoss) bool {
	for other := range record[0].failure.keys {
		atAll := !slices.ContainsFunc(record, func(loss recordedLoss) bool { return !loss.failure.keys[other] })
		if other != k && atAll && v.suspects[other].verdict == nil {
			return true
		}
	}
	return false
}

// failureProbability returns the probability that a server fails during the run for another reason.
// It is estimated from the failures at which the request was not running. For a request that has been
// served before, all failures count: one that is requested all the time runs at each failure of a series,
// and no failure is left to show that they have another cause.
func (v *Evidence) failureProbability(now time.Duration, k Key, loss recordedLoss, servers func(pool string) int) float64 {
	served := v.suspects[k].served
	long, short, burst, sameAddress := 1, 0, 0, 0 // one more than observed, so that the rate is never 0
	for _, failures := range v.failures {
		for _, f := range failures {
			age := now - f.at
			if f.pool != loss.Pool || f.explained || f.keys[k] && !served || age > longWindow {
				continue
			}
			long++
			if served && (f.at-loss.At).Abs() <= burstWindow/2 {
				burst++
			}
			if age <= shortWindow {
				short++
			}
			if f.address == loss.Address {
				sameAddress++
			}
		}
	}
	poolSize := float64(max(servers(loss.Pool), 1))
	rate := max(float64(long)/longWindow.Seconds(), float64(short)/shortWindow.Seconds(), float64(burst)/burstWindow.Seconds())/poolSize + float64(sameAddress)/longWindow.Seconds()
	return min(rate*max(loss.RunTime, minRunTime).Seconds(), 1)
}
