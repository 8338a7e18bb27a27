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

// This file defines accounts: the lock around the rules of fair shares
// (coordination/entitlement), and what this gateway reports to the leader.

type accounts struct {
	now func() time.Duration

	mu         sync.Mutex // a leaf; guards all below
	classifier *entitlement.Classifier
	served     entitlement.RecentService
	// Tokens since the last report.
	demandedTokens map[string]uint64 // by account
	lateTokens     map[string]uint64 // the part of it that came back late
	startedTokens    map[string]int64  // the same of what started; negative: to be taken from what starts next
	missedTokens   uint64
}

func newAccounts(now func() time.Duration) *accounts {
	return &accounts{
		now: now, classifier: entitlement.NewClassifier(), served: entitlement.RecentService{}, demandedTokens: map[string]uint64{},
		lateTokens: map[string]uint64{}, startedTokens: map[string]int64{},
	}
}

// classify counts a request of that cost and returns its class; late is one that came back
// after its objective.
func (a *accounts) classify(account string, cost float64, late bool) entitlement.Class {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demandedTokens[account] += uint64(cost)
	if late {
		a.lateTokens[account] += uint64(cost)
	}
	return a.classifier.Classify(a.now(), account, cost, late)
}

// covers reports whether the account demands no more than its share, as far as is known.
func (a *accounts) covers(account string) bool {
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

// countNotServed takes back a request that was counted as started and got nothing of an
// answer, because its caller had left or no backend server could be reached. What a gateway
// starts for callers that waited too long is nothing that their account was given.
func (a *accounts) countNotServed(account string, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startedTokens[account] -= int64(cost)
}

// countMissed counts a request that got no backend server: it found no room on engines, or, if the
// gateway lacks something, its processor, its memory or its time until a stop.
func (a *accounts) countMissed(c entitlement.Class, cost float64, gatewayLacks bool) {
	if !entitlement.CountsAsMissed(c, gatewayLacks) {
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

// update takes the fleet's list of accounts that demand more than their share, with their
// parts of what comes back late.
func (a *accounts) update(list, late []protocol.Entitlement, short bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.classifier.Update(a.now(), list, late, short)
}

// setMaxRate bounds what this gateway may give to one account, in tokens a second.
func (a *accounts) setMaxRate(rate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.classifier.SetMaxAccountRate(rate)
}

// entitlement returns an account's entry in the fleet's list, and the list's age, for
// the log.
func (a *accounts) entitlement(account string) (e protocol.Entitlement, age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.classifier.Entitlement(a.now(), account)
}

// takeReport returns the tokens that were demanded, started and missed since the last
// call, as the fields of a report.
func (a *accounts) takeReport() protocol.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := protocol.Usage{Demands: takeTokens(a.demandedTokens), Late: takeTokens(a.lateTokens), Served: takeTokens(a.startedTokens), Missed: a.missedTokens}
	for _, s := range u.Served {
		u.Started += s.Tokens // a report that starts something says for whom, see [entitlement.Demand]
	}
	a.missedTokens = 0
	return u
}

// estimateUnread estimates what is asked on connections that were not taken: one request on each, of the accounts
// and sizes that were read meanwhile, read requests that demanded so much. Nothing is known if none was.
func estimateUnread(demands []protocol.Demand, untaken, read int) []protocol.Demand {
	if untaken == 0 || read == 0 {
		return nil
	}
	unread := make([]protocol.Demand, 0, len(demands))
	for _, d := range demands {
		unread = append(unread, protocol.Demand{Account: d.Account, Tokens: d.Tokens * uint64(untaken) / uint64(read)})
	}
	return unread
}

// takeTokens removes the tokens of all accounts that have some and returns them in the
// order of the names.
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
