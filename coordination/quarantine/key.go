// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// This file defines Key and Hint, by which a repeated request is recognized.

// Key identifies a request by its account, method, host, path and body. It is a truncated SHA-256
// hash, so that nobody can construct a request with the key of another one. Since the account is
// included, requests of different accounts never share a key.
type Key [16]byte

// KeyOf returns the key of a request. path includes the query. The cost is a hash of the body,
// about 0.6 ns per byte (BenchmarkKeyOf).
func KeyOf(account, method, host, path string, body []byte) Key {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{account, method, host, path} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		_, _ = io.WriteString(h, part) // a hash returns no error
	}
	h.Write(body)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// KeyFrom returns the key with the given bytes, or false if their number is wrong.
func KeyFrom(b []byte) (k Key, ok bool) {
	copy(k[:], b)
	return k, len(b) == len(k)
}

// String returns the key in hexadecimal, as in logs and operators' commands.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Hint is a short hash of a request that includes only the length of its body. Gateways compare it
// before they compute a key.
type Hint uint32

// HintOf returns the hint of a request whose body has the given length.
func HintOf(account, method, host, path string, length int) Hint {
	h := uint32(2166136261) // FNV-1a
	for _, part := range []string{account, method, host, path} {
		for i := range len(part) {
			h = (h ^ uint32(part[i])) * 16777619
		}
		h = (h ^ 0xff) * 16777619 // separator; this byte does not occur in UTF-8
	}
	for ; length > 0; length >>= 8 {
		h = (h ^ uint32(length&0xff)) * 16777619
	}
	return Hint(h)
}
