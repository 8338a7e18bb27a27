// SPDX-License-Identifier: Apache-2.0

package mix_test

import (
	"math/bits"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/mix"
)

// TestBitsIsStableAndMixesAllBits pins one value, on which all nodes must agree, and checks that
// flipping one input bit changes about half of the output bits.
func TestBitsIsStableAndMixesAllBits(t *testing.T) {
	is := is.New(t)
	is.Equal(mix.Bits(1), uint64(0xb456bcfc34c2cb2c))
	for x := range uint64(1000) {
		for bit := range 64 {
			changed := bits.OnesCount64(mix.Bits(x) ^ mix.Bits(x^1<<bit))
			is.True(changed > 8 && changed < 56)
		}
	}
}
