// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file models accounts that demand more than their share and whose callers retry once
// after a refusal, at another gateway. Admission depends on classes alone.

// retryModel is one run of the model.
type retryModel struct {
	demandFactor             float64       // demand of each flooding account, as a multiple of its share
	floodingAccounts         int           // number of flooding accounts; one more account demands a fifth of a share
	retryDelay               time.Duration // delay before a refused caller retries
	classifyLate             bool          // whether late retries are classified as late
	servedInTime, servedLate float64       // tokens served to flooding accounts, in time and late
	smallInTime              float64       // fraction of the small account's tokens that were served in time

	now           time.Duration
	gateways      [2]modelGateway // first attempts arrive at the first, retries at the second
	demand        *DemandEstimator
	pendingTokens []float64 // tokens of each account not yet requested
	retries       map[time.Duration][]arrival
}

// modelGateway is a classifier and the counts that it reports.
type modelGateway struct {
	*Classifier
	demanded, late, served map[string]uint64
}

const (
	modelShare  = 100_000.0 // tokens per second of each flooding account
	modelCost   = 1000.0    // tokens per request
	modelTick   = 10 * time.Millisecond
	modelWarmUp = 4 * time.Second // start of the counting
	modelEnd    = 14 * time.Second
)

// arrival is a request of the model.
type arrival struct {
	account string
	isRetry bool
}

// run runs the model.
func (m *retryModel) run() {
	m.demand, m.retries, m.pendingTokens = NewDemandEstimator(), map[time.Duration][]arrival{}, make([]float64, m.floodingAccounts+1)
	for i := range m.gateways {
		m.gateways[i] = modelGateway{NewClassifier(), map[string]uint64{}, map[string]uint64{}, map[string]uint64{}}
	}
	requested, inTime := 0.0, 0.0
	small := fmt.Sprint(m.floodingAccounts)
	for m.now = modelTick; m.now < modelEnd; m.now += modelTick {
		for _, a := range m.arrivals() {
			served := m.serve(a)
			if m.now < modelWarmUp {
				continue
			}
			switch {
			case a.account == small && !a.isRetry:
				requested += modelCost
				inTime += served
			case a.account != small && a.isRetry:
				m.servedLate += served
			case a.account != small:
				m.servedInTime += served
			}
		}
		m.report()
	}
	m.smallInTime = inTime / requested
}

// arrivals returns the retries that are due now, followed by the first attempts.
func (m *retryModel) arrivals() []arrival {
	all := m.retries[m.now]
	delete(m.retries, m.now)
	for i := range m.pendingTokens {
		rate := m.demandFactor * modelShare
		if i == m.floodingAccounts {
			rate = modelShare / 5
		}
		for m.pendingTokens[i] += rate * modelTick.Seconds(); m.pendingTokens[i] >= modelCost; m.pendingTokens[i] -= modelCost {
			all = append(all, arrival{account: fmt.Sprint(i)})
		}
	}
	return all
}

// serve returns the tokens that a request is served: all or none. A refused first attempt is
// retried once.
func (m *retryModel) serve(a arrival) float64 {
	g := m.gateways[0]
	if a.isRetry {
		g = m.gateways[1]
	}
	late := a.isRetry && m.classifyLate
	g.demanded[a.account] += modelCost
	if late {
		g.late[a.account] += modelCost
	}
	class := g.Classify(m.now, a.account, modelCost, late)
	if g.Admits(m.now, a.account, class) && class <= Entitled {
		g.served[a.account] += modelCost
		return modelCost
	}
	if !a.isRetry {
		when := (m.now + m.retryDelay).Truncate(modelTick)
		m.retries[when] = append(m.retries[when], arrival{account: a.account, isRetry: true})
	}
	return 0
}

// report sends the gateways' counts to the leader and, ten times a second, the leader's lists
// to the gateways.
func (m *retryModel) report() {
	for _, g := range m.gateways {
		u := protocol.Usage{Demands: takeAll(g.demanded), Late: takeAll(g.late), Served: takeAll(g.served)}
		for _, s := range u.Served {
			u.Started += s.Tokens
		}
		m.demand.Add(u)
	}
	if m.now%(100*time.Millisecond) != 0 {
		return
	}
	m.demand.Recompute(m.now, modelShare*(float64(m.floodingAccounts)+0.2))
	for _, g := range m.gateways {
		g.Update(m.now, m.demand.Entitlements(), m.demand.LateEntitlements(), m.demand.Contended())
	}
}

// takeAll returns the counts by account and clears them.
func takeAll(byAccount map[string]uint64) (all []protocol.Demand) {
	for _, account := range slices.Sorted(maps.Keys(byAccount)) {
		all = append(all, protocol.Demand{Account: account, Tokens: byAccount[account]})
	}
	clear(byAccount)
	return all
}

// TestRequestsInTimeAreServedBeforeLateRetries checks that accounts beyond their share are
// served as much when late retries are classified separately as when all requests are
// classified alike, but nearly all of it in time, where otherwise up to two fifths are late.
// An account within its share is unaffected.
func TestRequestsInTimeAreServedBeforeLateRetries(t *testing.T) {
	for _, floods := range []int{1, 4} {
		for _, after := range []time.Duration{time.Second, 3300 * time.Millisecond} {
			for _, offered := range []float64{0.8, 1.5, 3, 5} {
				t.Run(fmt.Sprintf("%d/%v/%v", floods, after, offered), func(t *testing.T) {
					is := is.New(t)
					alike := retryModel{demandFactor: offered, floodingAccounts: floods, retryDelay: after}
					alike.run()
					separate := retryModel{demandFactor: offered, floodingAccounts: floods, retryDelay: after, classifyLate: true}
					separate.run()
					served, servedAlike := separate.servedInTime+separate.servedLate, alike.servedInTime+alike.servedLate
					t.Logf("fraction served in time: %.2f; with all requests classified alike: %.2f", separate.servedInTime/served, alike.servedInTime/servedAlike)
					is.True(separate.smallInTime > 0.99)
					is.True(served > 0.95*servedAlike)
					is.True(separate.servedInTime > 0.95*served)
					if offered > 1 {
						is.True(alike.servedInTime < 0.87*servedAlike)
					}
				})
			}
		}
	}
}
