// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// This file defines Key and Hint, by which a request is recognized when it comes again.

// Key identifies a request by its account, method, host, path and body. It is a part of a
// SHA-256 hash, so that nobody can make a request with the key of another one, and it has the
// account in it, so that no account's requests share a key with those of others.
type Key [16]byte

// KeyOf returns the key of a request; path has its query. It costs a hash of the body, about
// 0.6 ns a byte (BenchmarkKeyOf).
func KeyOf(account, method, host, path string, body []byte) Key {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{account, method, host, path} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		_, _ = io.WriteString(h, part) // a hash takes all
	}
	h.Write(body)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// KeyFrom returns the key of these bytes, or false if they are none.
func KeyFrom(b []byte) (k Key, ok bool) {
	copy(k[:], b)
	return k, len(b) == len(k)
}

// String returns the key as logs and operators' commands have it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Hint is a short hash of a request without its body: two requests of which only the bodies
// differ, at the same length, share one. Gateways compare it first.
type Hint uint32

// HintOf returns the hint of a request whose body has a length.
func HintOf(account, method, host, path string, length int) Hint {
	h := uint32(2166136261) // FNV-1a
	for _, part := range []string{account, method, host, path} {
		for i := range len(part) {
			h = (h ^ uint32(part[i])) * 16777619
		}
		h = (h ^ 0xff) * 16777619 // no part has this byte as UTF-8
	}
	for ; length > 0; length >>= 8 {
		h = (h ^ uint32(length&0xff)) * 16777619
	}
	return Hint(h)
}
