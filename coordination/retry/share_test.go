// SPDX-License-Identifier: Apache-2.0

package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests when refused requests of accounts that demand more than their shares are retried. It
// models callers, one gateway and engines in virtual time; the shares are computed by package entitlement.

// Parameters of the model.
const (
	shareTick       = 10 * time.Millisecond
	shareSettle     = 100 * time.Millisecond // interval between usage reports, and between updates of the shares
	shareWarm       = 3 * time.Second
	shareEnd        = 33 * time.Second
	shareRate       = 400_000.0 // capacity configured by the operator, in tokens a second
	shareCost       = 1000.0    // tokens per request
	shareObjective  = 400 * time.Millisecond
	sharePatience   = 12 * time.Second
	shareEngineRate = shareRate // capacity of the engines, in tokens a second
	shareMaxAhead   = 40_000.0  // maximum tokens ahead of a request at the engines: a quarter of the objective
)

// sharedAccounts is the state of the model: two accounts with the same load.
type sharedAccounts struct {
	rng             *rand.Rand
	now             time.Duration
	leader          *entitlement.DemandEstimator
	classifier      *entitlement.Classifier
	report          protocol.Usage
	retries         map[time.Duration][]refusedRequest
	backlog         float64 // tokens that the engines still have to read
	withinObjective bool    // whether requests are retried within the objective, rather than always after a part of their remaining time

	submitted, inTime, served int // requests
}

// refusedRequest is a request that was refused and will be retried.
type refusedRequest struct {
	account string
	since   time.Duration // when it was first sent
}

// play sends requests of both accounts at the given multiple of their shares.
func (m *sharedAccounts) play(times float64) {
	due := 0.0
	for m.now = shareTick; m.now < shareEnd; m.now += shareTick {
		m.backlog = max(m.backlog-shareEngineRate*shareTick.Seconds(), 0)
		for _, r := range m.retries[m.now] {
			m.submit(r, true)
		}
		delete(m.retries, m.now)
		for due += times * shareRate / 2 * shareTick.Seconds() / shareCost; due >= 1; due-- {
			m.submit(refusedRequest{"a", m.now}, false)
			m.submit(refusedRequest{"b", m.now}, false)
		}
		if m.now%shareSettle == 0 {
			m.leader.Add(m.report)
			m.report = protocol.Usage{}
			m.leader.Recompute(m.now, shareRate)
			if m.leader.Ready() {
				m.classifier.Update(m.now, m.leader.Entitlements(), m.leader.LateEntitlements(), true)
			}
		}
	}
}

// submit serves or refuses a request. Retries are not recognized as such, as on a new gateway or with
// callers whose total waits differ.
func (m *sharedAccounts) submit(r refusedRequest, back bool) {
	counts := m.now >= shareWarm
	if counts && !back {
		m.submitted++
	}
	tokens := []protocol.Demand{{Account: r.account, Tokens: shareCost}}
	m.report.Demands = append(m.report.Demands, tokens...)
	class := m.classifier.Classify(m.now, r.account, shareCost, false)
	if class < entitlement.Beyond && m.backlog >= shareMaxAhead {
		m.report.Missed += shareCost
	}
	if class < entitlement.Beyond && m.backlog < shareMaxAhead {
		m.backlog += shareCost
		m.report.Served = append(m.report.Served, tokens...)
		m.report.Started += shareCost
		if counts {
			m.served++
		}
		if counts && m.now-r.since < shareObjective {
			m.inTime++
		}
		return
	}
	if back {
		return
	}
	e, _ := m.classifier.Entitlement(m.now, r.account)
	share := UncoveredRequest{CoveredFraction: float64(e.Extra), Left: sharePatience}
	if m.withinObjective {
		share.Objective = shareObjective
	}
	when := (m.now + share.After(m.rng.Float64())).Truncate(shareTick)
	m.retries[when] = append(m.retries[when], r)
}

// TestRetriesAreInTime checks accounts that demand more than their shares. If refused requests
// are retried within the objective, as many must be served as if they are retried after a third of their
// remaining time, and far more of them in time.
func TestRetriesAreInTime(t *testing.T) {
	is := is.New(t)
	play := func(times float64, withinObjective bool) (inTime, served float64) {
		m := &sharedAccounts{
			rng: rand.New(rand.NewPCG(1, 2)), leader: entitlement.NewDemandEstimator(), classifier: entitlement.NewClassifier(),
			retries: map[time.Duration][]refusedRequest{}, withinObjective: withinObjective,
		}
		m.play(times)
		return float64(m.inTime) / float64(m.submitted), float64(m.served) / float64(m.submitted)
	}
	for _, times := range []float64{1.2, 1.4, 2, 5} {
		inTime, served := play(times, true)
		late, servedLate := play(times, false)
		t.Logf("demand of %.1f times the share: in time %.2f of %.2f served; %.2f of %.2f if returning after a third of the remaining time", times, inTime, served, late, servedLate)
		is.True(inTime >= 0.9/times)       // requests covered by the share are in time
		is.True(served <= 1.1/times)       // no more is served than the share covers
		is.True(served >= 0.95*servedLate) // no fewer than if requests are retried later
		is.True(inTime >= late+0.1/times)  // more in time than if requests are retried later
	}
}
