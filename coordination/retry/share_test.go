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

// This file tests when refused requests beyond their account's share return, with a model of one
// gateway, the leader and engines in virtual time. It uses the real shares.

// Parameters of the model.
const (
	shareTick      = 10 * time.Millisecond
	shareSettle    = 100 * time.Millisecond // interval between usage reports, and between updates of the shares
	shareWarm      = 3 * time.Second
	shareEnd       = 33 * time.Second
	shareRate      = 400_000.0 // capacity configured by the operator, in tokens a second
	shareCost      = 1000.0    // tokens per request
	shareObjective = 400 * time.Millisecond
	sharePatience  = 12 * time.Second
	shareMade      = shareRate // capacity of the engines, in tokens a second
	shareRoom      = 40_000.0  // maximum tokens ahead of a request at the engines: a quarter of the objective
)

// sharedAccounts models two accounts with the same load.
type sharedAccounts struct {
	rng        *rand.Rand
	now        time.Duration
	leader     *entitlement.Demand
	classifier *entitlement.Classifier
	report     protocol.Usage
	later      map[time.Duration][]refusedOnce
	busy       float64 // tokens that the engines still have to read
	soon       bool    // whether requests return within the objective, rather than always after a part of their remaining time

	asked, inTime, served int // requests
}

// refusedOnce is a request that will return.
type refusedOnce struct {
	account string
	since   time.Duration
}

// play sends requests of both accounts at the given multiple of their shares.
func (m *sharedAccounts) play(times float64) {
	owed := 0.0
	for m.now = shareTick; m.now < shareEnd; m.now += shareTick {
		m.busy = max(m.busy-shareMade*shareTick.Seconds(), 0)
		for _, r := range m.later[m.now] {
			m.ask(r, true)
		}
		delete(m.later, m.now)
		for owed += times * shareRate / 2 * shareTick.Seconds() / shareCost; owed >= 1; owed-- {
			m.ask(refusedOnce{"a", m.now}, false)
			m.ask(refusedOnce{"b", m.now}, false)
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

// ask serves or refuses a request. Returns are not recognized as such, as on a new gateway or with
// callers of differing patience.
func (m *sharedAccounts) ask(r refusedOnce, back bool) {
	counts := m.now >= shareWarm
	if counts && !back {
		m.asked++
	}
	tokens := []protocol.Demand{{Account: r.account, Tokens: shareCost}}
	m.report.Demands = append(m.report.Demands, tokens...)
	class := m.classifier.Classify(m.now, r.account, shareCost, false)
	if class < entitlement.Beyond && m.busy >= shareRoom {
		m.report.Missed += shareCost
	}
	if class < entitlement.Beyond && m.busy < shareRoom {
		m.busy += shareCost
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
	share := UncoveredRequest{CoveredPart: float64(e.Extra), Left: sharePatience}
	if m.soon {
		share.Objective = shareObjective
	}
	when := (m.now + share.After(m.rng.Float64())).Truncate(shareTick)
	m.later[when] = append(m.later[when], r)
}

// TestReturnsAreInTime checks accounts that demand more than their shares. If refused requests return
// within the objective, as many must be served as if they return after a third of their remaining time,
// and far more of them in time.
func TestReturnsAreInTime(t *testing.T) {
	is := is.New(t)
	play := func(times float64, soon bool) (inTime, served float64) {
		m := &sharedAccounts{
			rng: rand.New(rand.NewPCG(1, 2)), leader: entitlement.NewDemandEstimator(), classifier: entitlement.NewClassifier(),
			later: map[time.Duration][]refusedOnce{}, soon: soon,
		}
		m.play(times)
		return float64(m.inTime) / float64(m.asked), float64(m.served) / float64(m.asked)
	}
	for _, times := range []float64{1.2, 1.4, 2, 5} {
		inTime, served := play(times, true)
		late, servedLate := play(times, false)
		t.Logf("asks for %.1f of its share: in time %.2f of %.2f served; after a third of its time %.2f of %.2f", times, inTime, served, late, servedLate)
		is.True(inTime >= 0.9/times)       // requests covered by the share are in time
		is.True(served <= 1.1/times)       // no more is served than the share covers
		is.True(served >= 0.95*servedLate) // no fewer than if requests return later
		is.True(inTime >= late+0.1/times)  // more in time than if requests return later
	}
}
