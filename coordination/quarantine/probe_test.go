// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests when condemned requests and sets of parts are probed, and what having been served counts for.

// TestProbesBecomeRare guards against a condemnation that costs a server again and again: probes that fail are ever
// rarer.
func TestProbesBecomeRare(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		exclusion Exclusion
		due       []time.Duration // since the verdict or the failed probe before
	}{
		{Exclusion{Pool: "p", IsSet: true}, []time.Duration{firstSetDelay, 10 * time.Second, 80 * time.Second, maxProbeDelay, maxProbeDelay}},
		{Exclusion{Pool: "p"}, []time.Duration{time.Minute, time.Minute, 8 * time.Minute, maxProbeDelay}},
	} {
		p, k, now := NewProbes(), keyNamed("k"), time.Hour
		if tt.exclusion.IsSet {
			p.CondemnSet(now, k, "p")
		} else {
			p.Add(now, k, tt.exclusion)
		}
		for i, due := range tt.due {
			is.True(!p.Grant(now+due-1, k, isCalm))
			now += due
			is.True(p.Grant(now, k, isCalm))
			is.True(!p.Grant(now, k, isCalm))             // one at a time
			is.True(!p.RecordLoss(now, k, now-1))         // a run that began before the probe
			is.Equal(p.RecordLoss(now, k, now), i == 0)   // the first one confirms the verdict
			is.True(!p.RecordLoss(now, k, now))           // it counts once
			is.Equal(p.IsProvisional(k), false)           // confirmed
			is.True(!p.Grant(now, keyNamed("o"), isCalm)) // not condemned
		}
	}
}

// TestProbeWaitsForCalm checks that a probe waits until a series of failures is over, but not for ever, and that a
// probe beside other failures confirms nothing.
func TestProbeWaitsForCalm(t *testing.T) {
	is := is.New(t)
	p, k, now := NewProbes(), keyNamed("k"), time.Hour
	p.CondemnSet(now, k, "p")
	isNotCalm := func(string) bool { return false }
	now += firstSetDelay
	is.True(!p.Grant(now, k, isNotCalm))
	now += maxCalmWait
	is.True(p.Grant(now, k, isNotCalm))
	is.True(!p.RecordLoss(now, k, now))
	is.True(p.IsProvisional(k))
	p.Sync(now, nil)
	is.True(!p.IsProvisional(k)) // released
}

// TestProbeWithoutOutcome checks that a probe of which nothing is known is followed by another one.
func TestProbeWithoutOutcome(t *testing.T) {
	is := is.New(t)
	p, k, now := NewProbes(), keyNamed("k"), time.Hour
	p.CondemnSet(now, k, "p")
	now += firstSetDelay
	is.True(p.Grant(now, k, isCalm))
	is.True(!p.Grant(now+setProbeTimeout-1, k, isCalm))
	is.True(p.Grant(now+setProbeTimeout, k, isCalm))
}

// TestCalmPool checks which failures end the calm of a pool.
func TestCalmPool(t *testing.T) {
	is := is.New(t)
	s := newScenario()
	is.True(s.v.IsCalm(s.now, "p"))
	s.fail("s1", 100*time.Millisecond, "k")
	is.True(!s.v.IsCalm(s.now, "p"))
	is.True(s.v.IsCalm(s.now, "other"))
	is.True(s.v.IsCalm(s.now+calmTime+1, "p"))
	s.v.Explain(CrashID{Server: "s1", At: s.now})
	is.True(s.v.IsCalm(s.now, "p"))
}

// TestServedSuspectsNeedMoreThanASeries guards against verdicts on what is requested all the time: at a series of
// failures, what has been served before needs more of them than anything else, but is condemned in the end.
func TestServedSuspectsNeedMoreThanASeries(t *testing.T) {
	const failures = 30
	for _, tt := range []struct {
		served       bool
		fewest, most int // failures until the verdict
	}{{false, minFailures, minFailures}, {true, minFailures + 1, failures}} {
		t.Run(fmt.Sprint("served ", tt.served), func(t *testing.T) {
			is := is.New(t)
			requests, parts := NewEvidence(SettleTime), NewPartEvidence(SettleTime)
			requestsAt, partsAt := 0, 0
			for i, now := 1, time.Hour; i <= failures; i, now = i+1, now+120*time.Millisecond {
				loss := Loss{
					Key: keyNamed("hot"), Pool: "p", Server: fmt.Sprint("s", i), Address: fmt.Sprint("s", i), RunTime: 100 * time.Millisecond,
					PoolAnswering: true, Parts: []string{"shared"}, Model: "m", Served: tt.served,
				}
				if tt.served {
					loss.ServedParts = loss.Parts
				}
				requests.Add(now, TimedLoss{At: now, Loss: loss})
				loss.Key = keyNamed(fmt.Sprint("request ", i))
				parts.Add(now, TimedLoss{At: now, Loss: loss})
				if v := requests.Evaluate(now+SettleTime, nineServers); len(v) > 0 && requestsAt == 0 {
					requestsAt = i
				}
				if v := parts.Evaluate(now+SettleTime, nineServers); len(v) > 0 && partsAt == 0 {
					partsAt = i
				}
			}
			t.Logf("a request is condemned at failure %d, a part at %d", requestsAt, partsAt)
			is.True(requestsAt >= tt.fewest && requestsAt <= tt.most)
			is.True(partsAt >= tt.fewest && partsAt <= tt.most)
		})
	}
}

func isCalm(string) bool { return true }
