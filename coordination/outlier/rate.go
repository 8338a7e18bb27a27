// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

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
type PoolRate struct{ rate float64 }

// FailureRate is the state of one server. The zero value is a server in use.
type FailureRate struct {
	ejection
	rate    float64 // average weighted failure rate, 0 to 1
	samples int     // attempts since the last ejection
	lost    int     // consecutive lost requests
	// unconfirmed is the number of unconfirmed trials since the last ejection.
	unconfirmed int
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
	p.rate += poolWeight * (failureWeights[v] - p.rate)
	if v != Answered && f.until != 0 && !f.inTrial {
		return false // began before the ejection, which must not grow with the number of requests under way
	}
	f.count(failureWeights[v])
	if v == Answered {
		f.succeeded()
		return false
	}
	if v == Lost {
		f.lost++
	}
	above := f.samples >= MinSamples && f.rate > p.rate+rateToEject
	if !f.inTrial && !above && f.lost < lostToEject {
		return false
	}
	f.eject(now, MinGatewayEjection, maxGatewayEjection)
	f.samples, f.rate, f.lost, f.unconfirmed = 0, 0, 0, 0
	return true
}

// Resumed takes back a request that was recorded as lost because its server was silent: the server goes on, so an
// ejection ends and the next one is no longer for it.
func (p *PoolRate) Resumed(f *FailureRate) {
	p.rate = max((p.rate-poolWeight*failureWeights[Lost])/(1-poolWeight), 0)
	f.uncount(failureWeights[Lost])
	f.succeeded()
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

// uncount takes one attempt out of the average, unless an ejection has reset it meanwhile.
func (f *FailureRate) uncount(weight float64) {
	if f.samples == 0 {
		return
	}
	n := float64(min(f.samples, serverSamples))
	f.samples--
	f.rate = max(f.rate*n-weight, 0) / max(n-1, 1)
}

// count updates the average, over all attempts at first and later over about serverSamples of them.
func (f *FailureRate) count(weight float64) {
	f.samples++
	f.rate += (weight - f.rate) / float64(min(f.samples, serverSamples))
}
