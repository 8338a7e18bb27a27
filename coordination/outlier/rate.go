// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"math"
	"time"
)

// This file defines FailureRate and PoolRate, the gateways' rule: the failure rate of a server compared
// with that of its pool.

// Verdict classifies the result of an attempt by what it shows about the server. The zero value is Answered.
type Verdict uint8

// Verdicts on an attempt.
const (
	Answered    Verdict = iota // complete and without a server error
	Refused                    // for lack of capacity, without having run
	Faulty                     // answered with a server error or an unusable answer
	Lost                       // no answer or an incomplete one
	NoVerdict                  // ended for a reason other than the server
	Unconfirmed                // answered, but nothing states that the answer is complete
)

// failureWeights are the weights of verdicts in the failure rate. Refusals weigh least, since full engines
// refuse requests in normal operation.
var failureWeights = [...]float64{Answered: 0, Refused: 0.4, Faulty: 0.7, Lost: 1}

// Parameters of the gateways' rule.
const (
	serverSamples      = 12               // attempts in the average of a server
	poolWeight         = 0.02             // weight of one attempt in the average of the pool, about 50 attempts
	rateToEject        = 0.35             // difference to the pool's rate from which a server is ejected
	lostToEject        = 3                // consecutive lost requests, whatever the failure rate
	unconfirmedTrials  = 3                // unconfirmed trials that end an ejection: a server may never confirm an answer
	maxGatewayEjection = 12 * time.Second // maximum ejection, reached after failed trials

	// MinSamples is the minimum number of attempts since the last ejection for a server's rate to count.
	MinSamples = 4
	// MinGatewayEjection is the duration of a server's first ejection.
	MinGatewayEjection = 1500 * time.Millisecond
)

// PoolRate is the average weighted failure rate of all servers of one pool. The zero value has no failures.
type PoolRate struct {
	rate     float64
	attempts uint64 // counted in the rate
}

// FailureRate is the state of one server. The zero value is a server in use.
type FailureRate struct {
	ejection
	record     // since the last ejection
	ejectedFor record
	lostAt     uint64 // value of PoolRate.attempts after the last lost attempt
	// unconfirmed is the number of unconfirmed trials since the last ejection.
	unconfirmed int
}

// record sums up attempts at a server.
type record struct {
	rate    float64 // average weighted failure rate, 0 to 1
	samples int
	lost    int // consecutive lost requests
}

// Record records the result of an attempt at a server of the pool and reports whether the server is ejected
// because of it. trial is whether the attempt was the server's trial.
func (p *PoolRate) Record(now time.Duration, f *FailureRate, v Verdict, trial bool) (ejected bool) {
	if v == NoVerdict || v == Unconfirmed {
		if trial {
			f.endTrial(v)
		}
		return false
	}
	p.attempts++
	p.rate += poolWeight * (failureWeights[v] - p.rate)
	if v == Lost {
		f.lostAt = p.attempts
	}
	if v != Answered && f.until != 0 && !f.inTrial {
		return false // began before the ejection, which must not grow with the number of requests under way
	}
	f.count(v)
	if v == Answered {
		f.succeeded()
		return false
	}
	if !f.inTrial && !f.isOutlier(p.rate) {
		return false
	}
	f.eject(now, MinGatewayEjection, maxGatewayEjection)
	f.ejectedFor, f.record, f.unconfirmed = f.record, record{}, 0
	return true
}

// Resumed takes back a request that was recorded as lost because its server was silent: the server goes on. An
// ejection for lost requests ends, and what else it was for counts on.
func (p *PoolRate) Resumed(f *FailureRate) {
	p.takeBack(f.lostAt)
	if f.until != 0 && f.ejectedFor.lost > 0 {
		f.withdraw(MinGatewayEjection)
		f.record = f.ejectedFor
	}
	f.uncount(Lost)
	f.lost = 0
}

// takeBack takes a lost attempt out of the average, as far as later ones have not displaced it. After many losses it
// takes too little rather than too much: with too small a rate, servers that fail like all others would be ejected.
func (p *PoolRate) takeBack(lostAt uint64) {
	weight := poolWeight * math.Pow(1-poolWeight, float64(p.attempts-lostAt)-1)
	p.rate = max(p.rate-weight*(failureWeights[Lost]-p.rate), 0)
}

// LostInARow returns the number of consecutive requests lost at the server since it last answered or was
// ejected.
func (f *FailureRate) LostInARow() int { return f.lost }

// endTrial ends a trial that shows neither a success nor a failure.
func (f *FailureRate) endTrial(v Verdict) {
	f.inTrial = false
	if v != Unconfirmed {
		return
	}
	if f.unconfirmed++; f.unconfirmed == unconfirmedTrials {
		f.until = 0
	}
}

// succeeded ends an ejection and halves the duration of the next one.
func (f *FailureRate) succeeded() {
	f.until, f.inTrial, f.lost = 0, false, 0
	f.nextDuration = max(f.nextDuration/2, MinGatewayEjection)
}

// isOutlier reports whether the record ejects a server of a pool with the given failure rate.
func (r *record) isOutlier(poolRate float64) bool {
	return r.lost >= lostToEject || r.samples >= MinSamples && r.rate > poolRate+rateToEject
}

// count adds an attempt: to the average over all of them at first, later over about serverSamples.
func (r *record) count(v Verdict) {
	r.samples++
	r.rate += (failureWeights[v] - r.rate) / float64(min(r.samples, serverSamples))
	if v == Lost {
		r.lost++
	}
}

// uncount takes an attempt out of the record, unless that has been reset meanwhile.
func (r *record) uncount(v Verdict) {
	if r.samples == 0 {
		return
	}
	n := float64(min(r.samples, serverSamples))
	r.rate = max(r.rate*n-failureWeights[v], 0) / max(n-1, 1)
	r.samples--
}
