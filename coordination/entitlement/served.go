// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"cmp"
	"math"
	"time"
)

// This file defines Served, what accounts were served lately, and the order in
// which waiting requests go.

// servedMemory is the time constant with which service is forgotten.
const servedMemory = 4 * time.Second

// RecentService holds for each account a decaying sum of the tokens that it was
// served. An account that is not in it was served nothing.
type RecentService map[string]servedSum

type servedSum struct {
	tokens float64
	at     time.Duration // when tokens was right
}

// Add counts tokens that an account is served from now on.
func (s RecentService) Add(now time.Duration, account string, tokens float64) {
	s[account] = servedSum{tokens: s.recent(now, account) + tokens, at: now}
}

func (s RecentService) recent(now time.Duration, account string) float64 {
	sum := s[account]
	return sum.tokens * math.Exp(-float64(now-sum.at)/float64(servedMemory))
}

// WaitingRequest is what decides the place of a waiting request.
type WaitingRequest struct {
	Class    Class
	Priority int // by [Priority]
	Account  string
}

// Compare orders waiting requests: by class, then by priority, then the account
// that was served least lately. Equal requests go in the order of their arrival.
func (s RecentService) Compare(now time.Duration, a, b WaitingRequest) int {
	if c := cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Priority, b.Priority)); c != 0 {
		return c
	}
	return cmp.Compare(s.recent(now, a.Account), s.recent(now, b.Account))
}

// priorityScale is above every priority of a route, so that the account's comes
// first. Chosen; documents are not checked for it.
const priorityScale = 1000

// Priority joins the priorities of a request's account and route. 0 is the most
// urgent.
func Priority(account, route int) int { return account*priorityScale + route }
