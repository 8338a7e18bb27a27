// SPDX-License-Identifier: Apache-2.0

package document

import (
	"bytes"
	"slices"
)

// This file defines Condemned, a request or a part of prompts that crashed several backend servers and is
// no longer sent to any.
//
// Condemned requests do not expire: each retry of an expired one would crash another server.

const (
	// MaxCondemned is the largest number of condemned requests. Each of them has crashed three servers.
	MaxCondemned = 1024
	// MaxCondemnedPerAccount is the limit per account, so that one account cannot evict the requests of
	// others.
	MaxCondemnedPerAccount = 128
)

// Condemned identifies a condemned request, or a set of parts of which no request may have all, and records
// how it was condemned. Sets of parts have no account and count together as those of one.
type Condemned struct {
	Key     []byte   `cbor:"1,keyasint"` // computed by package quarantine
	Hint    uint32   `cbor:"2,keyasint,omitempty"`
	Account string   `cbor:"3,keyasint,omitempty"`
	Pool    string   `cbor:"4,keyasint,omitempty"`
	Servers []string `cbor:"5,keyasint,omitempty"` // servers that crashed on it, oldest first
	Parts   []string `cbor:"6,keyasint,omitempty"` // names of the parts; empty for a request
	Model   string   `cbor:"7,keyasint,omitempty"` // of the parts
}

// CondemnedChange condemns or releases a request. Exactly one field is set.
type CondemnedChange struct {
	Condemn *Condemned `cbor:"1,keyasint,omitempty"`
	Release []byte     `cbor:"2,keyasint,omitempty"` // Condemned.Key of the request
}

// ChangeCondemned applies a change and reports whether it had an effect. At the limit of an account
// it evicts the account's oldest request, and at the total limit the oldest request of the account
// with the most.
func (s *Store) ChangeCondemned(c CondemnedChange) bool {
	if c.Condemn == nil {
		before := len(s.condemned)
		s.condemned = slices.DeleteFunc(s.condemned, func(o Condemned) bool { return bytes.Equal(o.Key, c.Release) })
		return len(s.condemned) < before
	}
	if slices.ContainsFunc(s.condemned, func(o Condemned) bool { return bytes.Equal(o.Key, c.Condemn.Key) }) {
		return false
	}
	counts := map[string]int{}
	for _, o := range s.condemned {
		counts[o.Account]++
	}
	switch {
	case counts[c.Condemn.Account] >= MaxCondemnedPerAccount:
		s.removeOldestCondemned(c.Condemn.Account)
	case len(s.condemned) >= MaxCondemned:
		s.removeOldestCondemned(largestAccount(s.condemned, counts))
	}
	s.condemned = append(s.condemned, *c.Condemn)
	return true
}

// removeOldestCondemned removes the oldest condemned request of an account.
func (s *Store) removeOldestCondemned(account string) {
	at := slices.IndexFunc(s.condemned, func(o Condemned) bool { return o.Account == account })
	s.condemned = slices.Delete(s.condemned, at, at+1)
}

// largestAccount returns the account with the most condemned requests, and on a tie the one with the oldest
// request.
func largestAccount(condemned []Condemned, counts map[string]int) string {
	account := condemned[0].Account
	for _, o := range condemned {
		if counts[o.Account] > counts[account] {
			account = o.Account
		}
	}
	return account
}

// Condemned returns the condemned requests, oldest first.
func (s *Store) Condemned() []Condemned { return slices.Clone(s.condemned) }
