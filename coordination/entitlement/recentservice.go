// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"cmp"
	"math"
	"time"
)

// This file defines RecentService, the service that accounts received recently, and the order
// in which waiting requests are served.

// serviceTimeConstant is the time constant with which past service decays.
const serviceTimeConstant = 4 * time.Second

// RecentService holds an exponentially decaying sum of the tokens that each account was
// served. An account without an entry was served nothing.
type RecentService map[string]serviceSum

type serviceSum struct {
	tokens    float64
	updatedAt time.Duration // time of the last update of tokens
}

// Add counts tokens that an account is served from now on.
func (s RecentService) Add(now time.Duration, account string, tokens float64) {
	s[account] = serviceSum{tokens: s.recent(now, account) + tokens, updatedAt: now}
}

func (s RecentService) recent(now time.Duration, account string) float64 {
	sum := s[account]
	return sum.tokens * math.Exp(-float64(now-sum.updatedAt)/float64(serviceTimeConstant))
}

// WaitingRequest holds the attributes that determine a waiting request's place in the order.
type WaitingRequest struct {
	Class    Class
	Priority int // from [Priority]
	Account  string
}

// Compare orders waiting requests by class, then by priority, then by the least recent
// service of their accounts. Equal requests are served in arrival order.
func (s RecentService) Compare(now time.Duration, a, b WaitingRequest) int {
	if c := cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Priority, b.Priority)); c != 0 {
		return c
	}
	return cmp.Compare(s.recent(now, a.Account), s.recent(now, b.Account))
}

// priorityScale must exceed every route priority, so that the account's priority dominates.
// Documents are not validated against it.
const priorityScale = 1000

// Priority combines the priorities of a request's account and route into one number. 0 is the
// most urgent.
func Priority(account, route int) int { return account*priorityScale + route }
