// SPDX-License-Identifier: Apache-2.0

package document

import (
	"bytes"
	"slices"
)

// This file defines Condemned, the requests that are sent to no backend server because servers
// end under them.
//
// They have no age: a request that was tried again once in a while would end a server each time.

const (
	// MaxCondemned bounds the condemned requests. Each has cost three ends of servers.
	MaxCondemned = 1024
	// MaxCondemnedOfAccount bounds those of one account, so that it cannot push out those of others.
	MaxCondemnedOfAccount = 128
)

// Condemned is one request.
type Condemned struct {
	Key     []byte   `cbor:"1,keyasint"` // of package quarantine
	Hint    uint32   `cbor:"2,keyasint,omitempty"`
	Account string   `cbor:"3,keyasint,omitempty"`
	Pool    string   `cbor:"4,keyasint,omitempty"`
	Servers []string `cbor:"5,keyasint,omitempty"` // that ended under it, oldest first
}

// CondemnedChange condemns a request, or releases one. One field is set.
type CondemnedChange struct {
	Condemn *Condemned `cbor:"1,keyasint,omitempty"`
	Release []byte     `cbor:"2,keyasint,omitempty"` // its key
}

// ChangeCondemned applies a change and reports whether it did anything. Beyond the bounds the
// oldest goes, of the account or of the account that has the most.
func (s *Store) ChangeCondemned(c CondemnedChange) bool {
	if c.Condemn == nil {
		before := len(s.condemned)
		s.condemned = slices.DeleteFunc(s.condemned, func(o Condemned) bool { return bytes.Equal(o.Key, c.Release) })
		return len(s.condemned) < before
	}
	if slices.ContainsFunc(s.condemned, func(o Condemned) bool { return bytes.Equal(o.Key, c.Condemn.Key) }) {
		return false
	}
	of := map[string]int{}
	for _, o := range s.condemned {
		of[o.Account]++
	}
	switch {
	case of[c.Condemn.Account] >= MaxCondemnedOfAccount:
		s.dropCondemned(c.Condemn.Account)
	case len(s.condemned) >= MaxCondemned:
		s.dropCondemned(largest(s.condemned, of))
	}
	s.condemned = append(s.condemned, *c.Condemn)
	return true
}

// dropCondemned drops the oldest of an account.
func (s *Store) dropCondemned(account string) {
	at := slices.IndexFunc(s.condemned, func(o Condemned) bool { return o.Account == account })
	s.condemned = slices.Delete(s.condemned, at, at+1)
}

// largest returns the account that has the most, of several the one with the oldest.
func largest(condemned []Condemned, of map[string]int) string {
	account := condemned[0].Account
	for _, o := range condemned {
		if of[o.Account] > of[account] {
			account = o.Account
		}
	}
	return account
}

// Condemned returns the condemned requests, oldest first.
func (s *Store) Condemned() []Condemned { return slices.Clone(s.condemned) }
