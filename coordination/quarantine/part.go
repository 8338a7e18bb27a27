// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
)

// This file defines Part and PartSet, which identify parts that prompts of different requests share.

// Part is a shared part of prompts. A part is the same for all accounts.
type Part struct {
	Pool  string
	Model string
	Name  string
}

// partKeyPrefix separates the keys of parts from those of requests, whose hash begins with the length of an
// account's name.
const partKeyPrefix = ^uint64(0)

// Key returns the key of a part, a hash like [KeyOf].
func (p Part) Key() Key {
	h := sha256.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], partKeyPrefix)
	h.Write(number[:])
	for _, field := range []string{p.Pool, p.Model, p.Name} {
		binary.BigEndian.PutUint64(number[:], uint64(len(field)))
		h.Write(number[:])
		_, _ = io.WriteString(h, field) // a hash returns no error
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// PartSet is a set of parts that no server runs together: a request with all of them is refused. It has
// several parts if nothing shows which of them crashes servers. It is not empty.
type PartSet struct {
	Pool    string
	Model   string
	Names   []string // sorted
	Servers []string // that crashed, oldest first
}

// Keys returns the keys of the parts, sorted.
func (s PartSet) Keys() []Key {
	var keys []Key
	for _, name := range s.Names {
		keys = append(keys, Part{Pool: s.Pool, Model: s.Model, Name: name}.Key())
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// Key identifies the set. That of a single part is the part's key.
func (s PartSet) Key() Key { return keyOfSet(s.Keys()) }

// Without returns the set without a part, and false if it had no other one.
func (s PartSet) Without(k Key) (PartSet, bool) {
	s.Names = slices.DeleteFunc(slices.Clone(s.Names), func(name string) bool {
		return Part{Pool: s.Pool, Model: s.Model, Name: name}.Key() == k
	})
	return s, len(s.Names) > 0
}

func keyOfSet(keys []Key) Key {
	if len(keys) == 1 {
		return keys[0]
	}
	h := sha256.New()
	for _, k := range keys {
		h.Write(k[:])
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

func compareKeys(a, b Key) int { return bytes.Compare(a[:], b[:]) }

// hasAll reports whether keys contains all of want.
func hasAll(keys, want []Key) bool {
	return !slices.ContainsFunc(want, func(k Key) bool { return !slices.Contains(keys, k) })
}
