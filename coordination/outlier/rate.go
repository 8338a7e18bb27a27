// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// This file defines FailureRate and PoolRate, the gateways' rule: a
// server's part of failures against its pool's.

// Verdict is what the end of an attempt shows about the server. The zero value is an
// answer.
type Verdict uint8

// The verdicts.
const (
	Answered  Verdict = iota // whole, and no failure of its own
	Refused                  // as full, without having run
	Faulty                   // it answered, with an error of its own or an unusable answer
	Lost                     // no answer, or only a part of one
	NoVerdict                // the end was none of the server's doing
)

// weights are the parts of a failure that verdicts count for: A refusal weighs least, since full
// engines refuse in normal operation.
var weights = [...]float64{Answered: 0, Refused: 0.4, Faulty: 0.7, Lost: 1}

// Parameters of a gateway's ejections.
const (
	serverMemory = 12               // attempts over which a server's failures are averaged
	poolMemory   = 0.02             // weight of one attempt in the pool's average: one of 50
	rateToEject  = 0.35             // weighted part of failures above the pool's
	lostToEject  = 3                // lost requests in a row, whatever the rates are
	longestWait  = 12 * time.Second // however often the trial fails

	// MinSamples is how many attempts since its last ejection a server is
	// judged by at least.
	MinSamples = 4
	// ShortestWait is how long a server is ejected for the first time.
	ShortestWait = 1500 * time.Millisecond
)

// PoolRate is the averaged weighted part of failures of all servers of one
// pool. The zero value has no failures.
type PoolRate struct{ failing float64 }

// FailureRate judges one server. The zero value is a server in use.
type FailureRate struct {
	ejection
	failing float64 // averaged weighted part of failures, 0 to 1
	samples int     // attempts since the last ejection
	lost    int     // requests in a row
}

// Record counts the end of an attempt at a server of the pool and reports
// whether it ejects the server. trial is whether the attempt was the server's
// trial.
func (p *PoolRate) Record(now time.Duration, f *FailureRate, v Verdict, trial bool) (ejected bool) {
	if v == NoVerdict {
		if trial {
			f.trying = false
		}
		return false
	}
	p.failing += poolMemory * (weights[v] - p.failing)
	f.count(weights[v])
	if v == Answered {
		f.succeeded()
		return false
	}
	if v == Lost {
		f.lost++
	}
	above := f.samples >= MinSamples && f.failing > p.failing+rateToEject
	if !f.trying && !above && f.lost < lostToEject {
		return false
	}
	ejected = f.until == 0 || f.trying
	f.eject(now, ShortestWait, longestWait)
	f.samples, f.failing, f.lost = 0, 0, 0
	return ejected
}

// LostInARow returns how many requests were lost at the server since it last answered or was
// ejected.
func (f *FailureRate) LostInARow() int { return f.lost }

// succeeded ends an ejection. The next one is half as long as it would have
// been.
func (f *FailureRate) succeeded() {
	f.until, f.trying, f.lost = 0, false, 0
	f.wait = max(f.wait/2, ShortestWait)
}

// count averages over the attempts so far, then over about serverMemory.
func (f *FailureRate) count(weight float64) {
	f.samples++
	f.failing += (weight - f.failing) / float64(min(f.samples, serverMemory))
}
