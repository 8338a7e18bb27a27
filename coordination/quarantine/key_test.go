// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// TestKeyDependsOnEachPart: each part of a request changes its key, and parts are delimited from
// each other.
func TestKeyDependsOnEachPart(t *testing.T) {
	is := is.New(t)
	k := KeyOf("a", "POST", "h", "/p", []byte("body"))
	is.Equal(k, KeyOf("a", "POST", "h", "/p", []byte("body")))
	seen := map[Key]bool{k: true}
	for _, other := range []Key{
		KeyOf("b", "POST", "h", "/p", []byte("body")),
		KeyOf("a", "PUT", "h", "/p", []byte("body")),
		KeyOf("a", "POST", "i", "/p", []byte("body")),
		KeyOf("a", "POST", "h", "/q", []byte("body")),
		KeyOf("a", "POST", "h", "/p", []byte("bodY")),
		KeyOf("a", "POST", "h", "/pb", []byte("ody")),
		KeyOf("aP", "OST", "h", "/p", []byte("body")),
		KeyOf("", "POST", "h", "/p", nil),
	} {
		is.True(!seen[other])
		seen[other] = true
	}
	is.Equal(len(k.String()), 32)
}

func BenchmarkKeyOf(b *testing.B) {
	body := make([]byte, 64<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		KeyOf("account", "POST", "host", "/path", body)
	}
}
