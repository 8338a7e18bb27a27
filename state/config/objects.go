// SPDX-License-Identifier: Apache-2.0

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// This file defines the two objects that operators manage, Account and Server,
// and the validation of single objects.

// Limits on operators' settings. A change beyond one of them is rejected.
const (
	MaxShare   = 1e6       // weight of one account
	MaxSlots   = 4096      // concurrent requests on one backend server
	MaxKeys    = 8         // valid keys of one account
	MaxWaiting = 1_000_000 // queued requests of one account on one router
)

// KeyHash is the SHA-256 hash of a caller's key. Keys themselves are not stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash that is stored for key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the first bytes in hexadecimal, enough to distinguish keys.
func (h KeyHash) String() string { return hex.EncodeToString(h[:6]) }

// Account is a client account. Its share is a weight: while two accounts are
// backlogged, they are served in proportion to their shares.
type Account struct {
	Name   string    `cbor:"1,keyasint"`
	Share  float64   `cbor:"2,keyasint"`
	Keys   []KeyHash `cbor:"3,keyasint,omitempty"`
	Limits Limits    `cbor:"4,keyasint"`
	// ID is a short identifier that [Config.Apply] assigns and never reuses. Boxes
	// use it to name the account in messages to each other.
	ID string `cbor:"5,keyasint,omitempty"`
}

// Limits bounds the requests of one account on one router. Zero means the router's
// default.
type Limits struct {
	Waiting      int   `cbor:"1,keyasint,omitempty"` // queued requests
	WaitingBytes int64 `cbor:"2,keyasint,omitempty"` // total body size of queued requests, in bytes
	Running      int   `cbor:"3,keyasint,omitempty"` // running requests
}

// WithShare returns a copy of the account with the given share.
func (a Account) WithShare(share float64) Account { a.Share = share; return a }

// WithLimits returns a copy of the account with the given limits.
func (a Account) WithLimits(l Limits) Account { a.Limits = l; return a }

// WithKey returns a copy of the account that has the key.
func (a Account) WithKey(k KeyHash) Account {
	if !slices.Contains(a.Keys, k) {
		a.Keys = append(slices.Clone(a.Keys), k)
	}
	return a
}

// WithoutKey returns a copy of the account without the key.
func (a Account) WithoutKey(k KeyHash) Account {
	a.Keys = slices.DeleteFunc(slices.Clone(a.Keys), func(o KeyHash) bool { return o == k })
	return a
}

func (a Account) check(found *mistakes) {
	subject := "account " + a.Name
	found.checkName(subject, a.Name)
	if !(a.Share > 0 && a.Share <= MaxShare) {
		found.add(subject, "share", "must be above 0 and at most 1000000")
	}
	if len(a.Keys) > MaxKeys {
		found.add(subject, "keys", "at most 8 keys")
	}
	if min(a.Limits.Waiting, a.Limits.Running) < 0 || a.Limits.WaitingBytes < 0 || a.Limits.Waiting > MaxWaiting {
		found.add(subject, "limits", "must not be negative, and at most 1000000 waiting requests")
	}
}

// Kind is the type of interface that a backend server offers. Its numbers are stored
// and sent.
type Kind uint8

// The kinds of backend server.
const (
	Engine  Kind = 1 // a model engine with an OpenAI-style API
	Service Kind = 2 // a plain HTTP service
)

// String returns the kind's name in the operators' interface.
func (k Kind) String() string {
	switch k {
	case Engine:
		return "engine"
	case Service:
		return "service"
	}
	return "unset"
}

// Mark is the state that operators set for a backend server. Its numbers are stored and
// sent.
type Mark uint8

// The marks of a backend server. Only a serving one receives new requests, and it
// cannot be removed.
const (
	Joining Mark = 1 // receives no requests yet
	Serving Mark = 2 // receives requests
	Leaving Mark = 3 // finishes its running requests
)

// Server is a backend server: a model engine or a plain service.
type Server struct {
	Name        string   `cbor:"1,keyasint"`
	Pool        string   `cbor:"2,keyasint"`
	Address     string   `cbor:"3,keyasint"` // IP:PORT
	Kind        Kind     `cbor:"4,keyasint"`
	Mark        Mark     `cbor:"5,keyasint"`
	Slots       int      `cbor:"6,keyasint"` // largest number of concurrent requests
	Models      []string `cbor:"7,keyasint,omitempty"`
	Adapters    []string `cbor:"8,keyasint,omitempty"`
	Version     string   `cbor:"9,keyasint,omitempty"`
	ChecksFence bool     `cbor:"10,keyasint,omitempty"`
	// NeverRepeat holds rules "METHOD /path-prefix" for calls that must not be repeated.
	NeverRepeat []string `cbor:"11,keyasint,omitempty"`
	ID          string   `cbor:"12,keyasint,omitempty"` // like Account.ID
}

// WithMark returns a copy of the server with the given mark.
func (s Server) WithMark(m Mark) Server { s.Mark = m; return s }

// MayNotRepeat reports whether the server's configuration allows a call to run at
// most once.
func (s Server) MayNotRepeat(method, path string) bool {
	for _, rule := range s.NeverRepeat {
		m, prefix, _ := strings.Cut(rule, " ")
		if (m == "*" || m == method) && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (s Server) check(found *mistakes) {
	subject := "server " + s.Name
	found.checkName(subject, s.Name)
	found.checkName(subject, s.Pool)
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		found.add(subject, "address", "must be IP:PORT, not "+s.Address)
	}
	if s.Kind != Engine && s.Kind != Service {
		found.add(subject, "kind", "must be engine or service")
	}
	if s.Mark < Joining || s.Mark > Leaving {
		found.add(subject, "mark", "must be joining, serving or leaving")
	}
	if s.Slots < 1 || s.Slots > MaxSlots {
		found.add(subject, "slots", "must be 1 to 4096")
	}
	if s.Kind == Engine && len(s.Models) == 0 {
		found.add(subject, "models", "an engine serves at least one model")
	}
	for _, rule := range s.NeverRepeat {
		if _, prefix, ok := strings.Cut(rule, " "); !ok || !strings.HasPrefix(prefix, "/") {
			found.add(subject, "never", `must be "METHOD /path" or "* /path", not `+rule)
		}
	}
}

// namePattern matches valid names.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// ValidName reports whether a name of an account, server, pool or box is valid, which
// makes it usable as a metric label and as an element of a URL path.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// checkName adds a mistake if a name is invalid.
func (m *mistakes) checkName(subject, name string) {
	if !ValidName(name) {
		m.add(subject, "name", "must be 1 to 63 letters, digits, dots, dashes or underscores")
	}
}
