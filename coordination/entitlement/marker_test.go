// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/badgerspoke/badgerspoke/internal/seeds"
)

// TestMarkerMarksTheFraction checks that the marked cost is the given fraction of the total cost,
// within a few of the largest requests, for any mix of sizes.
func TestMarkerMarksTheFraction(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		const largest = 50000
		fraction := rapid.Float64Range(0.02, 0.98).Draw(t, "fraction")
		costs := rapid.SliceOfN(rapid.SampledFrom([]float64{100, 1000, 5000, largest}), 300, 600).Draw(t, "costs")
		var m Marker
		entitled, all := 0.0, 0.0
		for _, c := range costs {
			all += c
			if m.Mark(fraction, c) {
				entitled += c
			}
		}
		if entitled > fraction*all+2*largest || entitled < 0.9*fraction*all-2*largest {
			t.Fatalf("%.0f of %.0f tokens entitled, want a fraction of %.2f", entitled, all, fraction)
		}
	})
}

// TestFullFractionLeavesNoCredit checks that requests marked at fraction 1, without a shortage,
// leave no credit for later ones.
func TestFullFractionLeavesNoCredit(t *testing.T) {
	is := is.New(t)
	var m Marker
	for range 10 {
		is.True(m.Mark(1, 5))
	}
	is.True(!m.Mark(0.1, 5))
}
