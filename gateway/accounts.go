// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines accounts, which guards the state of the fair-share rules
// (coordination/entitlement) and collects this gateway's usage for reports to the leader.

// accounts guards the classifier of requests and collects usage. Its methods may be called
// concurrently.
type accounts struct {
	now func() time.Duration

	mu         sync.Mutex // leaf lock; guards the fields below
	classifier *entitlement.Classifier
	served     entitlement.RecentService
	// Tokens since the last report.
	demandedTokens map[string]uint64 // by account
	lateTokens     map[string]uint64 // part of demandedTokens that arrived after the objective
	startedTokens  map[string]int64  // by account; negative values are deducted from what starts next
	missedTokens   uint64
}

func newAccounts(now func() time.Duration) *accounts {
	return &accounts{
		now: now, classifier: entitlement.NewClassifier(), served: entitlement.RecentService{}, demandedTokens: map[string]uint64{},
		lateTokens: map[string]uint64{}, startedTokens: map[string]int64{},
	}
}

// classify counts a request and returns its class. late is true if it arrived after its objective.
func (a *accounts) classify(account string, cost float64, late bool) entitlement.Class {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demandedTokens[account] += uint64(cost)
	if late {
		a.lateTokens[account] += uint64(cost)
	}
	return a.classifier.Classify(a.now(), account, cost, late)
}

// withinShare reports whether the account's observed demand is within its share.
func (a *accounts) withinShare(account string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.classifier.WithinShare(a.now(), account)
}

// admits reports whether a request of that account and class may be served now.
func (a *accounts) admits(account string, c entitlement.Class) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.classifier.Admits(a.now(), account, c)
}

// countStarted counts a request that gets its first backend server.
func (a *accounts) countStarted(account string, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.served.Add(a.now(), account, cost)
	a.classifier.RecordStart(a.now(), account, cost)
	a.startedTokens[account] += int64(cost)
}

// countNotServed deducts a request that was counted as started but got no part of an answer,
// because its caller had left or no backend server was reachable. Work started for callers that
// gave up must not count as service to their account.
func (a *accounts) countNotServed(account string, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startedTokens[account] -= int64(cost)
}

// countMissed counts a request that got no backend server, because engines had no capacity or, if
// gatewayShort is true, because the gateway lacked processor time, memory or time before its stop.
func (a *accounts) countMissed(c entitlement.Class, cost float64, gatewayShort bool) {
	if !entitlement.CountsAsMissed(c, gatewayShort) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.missedTokens += uint64(cost)
}

// compareWaiting orders waiting requests.
func (a *accounts) compareWaiting(x, y entitlement.WaitingRequest) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.served.Compare(a.now(), x, y)
}

// update applies the fleet's list of accounts that demand more than their share, and their parts of
// late requests. contended is passed on to [entitlement.Classifier.Update].
func (a *accounts) update(list, late []protocol.Entitlement, contended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.classifier.Update(a.now(), list, late, contended)
}

// setMaxRate limits the rate at which this gateway serves one account, in tokens per second.
func (a *accounts) setMaxRate(rate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.classifier.SetMaxAccountRate(rate)
}

// entitlement returns an account's entry in the fleet's list and the age of the list, for the log.
func (a *accounts) entitlement(account string) (e protocol.Entitlement, age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.classifier.Entitlement(a.now(), account)
}

// takeReport returns the tokens demanded, started and missed since the last call, as fields of a
// report.
func (a *accounts) takeReport() protocol.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := protocol.Usage{Demands: takeTokens(a.demandedTokens), Late: takeTokens(a.lateTokens), Served: takeTokens(a.startedTokens), Missed: a.missedTokens}
	for _, s := range u.Served {
		u.Started += s.Tokens // a report with started tokens names their accounts, see [entitlement.DemandEstimator]
	}
	a.missedTokens = 0
	return u
}

// estimateUnread estimates the demand of connections that were not accepted. It assumes one request
// per connection, with the same accounts and sizes as the read requests counted in demands. It
// returns nil if no request was read.
func estimateUnread(demands []protocol.Demand, unaccepted, read int) []protocol.Demand {
	if unaccepted == 0 || read == 0 {
		return nil
	}
	unread := make([]protocol.Demand, 0, len(demands))
	for _, d := range demands {
		unread = append(unread, protocol.Demand{Account: d.Account, Tokens: d.Tokens * uint64(unaccepted) / uint64(read)})
	}
	return unread
}

// takeTokens removes and returns the positive totals, in order of account names. Zero entries are
// removed and negative ones kept.
func takeTokens[T int64 | uint64](byAccount map[string]T) []protocol.Demand {
	taken := make([]protocol.Demand, 0, len(byAccount))
	for account, tokens := range byAccount {
		if tokens > 0 {
			taken = append(taken, protocol.Demand{Account: account, Tokens: uint64(tokens)})
		}
		if tokens >= 0 {
			delete(byAccount, account)
		}
	}
	slices.SortFunc(taken, func(x, y protocol.Demand) int { return cmp.Compare(x.Account, y.Account) })
	return taken
}
