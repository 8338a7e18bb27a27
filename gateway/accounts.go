// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines accounts: what each asks for here, and which part of it the
// fleet says is within its fair share.

// servedMemory is the time constant with which an account's service is
// forgotten.
const servedMemory = 4 * time.Second

// staleAfter is the age at which the fleet's word is not used any more.
const staleAfter = 10 * time.Second

type accounts struct {
	now func() time.Duration

	mu       sync.Mutex // a leaf
	parts    map[string]protocol.Entitlement
	updated  time.Duration
	markers  map[string]*markers
	demanded map[string]uint64
	service  map[string]*service
	started  uint64
	missed   uint64
	short    bool // the fleet's word: nobody may go beyond the shares
}

// markers of one account, for both levels.
type markers struct{ entitled, extra entitlement.Marker }

// service is a decaying sum of tokens.
type service struct {
	tokens float64
	at     time.Duration
}

func newAccounts(now func() time.Duration) *accounts {
	return &accounts{
		now: now, parts: map[string]protocol.Entitlement{}, markers: map[string]*markers{},
		demanded: map[string]uint64{}, service: map[string]*service{},
	}
}

// classify counts a request of that cost and returns how it stands.
func (t *accounts) classify(account string, cost float64) entitlement.Class {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demanded[account] += uint64(cost)
	if t.updated == 0 || t.now()-t.updated > staleAfter {
		return entitlement.Entitled // nobody knows
	}
	e, limited := t.parts[account]
	if !limited {
		return entitlement.Covered
	}
	m := t.markers[account]
	if m == nil {
		m = &markers{}
		t.markers[account] = m
	}
	part := float64(e.Part)
	if m.entitled.Entitled(part, cost) {
		return entitlement.Entitled
	}
	if m.extra.Entitled((float64(e.Extra)-part)/(1-part), cost) {
		return entitlement.Extra
	}
	return entitlement.Beyond
}

// countStarted counts the service that a request begins to get.
func (t *accounts) countStarted(account string, cost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service[account]
	if s == nil {
		s = &service{}
		t.service[account] = s
	}
	s.tokens = s.decayed(t.now()) + cost
	s.at = t.now()
	t.started += uint64(cost)
}

func (s *service) decayed(now time.Duration) float64 {
	return s.tokens * math.Exp(-float64(now-s.at)/float64(servedMemory))
}

// countMissed counts a request that found no room, on engines or on this gateway's
// processor.
func (t *accounts) countMissed(c entitlement.Class, cost float64) {
	if c == entitlement.Beyond {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.missed += uint64(cost)
}

// admits reports whether a request of that standing may be served now.
func (t *accounts) admits(c entitlement.Class) bool {
	if c != entitlement.Beyond {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.short || t.now()-t.updated > staleAfter
}

// recentService returns the tokens that an account was served lately.
func (t *accounts) recentService(account string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.service[account]; s != nil {
		return s.decayed(t.now())
	}
	return 0
}

// update takes the fleet's word.
func (t *accounts) update(list []protocol.Entitlement, short bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updated = t.now()
	t.short = short
	clear(t.parts)
	for _, e := range list {
		t.parts[e.Account] = e
	}
}

// takeReport returns and clears what was asked for, begun and
// missed since the last call.
func (t *accounts) takeReport() (demands []protocol.Demand, begun, missed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	demands = make([]protocol.Demand, 0, len(t.demanded))
	for account, tokens := range t.demanded {
		demands = append(demands, protocol.Demand{Account: account, Tokens: tokens})
	}
	clear(t.demanded)
	slices.SortFunc(demands, func(a, b protocol.Demand) int { return cmp.Compare(a.Account, b.Account) })
	begun, missed = t.started, t.missed
	t.started, t.missed = 0, 0
	return demands, begun, missed
}

// entitlement returns what the fleet last said of an account, and how long ago, for the
// log.
func (t *accounts) entitlement(account string) (e protocol.Entitlement, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, limited := t.parts[account]
	if !limited {
		e = protocol.Entitlement{Account: account, Part: 1, Extra: 1}
	}
	return e, t.now() - t.updated
}
