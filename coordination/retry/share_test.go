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

// This file tests when requests come back that their account's share does not cover, with a model
// of one gateway, the leader and engines in virtual time. The shares are the real ones.

// Times and rates of the model.
const (
	shareTick      = 10 * time.Millisecond
	shareSettle    = 100 * time.Millisecond // between two reports, and two lists
	shareWarm      = 3 * time.Second
	shareEnd       = 33 * time.Second
	shareRate      = 400_000.0 // tokens a second that the operator names
	shareCost      = 1000.0    // tokens of a request
	shareObjective = 400 * time.Millisecond
	sharePatience  = 12 * time.Second
	shareMade      = shareRate // tokens a second that the engines make
	shareRoom      = 40_000.0  // tokens that may be in front of a request there: a quarter of the objective
)

// sharedAccounts is two accounts that ask alike.
type sharedAccounts struct {
	rng        *rand.Rand
	now        time.Duration
	leader     *entitlement.DemandEstimator
	classifier *entitlement.Classifier
	report     protocol.Usage
	later      map[time.Duration][]refusedOnce
	busy       float64 // tokens that the engines have still to read
	soon       bool    // requests come back as the rule says, or after a part of their time in any case

	asked, inTime, served int // requests
}

// refusedOnce is a request that comes back.
type refusedOnce struct {
	account string
	since   time.Duration
}

// play lets each account ask for so many times the level of its share.
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

// ask lets a request be served or refused. Nobody knows that one came back: callers of other
// patience ask as well, and a gateway that is new has seen few.
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

// TestReturnsAreInTime: accounts that ask for somewhat more than their shares have as many requests
// served as before, those that come back in time as well. After a third of their time half of what
// is served would be late.
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
		is.True(inTime >= 0.9/times)       // what the share covers is in time
		is.True(served <= 1.1/times)       // and no more is given than it covers
		is.True(served >= 0.95*servedLate) // nor less than to those that come back later
		is.True(inTime >= late+0.1/times)  // which it is worth
	}
}
