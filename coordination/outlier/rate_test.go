// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"fmt"
	"math"
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

// ejectedAndTried ejects a server, sends it trials that are lost, and one that is answered.
func ejectedAndTried(p *PoolRate, s *FailureRate, lostTrials int) (now time.Duration) {
	now = time.Second
	recordAll(p, s, now, Lost, Lost, Lost)
	for range lostTrials {
		now = s.until
		s.Sent(now)
		p.Record(now, s, Lost, true)
	}
	now = s.until
	s.Sent(now)
	p.Record(now, s, Answered, true)
	return now
}

// TestResumedServerIsAsBefore guards against a sound server that stays out of use after a silence, or that is ejected
// for longer the next time. Another server with the same history but without the silence shows what must be.
func TestResumedServerIsAsBefore(t *testing.T) {
	for lostTrials := range 5 {
		for _, silences := range []int{1, 2, lostToEject, 5, 12, 40} {
			t.Run(fmt.Sprintf("%d lost trials, %d silences", lostTrials, silences), func(t *testing.T) {
				is := is.New(t)
				var p, samePool PoolRate
				var s, same FailureRate
				ejectedAndTried(&samePool, &same, lostTrials)
				now := ejectedAndTried(&p, &s, lostTrials)
				recordAll(&p, &s, now, slices.Repeat([]Verdict{Lost}, silences)...)
				is.Equal(s.State(now) == Ejected, silences >= lostToEject)
				for range silences {
					p.Resumed(&s)
					is.Equal(s.State(now), InUse)
				}
				is.True(math.Abs(p.rate-samePool.rate) < 0.001)
				recordAll(&p, &s, now, Lost, Lost, Lost)
				recordAll(&samePool, &same, now, Lost, Lost, Lost)
				is.Equal(s.until, same.until)
			})
		}
	}
}

// TestSilentTrialOfResumedServer guards against a server that stays out of use, or is ejected for longer, because it
// was silent during its trial and then went on.
func TestSilentTrialOfResumedServer(t *testing.T) {
	is := is.New(t)
	var p PoolRate
	var s FailureRate
	now := time.Second
	recordAll(&p, &s, now, Lost, Lost, Lost)
	now += MinGatewayEjection
	is.True(s.Sent(now))
	is.True(p.Record(now, &s, Lost, true))
	is.Equal(s.State(now+MinGatewayEjection), Ejected)
	p.Resumed(&s)
	is.Equal(s.State(now), InUse)
	recordAll(&p, &s, now, Lost, Lost, Lost)
	is.Equal(s.State(now+2*MinGatewayEjection), Trial)
}

// TestResumedServerStaysEjectedForOtherReasons guards against a faulty server that is used because one of its answers
// goes on after a silence.
func TestResumedServerStaysEjectedForOtherReasons(t *testing.T) {
	for _, tt := range []struct {
		name     string
		verdicts []Verdict
		after    State
	}{
		{"silences alone", []Verdict{Lost, Lost, Lost}, InUse},
		{"too few faulty answers without the silence", []Verdict{Lost, Faulty, Faulty, Faulty}, InUse},
		{"faulty answers", []Verdict{Faulty, Faulty, Faulty, Faulty, Lost}, Ejected},
		{"answered since", []Verdict{Lost, Answered, Faulty, Faulty, Faulty, Faulty}, Ejected},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p PoolRate
			var s FailureRate
			recordAll(&p, &s, time.Second, tt.verdicts...)
			is.Equal(s.State(time.Second), Ejected)
			p.Resumed(&s)
			is.Equal(s.State(time.Second), tt.after)
		})
	}
}

// TestEvidenceOutlastsResumption guards against a faulty server that starts with a clean record because the silence
// that completed its ejection is over.
func TestEvidenceOutlastsResumption(t *testing.T) {
	is := is.New(t)
	var p PoolRate
	var s FailureRate
	recordAll(&p, &s, time.Second, Faulty, Faulty, Faulty, Lost)
	is.Equal(s.State(time.Second), Ejected)
	p.Resumed(&s)
	is.Equal(s.State(time.Second), InUse)
	is.True(p.Record(time.Second, &s, Faulty, false))
}

// TestPoolRateAfterSilence guards against a pool whose failure rate seems small after a silence of many servers, so
// that servers which fail like all others are ejected.
func TestPoolRateAfterSilence(t *testing.T) {
	for _, attempts := range []int{0, 10, 100, 500} { // between the silence and its end
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			var p PoolRate
			var others FailureRate
			failing := slices.Repeat([]Verdict{Faulty, Answered}, 200)
			recordAll(&p, &others, time.Second, failing...)
			silent := make([]FailureRate, 50)
			for i := range silent {
				p.Record(time.Second, &silent[i], Lost, false)
			}
			recordAll(&p, &others, time.Second, failing[:min(attempts, len(failing))]...)
			before := p.rate
			for i := range silent {
				p.Resumed(&silent[i])
			}
			if p.rate < 0.3 || p.rate > before {
				t.Errorf("the rate is %.2f, and was %.2f", p.rate, before)
			}
		})
	}
}

// TestOverdueTrial guards against a server that stays out of use for good because only requests that must not be
// repeated come, none of which is made its trial.
func TestOverdueTrial(t *testing.T) {
	is := is.New(t)
	var p PoolRate
	var s FailureRate
	recordAll(&p, &s, time.Second, Lost, Lost, Lost)
	due := time.Second + MinGatewayEjection
	is.Equal(s.State(due+trialPatience-1), Trial)
	is.Equal(s.State(due+trialPatience), OverdueTrial)
	is.True(s.Sent(due + trialPatience))
	is.Equal(s.State(due+trialPatience), Ejected) // one trial at a time
	is.True(p.Record(due+trialPatience, &s, Lost, true))
	is.Equal(s.State(due+trialPatience+2*MinGatewayEjection-1), Ejected)
}
