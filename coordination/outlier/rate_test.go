// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFailureRate(t *testing.T) {
	for _, tt := range []struct {
		name    string
		pool    float64 // failure rate of the pool
		ends    []Verdict
		ejected bool
	}{
		{"lost in a row", 0, []Verdict{Lost, Lost, Lost}, true},
		{"lost, with answers in between", 0, slices.Repeat([]Verdict{Lost, Answered, Answered, Answered, Answered, Answered}, 3), false},
		{"too few samples", 0, []Verdict{Faulty, Faulty, Faulty}, false},
		{"faulty answers", 0, []Verdict{Faulty, Faulty, Faulty, Faulty}, true},
		{"faulty answers in a pool that fails alike", 0.5, []Verdict{Faulty, Faulty, Faulty, Faulty}, false},
		{"full, refuses half", 0, slices.Repeat([]Verdict{Answered, Refused}, 10), false},
		{"lost, with unconfirmed answers in between", 0, slices.Repeat([]Verdict{Lost, Unconfirmed, Unconfirmed}, 3), true},
		{"unconfirmed answers", 0, slices.Repeat([]Verdict{Unconfirmed}, 10), false},
		{"results without a verdict", 0, slices.Repeat([]Verdict{NoVerdict}, 10), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, s, ejected := PoolRate{rate: tt.pool}, FailureRate{}, false
			for _, v := range tt.ends {
				ejected = p.Record(time.Second, &s, v, false) || ejected
			}
			is.New(t).Equal(ejected, tt.ejected)
		})
	}
}

// TestTrialAfterEjection ejects a server and sends it trials. A failed trial doubles the next ejection up to the
// maximum, a trial without a verdict allows another one, and an answer ends the ejection.
func TestTrialAfterEjection(t *testing.T) {
	is := is.New(t)
	var p PoolRate
	var s FailureRate
	now := time.Second
	for range lostToEject {
		p.Record(now, &s, Lost, false)
	}
	is.True(!p.Record(now, &s, Lost, false)) // ejected already
	for wait := MinGatewayEjection; ; wait = min(2*wait, maxGatewayEjection) {
		is.Equal(s.State(now+wait-1), Ejected)
		now += wait
		is.True(s.Sent(now))
		is.True(!s.Sent(now)) // one trial at a time
		is.Equal(s.State(now), Ejected)
		p.Record(now, &s, NoVerdict, true)
		is.True(s.Sent(now))
		if wait == maxGatewayEjection {
			break
		}
		is.True(p.Record(now, &s, Lost, true))
	}
	is.True(!p.Record(now, &s, Answered, true))
	is.Equal(s.State(now), InUse)
}

// TestUnconfirmedTrials checks that one answer whose end nothing states does not end an ejection, and that a
// server which gives no others returns after several.
func TestUnconfirmedTrials(t *testing.T) {
	is := is.New(t)
	var p PoolRate
	var s FailureRate
	now := time.Second
	for range lostToEject {
		p.Record(now, &s, Lost, false)
	}
	now += MinGatewayEjection
	for range unconfirmedTrials {
		is.Equal(s.State(now), Trial)
		is.True(s.Sent(now))
		p.Record(now, &s, Unconfirmed, true)
	}
	is.Equal(s.State(now), InUse)
}

// recordAll records attempts at a server of the pool.
func recordAll(p *PoolRate, s *FailureRate, now time.Duration, verdicts ...Verdict) {
	for _, v := range verdicts {
		p.Record(now, s, v, false)
	}
}

// TestSilenceOfOneServerEjectsItOnce guards against ejections of many seconds for one short silence: the requests
// that were under way at the server are all lost in it, and only the first ones may eject it.
func TestSilenceOfOneServerEjectsItOnce(t *testing.T) {
	for _, n := range []int{lostToEject, 2 * lostToEject, 12, 40} {
		is := is.New(t)
		var p PoolRate
		var s FailureRate
		recordAll(&p, &s, time.Second, slices.Repeat([]Verdict{Lost}, n)...)
		is.Equal(s.State(time.Second+MinGatewayEjection-1), Ejected)
		is.Equal(s.State(time.Second+MinGatewayEjection), Trial)
	}
}
